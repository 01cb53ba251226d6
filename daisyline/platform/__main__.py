"""The node on the users' platform: `python -m daisyline.platform`."""

import gc
import importlib
import sys


def main() -> None:
    """Load the program in as little time as can be, and run it."""
    # Nothing that is made while modules load is garbage; `Node.run` collects.
    gc.disable()
    # circuits asks it for a namespace that it can do without, and importing it
    # takes a fifth of a start.
    sys.modules.setdefault('pkg_resources', None)
    importlib.import_module('daisyline.platform.program').main()


if __name__ == '__main__':
    main()
