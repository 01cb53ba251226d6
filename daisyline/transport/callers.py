"""Callers' connections: requests in, whole answers or refusals out, in order."""

from collections.abc import Callable
from typing import Any

from daisyline.coordination.call_events import (
    AnswerCaller,
    AnswerCallerPart,
    CallerLost,
    CallerTook,
    RefuseCaller,
)
from daisyline.coordination.messages import Headers
from daisyline.protocol.dialect import Dialect
from daisyline.protocol.http_messages import (
    Continue,
    Malformed,
    Request,
)
from daisyline.protocol.http_server import ServerCodec
from daisyline.protocol.refusals import body_of, headers_of, status_of
from daisyline.state.failures import Failure
from daisyline.transport.loop import Loop
from daisyline.transport.sockets import Connection

# A caller that sends part of a request and then nothing is cut off, and one
# that is idle between requests is let go, in seconds.
_REQUEST_S = 30.0
_IDLE_S = 75.0
# After its last answer a connection is read on for this long, in seconds:
# closed with bytes unread, it would be reset and the answer's end be lost.
_LINGER_S = 1.0
# When the node stops, idle callers are let go after this long, in seconds.
_LET_GO_S = 0.5
# How far ahead of a slow caller an answer is buffered, in bytes.
_AHEAD_BYTES = 65_536

OnRequest = Callable[['CallerConnection', Request], None]


class CallerConnection:
    """One caller's connection; one call at a time, the next one after it.

    Attributes:
        call: The id of the call under way, or empty.
    """

    def __init__(
        self,
        loop: Loop,
        connection: Connection,
        body_limit_bytes: int,
        on_request: OnRequest,
        on_event: Callable[[Any], None],
        dialect: Dialect | None = None,
    ) -> None:
        """Wait for the first request."""
        self._dialect = dialect or Dialect()
        self._loop = loop
        self._connection = connection
        self._codec = ServerCodec(body_limit_bytes, self._dialect.reserved)
        self._on_request = on_request
        self._on_event = on_event
        self._untaken = 0
        self._closing = False
        self._refused = False
        self._ending = False
        self.call = ''
        self.on_gone: Callable[[CallerConnection], None] = bool
        connection.handler = self
        self._timeout = loop.call_later(_REQUEST_S, connection.abort)

    @property
    def busy(self) -> bool:
        """Return whether a request is being sent or waits for its answer."""
        if self._ending or not self._connection.alive:
            return False
        return bool(self.call) or not self._codec.idle

    def opened(self) -> None:
        """Do nothing; an accepted connection is open."""

    def received(self, octets: bytes) -> None:
        """Take bytes; a request behind one under way waits its turn."""
        if self._ending:
            return
        self._codec.feed(octets)
        if self.call or self._connection.buffered:
            # One that sends ahead of its answers is read no further for now.
            self._connection.pause()
        else:
            self._next()

    def ended(self) -> None:
        """Treat a caller that has stopped sending as gone."""
        self._connection.abort()

    def drained(self) -> None:
        """Let the answer's sender go on once the caller has taken it."""
        if self._ending:
            self._linger()
        elif not self.call:
            self._connection.resume()
            self._next()
        elif self._untaken:
            taken = self._untaken
            self._untaken = 0
            self._on_event(CallerTook(self.call, taken))

    def closed(self) -> None:
        """Report that nobody waits for the call under way."""
        self._timeout.cancel()
        self.on_gone(self)
        call = self.call
        self.call = ''
        if call:
            self._on_event(CallerLost(call))

    def answer(self, answer: AnswerCaller) -> None:
        """Send the head and first part of an answer."""
        length = None
        if answer.last and not _has_length(answer.headers):
            length = len(answer.body)
        headers = _said_last(answer.headers, self._closing)
        head = self._codec.head(answer.status, headers, length)
        self._send(head, answer.body, answer.last)

    def part(self, part: AnswerCallerPart) -> None:
        """Send a further part of an answer."""
        self._send(b'', part.body, part.last)

    def refuse(self, refusal: RefuseCaller) -> None:
        """Send a refusal in place of an answer."""
        self._refuse(refusal.failure, status_of(refusal.failure, self._dialect))

    def cut(self) -> None:
        """Break the connection, so that the answer can't pass for whole."""
        self.call = ''
        self._connection.reset()

    def say_last(self) -> None:
        """Say with the next answer that no further request is taken."""
        self._closing = True

    def finish(self) -> None:
        """Close after the call under way, or at once if there is none."""
        self._closing = True
        self._loop.call_later(_LET_GO_S, self._let_go)

    def _let_go(self) -> None:
        if not self.busy and not self._connection.buffered:
            self._connection.close()

    def _next(self) -> None:
        """Begin the next request, if it is there whole."""
        event = self._codec.next_event()
        if isinstance(event, Continue):
            self._connection.write(self._codec.say_continue())
            event = self._codec.next_event()
        if isinstance(event, Malformed):
            self._closing = True
            self._refused = True
            self._refuse(event.failure, event.status)
        elif isinstance(event, Request):
            self._timeout.cancel()
            self._on_request(self, event)

    def _refuse(self, failure: Failure, status: int) -> None:
        body = body_of(failure)
        headers = _said_last(headers_of(failure, self.call), self._closing)
        head = self._codec.head(status, headers, len(body))
        self._send(head, body, last=True)

    def _send(self, head: bytes | None, body: bytes, last: bool) -> None:
        """Send a piece of an answer, or cut one that breaks its own framing."""
        end = b''
        octets = self._codec.part(body)
        if last and octets is not None:
            end = self._codec.end()
        if head is None or octets is None or end is None:
            self._fail()
            return
        self._connection.write(head + octets + end)
        if last:
            self._finish_answer()
        elif self._connection.buffered > _AHEAD_BYTES:
            self._untaken += len(body)
        elif self.call:
            self._on_event(CallerTook(self.call, len(body)))

    def _finish_answer(self) -> None:
        self.call = ''
        self._untaken = 0
        self._timeout.cancel()
        self._timeout = self._loop.call_later(_IDLE_S, self._connection.abort)
        if self._refused or self._closing or not self._codec.reusable:
            self._ending = True
            self._connection.end()
            self._connection.resume()
            if not self._connection.buffered:
                self._linger()
            return
        self._codec.next_cycle()
        if not self._connection.buffered:
            # Until the caller has taken its answer, no further one is made.
            self._connection.resume()
            self._loop.defer(self._next_if_idle)

    def _linger(self) -> None:
        """Read on for a moment, until the caller has closed its end."""
        self._timeout.cancel()
        self._timeout = self._loop.call_later(_LINGER_S, self._connection.abort)

    def _fail(self) -> None:
        """Cut an answer that can't be sent; nobody waits for it any more."""
        call = self.call
        self.cut()
        if call:
            self._on_event(CallerLost(call))

    def _next_if_idle(self) -> None:
        idle = not self.call and not self._connection.buffered
        if self._connection.alive and not self._ending and idle:
            self._next()


def _has_length(headers: Headers) -> bool:
    return any(name.lower() == b'content-length' for name, _ in headers)


def _said_last(headers: Headers, closing: bool) -> Headers:
    """Return headers that also say if no further request is taken."""
    is_said = any(name.lower() == b'connection' for name, _ in headers)
    if is_said or not closing:
        return headers
    return (*headers, (b'Connection', b'close'))
