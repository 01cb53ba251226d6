"""Run a small fleet under faults drawn from a seed, and check what was seen."""

import pathlib
import sys
import tempfile

import cyclopts

from daisyline.transport.loop import Loop
from standins.soak_run import Soak, Verdict
from standins.up import say


def run(seed: int, duration_s: float) -> Verdict:
    """Run once and return the verdict."""
    loop = Loop.create()
    with tempfile.TemporaryDirectory(prefix='daisyline-soak-') as folder:
        soak = Soak(loop, seed, duration_s, pathlib.Path(folder))
        soak.start()
        loop.run()
        return soak.verdict()


def main(*, seed: int = 1, duration: float = 60) -> int:
    """Run a fleet under faults and print what was seen.

    Args:
        seed: Sets the schedule of faults.
        duration: Seconds of faults.

    Returns:
        The exit code: 0 if nothing was violated.
    """
    verdict = run(seed, duration)
    for line in verdict.lines:
        say(line)
    return 1 if verdict.violations else 0


if __name__ == '__main__':
    app = cyclopts.App(result_action='return_value')
    app.default(main)
    sys.exit(app())
