"""One heap of deadlines on the monotonic clock."""

import heapq
import itertools
import time
from collections.abc import Callable
from typing import Any

import attrs
from circuits import BaseComponent, handler

_COMPACT_AT = 1024


@attrs.define(order=False, eq=False)
class Deadline:
    """A function that will be called once, unless it is cancelled.

    Attributes:
        at: When, in monotonic seconds.
        function: What is called; None once it has run or was cancelled.
    """

    at: float
    function: Callable[[], None] | None

    def cancel(self) -> None:
        """Give up the call."""
        self.function = None


class Deadlines(BaseComponent):
    """Calls functions when they are due and bounds the poller's wait.

    circuits' own Timer is a component per timer, asked on every turn and
    reading the wall clock; this is one component over a heap.
    """

    channel = '*'

    def __init__(self) -> None:
        """Start with an empty heap."""
        super().__init__()
        self._heap: list[tuple[float, int, Deadline]] = []
        self._order = itertools.count()
        self._compact_at = _COMPACT_AT

    def call_at(self, at: float, function: Callable[[], None]) -> Deadline:
        """Call a function at a time in monotonic seconds."""
        deadline = Deadline(at, function)
        heapq.heappush(self._heap, (at, next(self._order), deadline))
        if len(self._heap) > self._compact_at:
            self._compact()
        return deadline

    @handler('generate_events')
    def _on_generate_events(self, event: Any) -> None:
        """Run what is due; let the poller wait until the next is.

        Also if one of the functions fails: the others must not wait for
        ever behind it.
        """
        try:
            self._run_due(time.monotonic())
        finally:
            if self._heap:
                left_s = self._heap[0][0] - time.monotonic()
                event.reduce_time_left(max(left_s, 0))

    def _run_due(self, now: float) -> None:
        while self._heap and (
            self._heap[0][0] <= now or self._heap[0][2].function is None
        ):
            function = heapq.heappop(self._heap)[2].function
            if function is not None:
                function()

    def _compact(self) -> None:
        """Drop cancelled entries once they are most of the heap."""
        live = [entry for entry in self._heap if entry[2].function is not None]
        if 2 * len(live) < len(self._heap):
            heapq.heapify(live)
            self._heap = live
        # Walked again once it has doubled, so that each entry is walked a
        # bounded number of times however many are live.
        self._compact_at = max(_COMPACT_AT, 2 * len(self._heap))
