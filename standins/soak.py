"""Run a small fleet under faults drawn from a seed and check the records."""

import pathlib
import shutil
import sys
import tempfile
from collections.abc import Container

import cyclopts

from daisyline.transport.loop import Loop
from standins.soak_run import SoakResult, SoakRun
from standins.up import print_line


def run(
    seed: int, duration_s: float, left_out: Container[str] = ()
) -> SoakResult:
    """Run once and return the result.

    If there are violations, the processes' logs are retained and the result
    names their folder.
    """
    loop = Loop.create()
    log_folder = pathlib.Path(
        tempfile.mkdtemp(prefix=f'daisyline-soak-{seed}-')
    )
    soak = SoakRun(loop, seed, duration_s, log_folder, left_out)
    soak.start()
    loop.run()
    result = soak.result()
    if result.violations:
        attempts = '\n'.join(map(str, soak.journal.attempts))
        (log_folder / 'attempts.txt').write_text(attempts)
        windows = '\n'.join(map(str, soak.journal.windows))
        (log_folder / 'faults.txt').write_text(windows)
        result.lines.append(f'logs of all processes: {log_folder}')
    else:
        shutil.rmtree(log_folder)
    return result


def main(
    *, seed: int = 1, duration: float = 60, left_out: tuple[str, ...] = ()
) -> int:
    """Run a fleet under faults and print the results.

    Args:
        seed: The seed of the schedule of faults.
        duration: The duration of the faults, in seconds.
        left_out: Kinds of faults that are not drawn. A seed draws other faults
            once there are more kinds.

    Returns:
        The exit code: 0 if there are no violations.
    """
    result = run(seed, duration, left_out)
    for line in result.lines:
        print_line(line)
    return 1 if result.violations else 0


if __name__ == '__main__':
    app = cyclopts.App(result_action='return_value')
    app.default(main)
    sys.exit(app())
