"""The one call on the platform's store that a duty has outstanding."""

import math

import attrs

from daisyline.coordination.duties.duty_config import Moment
from daisyline.coordination.duties.duty_record import (
    OBJECT_KIND,
    USAGE_DUTY,
    DutyRecord,
)
from daisyline.coordination.effects import (
    PlatformRead,
    PlatformReply,
    PlatformWrite,
)

OK = 200
NOT_FOUND = 404
CONFLICT = 409
# The client replies to each call earlier than this; it guards against a lost
# reply only.
REPLY_TIMEOUT_S = 10.0
RETRY_MIN_S = 0.25
RETRY_MAX_S = 4.0
_MAX_DOUBLINGS = 10


@attrs.define
class DutyStore:
    """Starts reads and writes of the duty's object, one at a time.

    Attributes:
        is_write: Whether the call that was started last is a write.
        started: When that call was started.
        calls: The number of calls so far.
    """

    _prefix: str
    is_write: bool = False
    started: Moment = attrs.field(factory=lambda: Moment(0, 0))
    calls: int = 0
    _token: str = ''
    _failures: int = 0
    _retry_at: float = -math.inf

    @property
    def is_busy(self) -> bool:
        """Return whether a reply is awaited."""
        return bool(self._token)

    def next_at(self) -> float:
        """Return when the next call may start, or the awaited reply is lost."""
        if self._token:
            return self.started.now + REPLY_TIMEOUT_S
        return self._retry_at

    def read(self, at: Moment) -> PlatformRead:
        """Start a read of the object."""
        return PlatformRead(
            self._start(at, is_write=False), OBJECT_KIND, USAGE_DUTY
        )

    def write(
        self, revision: int, record: DutyRecord, at: Moment
    ) -> PlatformWrite:
        """Start a write on condition that the object has a revision."""
        return PlatformWrite(
            self._start(at, is_write=True),
            OBJECT_KIND,
            USAGE_DUTY,
            revision,
            record.to_content(),
        )

    def take(self, reply: PlatformReply, now: float) -> bool:
        """Return whether a reply is the awaited one; it is no longer then.

        After a failure no call is started for a while.
        """
        if not self._token or reply.token != self._token:
            return False
        self._token = ''
        if reply.status in {OK, NOT_FOUND, CONFLICT}:
            self._failures = 0
            self._retry_at = -math.inf
        else:
            doublings = min(self._failures, _MAX_DOUBLINGS)
            pause_s = min(RETRY_MAX_S, RETRY_MIN_S * 2**doublings)
            self._failures += 1
            self._retry_at = now + pause_s
        return True

    def drop(self) -> None:
        """Await no reply any more; one that still comes is ignored."""
        self._token = ''

    def interrupt(self) -> None:
        """Treat the awaited reply as lost, as the process was suspended.

        The start of a call before the suspension begins no lease.
        """
        self.started = attrs.evolve(self.started, now=-math.inf)

    def lost_reply(self, now: float) -> PlatformReply | None:
        """Return the reply that stands for one that is overdue, or None."""
        if not self._token or now < self.next_at():
            return None
        return PlatformReply(self._token, 0)

    def _start(self, at: Moment, *, is_write: bool) -> str:
        assert not self._token, 'two calls of a duty on the store'
        self.calls += 1
        self.started = at
        self.is_write = is_write
        self._token = f'{self._prefix}{self.calls}'
        return self._token
