"""Connections to the target: bounded, reused, and never after a failure."""

from collections.abc import Callable
from typing import Any

from daisyline.coordination.call_events import (
    StartTarget,
    TargetFailed,
    TargetHead,
    TargetPart,
)
from daisyline.protocol.http_client import ClientCodec
from daisyline.protocol.http_messages import (
    Broken,
    End,
    Head,
    Part,
    Request,
)
from daisyline.state.targets import Target
from daisyline.transport.loop import Loop
from daisyline.transport.sockets import Connection

# A target that was told to stop is given this long to close, in seconds.
_STOP_WAIT_S = 2.0
# A connection that has been idle for longer is not used again, in seconds.
_IDLE_S = 20.0
_MS_PER_S = 1000

Handler = Callable[[Any], None]


class _Exchange:
    """One connection to the target, carrying one call at a time."""

    def __init__(self, pool: 'TargetPool', connection: Connection) -> None:
        """Take a connection that is being made."""
        self._pool = pool
        self._codec = ClientCodec()
        self._connection = connection
        self._head: Head | None = None
        self._sent = False
        self._answered = False
        self._stopping = False
        self.call = ''
        self.idle_since = pool.loop.now()
        connection.handler = self

    @property
    def reusable(self) -> bool:
        """Return whether the connection may carry another call."""
        return self._connection.alive and not self.call

    def start(self, start: StartTarget) -> None:
        """Send a call."""
        self.call = start.call
        self._head = None
        self._answered = False
        run = start.run
        request = Request(run.method, run.path, run.headers, run.body)
        deadline_ms = str(int(start.budget_s * _MS_PER_S)).encode()
        extra = (
            (b'Daisyline-Call', start.call.encode()),
            (b'Daisyline-Deadline-Ms', deadline_ms),
        )
        self._sent = not self._connection.opening
        self._connection.write(self._codec.request(request, extra))

    def stop(self) -> None:
        """Tell the target that nobody waits; it answers by closing."""
        if not self._sent:
            self._connection.abort()
            return
        self._stopping = True
        self._connection.end()
        self._pool.loop.call_later(_STOP_WAIT_S, self._connection.abort)

    def hold(self) -> None:
        """Stop reading the answer."""
        self._connection.pause()

    def resume(self) -> None:
        """Read the answer again."""
        self._connection.resume()

    def close(self) -> None:
        """Close the connection."""
        self._connection.abort()

    def opened(self) -> None:
        """Note that the request is on its way."""
        self._sent = True

    def received(self, octets: bytes) -> None:
        """Hand on what came of the answer, in as few events as it fits."""
        if not self.call:
            self._connection.abort()
            return
        self._codec.feed(octets)
        self._hand_on()

    def ended(self) -> None:
        """Let the codec judge whether an answer ended by closing is whole."""
        self._codec.feed(b'')
        if self.call:
            self._hand_on()
        self._connection.abort()

    def drained(self) -> None:
        """Do nothing; requests are sent whole."""

    def closed(self) -> None:
        """Report a call that is cut short."""
        self._pool.dropped(self)
        self._fail('the connection closed')

    def _hand_on(self) -> None:
        body: list[bytes] = []
        event = self._codec.next_event()
        while isinstance(event, (Head, Part)):
            if isinstance(event, Head):
                self._head = event
            else:
                body.append(event.body)
            event = self._codec.next_event()
        if isinstance(event, End):
            self._finish(b''.join(body), event)
            return
        self._report(self._answer(b''.join(body), last=False))
        if isinstance(event, Broken):
            self._connection.abort()

    def _finish(self, body: bytes, end: End) -> None:
        """Free the connection first, as the next call may need it at once."""
        answer = self._answer(body, last=True)
        self.call = ''
        if end.reusable and not self._stopping:
            self._pool.idle(self)
        else:
            self._connection.abort()
        self._report(answer)

    def _answer(
        self, body: bytes, last: bool
    ) -> TargetHead | TargetPart | None:
        """Return the event for a part of the answer, its head going first."""
        if self._answered:
            part = TargetPart(self.call, body, last)
            return part if body or last else None
        head = self._head
        if head is None:
            return None
        self._answered = True
        return TargetHead(self.call, head.status, head.headers, body, last)

    def _report(self, event: TargetHead | TargetPart | None) -> None:
        if event is not None:
            self._pool.on_event(event)

    def _fail(self, detail: str) -> None:
        call = self.call
        self.call = ''
        if call:
            self._pool.on_event(
                TargetFailed(call, self._sent, self._sent, detail)
            )


