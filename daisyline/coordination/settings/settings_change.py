"""Makes one change of the settings exactly once, despite races and losses."""

import functools
import json
import random
from typing import Any

import attrs

from daisyline.coordination.effects import (
    PlatformRead,
    PlatformReply,
    PlatformWrite,
)
from daisyline.coordination.settings.settings_intents import (
    base_tree_of,
    describe_change,
    intended_tree,
    replaces_stored_tree,
)
from daisyline.coordination.settings.settings_results import (
    Applied,
    Author,
    ChangeResult,
    Conflicted,
    InvalidTree,
    Pause,
    Resume,
    Unchanged,
)
from daisyline.state.failures import Failure, Outcome, Reason
from daisyline.state.settings_check import check_tree
from daisyline.state.settings_edits import (
    Edit,
    apply_edits,
    canonical,
    edit_conflicts,
    edits_between,
)
from daisyline.state.settings_history import Change, StoredSettings

SETTINGS_KIND = 'settings'
SETTINGS_NAME = 'tree'
MAX_OBJECT_BYTES = 1_048_576
MAX_WRITES = 20
CONFLICT_PAUSE_S = 0.05
MIN_RETRY_PAUSE_S = 0.2
MAX_RETRY_PAUSE_S = 2.0

_NO_ANSWER = 0
_OK = 200
_NOT_FOUND = 404
_CONFLICT = 409
_TOO_LARGE = 413
_FIRST_SERVER_ERROR = 500


