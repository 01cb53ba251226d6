"""One connection to the target and the call that it carries."""

from collections.abc import Callable
from typing import Any, Protocol

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

# A connection that isn't made by then is given up, in seconds.
CONNECT_S = 1.0
# A call given up after so long without a byte of an answer puts connections
# that were last used before it in doubt, in seconds.
SILENT_S = 1.0
# A target that was told to stop is given this long to close, in seconds.
_STOP_WAIT_S = 2.0
_MS_PER_S = 1000


class Home(Protocol):
    """What a connection tells the pool that it belongs to."""

    loop: Loop
    on_event: Callable[[Any], None]

    def idle(self, exchange: 'Exchange') -> None:
        """Take back a connection whose answer is whole."""

    def dropped(self, exchange: 'Exchange') -> None:
        """Forget a connection that is closed."""

    def suspect(self, since: float) -> None:
        """Doubt idle connections that were last used before a time."""


class Exchange:
    """One connection to the target, carrying one call at a time.

    Attributes:
        target: What it leads to.
        call: The id of the call under way, or empty.
        started_at: When that call was sent, in monotonic seconds.
        idle_since: When the last answer was whole, in monotonic seconds.
    """

    def __init__(
        self, pool: Home, connection: Connection, target: Target
    ) -> None:
        """Take a connection to a target that is being made."""
        self._pool = pool
        self._codec = ClientCodec()
        self._connection = connection
        self._head: Head | None = None
        self._sent = False
        self._answered = False
        self._stopping = False
        self.target = target
        self.call = ''
        self.started_at = pool.loop.now()
        self.idle_since = self.started_at
        connection.handler = self
        self._timeout = pool.loop.call_later(CONNECT_S, connection.abort)

    @property
    def reusable(self) -> bool:
        """Return whether the connection may carry another call."""
        return self._connection.alive and not self.call

    def start(self, start: StartTarget) -> None:
        """Send a call."""
        self.call = start.call
        self.started_at = self._pool.loop.now()
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
        if self._is_silent():
            self._pool.suspect(self.started_at)
        self._connection.end()
        self._timeout.cancel()
        self._timeout = self._pool.loop.call_later(
            _STOP_WAIT_S, self._connection.abort
        )

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
        self._timeout.cancel()

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
        self._timeout.cancel()
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
        # One that was answered ahead of its request still has to send it.
        is_sent = not self._connection.buffered
        if end.reusable and is_sent and not self._stopping:
            self._pool.idle(self)
        else:
            self._connection.abort()
        self._report(answer)

    def _is_silent(self) -> bool:
        """Return whether not a byte of an answer has come for long."""
        waited_s = self._pool.loop.now() - self.started_at
        return self._head is None and waited_s >= SILENT_S

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
