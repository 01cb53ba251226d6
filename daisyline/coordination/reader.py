"""Follow one kind of the platform's objects: list it, then watch it."""

from random import Random
from typing import Any

import attrs

from daisyline.coordination.effects import (
    PlatformList,
    PlatformReply,
    PlatformWatch,
)
from daisyline.coordination.jitter import jittered, new_nonce

# A watch that a fault has silenced is found when it should have ended, so the
# bound on a change in force sets how long it may be; a zone is out in 5 s.
WATCH_MS = 3_000
# A store in order answers in milliseconds. One that is slow is given twice as
# long after each read that has failed, up to `MAX_GRACE_S`.
REPLY_GRACE_S = 0.5
MAX_GRACE_S = 3.0
RETRY_MIN_S = 0.1
RETRY_MAX_S = 3.0
_MOST_DOUBLINGS = 8
_MS_PER_S = 1000
_OK = 200
_GONE = 410


@attrs.frozen
class Found:
    """An object that a read has brought.

    Attributes:
        name: The object's name.
        version: The store's revision at its last write.
        content: The object's value; None if it was deleted.
    """

    name: str
    version: int
    content: Any


@attrs.frozen
class Finding:
    """What one answer of the platform says of a kind.

    Attributes:
        kind: The kind.
        revision: The store's revision that the answer holds for.
        whole: Whether these are all the objects of the kind.
        found: The objects, or those that changed.
    """

    kind: str
    revision: int
    whole: bool
    found: tuple[Found, ...] = ()


@attrs.define
class Reader:
    """One node's reads of one kind.

    Attributes:
        kind: The kind that is read.
        next_read_at: When the next read is due, in monotonic seconds.
        watch_ms: How long a watch may hear nothing, in milliseconds.
    """

    kind: str
    _rng: Random
    next_read_at: float
    watch_ms: int = WATCH_MS
    _revision: int = 0
    _listed: bool = False
    _watching: bool = False
    _token: str = ''
    _token_until: float = float('inf')
    _failures: int = 0
    _last_status: int = 0

    @property
    def failures(self) -> int:
        """Return how many reads have failed one after the other."""
        return self._failures

    @property
    def is_fresh(self) -> bool:
        """Return whether nothing was ever read or tried."""
        return not self._listed and not self._failures

    @property
    def last_status(self) -> int:
        """Return the status of the last answer; 0 if none came."""
        return self._last_status

    def next_at(self) -> float:
        """Return when `tick` must be called next."""
        return self._token_until if self._token else self.next_read_at

    def watch_soon(self, now: float) -> None:
        """Read on within a moment, from what was read last."""
        soon = now + jittered(self._rng, RETRY_MIN_S)
        self.next_read_at = min(self.next_read_at, soon)

    def expire(self, now: float) -> bool:
        """Give up a read that has stayed silent; return whether one was."""
        if not self._token or now < self._token_until:
            return False
        self._last_status = 0
        self._failed(now)
        return True

    def tick(self, now: float, *, watch: bool) -> list[Any]:
        """Return the read that is due."""
        if self._token or now < self.next_read_at:
            return []
        nonce = new_nonce(self._rng)
        self._token = f'fleet-{self.kind}-{nonce}'
        self._watching = watch and self._listed
        grace_s = REPLY_GRACE_S * 2 ** min(self._failures, _MOST_DOUBLINGS)
        self._token_until = now + min(MAX_GRACE_S, grace_s)
        if not self._watching:
            return [PlatformList(self._token, self.kind)]
        self._token_until += self.watch_ms / _MS_PER_S
        return [
            PlatformWatch(self._token, self.kind, self._revision, self.watch_ms)
        ]

    def replied(self, reply: PlatformReply, now: float) -> Finding | None:
        """Take the platform's answer; None if it says nothing."""
        if reply.token != self._token:
            return None
        self._last_status = reply.status
        if reply.status != _OK:
            self._failed(now)
            if reply.status == _GONE:
                # The store lives, only its history is gone.
                self._failures = 0
                self.next_read_at = now
            return None
        self._token = ''
        self._failures = 0
        self._listed = True
        self._revision = max(self._revision, reply.version)
        self.next_read_at = now
        found = tuple(Found(*entry) for entry in reply.content or ())
        return Finding(self.kind, reply.version, not self._watching, found)

    def _failed(self, now: float) -> None:
        """List again later, the later the more often reads have failed."""
        self._token = ''
        self._listed = False
        self._failures += 1
        doubled = RETRY_MIN_S * 2 ** min(self._failures, _MOST_DOUBLINGS)
        wait_s = jittered(self._rng, min(RETRY_MAX_S, doubled))
        self.next_read_at = now + wait_s
