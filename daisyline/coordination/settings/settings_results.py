"""Effects, events and outcomes of a change of the settings."""

import attrs

from daisyline.state.failures import Failure, Finding
from daisyline.state.settings_edits import Edit, EditConflict


@attrs.frozen
class Pause:
    """Effect: wait, then pass `Resume` to the change.

    Attributes:
        seconds: How long to wait.
        why: The reason, as one sentence for operators.
    """

    seconds: float
    why: str = ''


@attrs.frozen
class Resume:
    """Event: the pause is over."""


@attrs.frozen
class Author:
    """Who requests a change.

    Attributes:
        change_id: A unique id of the change.
        by: The operator.
        at: The time of the request, in UTC and ISO 8601 form.
    """

    change_id: str
    by: str
    at: str


@attrs.frozen
class Applied:
    """The change was written to the platform.

    Attributes:
        version: A version of the settings that contains the change.
        edits: The edits that were made.
        write_count: How many writes were tried.
    """

    version: int
    edits: tuple[Edit, ...]
    write_count: int


@attrs.frozen
class Unchanged:
    """The settings already had the requested values; nothing was written."""

    version: int


@attrs.frozen
class Conflicted:
    """Another operator changed the same places; nothing was written.

    Attributes:
        version: The version in force.
        clashes: The two conflicting edits of each place.
    """

    version: int
    conflicts: tuple[EditConflict, ...]


@attrs.frozen
class InvalidTree:
    """A settings tree is invalid; nothing was written.

    Attributes:
        findings: Every mistake in it.
        stored: Whether it is the stored tree, not the requested one.
    """

    findings: tuple[Finding, ...]
    stored: bool = False


ChangeResult = Applied | Unchanged | Conflicted | InvalidTree | Failure
