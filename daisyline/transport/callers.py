"""Callers' connections: requests in, whole answers or refusals out, in order."""

from collections import deque
from collections.abc import Callable
from typing import Any

import attrs

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
from daisyline.protocol.http_server import AnswerCodec, ServerCodec
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
# Requests of one connection that are under way at once.
_MOST_UNDER_WAY = 16

OnRequest = Callable[['CallerConnection', Request], None]


@attrs.define(eq=False)
class _Answer:
    """The answer to one request, which may wait behind earlier ones.

    Attributes:
        codec: Encodes it.
        call: The id of the call, or empty.
        overlaps: Whether later requests may begin before it is whole.
        octets: What can't be sent yet.
        untaken: Bytes of the body that the caller has not been sent yet.
        whole: Whether nothing more will follow.
        cut: Whether the connection breaks at this point.
        last: Whether it says that the connection closes after it.
    """

    codec: AnswerCodec
    call: str = ''
    overlaps: bool = False
    octets: bytearray = attrs.field(factory=bytearray)
    untaken: int = 0
    whole: bool = False
    cut: bool = False
    last: bool = False


class CallerConnection:
    """One caller's connection; its answers go out in the order of requests.

    A request is begun before those ahead of it have their answers only if
    all of them may overlap.

    Attributes:
        may_overlap: Tells whether a request may be under way beside others.
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
        self._codec = ServerCodec(body_limit_bytes)
        self._on_request = on_request
        self._on_event = on_event
        self._answers: deque[_Answer] = deque()
        self._held: Request | None = None
        self._closing = False
        self._ending = False
        self.may_overlap: Callable[[Request], bool] = _never
        self.on_gone: Callable[[CallerConnection], None] = bool
        connection.handler = self
        self._timeout = loop.call_later(_REQUEST_S, connection.abort)

    @property
    def call(self) -> str:
        """Return the id of the call whose answer is due next, or empty."""
        return self._answers[0].call if self._answers else ''

    @call.setter
    def call(self, call: str) -> None:
        """Name the call of the request that came last."""
        self._answers[-1].call = call

    @property
    def busy(self) -> bool:
        """Return whether a request is being sent or waits for its answer."""
        if self._ending or not self._connection.alive:
            return False
        under_way = bool(self._answers) or self._held is not None
        return under_way or not self._codec.idle

    def opened(self) -> None:
        """Do nothing; an accepted connection is open."""

    def received(self, octets: bytes) -> None:
        """Take bytes; a request that can't begin yet waits its turn."""
        if self._ending:
            return
        self._codec.feed(octets)
        self._read()

    def ended(self) -> None:
        """Treat a caller that has stopped sending as gone."""
        self._connection.abort()

    def drained(self) -> None:
        """Let the answer's sender go on once the caller has taken it."""
        if self._ending:
            self._linger()
            return
        if self._answers:
            self._credit(self._answers[0])
        self._read()

    def closed(self) -> None:
        """Report that nobody waits for the calls under way."""
        self._timeout.cancel()
        self.on_gone(self)
        lost = [one.call for one in self._answers if not one.whole]
        self._answers.clear()
        self._held = None
        for call in lost:
            if call:
                self._on_event(CallerLost(call))

    def answer(self, answer: AnswerCaller) -> None:
        """Send the head and first part of an answer."""
        waiting = self._waiting(answer.call)
        if waiting is None:
            return
        length = None
        if answer.last and not _has_length(answer.headers):
            length = len(answer.body)
        headers = self._said_last(waiting, answer.headers)
        head = waiting.codec.head(answer.status, headers, length)
        self._add(waiting, head, answer.body, answer.last)

    def part(self, part: AnswerCallerPart) -> None:
        """Send a further part of an answer."""
        waiting = self._waiting(part.call)
        if waiting is not None:
            self._add(waiting, b'', part.body, part.last)

    def refuse(self, refusal: RefuseCaller) -> None:
        """Send a refusal in place of an answer."""
        waiting = self._waiting(refusal.call)
        if waiting is not None:
            status = status_of(refusal.failure, self._dialect)
            self._refuse(waiting, refusal.failure, status)

    def cut(self, call: str = '') -> None:
        """Break the connection where an answer that can't be whole stands."""
        waiting = self._waiting(call) if call else self._first()
        if waiting is not None:
            waiting.call = ''
            waiting.cut = True
            self._flush()

    def say_last(self) -> None:
        """Say with the next answer that no further request is taken."""
        self._closing = True

    def finish(self) -> None:
        """Close after the calls under way, or at once if there are none."""
        self._closing = True
        self._loop.call_later(_LET_GO_S, self._let_go)

    def _let_go(self) -> None:
        if not self.busy and not self._connection.buffered:
            self._connection.close()

    def _first(self) -> _Answer | None:
        return self._answers[0] if self._answers else None

    def _waiting(self, call: str) -> _Answer | None:
        """Return the newest answer of a call, or of any, that isn't whole."""
        for waiting in reversed(self._answers):
            if not waiting.whole and call in {'', waiting.call}:
                return waiting
        return None

    def _read(self) -> None:
        """Begin the requests that are there whole and may begin."""
        while self._may_read():
            event = self._held or self._codec.next_event()
            if isinstance(event, Continue):
                self._connection.write(self._codec.say_continue())
                continue
            if isinstance(event, Malformed):
                self._reject(event)
                return
            if not isinstance(event, Request):
                self._connection.resume()
                return
            self._held = event
            if not self._may_begin(event):
                break
            self._begin(event)
        if self._connection.alive and not self._ending:
            # One that sends ahead of its answers is read no further for now.
            self._connection.pause()

    def _may_read(self) -> bool:
        if not self._connection.alive or self._ending or self._codec.over:
            return False
        if self._answers and self._answers[-1].last:
            return False
        if self._connection.buffered:
            # Until the caller has taken its answer, no further one is made.
            return False
        return len(self._answers) < _MOST_UNDER_WAY

    def _may_begin(self, request: Request) -> bool:
        if not self._answers:
            return True
        if not all(answer.overlaps for answer in self._answers):
            return False
        return self.may_overlap(request)

    def _begin(self, request: Request) -> None:
        self._held = None
        self._timeout.cancel()
        overlaps = self.may_overlap(request)
        self._answers.append(_Answer(self._codec.detach(), overlaps=overlaps))
        self._on_request(self, request)

    def _reject(self, event: Malformed) -> None:
        """Refuse what is no request, and take nothing after it."""
        answer = _Answer(self._codec, last=True)
        self._closing = True
        self._answers.append(answer)
        self._refuse(answer, event.failure, event.status)

    def _refuse(self, waiting: _Answer, failure: Failure, status: int) -> None:
        body = body_of(failure)
        headers = headers_of(failure, waiting.call)
        headers = self._said_last(waiting, headers)
        head = waiting.codec.head(status, headers, len(body))
        self._add(waiting, head, body, last=True)

    def _said_last(self, waiting: _Answer, headers: Headers) -> Headers:
        """Return headers that also say if no further request is taken.

        Requests that were begun after it have their answers first.
        """
        is_said = any(name.lower() == b'connection' for name, _ in headers)
        if is_said or not self._closing or waiting is not self._answers[-1]:
            return headers
        waiting.last = True
        return (*headers, (b'Connection', b'close'))

    def _add(
        self,
        waiting: _Answer,
        head: bytes | None,
        body: bytes,
        last: bool,
    ) -> None:
        """Add a piece of an answer; cut one that breaks its own framing."""
        end: bytes | None = b''
        octets = waiting.codec.part(body)
        if last and octets is not None:
            end = waiting.codec.end()
        if head is None or octets is None or end is None:
            self._fail(waiting)
            return
        waiting.octets += head + octets + end
        waiting.untaken += len(body)
        waiting.whole = last
        self._flush()

    def _fail(self, waiting: _Answer) -> None:
        """Cut an answer that can't be sent; nobody waits for it any more."""
        call = waiting.call
        waiting.call = ''
        waiting.cut = True
        self._flush()
        if call:
            self._on_event(CallerLost(call))

    def _flush(self) -> None:
        """Send the answers whose turn it is."""
        while self._answers and self._connection.alive:
            first = self._answers[0]
            if first.octets:
                octets = bytes(first.octets)
                first.octets.clear()
                self._connection.write(octets)
            if first.cut:
                self._connection.reset()
                return
            if not first.whole:
                self._credit(first)
                return
            self._answers.popleft()
            if not first.codec.reusable or first.last:
                self._end()
                return
        if self._connection.alive and not self._ending:
            self._wait_for_next()

    def _credit(self, answer: _Answer) -> None:
        """Let more of an answer come once the caller has taken enough."""
        if self._connection.buffered > _AHEAD_BYTES or not answer.untaken:
            return
        taken = answer.untaken
        answer.untaken = 0
        if answer.call and not answer.whole:
            self._on_event(CallerTook(answer.call, taken))

    def _wait_for_next(self) -> None:
        self._timeout.cancel()
        self._timeout = self._loop.call_later(_IDLE_S, self._connection.abort)
        if not self._connection.buffered:
            self._loop.defer(self._read)

    def _end(self) -> None:
        """Close after what was sent; further requests count as not read."""
        lost = [one.call for one in self._answers if not one.whole]
        self._answers.clear()
        self._ending = True
        self._connection.end()
        self._connection.resume()
        if not self._connection.buffered:
            self._linger()
        for call in filter(None, lost):
            self._on_event(CallerLost(call))

    def _linger(self) -> None:
        """Read on for a moment, until the caller has closed its end."""
        self._timeout.cancel()
        self._timeout = self._loop.call_later(_LINGER_S, self._connection.abort)


def _never(_request: Request) -> bool:
    """Let no request begin before the one ahead of it has its answer."""
    return False


def _has_length(headers: Headers) -> bool:
    return any(name.lower() == b'content-length' for name, _ in headers)
