"""Decides when the holder closes a window and writes its report."""

import math
from collections.abc import Collection, Iterable

import attrs

from daisyline.coordination.duties.duty_config import (
    MAX_OPEN_WINDOWS,
    DutyConfig,
    Moment,
)
from daisyline.coordination.duties.duty_record import Counts
from daisyline.coordination.duties.duty_stages import Holding
from daisyline.coordination.duties.usage_collection import UsageCollection

# Windows that one write adds at most.
MAX_WINDOWS_PER_WRITE = 8
# A holder that lost sight of more than half of the fleet within this time
# closes no window, since it is probably cut off and its counts are partial.
FLEET_SIZE_MEMORY_S = 20.0
# How often it is compared whether members that are awaited have left.
_REVIEW_INTERVAL_S = 0.25


@attrs.define
class WindowCloser:
    """Closes windows once the counts of the fleet are there.

    Attributes:
        collection: The counts of all nodes.
    """

    _config: DutyConfig
    collection: UsageCollection = attrs.field(factory=UsageCollection)
    _fleet_size: int = 0
    _fleet_size_at: float = -math.inf
    _renewed_window: int = 0

    def review_fleet(self, size: int, now: float) -> None:
        """Remember the largest number of members of the last seconds."""
        is_old = now >= self._fleet_size_at + FLEET_SIZE_MEMORY_S
        if size >= self._fleet_size or is_old:
            self._fleet_size = size
            self._fleet_size_at = now

    def closable(
        self,
        held: Holding,
        members: Collection[str],
        customers: Iterable[str],
        at: Moment,
    ) -> dict[int, Counts]:
        """Return the reports of the windows that can be closed."""
        reports: dict[int, Counts] = {}
        for window in self._open_windows(held, at):
            if not self._can_close(window, held, members, at):
                break
            reports[window] = self.collection.counts_of(window, customers)
        return reports

    def must_renew(
        self, held: Holding, unconfirmed: list[int], at: Moment
    ) -> bool:
        """Return whether to renew the lease for a report that is due soon.

        The write of the next window renews it in most cases, so this is done
        at most once for each window.
        """
        if not unconfirmed or at.now < self._renew_at(held, unconfirmed, at):
            return False
        self._renewed_window = unconfirmed[-1]
        return True

    def next_at(
        self, held: Holding, unconfirmed: list[int], at: Moment
    ) -> float:
        """Return when to look at the windows again, in monotonic seconds."""
        renew_at = self._renew_at(held, unconfirmed, at)
        windows = self._open_windows(held, at)
        if windows:
            return min(renew_at, at.now + _REVIEW_INTERVAL_S)
        end = self._config.end_of(held.record.newest + 1)
        return min(renew_at, at.monotonic_of(end + self._config.settle_s))

    def _open_windows(self, held: Holding, at: Moment) -> range:
        """Return the windows that have ended and are not written."""
        end = self._config.window_of(at.wall - self._config.settle_s)
        first = max(held.record.newest + 1, end - MAX_OPEN_WINDOWS)
        return range(first, min(end, first + MAX_WINDOWS_PER_WRITE))

    def _can_close(
        self, window: int, held: Holding, members: Collection[str], at: Moment
    ) -> bool:
        final = self.collection.final_count(window, members)
        if final == len(members):
            return 2 * final >= self._fleet_size
        return (
            at.wall >= self._close_wall(window, held)
            and 2 * final >= self._fleet_size
        )

    def _close_wall(self, window: int, held: Holding) -> float:
        """Return when a window is closed without counts that are missing."""
        closed = self._config.end_of(window) + self._config.close_s
        return max(closed, held.claimed.wall + self._config.collect_s)

    def _renew_at(
        self, held: Holding, unconfirmed: list[int], at: Moment
    ) -> float:
        if not unconfirmed or unconfirmed[-1] <= self._renewed_window:
            return math.inf
        due = self._config.end_of(unconfirmed[-1]) + self._config.late_s
        soon_at = at.monotonic_of(due - self._config.reserve_s)
        return max(soon_at, held.lease.ends_at)