class TargetPool:
    """The connections to the one target beside this node."""

    def __init__(self, loop: Loop, on_event: Handler) -> None:
        """Start without a target."""
        self.loop = loop
        self.on_event = on_event
        self._target: Target | None = None
        self._open: set[_Exchange] = set()
        self._idle: list[_Exchange] = []
        self._busy: dict[str, _Exchange] = {}
        self._pending: list[StartTarget] = []
        self.limit: Callable[[], int] = lambda: 1

    @property
    def connections(self) -> int:
        """Return how many connections to the target are open."""
        return len(self._open)

    def use_target(self, target: Target | None) -> None:
        """Follow the target; connections to an older instance are closed."""
        known = self._target
        self._target = target
        if known is None or target is None:
            return
        if known.instance != target.instance:
            for exchange in tuple(self._idle):
                exchange.close()

    def start(self, start: StartTarget) -> None:
        """Send a call on an idle connection or on a new one."""
        while self._idle:
            exchange = self._idle.pop()
            if exchange.reusable and self._is_fresh(exchange):
                self._send(exchange, start)
                return
            exchange.close()
        if self._target is None:
            self._fail_unsent(start.call)
        elif self.connections >= self.limit():
            self._pending.append(start)
        else:
            self._send(self._dial(self._target), start)

    def abort(self, call: str) -> None:
        """Tell the target to stop a call."""
        exchange = self._busy.get(call)
        if exchange is not None:
            exchange.stop()
            return
        waiting = [start for start in self._pending if start.call == call]
        for start in waiting:
            self._pending.remove(start)
            self._fail_unsent(call)

    def hold(self, call: str) -> None:
        """Stop reading the answer of a call."""
        exchange = self._busy.get(call)
        if exchange is not None:
            exchange.hold()

    def resume(self, call: str) -> None:
        """Read the answer of a call again."""
        exchange = self._busy.get(call)
        if exchange is not None:
            exchange.resume()

    def idle(self, exchange: _Exchange) -> None:
        """Keep a connection whose answer is whole for the next call."""
        exchange.idle_since = self.loop.now()
        self._forget(exchange)
        if self._pending:
            self._send(exchange, self._pending.pop(0))
        else:
            self._idle.append(exchange)

    def dropped(self, exchange: _Exchange) -> None:
        """Forget a connection that is closed, and use the room it leaves."""
        self._open.discard(exchange)
        self._forget(exchange)
        if exchange in self._idle:
            self._idle.remove(exchange)
        if self._pending and self._target is not None:
            start = self._pending.pop(0)
            self.loop.defer(lambda: self.start(start))

    def _dial(self, target: Target) -> _Exchange:
        assert self.connections < self.limit(), 'connections per server'
        connection = Connection.dial(self.loop, target.host, target.port)
        exchange = _Exchange(self, connection)
        self._open.add(exchange)
        return exchange

    def _send(self, exchange: _Exchange, start: StartTarget) -> None:
        self._busy[start.call] = exchange
        exchange.start(start)

    def _fail_unsent(self, call: str) -> None:
        failed = TargetFailed(call, False, False, 'not sent')
        self.loop.defer(lambda: self.on_event(failed))

    def _forget(self, exchange: _Exchange) -> None:
        for call, busy in tuple(self._busy.items()):
            if busy is exchange:
                self._busy.pop(call)

    def _is_fresh(self, exchange: _Exchange) -> bool:
        return self.loop.now() - exchange.idle_since < _IDLE_S
