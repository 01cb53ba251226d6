"""Adds up the counts of all nodes at the holder of the duty."""

from collections.abc import Iterable
from typing import Any

import attrs

from daisyline.coordination.duties.usage_messages import UsageCounts

# Windows that were written so recently that messages sent before their
# senders knew of it may still arrive.
_RECENT_WINDOWS = 4


_Total = tuple[int, dict[str, int]]


@attrs.define
class _ProcessCounts:
    """The counts of one process of a node.

    Attributes:
        final_before: The totals of the windows before this one are final.
        totals: The sequence and the total of each customer, by window.
        included: The number of calls by window, for windows written lately.
    """

    final_before: int = 0
    totals: dict[int, _Total] = attrs.field(factory=dict)
    included: dict[int, int] = attrs.field(factory=dict)

    def merge(self, message: UsageCounts, written: int) -> int:
        """Merge a message; return the calls that came too late."""
        self.final_before = max(self.final_before, message.final_before)
        late = 0
        for window, rows in message.windows:
            counts = dict(rows)
            sequence, _ = self.totals.get(window, (0, counts))
            if window <= written:
                late += self._late_calls(window, sum(counts.values()), written)
            elif message.sequence > sequence:
                self.totals[window] = (message.sequence, counts)
        return late

    def drop_written(self, newest: int) -> None:
        """Drop the totals of the windows that are written."""
        for window, (_, counts) in self.totals.items():
            if window <= newest:
                self.included[window] = sum(counts.values())
        self.totals = _after(newest, self.totals)
        self.included = _after(newest - _RECENT_WINDOWS, self.included)

    def _late_calls(self, window: int, count: int, written: int) -> int:
        known = self.included.get(window, 0)
        if window <= written - _RECENT_WINDOWS or count <= known:
            return 0
        self.included[window] = count
        return count - known


@attrs.define
class UsageCollection:
    """The totals of the windows that are not written yet, by process.

    Duplicated and reordered messages give the same result. Counts of a
    process that has ended stay until their windows are written.

    Attributes:
        late_calls: The number of calls that were reported only after their
            window was written.
    """

    _written: int = 0
    _processes: dict[tuple[str, int], _ProcessCounts] = attrs.field(
        factory=dict
    )
    late_calls: int = 0

    def record(self, node: str, message: UsageCounts) -> None:
        """Merge the counts of a node."""
        key = (node, message.start)
        process = self._processes.setdefault(key, _ProcessCounts())
        self.late_calls += process.merge(message, self._written)

    def final_count(self, window: int, nodes: Iterable[str]) -> int:
        """Return of how many of these nodes the counts are final.

        Of a node that has restarted, the counts of its newest process count.
        """
        # Sorted, so that the newest process of a node comes last.
        final_before = {
            node: self._processes[node, start].final_before
            for node, start in sorted(self._processes)
        }
        return sum(final_before.get(name, 0) > window for name in nodes)

    def counts_of(
        self, window: int, customers: Iterable[str]
    ) -> dict[str, int]:
        """Return the total of each customer, also of those without calls."""
        counts = dict.fromkeys(sorted(customers), 0)
        for process in self._processes.values():
            _, totals = process.totals.get(window, (0, {}))
            for customer, count in totals.items():
                counts[customer] = counts.get(customer, 0) + count
        return counts

    def drop_written(self, newest: int) -> None:
        """Drop the windows that are written, and processes without others."""
        self._written = max(self._written, newest)
        for process in self._processes.values():
            process.drop_written(newest)
        self._processes = {
            key: kept
            for key, kept in self._processes.items()
            if kept.totals or kept.final_before > newest
        }


def _after(window: int, by_window: dict[int, Any]) -> dict[int, Any]:
    """Return the entries of the windows after the given one."""
    return {
        number: entry for number, entry in by_window.items() if number > window
    }
