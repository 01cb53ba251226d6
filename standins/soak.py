"""Run a small fleet under faults drawn from a seed, and check what was seen."""

import pathlib
import shutil
import sys
import tempfile

import cyclopts

from daisyline.transport.loop import Loop
from standins.soak_run import Soak, Verdict
from standins.up import print_line


def run(seed: int, duration_s: float) -> Verdict:
    """Run once and return the verdict.

    The processes' logs stay in a folder that the verdict names if something
    was violated.
    """
    loop = Loop.create()
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f'daisyline-soak-{seed}-'))
    soak = Soak(loop, seed, duration_s, folder)
    soak.start()
    loop.run()
    verdict = soak.verdict()
    if verdict.violations:
        attempts = '\n'.join(map(str, soak.journal.attempts))
        (folder / 'attempts.txt').write_text(attempts)
        windows = '\n'.join(map(str, soak.journal.windows))
        (folder / 'faults.txt').write_text(windows)
        verdict.lines.append(f'logs of all processes: {folder}')
    else:
        shutil.rmtree(folder)
    return verdict


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
        print_line(line)
    return 1 if verdict.violations else 0


if __name__ == '__main__':
    app = cyclopts.App(result_action='return_value')
    app.default(main)
    sys.exit(app())
