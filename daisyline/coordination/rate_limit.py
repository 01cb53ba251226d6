"""A bound on how many calls start in any second."""

import math
from collections import deque

import attrs

# A little longer than the second that the bound is about, for calls that take
# unequal times to arrive.
WINDOW_S = 1.1
# So many calls may start at once; those that follow are spread evenly, as else
# one burst would shut out all that come in the rest of the second.
BURST = 3


@attrs.define
class RateLimit:
    """Counts starts in a sliding window and spreads them over it.

    The spreading is the generic cell rate algorithm (ITU-T I.371).

    Attributes:
        per_s: The most starts in any second.
        holds: Whether the bound holds now; starts are counted in any case.
    """

    per_s: int
    holds: bool = False
    _starts: deque[float] = attrs.field(factory=deque)
    _even_at: float = -math.inf

    @property
    def turn_s(self) -> float:
        """Return the time between two starts if the bound holds, else 0."""
        return self._interval_s if self.holds and self.per_s else 0

    def allows(self, now: float) -> bool:
        """Return whether one more call may start now, in monotonic seconds."""
        self._drop(now)
        return not self.holds or now >= self.next_at()

    def started(self, now: float) -> None:
        """Count a call that starts."""
        self._drop(now)
        self._starts.append(now)
        even_at = max(self._even_at, now) + self._interval_s
        # While the bound doesn't hold, starts are more than could be spread.
        self._even_at = min(even_at, now + WINDOW_S)

    def next_at(self) -> float:
        """Return when the next call may start; infinity without a bound."""
        if not self.holds or not self.per_s:
            return math.inf
        spread_at = self._even_at - (BURST - 1) * self._interval_s
        if len(self._starts) < self.per_s:
            return spread_at
        return max(spread_at, self._starts[-self.per_s] + WINDOW_S)

    def wait_s(self, turns: float, now: float) -> float:
        """Return how long the last of so many calls waits, in seconds."""
        if not self.holds or not self.per_s:
            return 0
        return max(0, self.next_at() - now + (turns - 1) * self._interval_s)

    @property
    def _interval_s(self) -> float:
        return WINDOW_S / max(1, self.per_s)

    def _drop(self, now: float) -> None:
        while self._starts and self._starts[0] <= now - WINDOW_S:
            self._starts.popleft()
