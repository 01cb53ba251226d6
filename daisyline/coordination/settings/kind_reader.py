"""Lists one kind of the platform's objects, then watches it for changes."""

import math
from random import Random
from typing import Any

import attrs

from daisyline.coordination.effects import (
    PlatformList,
    PlatformReply,
    PlatformWatch,
)
from daisyline.coordination.jitter import jittered, new_nonce
from daisyline.state.store_time import StoreTime

# A watch that has silently failed is detected only when it should have ended,
# so its length is limited by how soon a change must be in force: a zone has to
# be out of service within 5 s.
WATCH_MS = 3_000
# A healthy platform answers within milliseconds. The time limit is doubled
# after each failed read, up to `MAX_REPLY_GRACE_S`, so that a slow platform can
# still answer.
REPLY_GRACE_S = 0.5
MAX_REPLY_GRACE_S = 1.5
# Reads that fail are repeated at intervals that are a share of the time for
# which they have failed, so that the end of a short outage is noticed soon.
RETRY_MIN_S = 0.3
RETRY_MAX_S = 4.0
RETRY_SHARE = 0.15
_FIRST_WATCH_JITTER_S = 0.1
_RESTART_JITTER_S = 0.05
_MAX_DOUBLINGS = 8
_MS_PER_S = 1000
_OK = 200
_GONE = 410


@attrs.frozen
class ReadObject:
    """An object as a read of the platform returned it.

    Attributes:
        name: The object's name.
        version: The platform's revision at the object's last write.
        content: The object's value; None if the object was deleted.
    """

    name: str
    version: int
    content: Any


@attrs.frozen
class ReadResult:
    """The result of one list or watch of a kind of objects.

    Attributes:
        kind: The kind of the objects.
        revision: The platform's revision at which the result is valid.
        is_complete: Whether the result holds all objects of the kind, as a list
            does; a watch returns only those that changed.
        read_objects: The objects.
        era: The era of the platform's store.
    """

    kind: str
    revision: int
    is_complete: bool
    read_objects: tuple[ReadObject, ...] = ()
    era: int = 0

    @property
    def time(self) -> StoreTime:
        """Return the time at which the result is valid."""
        return StoreTime(self.era, self.revision)

    def time_of(self, read_object: ReadObject) -> StoreTime:
        """Return the time of an object's last write."""
        return StoreTime(self.era, read_object.version)


