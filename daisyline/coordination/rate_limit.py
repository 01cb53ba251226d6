"""A bound on how many calls start in any second."""

import math
from collections import deque

import attrs

# A little longer than the second that the bound is about, for calls that take
# unequal times to arrive.
WINDOW_S = 1.1


@attrs.define
class RateLimit:
    """Counts starts in a sliding window.

    Attributes:
        per_s: The most starts in any second.
        holds: Whether the bound holds now; starts are counted in any case.
    """

    per_s: int
    holds: bool = False
    _starts: deque[float] = attrs.field(factory=deque)

    def allows(self, now: float) -> bool:
        """Return whether one more call may start now, in monotonic seconds."""
        self._drop(now)
        return not self.holds or len(self._starts) < self.per_s

    def started(self, now: float) -> None:
        """Count a call that starts."""
        self._drop(now)
        self._starts.append(now)

    def next_at(self) -> float:
        """Return when the oldest start leaves the window."""
        if not self.holds:
            return math.inf
        return self._starts[0] + WINDOW_S if self._starts else 0

    def _drop(self, now: float) -> None:
        while self._starts and self._starts[0] <= now - WINDOW_S:
            self._starts.popleft()
