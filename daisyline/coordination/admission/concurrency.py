"""The concurrency limit of one target, which is one while it is cold."""

import math
from collections import deque

import attrs

from daisyline.state.limits import PERCENT, Limits

#: Weight of the newest call in the smoothed service time.
SERVICE_TIME_SMOOTHING = 0.03
#: Weight of the newest call in the baselines, which adapt to a lasting change
#: within a few hundred calls.
BASELINE_SMOOTHING = 0.01
#: Successful calls after which the baselines are used.
MIN_BASELINE_CALLS = 32
#: How many of the latest calls decide whether a target has turned cold.
COLD_WINDOW_CALLS = 8
#: A target has turned cold if the fastest of these calls took this many times
#: the baseline of the fastest call.
COLD_SLOWDOWN_RATIO = 3.0
#: A target has also turned cold if this many of these calls failed.
COLD_FAILURES = 4
#: A success is slow if it took more than this many times the baseline.
MAX_STEADY_RATIO = 2.0
#: What a slow success adds to the limit, as a fraction of what a fast one adds.
SLOW_CALL_GROWTH = 0.25


@attrs.define
class ConcurrencyLimit:
    """Decides how many of the contract's slots may be used now.

    A target is treated as cold, with one slot, if it is new, if it announces
    that it is cold, or if all its calls become slow or many of them fail.
    Each success then adds a fraction of a slot, as in additive increase, until
    the limit reaches the contract's slots; a failure during this growth halves
    the limit.

    A rise of the service times is detected by comparing the fastest of the
    latest calls with the baseline of the fastest call, so that one slow route
    among others has no effect. A cold start can't be distinguished from a slow
    route that all these calls use, or from another process on the host that
    slows them as much.
    """

    _slots: int
    _announces_cold: bool = False
    _limit: float = 1
    _is_limited_to_one: bool = False
    _service_s: float = 0
    _baseline_s: float = 0
    _baseline_fastest_s: float = 0
    _success_count: int = 0
    _recent: deque[float] = attrs.field(
        factory=lambda: deque(maxlen=COLD_WINDOW_CALLS)
    )

    @classmethod
    def from_limits(
        cls, limits: Limits, *, announces_cold: bool = False
    ) -> 'ConcurrencyLimit':
        """Build the state of a target that is new to this node.

        Args:
            limits: The contract's limits.
            announces_cold: Whether the target announces when it is cold; its
                announcements are then relied on. Any other target is treated
                as cold at first.
        """
        slots = usable_slots(limits)
        return cls(
            slots=slots,
            announces_cold=announces_cold,
            limit=slots if announces_cold else 1,
        )

    @property
    def limit(self) -> int:
        """Return how many calls may run concurrently now."""
        if self._is_limited_to_one:
            return 1
        return max(1, min(self._slots, int(self._limit)))

    @property
    def service_s(self) -> float:
        """Return the smoothed service time of successes, in seconds."""
        return self._service_s

    @property
    def slot_interval_s(self) -> float:
        """Return the mean time between two slots becoming free, in seconds."""
        return self._service_s / self.limit

    @property
    def is_growing(self) -> bool:
        """Return whether the limit is below the contract's usable slots."""
        return self._limit < self._slots

    def expected_end_at(self, now: float) -> float:
        """Return when a call that starts now is expected to end.

        Args:
            now: Monotonic seconds.
        """
        return now + self._service_s

    def set_limits(self, limits: Limits) -> None:
        """Apply a change of the contract's slots."""
        was_full = not self.is_growing
        self._slots = usable_slots(limits)
        if was_full or self._limit > self._slots:
            self._limit = self._slots

    def limit_to_one(self, is_cold: bool) -> None:
        """Set whether the limit is one because the target is cold."""
        self._is_limited_to_one = is_cold
        if is_cold:
            self.reset_to_cold()

    def reset_to_cold(self) -> None:
        """Return to one slot, unless the target announces when it is cold."""
        self._recent.clear()
        if not self._announces_cold:
            self._limit = 1

    def record_result(self, service_s: float, *, succeeded: bool) -> bool:
        """Update the limit after a call; return whether it decreased.

        Args:
            service_s: How long the target took, in seconds.
            succeeded: Whether the target answered without a failure.
        """
        limit_before = self.limit
        self._recent.append(service_s if succeeded else math.inf)
        if self._announces_cold:
            self._limit = self._slots
        elif self._looks_cold():
            self.reset_to_cold()
        elif succeeded:
            self._grow(service_s)
        elif self.is_growing:
            self._limit = max(1, self._limit / 2)
        if succeeded:
            self._update_averages(service_s)
        assert 1 <= self.limit <= max(1, self._slots)
        return self.limit < limit_before

    def _grow(self, service_s: float) -> None:
        if self._is_limited_to_one:
            return
        is_slow = self._has_baseline() and (
            service_s > MAX_STEADY_RATIO * self._baseline_s
        )
        growth = SLOW_CALL_GROWTH if is_slow else 1
        self._limit = min(self._slots, self._limit + growth / self._limit)

    def _looks_cold(self) -> bool:
        """Return whether the latest calls indicate a cold target."""
        if self._recent.count(math.inf) >= COLD_FAILURES:
            return True
        if self.is_growing or not self._has_baseline():
            return False
        if len(self._recent) < COLD_WINDOW_CALLS:
            return False
        return (
            min(self._recent) > COLD_SLOWDOWN_RATIO * self._baseline_fastest_s
        )

    def _has_baseline(self) -> bool:
        return self._success_count >= MIN_BASELINE_CALLS

    def _update_averages(self, service_s: float) -> None:
        """Update the smoothed service time and the slower baselines."""
        self._success_count += 1
        first_weight = 1 / self._success_count
        slow_weight = max(BASELINE_SMOOTHING, first_weight)
        self._service_s += max(SERVICE_TIME_SMOOTHING, first_weight) * (
            service_s - self._service_s
        )
        self._baseline_s += slow_weight * (service_s - self._baseline_s)
        fastest_s = min(self._recent, default=service_s)
        self._baseline_fastest_s += slow_weight * (
            fastest_s - self._baseline_fastest_s
        )


def usable_slots(limits: Limits) -> int:
    """Return how many of the contract's slots may be used, at least one."""
    used = limits.slots_per_upstream * limits.slots_used_percent // PERCENT
    return max(1, used)
