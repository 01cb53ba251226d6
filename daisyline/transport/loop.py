"""The event loop of a process: circuits, a poller and a heap of timers."""

import signal
import sys
import time
from collections.abc import Callable

from circuits import Component, handler

from daisyline.transport.deadlines import Deadline, Deadlines
from daisyline.transport.poller import WatcherPoller


class Loop(Component):
    """The root component of a program; runs its event loop on one thread.

    Attributes:
        poller: Waits for readiness of the sockets.
        exception_count: Number of uncaught exceptions; 0 in correct operation.
        on_signal: Called with the signal number; by default stops the loop.
    """

    channel = '*'

    def __init__(self) -> None:
        """Register the poller first, so that circuits adds none of its own."""
        super().__init__()
        self.poller = WatcherPoller().register(self)
        self._deadlines = Deadlines().register(self)
        self.exception_count = 0
        self.on_signal: Callable[[int], None] = self._stop_on_signal

    @classmethod
    def create(cls) -> 'Loop':
        """Create a loop that is not running yet."""
        return cls()

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return time.monotonic()

    def call_at(self, at: float, function: Callable[[], None]) -> Deadline:
        """Schedule a function for a time in monotonic seconds."""
        return self._deadlines.call_at(at, function)

    def call_later(
        self, delay_s: float, function: Callable[[], None]
    ) -> Deadline:
        """Schedule a function after a delay in seconds."""
        return self._deadlines.call_at(time.monotonic() + delay_s, function)

    def call_next(self, function: Callable[[], None]) -> None:
        """Schedule a function for the next loop iteration, without a wait."""
        self.poller.call_next(function)

    def defer(self, function: Callable[[], None]) -> None:
        """Schedule a function for the end of this loop iteration."""
        self.poller.defer(function)

    def handle_hangup(self) -> None:
        """Route SIGHUP to `on_signal`; by default it ends the process."""
        signal.signal(signal.SIGHUP, self._signal_handler)

    @handler('exception', channel='*')
    def _on_exception(
        self,
        _kind: type[BaseException],
        error: BaseException,
        lines: list[str],
        **_details: object,
    ) -> None:
        """Print an uncaught exception and continue with the next event."""
        self.exception_count += 1
        trace = ''.join(map(str, lines))
        sys.stderr.write(f'fault: {error!r}\n{trace}\n')

    @handler('signal', channel='*')
    def _on_signal(self, number: int, _frame: object) -> None:
        self.on_signal(number)

    def _stop_on_signal(self, _number: int) -> None:
        self.stop()
