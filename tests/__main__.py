"""Run the tests; failures that KNOWN-RED.txt lists are printed only."""

import pathlib
import sys
import unittest

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_KNOWN_RED = _ROOT / 'KNOWN-RED.txt'
_ENTRY = 'test:'


def known_red() -> set[str]:
    """Return the ids of the tests in KNOWN-RED.txt."""
    if not _KNOWN_RED.exists():
        return set()
    lines = _KNOWN_RED.read_text(encoding='utf-8').splitlines()
    return {
        line.removeprefix(_ENTRY).strip()
        for line in lines
        if line.startswith(_ENTRY)
    }


def main(patterns: list[str]) -> int:
    """Run the tests whose id contains any pattern, or all without patterns.

    Returns:
        The exit code: 0 if tests ran and none but known ones failed.
    """
    suite = unittest.defaultTestLoader.discover(
        str(_ROOT / 'tests'), top_level_dir=str(_ROOT)
    )
    selected = unittest.TestSuite(
        case
        for case in _flatten(suite)
        if not patterns or any(text in case.id() for text in patterns)
    )
    result = unittest.TextTestRunner(verbosity=2).run(selected)
    failed = {case.id() for case, _ in result.failures + result.errors}
    known_failures = failed & known_red()
    for name in sorted(known_failures):
        sys.stdout.write(f'known red: {name}\n')
    unexpected = len(failed - known_failures)
    passed = result.testsRun - len(failed) - len(result.skipped)
    sys.stdout.write(f'{passed} passed, {unexpected} failed\n')
    return 1 if unexpected or not result.testsRun else 0


def _flatten(suite: unittest.TestSuite) -> list[unittest.TestCase]:
    cases: list[unittest.TestCase] = []
    for entry in suite:
        if isinstance(entry, unittest.TestSuite):
            cases.extend(_flatten(entry))
        else:
            cases.append(entry)
    return cases


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
