"""What a change of the settings waits for, and how it may end."""

import attrs

from daisyline.state.failures import Failure, Finding
from daisyline.state.settings_edits import Clash, Edit


@attrs.frozen
class Pause:
    """Wait, then hand in `Resume`.

    Attributes:
        seconds: How long.
        why: One sentence for people.
    """

    seconds: float
    why: str = ''


@attrs.frozen
class Resume:
    """Say that a pause is over."""


@attrs.frozen
class Author:
    """Who asks for a change.

    Attributes:
        change_id: Names the change; unique.
        by: The operator.
        at: The time of the request, in UTC and ISO form.
    """

    change_id: str
    by: str
    at: str


@attrs.frozen
class Applied:
    """The change is in the store.

    Attributes:
        version: A version that holds it.
        edits: What was edited.
        rounds: How many writes were tried.
    """

    version: int
    edits: tuple[Edit, ...]
    rounds: int


@attrs.frozen
class Unchanged:
    """The settings were as wanted already, nothing was written."""

    version: int


@attrs.frozen
class Clashed:
    """Another operator changed the same places; nothing was written.

    Attributes:
        version: The version in force.
        clashes: Both edits of each place.
    """

    version: int
    clashes: tuple[Clash, ...]


@attrs.frozen
class Mistaken:
    """The tree has mistakes; nothing was written.

    Attributes:
        findings: Every mistake.
        stored: Whether they are in the settings that are in force.
    """

    findings: tuple[Finding, ...]
    stored: bool = False


Ending = Applied | Unchanged | Clashed | Mistaken | Failure
