"""Run every measurement module in this package that has a `main`."""

import importlib
import pkgutil
import sys

import bench

# Modules that are run by commands of their own.
EXCLUDED_MODULES = frozenset(
    (
        '__main__',
        'load',
        'capacity',
        'bare_relay',
        'capacity_whole',
        'normal_load',
    )
)


def main(names: list[str]) -> int:
    """Run the measurements with the given names, or all without names.

    Returns:
        The exit code: 0 if every measurement succeeded.
    """
    failed = 0
    for info in pkgutil.iter_modules(bench.__path__):
        if info.name in EXCLUDED_MODULES or (names and info.name not in names):
            continue
        module = importlib.import_module(f'bench.{info.name}')
        if hasattr(module, 'main'):
            sys.stdout.write(f'== bench.{info.name}\n')
            sys.stdout.flush()
            failed += bool(module.main())
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
