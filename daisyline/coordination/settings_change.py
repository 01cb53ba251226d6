"""Make one change of the settings, once, whoever races and what is lost."""

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
from daisyline.coordination.settings_endings import (
    Applied,
    Author,
    Clashed,
    Ending,
    Mistaken,
    Pause,
    Resume,
    Unchanged,
)
from daisyline.coordination.settings_intents import (
    base_of,
    intended_tree,
    replaces_all,
    sentence_of,
)
from daisyline.state.failures import Failure, Outcome, Reason
from daisyline.state.settings_check import check_tree
from daisyline.state.settings_edits import (
    Edit,
    apply_edits,
    canonical,
    clashes_of,
    edits_between,
)
from daisyline.state.settings_history import Change, StoredSettings

KIND = 'settings'
NAME = 'tree'
MAX_OBJECT_BYTES = 1_048_576
MAX_ROUNDS = 20
RACE_PAUSE_S = 0.05
FIRST_PAUSE_S = 0.2
MAX_PAUSE_S = 2.0

_NO_ANSWER = 0
_OK = 200
_NOT_FOUND = 404
_CONFLICT = 409
_TOO_LARGE = 413
_FIRST_SERVER_ERROR = 500


@attrs.define
class SettingsChange:
    """One change on its way into the store.

    The platform writes only if the version is still the one that was read,
    so of all writes made from one version at most one takes effect. The
    change's id in the history tells, after a lost answer, whether it was
    this one.
    """

    _intent: Any
    _author: Author
    _give_up_at: float
    _rng: random.Random
    _base_tree: Any = None
    _edits: tuple[Edit, ...] = ()
    # What the last write was made from, and whether that write is awaited
    # now or has an unknown outcome.
    _written_on: StoredSettings | None = None
    _writing: bool = False
    _unsure: bool = False
    _rounds: int = 0
    _pause_s: float = FIRST_PAUSE_S
    ending: Ending | None = None

    @classmethod
    def from_config(
        cls,
        intent: Any,
        author: Author,
        give_up_at: float,
        rng: random.Random,
    ) -> 'SettingsChange':
        """Build a change that gives up on the platform at a time."""
        return cls(intent, author, give_up_at, rng)

    def start(self) -> list[Any]:
        """Return the first effects."""
        self._writing = False
        return [PlatformRead(self._author.change_id, KIND, NAME)]

    @functools.singledispatchmethod
    def handle(self, event: Any, now: float) -> list[Any]:
        """Take an event in and return effects; none once it has ended."""
        raise TypeError(event)

    @handle.register
    def _on_resume(self, event: Resume, now: float) -> list[Any]:
        return self.start()

    @handle.register
    def _on_reply(self, event: PlatformReply, now: float) -> list[Any]:
        assert self.ending is None
        if event.status == _NO_ANSWER or event.status >= _FIRST_SERVER_ERROR:
            return self._after_no_answer(now)
        self._pause_s = FIRST_PAUSE_S
        if self._writing:
            return self._after_write(event)
        return self._after_read(event)

    def _after_no_answer(self, now: float) -> list[Any]:
        """Read again later; a write may have taken effect."""
        self._unsure = self._unsure or self._writing
        if now >= self._give_up_at:
            return self._end(self._platform_down())
        seconds = self._pause_s * (1 + self._rng.random()) / 2
        self._pause_s = min(self._pause_s * 2, MAX_PAUSE_S)
        return [Pause(seconds, 'the platform gives no answer, trying again')]

    def _after_write(self, event: PlatformReply) -> list[Any]:
        if event.status == _OK:
            return self._end(Applied(event.version, self._edits, self._rounds))
        if event.status != _CONFLICT:
            return self._end(self._refused(event.status))
        if self._rounds >= MAX_ROUNDS:
            return self._end(self._outrun())
        seconds = RACE_PAUSE_S * self._rounds * self._rng.random()
        return [Pause(seconds, 'another operator was first, trying again')]

    def _after_read(self, event: PlatformReply) -> list[Any]:
        if event.status == _NOT_FOUND:
            return self._rebase(StoredSettings())
        if event.status != _OK:
            return self._end(self._refused(event.status))
        stored = StoredSettings.from_value(event.version, event.content)
        if isinstance(stored, StoredSettings):
            return self._rebase(stored)
        if replaces_all(self._intent):
            return self._rebase(StoredSettings(event.version))
        return self._end(Mistaken(tuple(stored), stored=True))

    def _rebase(self, stored: StoredSettings) -> list[Any]:
        """Make the change anew from what is in the store now."""
        if stored.has_change(self._author.change_id):
            return self._end(Applied(stored.version, self._edits, self._rounds))
        if self._may_be_forgotten(stored):
            return self._end(self._forgotten(stored.version))
        if not self._is_written_on(stored):
            self._unsure = False
        if self._base_tree is None:
            problem = self._form_edits(stored)
            if problem is not None:
                return self._end(problem)
        theirs = edits_between(self._base_tree, stored.tree)
        clashes = clashes_of(self._edits, theirs)
        if clashes:
            return self._end(Clashed(stored.version, tuple(clashes)))
        return self._write(stored)

    def _form_edits(self, stored: StoredSettings) -> Ending | None:
        """Find what the operator edits; later rounds keep to it."""
        base = base_of(self._intent, stored)
        if isinstance(base, Failure):
            return base
        wanted = intended_tree(self._intent, base)
        if isinstance(wanted, Failure):
            return wanted
        findings = check_tree(wanted)
        if findings:
            return Mistaken(tuple(findings))
        self._base_tree = base
        self._edits = edits_between(base, canonical(wanted))
        return None

    def _write(self, stored: StoredSettings) -> list[Any]:
        tree = apply_edits(stored.tree, self._edits)
        findings = check_tree(tree)
        if findings:
            return self._end(Mistaken(tuple(findings)))
        if tree == stored.tree:
            return self._end(Unchanged(stored.version))
        change = self._change(stored.version, edits_between(stored.tree, tree))
        content = stored.with_change(change).to_value()
        if len(json.dumps(content)) > MAX_OBJECT_BYTES:
            return self._end(self._refused(_TOO_LARGE))
        self._written_on = stored
        self._writing = True
        self._rounds += 1
        token = self._author.change_id
        return [PlatformWrite(token, KIND, NAME, stored.version, content)]

    def _change(self, base: int, edits: tuple[Edit, ...]) -> Change:
        return Change(
            id=self._author.change_id,
            by=self._author.by,
            at=self._author.at,
            what=sentence_of(self._intent, self._edits),
            base=base,
            edits=edits,
        )

    def _may_be_forgotten(self, stored: StoredSettings) -> bool:
        """Return whether the change may have left the history again.

        Whoever wrote on the same version is named there as long as it is
        remembered; if that was another, this change was not written.
        """
        last = self._written_on
        if not self._unsure or last is None or self._is_written_on(stored):
            return False
        return stored.change_from(last.version) is None

    def _is_written_on(self, stored: StoredSettings) -> bool:
        last = self._written_on
        return last is not None and last.version == stored.version

    def _end(self, ending: Ending) -> list[Any]:
        self.ending = ending
        return []

    def _platform_down(self) -> Failure:
        outcome = Outcome.UNKNOWN if self._unsure else Outcome.NOT_RUN
        return Failure(
            Reason.PLATFORM_DOWN, outcome, 'the platform gives no answer'
        )

    def _outrun(self) -> Failure:
        outcome = Outcome.UNKNOWN if self._unsure else Outcome.NOT_RUN
        detail = f'others were first {MAX_ROUNDS} times, try again'
        return Failure(Reason.CONFLICT, outcome, detail)

    def _forgotten(self, version: int) -> Failure:
        detail = (
            'an answer was lost and the history no longer says whether the '
            f'change was made; see config diff against version {version}'
        )
        return Failure(Reason.CONFLICT, Outcome.UNKNOWN, detail)

    def _refused(self, status: int) -> Failure:
        if status == _TOO_LARGE:
            detail = f'the settings are over {MAX_OBJECT_BYTES} bytes'
            return Failure(Reason.TOO_LARGE, detail=detail)
        detail = f'the platform answers {status}'
        return Failure(Reason.BAD_REQUEST, detail=detail)
