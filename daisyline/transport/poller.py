"""An epoll poller that calls connections directly, at a flat cost."""

import select
import time
from collections.abc import Callable
from typing import Any, Protocol

from circuits import handler
from circuits.core.pollers import EPoll

READABLE = select.EPOLLIN
WRITABLE = select.EPOLLOUT
_BROKEN = select.EPOLLHUP | select.EPOLLERR
_PAUSE_S = 0.3


class Watcher(Protocol):
    """Something that wants to know when its socket is ready."""

    def handle_ready(self, readable: bool, writable: bool) -> None:
        """Use the socket; called from the loop."""


class WatcherPoller(EPoll):
    """Circuits' EPoll with a table of watchers beside its lists.

    The base class searches lists of descriptors and fires an event for each
    readiness, which costs more than the request itself. Watched sockets skip
    both; circuits' own components go on using the base class.
    """

    def __init__(self) -> None:
        """Open the epoll descriptor."""
        super().__init__()
        self._watchers: dict[int, Watcher] = {}
        self._deferred: list[Callable[[], None]] = []
        self._turn_ended = time.monotonic()
        self.on_pause: Callable[[float], None] = _ignore_pause

    def watch(self, fileno: int, watcher: Watcher, mask: int) -> None:
        """Start to call a watcher when its descriptor is ready."""
        self._watchers[fileno] = watcher
        self._poller.register(fileno, mask)

    def change(self, fileno: int, mask: int) -> None:
        """Change what a watched descriptor waits for."""
        self._poller.modify(fileno, mask)

    def unwatch(self, fileno: int) -> None:
        """Stop watching a descriptor; it must still be open."""
        self._watchers.pop(fileno, None)
        self._poller.unregister(fileno)

    def defer(self, function: Callable[[], None]) -> None:
        """Call a function once, at the end of this turn of the loop."""
        self._deferred.append(function)

    def flush_deferred(self) -> None:
        """Call what was deferred, and what that defers in turn."""
        while self._deferred:
            pending = self._deferred
            self._deferred = []
            for function in pending:
                function()

    @handler('generate_events', priority=-9, override=True)
    def _on_generate_events(self, event: Any) -> None:
        """Wait for readiness and call the watchers concerned."""
        event.stop()
        self.flush_deferred()
        self._notice_pause(0)
        # What ran before this handler may have fired events or stopped the
        # loop; neither must wait for a socket.
        if len(self.root) or not self.root.running:
            event.reduce_time_left(0)
        wait_s = event.time_left
        started = time.monotonic()
        ready = self._poller.poll(wait_s if wait_s >= 0 else None)
        waited_s = time.monotonic() - started
        self._notice_pause(
            min(waited_s, max(wait_s, 0)) if wait_s >= 0 else waited_s
        )
        for fileno, mask in ready:
            watcher = self._watchers.get(fileno)
            if watcher is None:
                self._process(fileno, mask)
            else:
                watcher.handle_ready(
                    bool(mask & (READABLE | _BROKEN)),
                    bool(mask & (WRITABLE | _BROKEN)),
                )
        self.flush_deferred()

    def _notice_pause(self, expected_s: float) -> None:
        """Report that the process stood still longer than it meant to."""
        now = time.monotonic()
        gap_s = now - self._turn_ended - expected_s
        self._turn_ended = now
        if gap_s > _PAUSE_S:
            self.on_pause(gap_s)


def _ignore_pause(_gap_s: float) -> None:
    """Do nothing; stands in until a node sets its own function."""
