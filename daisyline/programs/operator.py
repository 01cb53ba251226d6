"""Entry point of `daisyline`, the operators' command."""

import os
import sys
from collections.abc import Sequence

import cyclopts

from daisyline.programs import operator_config, operator_fleet
from daisyline.programs.operator_errors import ExitCode, UserError
from daisyline.programs.operator_output import print_line

_HELP = (
    'Operate daisyline. --platform, --nodes, --json, --by and --wait can '
    'also be set by DAISYLINE_PLATFORM and so on. Exit codes: 0 done, '
    '1 failed, 2 wrong usage or invalid settings, 3 conflict with another '
    'operator, 4 platform not available, 5 accepted but not in force on all '
    'nodes in time.'
)


def main() -> None:
    """Run the command line of this process and exit with its code."""
    try:
        sys.exit(run(sys.argv[1:]))
    except KeyboardInterrupt:
        _print_error(
            ('Interrupted. daisyline config history shows what was done.',)
        )
        sys.exit(ExitCode.FAILED)


def run(argv: Sequence[str]) -> int:
    """Run one command and print its errors to stderr.

    Returns:
        The exit code.
    """
    try:
        return _dispatch(argv)
    except UserError as error:
        _print_error(error.lines)
        return error.code
    except BrokenPipeError:
        # The reader closed the pipe; the interpreter flushes stdout at its
        # exit, which would fail again.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
    except Exception as error:
        _print_error((f'internal fault, please report it: {error!r}',))
    return ExitCode.FAILED


def _dispatch(argv: Sequence[str]) -> int:
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
    """Return the application with all commands and their flags."""
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
                (f'{shell}: is not one of bash, zsh, fish',), ExitCode.USAGE
            )
        print_line(app.generate_completion(shell=shell))
        return ExitCode.DONE

    return app


def _print_error(lines: Sequence[str]) -> None:
    for line in lines:
        sys.stderr.write(f'daisyline: {line}\n')


if __name__ == '__main__':
    main()
