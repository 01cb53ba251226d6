"""Makes the holder's calls that report the usage of written windows."""

import math
from collections.abc import Iterable
from typing import Any

import attrs

from daisyline.coordination.duties.duty_config import DutyConfig, Moment
from daisyline.coordination.duties.duty_events import ReportUsage, UsageReply
from daisyline.coordination.duties.duty_stages import Holding

RETRY_MIN_S = 0.3
RETRY_MAX_S = 2.0
# The client replies to each call earlier than this.
REPLY_TIMEOUT_S = 10.0
_MAX_DOUBLINGS = 6
_SUCCESS = frozenset((200, 201, 202, 204))
_CONFLICT = 409
# The platform does not accept such a call if it is repeated.
_FINAL_STATUSES = frozenset((400, 401, 404, 413, 431))


@attrs.define
class ReportCalls:
    """The calls of one holder, one at a time, the oldest window first.

    Attributes:
        confirmed: Windows that need no further call of this holder.
        reported: The number of reports that the platform has accepted.
        refused: The number of answers that were no acceptance.
    """

    _config: DutyConfig
    _name: str
    confirmed: set[int] = attrs.field(factory=set)
    reported: int = 0
    refused: int = 0
    _call: str = ''
    _window: int = 0
    _count: int = 0
    _started_at: float = -math.inf
    _next_at: float = -math.inf
    _failures: int = 0

    def restart(self, held: Holding) -> None:
        """Begin as a new holder, which repeats all reports in its record."""
        self.confirmed.clear()
        self._call = ''
        self._failures = 0
        wait_s = self._config.first_call_wait_s
        self._next_at = max(self._next_at, held.claimed.now + wait_s)

    def unconfirmed(self, held: Holding) -> list[int]:
        """Return the written windows without an accepted report."""
        return sorted(set(held.record.reports).difference(self.confirmed))

    def next_at(self, held: Holding, at: Moment) -> float:
        """Return when `tick` must be called next, in monotonic seconds."""
        if self._call:
            return self._started_at + REPLY_TIMEOUT_S
        if not self.unconfirmed(held) or not held.lease.is_valid(at):
            return math.inf
        return self._next_at

    def tick(self, held: Holding, at: Moment) -> list[Any]:
        """Return the call that is due, if the lease allows it."""
        if self._call and at.now >= self._started_at + REPLY_TIMEOUT_S:
            self.handle_reply(UsageReply(self._call, 0), at.now)
        if self._call or at.now < self.next_at(held, at):
            return []
        windows = self.unconfirmed(held)
        if not windows or not held.lease.is_valid(at):
            return []
        self._window = windows[0]
        self._count += 1
        token = held.record.token
        self._call = f'duty-report-{token}-{self._count}'
        self._started_at = at.now
        self._next_at = at.now + self._config.call_interval_s
        started = held.lease.started
        assert started is not None, 'a lease without a start is valid'
        return [
            ReportUsage(
                call=self._call,
                holder=self._name,
                token=token,
                window=self._window,
                counts=held.record.reports[self._window],
                expires_at=held.lease.ends_at,
                expires_wall=started.wall + held.lease.duration_s,
            )
        ]

    def handle_reply(self, reply: UsageReply, now: float) -> int | None:
        """Handle an answer; return its window, or None if it is not awaited."""
        if not self._call or reply.call != self._call:
            return None
        self._call = ''
        if reply.status in _SUCCESS or reply.status in _FINAL_STATUSES:
            self.confirmed.add(self._window)
            self._failures = 0
        else:
            doublings = min(self._failures, _MAX_DOUBLINGS)
            pause_s = min(RETRY_MAX_S, RETRY_MIN_S * 2**doublings)
            self._failures += 1
            retry_at = now + max(pause_s, reply.retry_after_s)
            self._next_at = max(self._next_at, retry_at)
        if reply.status in _SUCCESS:
            self.reported += 1
        else:
            self.refused += 1
        return self._window

    def forget(self, windows: Iterable[int]) -> None:
        """Keep only the confirmations of these windows."""
        self.confirmed.intersection_update(windows)


def is_conflict(reply: UsageReply) -> bool:
    """Return whether the platform has seen a higher token."""
    return reply.status == _CONFLICT
