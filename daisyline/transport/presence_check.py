"""Checks whether the target beside a node still accepts connections."""

from collections.abc import Callable
from typing import Any

from daisyline.coordination.effects import PresenceChecked
from daisyline.state.targets import Target
from daisyline.transport.loop import Loop
from daisyline.transport.sockets import Connection

# A device between the two ends may accept a connection to a target that is gone
# and close it at once.
_OPEN_S = 0.1
_TIMEOUT_S = 1.0


class PresenceChecker:
    """Connects to the target to find out whether it is gone.

    Attributes:
        target: The target; None if no one is announced.
        has_room: Returns whether the target takes another connection.
        open_checks: The number of connections for checks.
    """

    def __init__(self, loop: Loop, on_event: Callable[[Any], None]) -> None:
        """Start without a target."""
        self._loop = loop
        self._on_event = on_event
        self.target: Target | None = None
        self.has_room: Callable[[], bool] = bool
        self.open_checks = 0

    def check(self, number: int) -> None:
        """Check the target, and report a `PresenceChecked`.

        The connections to a target that is gone are closed by the next
        iteration of the loop.
        """
        self._loop.call_next(lambda: self._start(number))

    def _start(self, number: int) -> None:
        if self.target is None:
            self._on_event(PresenceChecked(number, is_present=False))
            return
        if not self.has_room():
            # The connections that take the room are open.
            self._on_event(PresenceChecked(number, is_present=True))
            return
        try:
            connection = Connection.dial(
                self._loop, self.target.host, self.target.port
            )
        except OSError:
            # Without a free descriptor nothing shows that the target is gone.
            self._on_event(PresenceChecked(number, is_present=True))
            return
        self.open_checks += 1
        _Check(self._loop, connection, lambda found: self._end(number, found))

    def _end(self, number: int, is_present: bool) -> None:
        self.open_checks -= 1
        self._on_event(PresenceChecked(number, is_present))


class _Check:
    """One connection to the target that carries nothing."""

    def __init__(
        self,
        loop: Loop,
        connection: Connection,
        on_result: Callable[[bool], None],
    ) -> None:
        """Wait for the connection."""
        self._loop = loop
        self._connection = connection
        self._on_result = on_result
        self._is_present = False
        connection.handler = self
        self._timeout = loop.call_later(_TIMEOUT_S, connection.abort)

    def handle_connected(self) -> None:
        """Wait whether the connection stays open."""
        self._timeout.cancel()
        self._timeout = self._loop.call_later(_OPEN_S, self._confirm)

    def handle_bytes(self, octets: bytes) -> None:
        """Ignore bytes, which nobody asked for."""

    def handle_eof(self) -> None:
        """Take a close for the absence of the target."""
        self._connection.abort()

    def handle_drained(self) -> None:
        """Do nothing; nothing is written."""

    def handle_closed(self) -> None:
        """Report the result."""
        self._timeout.cancel()
        self._on_result(self._is_present)

    def _confirm(self) -> None:
        self._is_present = True
        self._connection.abort()
