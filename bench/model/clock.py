"""Virtual time: events run in order, and nothing waits."""

import heapq
import itertools
from collections.abc import Callable, Iterator
from typing import Any

import attrs

Action = Callable[..., None]
Entry = tuple[float, int, Action, tuple[Any, ...]]


@attrs.define
class Clock:
    """A heap of things to do at given times."""

    now: float = 0
    _heap: list[Entry] = attrs.field(factory=list)
    _order: Iterator[int] = attrs.field(factory=itertools.count)

    def after(self, delay_s: float, action: Action, *given: Any) -> None:
        """Run an action after some seconds of virtual time."""
        entry = (self.now + max(0, delay_s), next(self._order), action, given)
        heapq.heappush(self._heap, entry)

    def run_until(self, end_s: float) -> None:
        """Run all actions up to a time."""
        while self._heap and self._heap[0][0] <= end_s:
            at, _, action, given = heapq.heappop(self._heap)
            self.now = at
            action(*given)
