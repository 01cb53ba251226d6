"""Timers on the monotonic clock, in one heap."""

import heapq
import itertools
import time
from collections.abc import Callable
from typing import Any

import attrs
from circuits import BaseComponent, handler

_MIN_COMPACT_ENTRIES = 1024


@attrs.define(order=False, eq=False)
class Deadline:
    """A scheduled call of a function, which can be cancelled.

    Attributes:
        at: Time of the call, in monotonic seconds.
        function: The function; None once it was called or cancelled.
    """

    at: float
    function: Callable[[], None] | None

    def cancel(self) -> None:
        """Cancel the call."""
        self.function = None


class Deadlines(BaseComponent):
    """Calls scheduled functions and limits how long the poller waits.

    circuits' own Timer is one component per timer, which is called on each
    iteration and reads the wall clock. This is one component with a heap.
    """

    channel = '*'

    def __init__(self) -> None:
        """Start with an empty heap."""
        super().__init__()
        self._heap: list[tuple[float, int, Deadline]] = []
        self._order = itertools.count()
        self._compact_above = _MIN_COMPACT_ENTRIES

    def call_at(self, at: float, function: Callable[[], None]) -> Deadline:
        """Schedule a function for a time in monotonic seconds."""
        deadline = Deadline(at, function)
        heapq.heappush(self._heap, (at, next(self._order), deadline))
        if len(self._heap) > self._compact_above:
            self._compact()
        return deadline

    @handler('generate_events')
    def _on_generate_events(self, event: Any) -> None:
        """Call the functions that are due and set the poller's wait.

        The wait is also set if a function raises an exception; otherwise the
        poller could block without a limit and delay the remaining ones.
        """
        try:
            self._call_expired(time.monotonic())
        finally:
            if self._heap:
                left_s = self._heap[0][0] - time.monotonic()
                event.reduce_time_left(max(left_s, 0))

    def _call_expired(self, now: float) -> None:
        while self._heap and (
            self._heap[0][0] <= now or self._heap[0][2].function is None
        ):
            function = heapq.heappop(self._heap)[2].function
            if function is not None:
                function()

    def _compact(self) -> None:
        """Remove cancelled entries if they are more than half of the heap."""
        active = [
            entry for entry in self._heap if entry[2].function is not None
        ]
        if 2 * len(active) < len(self._heap):
            heapq.heapify(active)
            self._heap = active
        # The next scan waits until the heap has doubled, so that the cost per
        # entry is bounded even if no entry is cancelled.
        self._compact_above = max(_MIN_COMPACT_ENTRIES, 2 * len(self._heap))
