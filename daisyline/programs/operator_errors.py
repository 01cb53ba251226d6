"""The error that the operators' command reports, and its exit codes."""

import enum
import functools
from collections.abc import Iterable
from typing import Any

import attrs

from daisyline.coordination.settings.settings_results import (
    Conflicted,
    InvalidTree,
)
from daisyline.state.failures import Failure, Finding, Outcome, Reason
from daisyline.state.settings_edits import ABSENT, Edit
from daisyline.state.settings_rules import format_value


class ExitCode(enum.IntEnum):
    """The exit codes of the operators' command."""

    DONE = 0
    FAILED = 1
    USAGE = 2
    CONFLICT = 3
    PLATFORM_DOWN = 4
    NOT_IN_FORCE = 5


@attrs.frozen
class UserError(Exception):
    """An error that is reported to the operator.

    Attributes:
        lines: What failed and what the operator can do.
        code: The command's exit code.
    """

    lines: tuple[str, ...]
    code: ExitCode = ExitCode.FAILED


def usage_error(line: str) -> UserError:
    """Return the error for a command line that is not valid."""
    return UserError((line,), ExitCode.USAGE)


def findings_error(findings: Iterable[Finding]) -> UserError:
    """Return the error that lists all findings."""
    lines = tuple(str(finding) for finding in findings)
    return UserError(lines, ExitCode.USAGE)


_NO_ERROR: UserError | None = None


@functools.singledispatch
def error_from_result(result: Any) -> UserError | None:
    """Return the error of a change that was not made, otherwise None."""
    return _NO_ERROR


@error_from_result.register
def _error_from_failure(result: Failure) -> UserError:
    codes = {
        Reason.PLATFORM_DOWN: ExitCode.PLATFORM_DOWN,
        Reason.CONFLICT: ExitCode.CONFLICT,
        Reason.NOT_FOUND: ExitCode.USAGE,
    }
    lines = [result.detail or str(result.reason)]
    if result.outcome is Outcome.UNKNOWN:
        lines.append(
            'It is not known whether the change was made; '
            'see daisyline config history.'
        )
    else:
        lines.append('Nothing was changed.')
    return UserError(tuple(lines), codes.get(result.reason, ExitCode.FAILED))


@error_from_result.register
def _error_from_invalid_tree(result: InvalidTree) -> UserError:
    lines = [str(finding) for finding in result.findings]
    if result.stored:
        lines.append(
            'The stored settings are not valid; replace them by a checked '
            'tree with config apply --whole FILE.'
        )
    lines.append('Nothing was changed.')
    return UserError(tuple(lines), ExitCode.USAGE)


@error_from_result.register
def _error_from_conflict(result: Conflicted) -> UserError:
    lines = [f'Another operator made version {result.version}.']
    for conflict in result.conflicts:
        lines.append(_format_side('yours', conflict.ours))
        lines.append(_format_side('in force', conflict.theirs))
    lines.append('Nothing was changed. Take a new copy by config show.')
    return UserError(tuple(lines), ExitCode.CONFLICT)


def _format_side(whose: str, edit: Edit) -> str:
    content = 'nothing' if edit.new is ABSENT else format_value(edit.new)
    return f'{edit.name}: {whose} {content}'
