"""The pool of connections to the target.

Their number is bounded. A connection is reused only after a complete answer.
"""

from collections import deque
from collections.abc import Callable
from typing import Any

from daisyline.coordination.calls.call_events import (
    StartTargetCall,
    TargetCallFailed,
)
from daisyline.protocol.dialect import Dialect
from daisyline.state.targets import Target
from daisyline.transport.loop import Loop
from daisyline.transport.presence_check import PresenceChecker
from daisyline.transport.sockets import Connection
from daisyline.transport.target_condition import TargetCondition
from daisyline.transport.target_connection import TargetConnection
from daisyline.transport.target_probe import TargetProber

# An idle connection is no longer used from this long before the target would
# close it, as a call that is sent while the target closes it is lost.
_KEEP_ALIVE_MARGIN_S = 1.0
# A call that must not be repeated takes only a connection that was used within
# this time, as it could not be sent again if the target closed the connection.
_RECENT_USE_S = 0.5

EventHandler = Callable[[Any], None]


class TargetPool:
    """The connections to the target beside this node.

    Attributes:
        dialect: The names of headers.
        loop: The event loop.
        on_event: Receives the events of calls and probes.
        condition: Reports what answers say of the target's condition.
        connection_limit: Returns the maximum number of connections.
        presence: Checks whether the target still accepts connections.
    """

    def __init__(
        self, loop: Loop, on_event: EventHandler, dialect: Dialect | None = None
    ) -> None:
        """Start without a target."""
        self.dialect = dialect or Dialect()
        self.loop = loop
        self.on_event = on_event
        self.condition = TargetCondition(on_event, self.dialect)
        self._target: Target | None = None
        self._open: set[TargetConnection] = set()
        self._idle: list[TargetConnection] = []
        self._busy: dict[str, TargetConnection] = {}
        self._pending: deque[StartTargetCall] = deque()
        self._prober = TargetProber(loop, on_event, self.dialect)
        self.connection_limit: Callable[[], int] = lambda: 1
        self.presence = PresenceChecker(loop, on_event)
        self.presence.has_room = lambda: (
            self.connection_count < self.connection_limit()
        )

    @property
    def connection_count(self) -> int:
        """Return the number of open connections to the target."""
        return len(self._open) + self.presence.open_checks

    def update_target(self, target: Target | None) -> None:
        """Set the target and close idle connections to any other instance.

        If the target is None, the connections stay open until a target is set
        again.
        """
        self._target = target
        self.presence.target = target
        if target is None:
            return
        for connection in tuple(self._idle):
            if not self._is_current(connection):
                connection.close()
        self._start_pending()

    def start_call(self, start: StartTargetCall) -> None:
        """Send a call on an idle connection or on a new one.

        At the limit of connections the call waits until one is free.
        """
        if self._target is None:
            self._report_unsent(start.call)
            return
        connection = self._take_idle(start)
        if connection is not None:
            self._send(connection, start)
            return
        if self._idle and self.connection_count >= self.connection_limit():
            # No idle connection was used recently enough for this call, so one
            # is closed to make room for a new connection.
            self._idle[0].close()
        if self.connection_count >= self.connection_limit():
            self._pending.append(start)
        else:
            self._dial(self._target, start)

    def probe_pace(self, path: str) -> None:
        """Send a probe for the target's pace, if there is a target."""
        if self._target is not None:
            self._prober.send_probe(self._target, path)

    def abort_call(self, call: str) -> None:
        """Cancel a call at the target, or drop it if it is not sent yet."""
        connection = self._busy.get(call)
        if connection is not None:
            connection.cancel()
            return
        waiting = [start for start in self._pending if start.call == call]
        for start in waiting:
            self._pending.remove(start)
            self._report_unsent(call)

    def pause_read(self, call: str) -> None:
        """Stop reading the answer of a call; the target then stops sending."""
        connection = self._busy.get(call)
        if connection is not None:
            connection.pause_read()

    def resume_read(self, call: str) -> None:
        """Continue to read the answer of a call."""
        connection = self._busy.get(call)
        if connection is not None:
            connection.resume_read()

    def handle_idle(self, connection: TargetConnection) -> None:
        """Reuse a connection whose answer is complete, or close it."""
        connection.idle_since = self.loop.now()
        self._remove_busy(connection)
        fits = self.connection_count <= self.connection_limit()
        next_call = self._pending[0] if self._pending else None
        is_taken = next_call is not None and connection.has_carried(next_call)
        if not fits or is_taken or not self._is_current(connection):
            connection.close()
        elif self._pending:
            self._send(connection, self._pending.popleft())
        else:
            self._idle.append(connection)

    def handle_closed(self, connection: TargetConnection) -> None:
        """Remove a connection that is closed and start waiting calls."""
        self._open.discard(connection)
        self._remove_busy(connection)
        if connection in self._idle:
            self._idle.remove(connection)
        if self._pending:
            self.loop.defer(self._start_pending)

    def close_idle_before(self, since: float) -> None:
        """Close idle connections whose last use ended by a time.

        Network equipment that lost the state of one connection may have lost
        that of the others too.

        Args:
            since: The time, in monotonic seconds.
        """
        for connection in tuple(self._idle):
            if connection.idle_since <= since:
                connection.close()

    def _take_idle(self, start: StartTargetCall) -> TargetConnection | None:
        """Return the idle connection used last, or None.

        A call that must not be repeated takes a recently used one only.
        """
        must_be_recent = not start.run.repeatable
        while self._idle:
            connection = self._idle[-1]
            is_usable = (
                connection.is_reusable
                and self._is_kept_alive(connection)
                and not connection.has_carried(start)
            )
            if is_usable and must_be_recent and not self._is_recent(connection):
                return None
            self._idle.pop()
            if is_usable:
                return connection
            connection.close()
        return None

    def _start_pending(self) -> None:
        """Start the calls that wait for a connection, up to the limit."""
        while self._pending and self._target is not None:
            if (
                self.connection_count >= self.connection_limit()
                and not self._idle
            ):
                return
            self.start_call(self._pending.popleft())

    def _dial(self, target: Target, start: StartTargetCall) -> None:
        assert self.connection_count < self.connection_limit(), (
            'too many connections to the target'
        )
        try:
            tcp_connection = Connection.dial(
                self.loop, target.host, target.port
            )
        except OSError:
            # The process has no file descriptor left; nothing was sent.
            self._report_unsent(start.call)
            return
        connection = TargetConnection(self, tcp_connection, target)
        self._open.add(connection)
        self._send(connection, start)

    def _send(
        self, connection: TargetConnection, start: StartTargetCall
    ) -> None:
        self._busy[start.call] = connection
        connection.send(start)

    def _report_unsent(self, call: str) -> None:
        failed = TargetCallFailed(call, False, False, 'not sent')
        self.loop.defer(lambda: self.on_event(failed))

    def _remove_busy(self, connection: TargetConnection) -> None:
        for call, busy in tuple(self._busy.items()):
            if busy is connection:
                self._busy.pop(call)

    def _is_kept_alive(self, connection: TargetConnection) -> bool:
        """Return whether a connection is well within its keep-alive time."""
        idle_s = self.loop.now() - connection.idle_since
        return idle_s < connection.keep_alive_s - _KEEP_ALIVE_MARGIN_S

    def _is_recent(self, connection: TargetConnection) -> bool:
        """Return whether a connection was used within `_RECENT_USE_S`."""
        return self.loop.now() - connection.idle_since < _RECENT_USE_S

    def _is_current(self, connection: TargetConnection) -> bool:
        """Return whether a connection leads to the current target."""
        target = self._target
        address = (*connection.target.incarnation, connection.target.port)
        return target is not None and address == (
            *target.incarnation,
            target.port,
        )
