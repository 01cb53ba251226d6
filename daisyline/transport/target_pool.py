"""Connections to the target: bounded, reused, and never after a failure."""

from collections import deque
from collections.abc import Callable
from typing import Any

from daisyline.coordination.call_events import StartTargetCall, TargetCallFailed
from daisyline.protocol.dialect import Dialect
from daisyline.state.targets import Target
from daisyline.transport.loop import Loop
from daisyline.transport.sockets import Connection
from daisyline.transport.target_connection import TargetConnection
from daisyline.transport.target_probe import TargetProber

# A target may close an idle connection while a call is on its way; so one is
# used only well before that, in seconds.
_CLOSING_S = 1.0
# A call that may not be repeated would be lost then; it takes a connection
# that was used within this time, in seconds.
_SURE_S = 0.5

Handler = Callable[[Any], None]


class TargetPool:
    """The connections to the one target beside this node."""

    def __init__(
        self, loop: Loop, on_event: Handler, dialect: Dialect | None = None
    ) -> None:
        """Start without a target."""
        self.dialect = dialect or Dialect()
        self.loop = loop
        self.on_event = on_event
        self._target: Target | None = None
        self._open: set[TargetConnection] = set()
        self._idle: list[TargetConnection] = []
        self._busy: dict[str, TargetConnection] = {}
        self._pending: deque[StartTargetCall] = deque()
        self._prober = TargetProber(loop, on_event, self.dialect)
        self.connection_limit: Callable[[], int] = lambda: 1

    @property
    def connection_count(self) -> int:
        """Return how many connections to the target are open."""
        return len(self._open)

    def set_target(self, target: Target | None) -> None:
        """Follow the target; connections to an older instance are closed."""
        self._target = target
        if target is None:
            return
        for connection in tuple(self._idle):
            if not self._leads_to_target(connection):
                connection.close()
        self._start_waiting()

    def start_call(self, start: StartTargetCall) -> None:
        """Send a call on an idle connection or on a new one."""
        if self._target is None:
            self._fail_unsent(start.call)
            return
        connection = self._take_idle(sure=not start.run.repeatable)
        if connection is not None:
            self._send(connection, start)
            return
        if self._idle and self.connection_count >= self.connection_limit():
            # One that is too old for this call makes room for a new one.
            self._idle[0].close()
        if self.connection_count >= self.connection_limit():
            self._pending.append(start)
        else:
            self._dial(self._target, start)

    def probe_pace(self, path: str) -> None:
        """Ask the target how fast it works."""
        if self._target is not None:
            self._prober.ask(self._target, path)

    def abort_call(self, call: str) -> None:
        """Tell the target to stop a call."""
        connection = self._busy.get(call)
        if connection is not None:
            connection.cancel()
            return
        waiting = [start for start in self._pending if start.call == call]
        for start in waiting:
            self._pending.remove(start)
            self._fail_unsent(call)

    def pause_read(self, call: str) -> None:
        """Stop reading the answer of a call."""
        connection = self._busy.get(call)
        if connection is not None:
            connection.pause_read()

    def resume_read(self, call: str) -> None:
        """Read the answer of a call again."""
        connection = self._busy.get(call)
        if connection is not None:
            connection.resume_read()

    def idle(self, connection: TargetConnection) -> None:
        """Keep a connection whose answer is whole for the next call."""
        connection.idle_since = self.loop.now()
        self._forget(connection)
        fits = self.connection_count <= self.connection_limit()
        if not fits or not self._leads_to_target(connection):
            connection.close()
        elif self._pending:
            self._send(connection, self._pending.popleft())
        else:
            self._idle.append(connection)

    def dropped(self, connection: TargetConnection) -> None:
        """Forget a connection that is closed, and use the room it leaves."""
        self._open.discard(connection)
        self._forget(connection)
        if connection in self._idle:
            self._idle.remove(connection)
        if self._pending:
            self.loop.defer(self._start_waiting)

    def suspect(self, since: float) -> None:
        """Close idle connections that were last used before a time.

        What lost track of one connection may have lost track of them too.
        """
        for connection in tuple(self._idle):
            if connection.idle_since <= since:
                connection.close()

    def _take_idle(self, *, sure: bool) -> TargetConnection | None:
        """Take the idle connection used last, if it may carry a call."""
        while self._idle:
            connection = self._idle[-1]
            is_fresh = connection.reusable and self._is_fresh(connection)
            if is_fresh and sure and not self._is_sure(connection):
                return None
            self._idle.pop()
            if is_fresh:
                return connection
            connection.close()
        return None

    def _start_waiting(self) -> None:
        """Start calls that wait for room, as far as there is room now."""
        while self._pending and self._target is not None:
            if (
                self.connection_count >= self.connection_limit()
                and not self._idle
            ):
                return
            self.start_call(self._pending.popleft())

    def _dial(self, target: Target, start: StartTargetCall) -> None:
        assert self.connection_count < self.connection_limit(), (
            'connections per server'
        )
        try:
            tcp_connection = Connection.dial(
                self.loop, target.host, target.port
            )
        except OSError:
            # The process has no descriptor left; nothing was sent.
            self._fail_unsent(start.call)
            return
        connection = TargetConnection(self, tcp_connection, target)
        self._open.add(connection)
        self._send(connection, start)

    def _send(
        self, connection: TargetConnection, start: StartTargetCall
    ) -> None:
        self._busy[start.call] = connection
        connection.send(start)

    def _fail_unsent(self, call: str) -> None:
        failed = TargetCallFailed(call, False, False, 'not sent')
        self.loop.defer(lambda: self.on_event(failed))

    def _forget(self, connection: TargetConnection) -> None:
        for call, busy in tuple(self._busy.items()):
            if busy is connection:
                self._busy.pop(call)

    def _is_fresh(self, connection: TargetConnection) -> bool:
        idle_s = self.loop.now() - connection.idle_since
        return idle_s < connection.kept_s - _CLOSING_S

    def _is_sure(self, connection: TargetConnection) -> bool:
        return self.loop.now() - connection.idle_since < _SURE_S

    def _leads_to_target(self, connection: TargetConnection) -> bool:
        """Return whether a connection is one to the target as it is now."""
        target = self._target
        place = (*connection.target.incarnation, connection.target.port)
        return target is not None and place == (
            *target.incarnation,
            target.port,
        )
