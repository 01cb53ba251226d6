"""A limit on how many calls start in any second."""

import math
from collections import deque

import attrs

# The window is a little longer than the second to which the limit applies,
# because calls take unequal times to reach the target.
WINDOW_S = 1.1
# The number of calls that may start at once. Later calls are spread evenly,
# because otherwise one burst would block all calls that arrive in the rest of
# the second.
MAX_BURST_STARTS = 3


@attrs.define
class RateLimit:
    """Counts starts in a sliding window and spreads them evenly over it.

    The spreading is the generic cell rate algorithm (ITU-T I.371).

    Attributes:
        per_s: The most starts in any second.
        is_active: Whether the limit applies now; starts are counted in any
            case.
    """

    per_s: int
    is_active: bool = False
    _starts: deque[float] = attrs.field(factory=deque)
    _theoretical_start_at: float = -math.inf

    @property
    def start_interval_s(self) -> float:
        """Return the seconds between two starts, or 0 without a limit."""
        return self._interval_s if self.is_active and self.per_s else 0

    def allows(self, now: float) -> bool:
        """Return whether one more call may start now, in monotonic seconds."""
        self._drop_old_starts(now)
        return not self.is_active or now >= self.next_at()

    def record_start(self, now: float) -> None:
        """Count a call that starts now, in monotonic seconds."""
        self._drop_old_starts(now)
        self._starts.append(now)
        theoretical_start_at = (
            max(self._theoretical_start_at, now) + self._interval_s
        )
        # While the limit is inactive, starts can exceed what it could spread
        # and would otherwise move this time arbitrarily far ahead.
        self._theoretical_start_at = min(theoretical_start_at, now + WINDOW_S)

    def next_at(self) -> float:
        """Return when the next call may start; infinity without a limit."""
        if not self.is_active or not self.per_s:
            return math.inf
        spread_at = (
            self._theoretical_start_at
            - (MAX_BURST_STARTS - 1) * self._interval_s
        )
        if len(self._starts) < self.per_s:
            return spread_at
        return max(spread_at, self._starts[-self.per_s] + WINDOW_S)

    def wait_s(self, position: float, now: float) -> float:
        """Return how long a call waits for its start, in seconds.

        Args:
            position: The call's position among the next starts; 1 is the first.
            now: Monotonic seconds.
        """
        if not self.is_active or not self.per_s:
            return 0
        return max(0, self.next_at() - now + (position - 1) * self._interval_s)

    @property
    def _interval_s(self) -> float:
        return WINDOW_S / max(1, self.per_s)

    def _drop_old_starts(self, now: float) -> None:
        while self._starts and self._starts[0] <= now - WINDOW_S:
            self._starts.popleft()
