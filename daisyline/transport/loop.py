"""The one loop of a process: circuits, a poller and a heap of deadlines."""

import signal
import sys
import time
from collections.abc import Callable

from circuits import Component, handler

from daisyline.transport.deadlines import Deadline, Deadlines
from daisyline.transport.poller import WatcherPoller


class Loop(Component):
    """The root of a program's components.

    Attributes:
        poller: Watches the sockets.
        faults: How many exceptions reached the loop; there should be none.
        on_signal: Called with a signal's number; the default stops the loop.
    """

    channel = '*'

    def __init__(self) -> None:
        """Register the poller before anything that would bring its own."""
        super().__init__()
        self.poller = WatcherPoller().register(self)
        self._deadlines = Deadlines().register(self)
        self.exception_count = 0
        self.on_signal: Callable[[int], None] = self._stop_on_signal

    @classmethod
    def create(cls) -> 'Loop':
        """Make a loop that is not yet running."""
        return cls()

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return time.monotonic()

    def call_at(self, at: float, function: Callable[[], None]) -> Deadline:
        """Call a function at a time in monotonic seconds."""
        return self._deadlines.call_at(at, function)

    def call_later(
        self, delay_s: float, function: Callable[[], None]
    ) -> Deadline:
        """Call a function after a delay in seconds."""
        return self._deadlines.call_at(time.monotonic() + delay_s, function)

    def defer(self, function: Callable[[], None]) -> None:
        """Call a function at the end of this turn of the loop."""
        self.poller.defer(function)

    def handle_hangup(self) -> None:
        """Take SIGHUP for a signal like the others, which would end us."""
        signal.signal(signal.SIGHUP, self._signal_handler)

    @handler('exception', channel='*')
    def _on_exception(
        self,
        _kind: type[BaseException],
        error: BaseException,
        lines: list[str],
        **_details: object,
    ) -> None:
        """Show a fault of the program and go on with the next event."""
        self.exception_count += 1
        trace = ''.join(map(str, lines))
        sys.stderr.write(f'fault: {error!r}\n{trace}\n')

    @handler('signal', channel='*')
    def _on_signal(self, number: int, _frame: object) -> None:
        self.on_signal(number)

    def _stop_on_signal(self, _number: int) -> None:
        self.stop()
