"""Keeps the platform's object of a rollout up to date."""

import math
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
# A reply that has not arrived after this time counts as lost.
REPLY_TIMEOUT_S = 15.0
FIRST_BACKOFF_S = 0.5
MAX_BACKOFF_S = 30.0
# The first read is delayed at random, as all judges may start at once.
MAX_FIRST_READ_DELAY_S = 2.0
# The object is read again this often, in case another fleet has written it.
RECHECK_INTERVAL_S = 200.0
# After the store has come back from a copy, a write of before may still be
# carried out late, so the object is read again soon.
LATE_WRITE_S = 5.0
# So long operators may take to write an order again that the copy lacks; until
# then failed writes are repeated at least once in a second.
REWRITE_WINDOW_S = 15.0
MAX_REWRITE_BACKOFF_S = 1.0

_OK = 200
_NOT_FOUND = 404
_CONFLICT = 409


def object_content(plan: RolloutPlan, state: RolloutState) -> dict[str, Any]:
    """Return the content of the platform's object for a state."""
    return {
        'id': plan.id,
        'old': plan.old,
        'new': plan.new,
        'state': str(state.stage),
        'step': state.step,
        'share': state.share,
        'elapsed_ms': state.elapsed_ms,
        'why': state.why,
    }


def state_from_content(plan: RolloutPlan, content: Any) -> RolloutState | None:
    """Read a state of this rollout from the content of an object.

    Returns:
        The state, or None if the content is malformed or of another rollout.
    """
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
class RolloutRecordSync:
    """Reads, compares and writes the platform's object of one rollout.

    Requests that fail are repeated. A write succeeds only if the object still
    has the version that was read, so two writers can't undo each other's
    changes. If the reply to a write is lost, the next read finds what was
    written.
    """

    _plan: RolloutPlan
    _rng: Random
    _token: str = ''
    _requests: int = 0
    _synced_key: tuple[int, int] | None = None
    _due_at: float = 0
    _failures: int = 0
    _returned_at: float = -math.inf
    _must_recheck: bool = False

    @classmethod
    def from_plan(
        cls, plan: RolloutPlan, rng: Random, now: float
    ) -> 'RolloutRecordSync':
        """Build the sync of a rollout whose object has not been read yet."""
        return cls(
            plan, rng, due_at=now + rng.uniform(0, MAX_FIRST_READ_DELAY_S)
        )

    def next_at(self, state: RolloutState) -> float:
        """Return when `tick` has to run next, in monotonic seconds."""
        is_synced = self._synced_key in {None, state.progress_key}
        if self._token or self._failures or is_synced:
            return self._due_at
        return 0

    def restart(self, plan: RolloutPlan, now: float) -> None:
        """Read the object again, as the store has come back from a copy.

        Args:
            plan: The plan, whose id may have changed with its order.
            now: Monotonic seconds.
        """
        self._plan = plan
        self._token = ''
        self._synced_key = None
        self._failures = 0
        self._returned_at = now
        self._must_recheck = True
        self._due_at = now + self._rng.uniform(0, FIRST_BACKOFF_S)

    def tick(self, state: RolloutState, now: float) -> list[PlatformRead]:
        """Start a read if one is due, and return it as an effect.

        A read is due at once if the state has changed since the last sync.
        """
        if now < self.next_at(state):
            return []
        return [self._start_read(now)]

    def handle(
        self, reply: PlatformReply, state: RolloutState, now: float
    ) -> tuple[RolloutState | None, list[Any]]:
        """Handle the platform's reply; others than the awaited are ignored.

        Returns:
            The state in the object if it is ahead of ours, otherwise None,
            and the effects to carry out.
        """
        if not self._token or reply.token != self._token:
            return (None, [])
        is_read_reply = reply.token.endswith('read')
        self._token = ''
        if reply.status in {_OK, _NOT_FOUND} and is_read_reply:
            return self._handle_read(reply, state, now)
        if reply.status == _OK:
            self._mark_synced(state, now)
            return (None, [])
        # No backoff after a conflict: the object has changed and is read again.
        if reply.status == _CONFLICT:
            self._due_at = now + self._rng.uniform(0, FIRST_BACKOFF_S)
        else:
            self._failures += 1
            self._due_at = now + self._backoff_s(now)
        return (None, [])

    def _handle_read(
        self, reply: PlatformReply, state: RolloutState, now: float
    ) -> tuple[RolloutState | None, list[Any]]:
        stored = state_from_content(self._plan, reply.content)
        if stored is not None and stored.progress_key >= state.progress_key:
            self._mark_synced(stored, now)
            return (
                stored if stored.progress_key > state.progress_key else None,
                [],
            )
        self._token = self._next_token('write', now)
        write = PlatformWrite(
            self._token,
            OBJECT_KIND,
            self._plan.service,
            reply.version if reply.status == _OK else 0,
            object_content(self._plan, state),
        )
        return (None, [write])

    def _mark_synced(self, state: RolloutState, now: float) -> None:
        self._synced_key = state.progress_key
        self._failures = 0
        recheck_s = LATE_WRITE_S if self._must_recheck else RECHECK_INTERVAL_S
        self._must_recheck = False
        self._due_at = now + recheck_s

    def _start_read(self, now: float) -> PlatformRead:
        self._token = self._next_token('read', now)
        return PlatformRead(self._token, OBJECT_KIND, self._plan.service)

    def _next_token(self, action: str, now: float) -> str:
        self._requests += 1
        self._due_at = now + REPLY_TIMEOUT_S
        name = fact_name_of(self._plan)
        return f'rollout:{name}:{self._requests}:{action}'

    def _backoff_s(self, now: float) -> float:
        """Return a random delay in seconds; its limit doubles on failure."""
        is_rewriting = now < self._returned_at + REWRITE_WINDOW_S
        longest_s = MAX_REWRITE_BACKOFF_S if is_rewriting else MAX_BACKOFF_S
        max_wait_s = min(longest_s, FIRST_BACKOFF_S * 2**self._failures)
        return self._rng.uniform(FIRST_BACKOFF_S / 2, max_wait_s)
