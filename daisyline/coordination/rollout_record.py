"""Keep the platform's object of a rollout up to date."""

from random import Random
from typing import Any

import attrs

from daisyline.coordination.effects import (
    PlatformRead,
    PlatformReply,
    PlatformWrite,
)
from daisyline.state.rollout_plan import RolloutPlan
from daisyline.state.rollout_state import RolloutState, fact_name_of

OBJECT_KIND = 'rollouts'
# An answer that has not come after so long counts as lost.
REPLY_TIMEOUT_S = 15.0
FIRST_BACKOFF_S = 0.5
MAX_BACKOFF_S = 30.0
# New judges read at different times, as all may start at once.
FIRST_READ_WITHIN_S = 2.0
# How often a record is read again, in case another fleet wrote it.
RECHECK_S = 200.0

_OK = 200
_NOT_FOUND = 404
_CONFLICT = 409


def content_of(plan: RolloutPlan, standing: RolloutState) -> dict[str, Any]:
    """Return what the platform's object says."""
    return {
        'id': plan.id,
        'old': plan.old,
        'new': plan.new,
        'state': str(standing.stage),
        'step': standing.step,
        'share': standing.share,
        'elapsed_ms': standing.elapsed_ms,
        'why': standing.why,
    }


def standing_from(plan: RolloutPlan, content: Any) -> RolloutState | None:
    """Read a standing of this rollout from the platform's object."""
    if not isinstance(content, dict) or content.get('id') != plan.id:
        return None
    try:
        return RolloutState(
            content['state'],
            int(content['step']),
            float(content['share']),
            int(content['elapsed_ms']),
            str(content['why']),
        )
    except (KeyError, TypeError, ValueError):
        return None


@attrs.define
class Record:
    """Reads, compares and writes one object, again after each failure.

    A write names the version that was read, so two writers can't undo each
    other, and a write whose answer was lost is found by the next read.
    """

    _plan: RolloutPlan
    _rng: Random
    _token: str = ''
    _requests: int = 0
    _synced: tuple[int, int] | None = None
    _due: float = 0
    _failures: int = 0

    @classmethod
    def from_plan(cls, plan: RolloutPlan, rng: Random, now: float) -> 'Record':
        """Build the record of a rollout that was not read yet."""
        return cls(plan, rng, due=now + rng.uniform(0, FIRST_READ_WITHIN_S))

    def next_at(self, standing: RolloutState) -> float:
        """Return when `tick` has something to do."""
        settled = self._synced in {None, standing.progress_key}
        if self._token or self._failures or settled:
            return self._due
        return 0

    def tick(self, standing: RolloutState, now: float) -> list[PlatformRead]:
        """Start with a read if the object may differ from the standing."""
        if now < self.next_at(standing):
            return []
        return [self._read(now)]

    def handle(
        self, reply: PlatformReply, standing: RolloutState, now: float
    ) -> tuple[RolloutState | None, list[Any]]:
        """Go on after an answer.

        Returns:
            A standing of the platform that is ahead of ours, if there is
            one, and what to do next.
        """
        if not self._token or reply.token != self._token:
            return (None, [])
        was_read = reply.token.endswith('read')
        self._token = ''
        if reply.status in {_OK, _NOT_FOUND} and was_read:
            return self._compared(reply, standing, now)
        if reply.status == _OK:
            self._settle(standing, now)
            return (None, [])
        # After a conflict the object differs, so the next tick reads it.
        if reply.status != _CONFLICT:
            self._failures += 1
            self._due = now + self._backoff_s()
        return (None, [])

    def _compared(
        self, reply: PlatformReply, standing: RolloutState, now: float
    ) -> tuple[RolloutState | None, list[Any]]:
        found = standing_from(self._plan, reply.content)
        if found is not None and found.progress_key >= standing.progress_key:
            self._settle(found, now)
            return (
                found if found.progress_key > standing.progress_key else None,
                [],
            )
        self._token = self._next_token('write', now)
        write = PlatformWrite(
            self._token,
            OBJECT_KIND,
            self._plan.service,
            reply.version if reply.status == _OK else 0,
            content_of(self._plan, standing),
        )
        return (None, [write])

    def _settle(self, standing: RolloutState, now: float) -> None:
        self._synced = standing.progress_key
        self._failures = 0
        self._due = now + RECHECK_S

    def _read(self, now: float) -> PlatformRead:
        self._token = self._next_token('read', now)
        return PlatformRead(self._token, OBJECT_KIND, self._plan.service)

    def _next_token(self, verb: str, now: float) -> str:
        self._requests += 1
        self._due = now + REPLY_TIMEOUT_S
        name = fact_name_of(self._plan)
        return f'rollout:{name}:{self._requests}:{verb}'

    def _backoff_s(self) -> float:
        """Return a wait that doubles with each failure, with full jitter."""
        longest = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2**self._failures)
        return self._rng.uniform(FIRST_BACKOFF_S / 2, longest)
