"""One connection to the target and the call that it carries."""

from collections.abc import Callable
from typing import Any, Protocol

from daisyline.coordination.call_events import (
    StartTargetCall,
    TargetAnswerHead,
    TargetAnswerPart,
    TargetCallFailed,
)
from daisyline.coordination.messages import Headers
from daisyline.protocol.answer_check import Verdict, judge_head
from daisyline.protocol.dialect import Dialect, pace_from
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
# How long an idle connection is kept by a target that doesn't say, in seconds.
DEFAULT_KEPT_S = 20.0


class Home(Protocol):
    """What a connection tells the pool that it belongs to."""

    loop: Loop
    on_event: Callable[[Any], None]
    dialect: Dialect

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
        kept_s: How long the target keeps it while it is idle, in seconds.
    """

    def __init__(
        self, pool: Home, connection: Connection, target: Target
    ) -> None:
        """Take a connection to a target that is being made."""
        self._pool = pool
        self._codec = ClientCodec()
        self._connection = connection
        self._head: Head | None = None
        self._held: list[bytes] = []
        self._request_id = b''
        self._sent = False
        self._answered = False
        self._stopping = False
        self.target = target
        self.call = ''
        self.started_at = pool.loop.now()
        self.idle_since = self.started_at
        self.kept_s = DEFAULT_KEPT_S
        connection.handler = self
        self._timeout = pool.loop.call_later(CONNECT_S, connection.abort)

    @property
    def reusable(self) -> bool:
        """Return whether the connection may carry another call."""
        return self._connection.is_open and not self.call

    def start(self, start: StartTargetCall) -> None:
        """Send a call."""
        self.call = start.call
        self.started_at = self._pool.loop.now()
        self._head = None
        self._held = []
        self._answered = False
        run = start.run
        request = Request(run.method, run.path, run.headers, run.body)
        self._request_id = request.header(self._pool.dialect.request_id)
        extra = self._extra(start)
        self._sent = not self._connection.is_connecting
        self._connection.write(self._codec.request(request, extra))

    def stop(self) -> None:
        """Tell the target that nobody waits; it answers by closing."""
        if not self._sent or self._pool.dialect.closing_stops:
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

    def handle_connected(self) -> None:
        """Note that the request is on its way."""
        self._sent = True
        self._timeout.cancel()

    def handle_bytes(self, octets: bytes) -> None:
        """Hand on what came of the answer, in as few events as it fits."""
        if not self.call:
            self._connection.abort()
            return
        self._codec.feed(octets)
        self._hand_on()

    def handle_eof(self) -> None:
        """Let the codec judge whether an answer ended by closing is whole."""
        self._codec.feed(b'')
        if self.call:
            self._hand_on()
        self._connection.abort()

    def handle_drained(self) -> None:
        """Do nothing; requests are sent whole."""

    def handle_closed(self) -> None:
        """Report a call that is cut short."""
        self._timeout.cancel()
        self._pool.dropped(self)
        self._fail('the connection closed')

    def _hand_on(self) -> None:
        body: list[bytes] = []
        event = self._codec.next_event()
        while isinstance(event, (Head, Part)):
            if isinstance(event, Head):
                if not self._take_head(event):
                    return
            else:
                body.append(event.body)
            event = self._codec.next_event()
        if isinstance(event, End):
            self._finish(b''.join(body), event)
            return
        self._report(self._answer(b''.join(body), last=False))
        if isinstance(event, Broken):
            self._connection.abort()

    def _take_head(self, head: Head) -> bool:
        """Keep the head of this call's answer; give up any other answer."""
        verdict = judge_head(head, self._request_id, self._pool.dialect)
        if verdict is Verdict.OWN:
            self._head = head
            self.kept_s = DEFAULT_KEPT_S if head.idle_s is None else head.idle_s
            return True
        if verdict is Verdict.DECLINED:
            self._fail('the target declined it', declined=True)
        self._connection.abort()
        return False

    def _extra(self, start: StartTargetCall) -> Headers:
        """Return the headers of ours that go along with a call."""
        dialect = self._pool.dialect
        deadline_ms = str(int(start.budget_s * _MS_PER_S)).encode()
        named = (
            (dialect.call, start.call.encode()),
            (dialect.target_deadline_ms, deadline_ms),
            (dialect.expected, self.target.instance.encode()),
        )
        return tuple((name, content) for name, content in named if name)

    def _finish(self, body: bytes, end: End) -> None:
        """Free the connection first, as the next call may need it at once."""
        answer = self._answer(body, last=True)
        self.call = ''
        # One that was answered ahead of its request still has to send it.
        is_sent = not self._connection.buffered_bytes
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
    ) -> TargetAnswerHead | TargetAnswerPart | None:
        """Return the event for a part of the answer, its head going first."""
        if self._answered:
            part = TargetAnswerPart(self.call, body, last)
            return part if body or last else None
        head = self._head
        if head is None:
            return None
        self._held.append(body)
        held_bytes = self._pool.dialect.held_bytes
        if held_bytes and not last and sum(map(len, self._held)) < held_bytes:
            return None
        body = b''.join(self._held)
        self._held = []
        self._answered = True
        pace = pace_from(head, self._pool.dialect)
        return TargetAnswerHead(
            self.call, head.status, head.headers, body, last, pace
        )

    def _report(
        self, event: TargetAnswerHead | TargetAnswerPart | None
    ) -> None:
        if event is not None:
            self._pool.on_event(event)

    def _fail(self, detail: str, *, declined: bool = False) -> None:
        call = self.call
        self.call = ''
        if call:
            sent = self._sent
            self._pool.on_event(
                TargetCallFailed(call, sent, sent, detail, declined)
            )