@attrs.define
class KindReader:
    """Schedules one node's reads of one kind of objects.

    Attributes:
        kind: The kind that is read.
        next_read_at: When the next read is due, in monotonic seconds.
        watch_ms: How long the platform holds a watch open while nothing
            changes, in milliseconds.
        retry_max_s: The longest interval between reads that fail, in seconds.
    """

    kind: str
    _rng: Random
    next_read_at: float
    watch_ms: int = WATCH_MS
    retry_max_s: float = RETRY_MAX_S
    _time: StoreTime = attrs.field(factory=StoreTime)
    _listed: bool = False
    _watching: bool = False
    _probing: bool = False
    _is_reachable: bool = False
    _token: str = ''
    _started_at: float = 0
    _failing_since: float = 0
    _timeout_at: float = float('inf')
    _failures: int = 0
    _last_status: int = 0
    _list_at: float = math.inf

    @property
    def failures(self) -> int:
        """Return the number of consecutive failed reads."""
        return self._failures

    @property
    def is_untried(self) -> bool:
        """Return whether no read has succeeded or failed yet."""
        return not self._listed and not self._failures

    @property
    def last_status(self) -> int:
        """Return the last answer's HTTP status; 0 if the read timed out."""
        return self._last_status

    def next_at(self) -> float:
        """Return when `tick` must be called next, in monotonic seconds."""
        return self._timeout_at if self._token else self.next_read_at

    def watch_soon(self, now: float) -> None:
        """Schedule the next read after a short, jittered delay.

        It resumes from the revision that was read last.
        """
        soon = now + jittered(self._rng, _FIRST_WATCH_JITTER_S)
        self.next_read_at = min(self.next_read_at, soon)

    def list_soon(self, now: float) -> None:
        """Schedule a list as soon as `watch_soon` does a watch."""
        self._listed = self._listed and bool(self._token)
        self.watch_soon(now)

    def list_now(self, now: float) -> None:
        """List at once in place of a watch, which may have silently failed.

        Further tries follow as closely as after a first failure.
        """
        self._failing_since = now
        if self._token and not self._watching:
            return
        self._token = ''
        self._listed = False
        self.next_read_at = now

    def restart(self, now: float) -> None:
        """List again, as the store has come back from an older copy.

        What the awaited answer shows may be from before. A reader that has
        nothing to read now lists when it reads next.
        """
        self._listed = False
        if self._token or not math.isinf(self.next_read_at):
            self._token = ''
            self.next_read_at = now + jittered(self._rng, _RESTART_JITTER_S)

    def list_again(self, at: float) -> None:
        """List again at a time, also if nothing changes until then."""
        self._list_at = min(self._list_at, at)

    def expire(self, now: float) -> bool:
        """Time out a read without an answer; return whether there was one."""
        if not self._token or now < self._timeout_at:
            return False
        self._last_status = 0
        self._schedule_retry(now)
        return True

    def tick(self, now: float, *, watch: bool) -> list[Any]:
        """Return the effect that starts the next read, if one is due.

        Args:
            now: Monotonic seconds.
            watch: Whether to watch for changes, which needs an earlier list.
        """
        if self._token or now < self.next_read_at:
            return []
        nonce = new_nonce(self._rng)
        self._token = f'fleet-{self.kind}-{nonce}'
        self._started_at = now
        if now >= self._list_at:
            self._list_at = math.inf
            self._listed = False
        self._watching = watch and self._listed
        # A stale read costs the platform less, and shows as well whether it
        # answers again.
        self._probing = self._failures > 0 and not self._is_reachable
        grace_s = REPLY_GRACE_S * 2 ** min(self._failures, _MAX_DOUBLINGS)
        self._timeout_at = now + min(MAX_REPLY_GRACE_S, grace_s)
        if not self._watching:
            return [PlatformList(self._token, self.kind, self._probing)]
        wait_ms = int(min(self.watch_ms, (self._list_at - now) * _MS_PER_S))
        self._timeout_at += wait_ms / _MS_PER_S
        return [
            PlatformWatch(self._token, self.kind, self._time.revision, wait_ms)
        ]

    def handle_reply(
        self, reply: PlatformReply, now: float
    ) -> ReadResult | None:
        """Process an answer of the platform.

        Returns:
            The objects read; None if the read failed or the answer belongs to
            another read.
        """
        if reply.token != self._token:
            return None
        self._last_status = reply.status
        if reply.status != _OK:
            self._schedule_retry(now)
            if reply.status == _GONE:
                # The platform works but no longer has the revision to watch
                # from, so the kind is listed again without a delay.
                self._failures = 0
                self.next_read_at = now
            return None
        self._token = ''
        if self._probing:
            self._is_reachable = True
            self.next_read_at = now
            return None
        self._failures = 0
        self._listed = True
        self._time = max(self._time, reply.time)
        self.next_read_at = now
        read_objects = tuple(
            ReadObject(*entry) for entry in reply.content or ()
        )
        return ReadResult(
            self.kind,
            reply.version,
            not self._watching,
            read_objects,
            reply.time.era,
        )

    def _schedule_retry(self, now: float) -> None:
        """Schedule a new list after a jittered delay."""
        self._token = ''
        self._listed = False
        self._is_reachable = False
        if not self._failures:
            self._failing_since = now
        self._failures += 1
        failing_s = now - self._failing_since
        interval_s = max(RETRY_MIN_S, RETRY_SHARE * failing_s)
        wait_s = jittered(self._rng, min(self.retry_max_s, interval_s))
        self.next_read_at = max(now, self._started_at + wait_s)
