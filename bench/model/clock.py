"""Virtual clock that runs scheduled callbacks in order without sleeping."""

import heapq
import itertools
from collections.abc import Callable, Iterator
from typing import Any

import attrs

Callback = Callable[..., None]
ScheduledAction = tuple[float, int, Callback, tuple[Any, ...]]


@attrs.define
class Clock:
    """A heap of callbacks with the virtual times at which they run.

    Attributes:
        now: Current virtual time, in seconds.
    """

    now: float = 0
    _heap: list[ScheduledAction] = attrs.field(factory=list)
    _order: Iterator[int] = attrs.field(factory=itertools.count)

    def call_after(
        self, delay_s: float, callback: Callback, *args: Any
    ) -> None:
        """Schedule a callback after a delay in seconds of virtual time."""
        entry = (self.now + max(0, delay_s), next(self._order), callback, args)
        heapq.heappush(self._heap, entry)

    def run_until(self, end_s: float) -> None:
        """Run all callbacks scheduled up to a time and advance the clock."""
        while self._heap and self._heap[0][0] <= end_s:
            at, _, callback, args = heapq.heappop(self._heap)
            self.now = at
            callback(*args)
