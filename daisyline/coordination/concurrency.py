"""The slots of one target that may be used now: cold targets start at one."""

import math
from collections import deque

import attrs

from daisyline.state.limits import PERCENT, Limits

#: Weight of the newest call in the smoothed service time.
SMOOTHING = 0.03
#: Weight of the newest call in the baselines; some hundred calls renew them.
BASELINE_SMOOTHING = 0.01
#: Calls after which the baselines say something.
BASELINE_CALLS = 32
#: How many of the last calls are looked at to find a target cold.
COLD_WINDOW_CALLS = 8
#: How many times slower than usual the fastest of them must then be.
COLD_RATIO = 3.0
#: How many of them must have failed to find a target cold.
COLD_FAILURES = 4
#: How many times slower than the baseline a call of a warm target may be.
STEADY_RATIO = 2.0
#: What a slow success adds to the limit, as a part of a fast one.
SLOW_GROWTH = 0.25


@attrs.define
class Concurrency:
    """Decides how many of the contract's slots may be used now.

    A target just met, one that says so, and one whose calls all turned slow
    or fail, is taken for cold. It gets one slot. Each success adds a part of
    a slot, as in additive increase, until the contract's slots are reached;
    a failure while it grows halves the limit.

    The rise of service times is judged by the fastest of the last calls
    against the usual fastest, so that one slow route among others doesn't
    count. A route that is slow for all of them, or a neighbour that slows
    them as much as a cold start would, can't be told from a cold start.
    """

    _slots: int
    _candid: bool = False
    _limit: float = 1
    _held: bool = False
    _service_s: float = 0
    _baseline_s: float = 0
    _usual_fastest_s: float = 0
    _seen: int = 0
    _recent: deque[float] = attrs.field(
        factory=lambda: deque(maxlen=COLD_WINDOW_CALLS)
    )

    @classmethod
    def from_limits(
        cls, limits: Limits, *, candid: bool = False
    ) -> 'Concurrency':
        """Build the state of a target just met.

        One that says itself when it is cold is believed; any other is taken
        for cold.
        """
        slots = usable_slots(limits)
        return cls(slots=slots, candid=candid, limit=slots if candid else 1)

    @property
    def limit(self) -> int:
        """Return the calls that may run at once now."""
        if self._held:
            return 1
        return max(1, min(self._slots, int(self._limit)))

    @property
    def service_s(self) -> float:
        """Return the smoothed service time of successes, in seconds."""
        return self._service_s

    @property
    def turn_s(self) -> float:
        """Return the usual time from one free slot to the next, in seconds."""
        return self._service_s / self.limit

    @property
    def is_growing(self) -> bool:
        """Return whether fewer slots are used than the contract allows."""
        return self._limit < self._slots

    def ready_by(self, now: float) -> float:
        """Return when a call that starts now probably has its answer."""
        return now + self._service_s

    def set_limits(self, limits: Limits) -> None:
        """Follow a change of the contract's slots."""
        was_full = not self.is_growing
        self._slots = usable_slots(limits)
        if was_full or self._limit > self._slots:
            self._limit = self._slots

    def hold(self, held: bool) -> None:
        """Keep one slot for as long as the target says that it is cold."""
        self._held = held
        if held:
            self.turned_cold()

    def turned_cold(self) -> None:
        """Go back to one slot; a target that is believed has no such guess."""
        self._recent.clear()
        if not self._candid:
            self._limit = 1

    def observe(self, service_s: float, *, succeeded: bool) -> bool:
        """Learn from a call that ended; return whether slots were lost.

        Args:
            service_s: How long the target took, in seconds.
            succeeded: Whether the target answered without a failure.
        """
        limit_before = self.limit
        self._recent.append(service_s if succeeded else math.inf)
        if self._candid:
            self._limit = self._slots
        elif self._is_found_cold():
            self.turned_cold()
        elif succeeded:
            self._grow(service_s)
        elif self.is_growing:
            self._limit = max(1, self._limit / 2)
        if succeeded:
            self._learn(service_s)
        assert 1 <= self.limit <= max(1, self._slots)
        return self.limit < limit_before

    def _grow(self, service_s: float) -> None:
        if self._held:
            return
        is_slow = self._knows_baseline() and (
            service_s > STEADY_RATIO * self._baseline_s
        )
        growth = SLOW_GROWTH if is_slow else 1
        self._limit = min(self._slots, self._limit + growth / self._limit)

    def _is_found_cold(self) -> bool:
        """Return whether the last calls show a sudden change for worse."""
        if self._recent.count(math.inf) >= COLD_FAILURES:
            return True
        if self.is_growing or not self._knows_baseline():
            return False
        if len(self._recent) < COLD_WINDOW_CALLS:
            return False
        return min(self._recent) > COLD_RATIO * self._usual_fastest_s

    def _knows_baseline(self) -> bool:
        return self._seen >= BASELINE_CALLS

    def _learn(self, service_s: float) -> None:
        """Smooth the service time and, more slowly, the baselines."""
        self._seen += 1
        first_weight = 1 / self._seen
        slow_weight = max(BASELINE_SMOOTHING, first_weight)
        self._service_s += max(SMOOTHING, first_weight) * (
            service_s - self._service_s
        )
        self._baseline_s += slow_weight * (service_s - self._baseline_s)
        fastest_s = min(self._recent, default=service_s)
        self._usual_fastest_s += slow_weight * (
            fastest_s - self._usual_fastest_s
        )


def usable_slots(limits: Limits) -> int:
    """Return how many of the contract's slots are used."""
    used = limits.slots_per_upstream * limits.slots_used_percent // PERCENT
    return max(1, used)
