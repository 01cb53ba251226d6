"""An epoll poller that calls the owners of sockets without circuits events."""

import select
import time
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

from circuits import handler
from circuits.core.pollers import EPoll

READABLE = select.EPOLLIN
WRITABLE = select.EPOLLOUT
_ERROR_EVENTS = select.EPOLLHUP | select.EPOLLERR
_PAUSE_THRESHOLD_S = 0.3


class Watcher(Protocol):
    """An object that is called when its socket is ready."""

    def handle_ready(self, readable: bool, writable: bool) -> None:
        """Read from or write to the socket; called from the loop."""


class WatcherPoller(EPoll):
    """The circuits EPoll poller, extended by a table of watchers.

    The base class searches lists of descriptors and fires an event for each
    ready socket, which costs more than the request itself. Watchers are
    called without either; circuits' own components use the base class.
    """

    def __init__(self) -> None:
        """Open the epoll descriptor."""
        super().__init__()
        self._watchers: dict[int, Watcher] = {}
        self._deferred: deque[Callable[[], None]] = deque()
        self._next: deque[Callable[[], None]] = deque()
        self._iteration_ended_at = time.monotonic()
        self.on_pause: Callable[[float], None] = _ignore_pause

    def watch(self, fileno: int, watcher: Watcher, mask: int) -> None:
        """Call a watcher from now on whenever its descriptor is ready."""
        self._watchers[fileno] = watcher
        self._poller.register(fileno, mask)

    def change(self, fileno: int, mask: int) -> None:
        """Change the epoll event mask of a watched descriptor."""
        self._poller.modify(fileno, mask)

    def unwatch(self, fileno: int) -> None:
        """Stop watching a descriptor; it must still be open."""
        self._watchers.pop(fileno, None)
        self._poller.unregister(fileno)

    def defer(self, function: Callable[[], None]) -> None:
        """Schedule a function for the end of this loop iteration."""
        self._deferred.append(function)

    def call_next(self, function: Callable[[], None]) -> None:
        """Schedule a function for the next iteration, which does not wait.

        Sockets that are ready by then come first.
        """
        self._next.append(function)

    def flush_deferred(self) -> None:
        """Call the deferred functions, and those that they defer in turn.

        If one raises an exception, the others are called in the next iteration.
        """
        while self._deferred:
            self._deferred.popleft()()

    @handler('generate_events', priority=-9, override=True)
    def _on_generate_events(self, event: Any) -> None:
        """Wait until sockets are ready and call their watchers."""
        event.stop()
        self.flush_deferred()
        self._detect_pause(0)
        # Earlier handlers may have fired events or stopped the loop; neither
        # may be delayed until a socket is ready.
        due = len(self._next)
        if len(self.root) or not self.root.running or due:
            event.reduce_time_left(0)
        wait_s = event.time_left
        started = time.monotonic()
        ready = self._poller.poll(wait_s if wait_s >= 0 else None)
        waited_s = time.monotonic() - started
        self._detect_pause(
            min(waited_s, max(wait_s, 0)) if wait_s >= 0 else waited_s
        )
        self._call_watchers(ready)
        self._run_next(due)
        self.flush_deferred()

    def _call_watchers(self, ready: list[tuple[int, int]]) -> None:
        for fileno, mask in ready:
            watcher = self._watchers.get(fileno)
            if watcher is None:
                self._process(fileno, mask)
            else:
                watcher.handle_ready(
                    bool(mask & (READABLE | _ERROR_EVENTS)),
                    bool(mask & (WRITABLE | _ERROR_EVENTS)),
                )

    def _run_next(self, due: int) -> None:
        """Call a number of functions that were scheduled for this iteration."""
        while due:
            due -= 1
            self._next.popleft()()

    def _detect_pause(self, expected_s: float) -> None:
        """Report a pause of the process that the poll wait does not explain."""
        now = time.monotonic()
        gap_s = now - self._iteration_ended_at - expected_s
        self._iteration_ended_at = now
        if gap_s > _PAUSE_THRESHOLD_S:
            self.on_pause(gap_s)


def _ignore_pause(_gap_s: float) -> None:
    """Do nothing; the default until a node sets `on_pause`."""
