"""Counts the calls that begin to run at the target beside a node."""

import math

import attrs

from daisyline.coordination.duties.duty_config import (
    MAX_OPEN_WINDOWS,
    DutyConfig,
    Moment,
)
from daisyline.coordination.duties.duty_record import DutyNotice
from daisyline.coordination.duties.usage_messages import UsageCounts

# A killed node loses the counts of this time.
SEND_INTERVAL_S = 1.0
# Final counts are sent again after this time, as their stream may have been
# lost.
RESEND_INTERVAL_S = 2.5
# Bounds the size of a message; the other windows follow in the next ones.
MAX_WINDOWS_PER_MESSAGE = 16
# Nodes do not send at the same time.
MAX_PHASE_S = 0.1


@attrs.define
class UsageCounters:
    """The totals of each customer and window that are not written yet.

    Attributes:
        dropped: The number of calls whose windows were dropped unwritten.
    """

    _config: DutyConfig
    _start: int
    _phase_s: float = 0
    _totals: dict[int, dict[str, int]] = attrs.field(factory=dict)
    _running: dict[str, tuple[int, str]] = attrs.field(factory=dict)
    _written: int = 0
    _sequence: int = 0
    _has_changed: bool = False
    _sent_final: int = 0
    _next_send_at: float = -math.inf
    _resend_at: float = math.inf
    dropped: int = 0

    def record_start(self, call: str, customer: str, at: Moment) -> None:
        """Count a call that is passed to the target.

        A window that is written already does not change any more, so after a
        step back of the clock the call counts in the next one.
        """
        window = max(self._config.window_of(at.wall), self._written + 1)
        counts = self._totals.setdefault(window, {})
        counts[customer] = counts.get(customer, 0) + 1
        self._running[call] = (window, customer)
        if not self._has_changed:
            self._has_changed = True
            send_at = at.now + SEND_INTERVAL_S
            self._next_send_at = min(self._next_send_at, send_at)

    def record_declined(self, call: str) -> None:
        """Take back a call that the target did not execute."""
        window, customer = self._running.pop(call, (0, ''))
        counts = self._totals.get(window, {})
        if counts.get(customer, 0):
            counts[customer] -= 1
            self._has_changed = True

    def record_end(self, call: str) -> None:
        """Forget a call that has ended; it stays counted."""
        self._running.pop(call, None)

    def drop_written(self, newest: int) -> None:
        """Drop the windows whose reports are written."""
        self._written = max(self._written, newest)
        self._totals = {
            window: counts
            for window, counts in self._totals.items()
            if window > newest
        }

    def send_now(self, now: float) -> None:
        """Send all counts soon, as the holder has changed."""
        self._sent_final = 0
        self._has_changed = True
        self._next_send_at = now + self._phase_s

    def next_at(self) -> float:
        """Return when counts have to be sent, in monotonic seconds."""
        return self._next_send_at

    def message(
        self, notice: DutyNotice, at: Moment, *, is_leaving: bool = False
    ) -> UsageCounts | None:
        """Return the message that is due to the holder, or None.

        Args:
            notice: The holder.
            at: The present time.
            is_leaving: Whether this is the last message of the process.
        """
        final = self._final_before(at)
        is_unconfirmed = final > self._written + 1 and at.now >= self._resend_at
        is_due = (
            is_leaving
            or self._has_changed
            or final > self._sent_final
            or is_unconfirmed
        )
        self._drop_oldest(final - MAX_OPEN_WINDOWS)
        self._schedule(at)
        if not is_due:
            return None
        self._has_changed = False
        self._sequence += 1
        windows = sorted(self._totals)[:MAX_WINDOWS_PER_MESSAGE]
        if len(windows) < len(self._totals):
            final = min(final, windows[-1] + 1)
            self._has_changed = True
        if is_leaving:
            final = self._config.window_of(at.wall) + 1
        self._sent_final = final
        self._resend_at = at.now + RESEND_INTERVAL_S
        return UsageCounts(
            start=self._start,
            token=notice.token,
            sequence=self._sequence,
            final_before=final,
            windows=tuple(
                (window, tuple(self._totals[window].items()))
                for window in windows
            ),
        )

    def _final_before(self, at: Moment) -> int:
        """Return the first window whose counts may still change."""
        return self._config.window_of(at.wall - self._config.settle_s)

    def _schedule(self, at: Moment) -> None:
        """Schedule the next message: after a change or a window's end."""
        final_at = at.monotonic_of(
            self._config.end_of(self._final_before(at)) + self._config.settle_s
        )
        self._next_send_at = min(
            max(at.now, final_at) + self._phase_s, at.now + SEND_INTERVAL_S
        )

    def _drop_oldest(self, first: int) -> None:
        """Drop the windows before the first one that is still reported."""
        dropped = [window for window in self._totals if window < first]
        for number in dropped:
            self.dropped += sum(self._totals.pop(number).values())
