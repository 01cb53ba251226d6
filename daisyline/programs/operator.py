"""The operators' command: flags in, calls of the core, text out."""

import os
import sys
from collections.abc import Sequence

import cyclopts

from daisyline.programs import operator_config, operator_fleet
from daisyline.programs.operator_errors import ExitCode, UserError
from daisyline.programs.operator_output import print_line

_HELP = (
    'Operate daisyline. --platform, --nodes, --json, --by and --wait are also '
    'read from DAISYLINE_PLATFORM and so on. Exit codes: 0 done, 1 failed, '
    '2 usage or mistakes in settings, 3 conflict with another operator, '
    '4 platform down, 5 accepted but not in force everywhere in time.'
)


def main() -> None:
    """Run the command of this process and end with its exit code."""
    try:
        sys.exit(run(sys.argv[1:]))
    except KeyboardInterrupt:
        _complain(('Stopped. See daisyline config history for what was done.',))
        sys.exit(ExitCode.FAILED)


def run(argv: Sequence[str]) -> int:
    """Run one command.

    Returns:
        The exit code; whatever went wrong was printed on stderr.
    """
    try:
        return _dispatched(argv)
    except UserError as error:
        _complain(error.lines)
        return error.code
    except BrokenPipeError:
        # The reader of a pipe has gone; the interpreter flushes at its end.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
    except Exception as error:
        _complain((f'a fault of daisyline itself, please report: {error!r}',))
    return ExitCode.FAILED


def _dispatched(argv: Sequence[str]) -> int:
    try:
        code = command_line()(
            list(argv), exit_on_error=False, print_error=False
        )
    except cyclopts.CycloptsError as error:
        raise UserError(
            (str(error), 'See daisyline --help.'), ExitCode.USAGE
        ) from None
    return code if isinstance(code, int) else ExitCode.DONE


def command_line() -> cyclopts.App:
    """Return the commands with their flags."""
    app = cyclopts.App(
        name='daisyline',
        help=_HELP,
        version_flags=[],
        result_action='return_value',
        suppress_keyboard_interrupt=False,
    )
    for group in ('config', 'zone', 'rollout'):
        app.command(getattr(operator_config, group))
    for command in ('status', 'explain', 'top'):
        app.command(getattr(operator_fleet, command))

    @app.command
    def completion(shell: str = 'bash', /) -> int:
        """Print the completion script for bash, zsh or fish."""
        if shell not in {'bash', 'zsh', 'fish'}:
            raise UserError(
                (f'{shell}: is none of bash, zsh, fish',), ExitCode.USAGE
            )
        print_line(app.generate_completion(shell=shell))
        return ExitCode.DONE

    return app


def _complain(lines: Sequence[str]) -> None:
    for line in lines:
        sys.stderr.write(f'daisyline: {line}\n')


if __name__ == '__main__':
    main()