@attrs.define
class SettingsChange:
    """One change of the settings while it is written to the platform.

    The platform accepts a write only if the object still has the version that
    was read, so at most one of the writes based on a version takes effect.
    After a lost answer, the change's id in the history shows whether it was
    this change.
    """

    _intent: Any
    _author: Author
    _give_up_at: float
    _rng: random.Random
    _base_tree: Any = None
    _edits: tuple[Edit, ...] = ()
    # The settings that the last write was based on, whether its answer is
    # still awaited, and whether it may have taken effect without an answer.
    _last_write_base: StoredSettings | None = None
    _awaiting_write: bool = False
    _write_may_have_applied: bool = False
    _write_count: int = 0
    _retry_pause_s: float = MIN_RETRY_PAUSE_S
    result: ChangeResult | None = None

    @classmethod
    def from_config(
        cls,
        intent: Any,
        author: Author,
        give_up_at: float,
        rng: random.Random,
    ) -> 'SettingsChange':
        """Build a change.

        Args:
            intent: What the operator asks for.
            author: Who asks.
            give_up_at: When to stop retrying while the platform gives no
                answer, in monotonic seconds.
            rng: The source of jitter.
        """
        return cls(intent, author, give_up_at, rng)

    def start(self) -> list[Any]:
        """Return the effects that start the change, or start it again."""
        self._awaiting_write = False
        return [
            PlatformRead(self._author.change_id, SETTINGS_KIND, SETTINGS_NAME)
        ]

    @functools.singledispatchmethod
    def handle(self, event: Any, now: float) -> list[Any]:
        """Process an event; return the next effects, or none at the end.

        Raises:
            TypeError: If the event is of another kind.
        """
        raise TypeError(event)

    @handle.register
    def _on_resume(self, event: Resume, now: float) -> list[Any]:
        return self.start()

    @handle.register
    def _on_reply(self, event: PlatformReply, now: float) -> list[Any]:
        assert self.result is None
        if event.status == _NO_ANSWER or event.status >= _FIRST_SERVER_ERROR:
            return self._after_no_answer(now)
        self._retry_pause_s = MIN_RETRY_PAUSE_S
        if self._awaiting_write:
            return self._after_write(event)
        return self._after_read(event)

    def _after_no_answer(self, now: float) -> list[Any]:
        """Read again after a pause; a write may have taken effect."""
        self._write_may_have_applied = (
            self._write_may_have_applied or self._awaiting_write
        )
        if now >= self._give_up_at:
            return self._finish(self._platform_down())
        seconds = self._retry_pause_s * (1 + self._rng.random()) / 2
        self._retry_pause_s = min(self._retry_pause_s * 2, MAX_RETRY_PAUSE_S)
        return [Pause(seconds, 'the platform gives no answer; trying again')]

    def _after_write(self, event: PlatformReply) -> list[Any]:
        if event.status == _OK:
            return self._finish(
                Applied(event.version, self._edits, self._write_count)
            )
        if event.status != _CONFLICT:
            return self._finish(self._rejected(event.status))
        if self._write_count >= MAX_WRITES:
            return self._finish(self._too_many_conflicts())
        seconds = CONFLICT_PAUSE_S * self._write_count * self._rng.random()
        return [
            Pause(seconds, 'another operator changed the settings; retrying')
        ]

    def _after_read(self, event: PlatformReply) -> list[Any]:
        if event.status == _NOT_FOUND:
            return self._rebase(StoredSettings())
        if event.status != _OK:
            return self._finish(self._rejected(event.status))
        stored = StoredSettings.from_value(event.version, event.content)
        if isinstance(stored, StoredSettings):
            return self._rebase(stored)
        if replaces_stored_tree(self._intent):
            return self._rebase(StoredSettings(event.version))
        return self._finish(InvalidTree(tuple(stored), stored=True))

    def _rebase(self, stored: StoredSettings) -> list[Any]:
        """Apply the change to the settings that the platform holds now."""
        if stored.has_change(self._author.change_id):
            return self._finish(
                Applied(stored.version, self._edits, self._write_count)
            )
        if self._may_have_left_history(stored):
            return self._finish(self._outcome_unknown(stored.version))
        if not self._is_last_write_base(stored):
            self._write_may_have_applied = False
        if self._base_tree is None:
            problem = self._derive_edits(stored)
            if problem is not None:
                return self._finish(problem)
        other_edits = edits_between(self._base_tree, stored.tree)
        conflicts = edit_conflicts(self._edits, other_edits)
        if conflicts:
            return self._finish(Conflicted(stored.version, tuple(conflicts)))
        return self._write(stored)

    def _derive_edits(self, stored: StoredSettings) -> ChangeResult | None:
        """Determine the edits from the first read; later reads keep them."""
        base = base_tree_of(self._intent, stored)
        if isinstance(base, Failure):
            return base
        wanted = intended_tree(self._intent, base)
        if isinstance(wanted, Failure):
            return wanted
        findings = check_tree(wanted)
        if findings:
            return InvalidTree(tuple(findings))
        self._base_tree = base
        self._edits = edits_between(base, canonical(wanted))
        return None

    def _write(self, stored: StoredSettings) -> list[Any]:
        tree = apply_edits(stored.tree, self._edits)
        findings = check_tree(tree)
        if findings:
            return self._finish(InvalidTree(tuple(findings)))
        if tree == stored.tree:
            return self._finish(Unchanged(stored.version))
        change = self._change(stored.version, edits_between(stored.tree, tree))
        content = stored.with_change(change).to_value()
        if len(json.dumps(content)) > MAX_OBJECT_BYTES:
            return self._finish(self._rejected(_TOO_LARGE))
        self._last_write_base = stored
        self._awaiting_write = True
        self._write_count += 1
        token = self._author.change_id
        return [
            PlatformWrite(
                token, SETTINGS_KIND, SETTINGS_NAME, stored.version, content
            )
        ]

    def _change(self, base: int, edits: tuple[Edit, ...]) -> Change:
        return Change(
            id=self._author.change_id,
            by=self._author.by,
            at=self._author.at,
            what=describe_change(self._intent, self._edits),
            base=base,
            edits=edits,
        )

    def _may_have_left_history(self, stored: StoredSettings) -> bool:
        """Return whether the change may have been made and left the history.

        The history names the change that was based on the same version. If
        that is another change, this one was not written; if it is no longer
        in the history, this is unknown.
        """
        last = self._last_write_base
        if (
            not self._write_may_have_applied
            or last is None
            or self._is_last_write_base(stored)
        ):
            return False
        return stored.change_based_on(last.version) is None

    def _is_last_write_base(self, stored: StoredSettings) -> bool:
        last = self._last_write_base
        return last is not None and last.version == stored.version

    def _finish(self, result: ChangeResult) -> list[Any]:
        self.result = result
        return []

    def _platform_down(self) -> Failure:
        outcome = (
            Outcome.UNKNOWN if self._write_may_have_applied else Outcome.NOT_RUN
        )
        return Failure(
            Reason.PLATFORM_DOWN, outcome, 'the platform gives no answer'
        )

    def _too_many_conflicts(self) -> Failure:
        outcome = (
            Outcome.UNKNOWN if self._write_may_have_applied else Outcome.NOT_RUN
        )
        detail = (
            f'other operators changed the settings {MAX_WRITES} times at '
            'the same time; try again'
        )
        return Failure(Reason.CONFLICT, outcome, detail)

    def _outcome_unknown(self, version: int) -> Failure:
        detail = (
            'an answer was lost and the history no longer shows whether the '
            f'change was made; see config diff against version {version}'
        )
        return Failure(Reason.CONFLICT, Outcome.UNKNOWN, detail)

    def _rejected(self, status: int) -> Failure:
        if status == _TOO_LARGE:
            detail = f'the settings are larger than {MAX_OBJECT_BYTES} bytes'
            return Failure(Reason.TOO_LARGE, detail=detail)
        detail = f'the platform answered with status {status}'
        return Failure(Reason.BAD_REQUEST, detail=detail)
