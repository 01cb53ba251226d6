"""Limits on the rate at which calls start at a target."""

import math

import attrs

from daisyline.coordination.admission.rate_limit import RateLimit

# The starts that may follow each other at once after a time without any, as the
# time in which the rate allows as many, in seconds.
BURST_S = 0.5


@attrs.define
class StartRate:
    """Spreads starts by the generic cell rate algorithm (ITU-T I.371).

    In a window of t seconds at most t * rate + BURST_S * rate + 1 calls start.
    """

    _per_s: float = 0
    _theoretical_start_at: float = -math.inf

    @property
    def is_active(self) -> bool:
        """Return whether there is a limit."""
        return self._per_s > 0

    @property
    def start_interval_s(self) -> float:
        """Return the mean time between two starts; 0 without a limit."""
        return 1 / self._per_s if self.is_active else 0

    def limit_to(self, per_s: float, now: float) -> None:
        """Replace the limit.

        Args:
            per_s: The most starts a second; 0 for no limit.
            now: Monotonic seconds.
        """
        self._per_s = per_s
        self._theoretical_start_at = min(
            self._theoretical_start_at, now + BURST_S + self.start_interval_s
        )

    def allows(self, now: float) -> bool:
        """Return whether a call may start now, in monotonic seconds."""
        return not self.is_active or now >= self.next_at()

    def record_start(self, now: float) -> None:
        """Count a call that starts now, in monotonic seconds."""
        if self.is_active:
            earliest = max(self._theoretical_start_at, now)
            self._theoretical_start_at = earliest + self.start_interval_s

    def next_at(self) -> float:
        """Return when the next call may start, in monotonic seconds."""
        return self._theoretical_start_at - BURST_S

    def wait_s(self, position: float, now: float) -> float:
        """Return how long a call waits for its start, in seconds.

        Args:
            position: The call's position among the next starts; 1 is the first.
            now: Monotonic seconds.
        """
        if not self.is_active:
            return 0
        first_s = max(0, self.next_at() - now)
        return first_s + (position - 1) * self.start_interval_s


@attrs.define
class StartRates:
    """The limits that apply together to the starts at one target.

    Attributes:
        cold: The limit while the target is cold.
        named: The limit that the target names in its answers.
    """

    cold: RateLimit = attrs.field(factory=lambda: RateLimit(0))
    named: StartRate = attrs.field(factory=StartRate)

    def allows(self, now: float) -> bool:
        """Return whether a call may start now, in monotonic seconds."""
        return self.cold.allows(now) and self.named.allows(now)

    def record_start(self, now: float) -> None:
        """Count a call that starts now, in monotonic seconds.

        Starts count against the cold rate while the target is warm too,
        because it may be announced or detected as cold only afterwards.
        """
        self.cold.record_start(now)
        self.named.record_start(now)

    def next_at(self) -> float:
        """Return when the next call may start; infinity without a limit."""
        limits = (self.cold, self.named)
        return max(
            (limit.next_at() for limit in limits if limit.is_active),
            default=math.inf,
        )

    def wait_s(self, position: float, now: float) -> float:
        """Return how long a call waits for its start, in seconds.

        Args:
            position: The call's position among the next starts; 1 is the first.
            now: Monotonic seconds.
        """
        return max(
            self.cold.wait_s(position, now), self.named.wait_s(position, now)
        )
