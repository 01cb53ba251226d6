"""Callers' connections: requests in, whole answers or refusals out, in order."""

from collections.abc import Callable
from typing import Any

from daisyline.coordination.call_events import (
    AnswerCaller,
    AnswerCallerPart,
    RefuseCaller,
)
from daisyline.protocol.dialect import Dialect
from daisyline.protocol.http_messages import (
    Continue,
    Malformed,
    Request,
)
from daisyline.protocol.http_server import ServerCodec
from daisyline.protocol.refusals import status_of
from daisyline.transport.answer_queue import Answer, AnswerQueue
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
# Requests of one connection that are under way at once.
_MOST_UNDER_WAY = 16

OnRequest = Callable[['CallerConnection', Request], None]


class CallerConnection:
    """One caller's connection; its answers go out in the order of requests.

    A request is begun before those ahead of it have their answers only if
    all of them may overlap.

    Attributes:
        answers: What is due to the caller.
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
        self.answers = AnswerQueue(connection, on_event)
        self._held: Request | None = None
        self._ending = False
        self.may_overlap: Callable[[Request], bool] = _never
        self.on_gone: Callable[[CallerConnection], None] = bool
        connection.handler = self
        self._timeout = loop.call_later(_REQUEST_S, connection.abort)

    @property
    def call(self) -> str:
        """Return the id of the call whose answer is due next, or empty."""
        first = self.answers.first
        return '' if first is None else first.call

    @call.setter
    def call(self, call: str) -> None:
        """Name the call of the request that came last."""
        newest = self.answers.newest
        assert newest is not None
        newest.call = call

    @property
    def busy(self) -> bool:
        """Return whether a request is being sent or waits for its answer."""
        if self._ending or not self._connection.is_open:
            return False
        under_way = len(self.answers) > 0 or self._held is not None
        return under_way or not self._codec.idle

    def handle_connected(self) -> None:
        """Do nothing; an accepted connection is open."""

    def handle_bytes(self, octets: bytes) -> None:
        """Take bytes; a request that can't begin yet waits its turn."""
        # What follows its last request is read only to see when it leaves.
        if not self._ending and not self._codec.over:
            self._codec.feed(octets)
            self._read()

    def handle_eof(self) -> None:
        """Treat a caller that has stopped sending as gone."""
        self._connection.abort()

    def handle_drained(self) -> None:
        """Let the answer's sender go on once the caller has taken it."""
        if self._ending:
            self._linger()
            return
        self.answers.credit()
        self._read()

    def handle_closed(self) -> None:
        """Report that nobody waits for the calls under way."""
        self._timeout.cancel()
        self.on_gone(self)
        self._held = None
        self.answers.drop()

    def answer(self, answer: AnswerCaller) -> None:
        """Send the head and first part of an answer."""
        waiting = self.answers.waiting(answer.call)
        if waiting is None:
            return
        self._go_on(self.answers.begin(waiting, answer))

    def part(self, part: AnswerCallerPart) -> None:
        """Send a further part of an answer."""
        waiting = self.answers.waiting(part.call)
        if waiting is not None:
            added = self.answers.add(waiting, b'', part.body, part.last)
            self._go_on(added)

    def refuse(self, refusal: RefuseCaller) -> None:
        """Send a refusal in place of an answer."""
        waiting = self.answers.waiting(refusal.call)
        if waiting is not None:
            status = status_of(refusal.failure, self._dialect)
            failure = refusal.failure
            self._go_on(self.answers.refuse(waiting, failure, status))

    def cut(self, call: str = '') -> None:
        """Break the connection where an answer that can't be whole stands."""
        first = self.answers.first
        waiting = self.answers.waiting(call) if call else first
        if waiting is not None:
            self.answers.cut(waiting)

    def finish(self) -> None:
        """Close after the calls under way, or at once if there are none."""
        self.answers.closing = True

        def let_go() -> None:
            if not self.busy and not self._connection.buffered_bytes:
                self._connection.close()

        self._loop.call_later(_LET_GO_S, let_go)

    def _read(self) -> None:
        """Begin the requests that are there whole and may begin."""
        goes_on = self._may_read()
        while goes_on:
            event = self._held or self._codec.next_event()
            goes_on = self._take(event) and self._may_read()
        is_full = len(self.answers) >= _MOST_UNDER_WAY
        if is_full or self._held is not None or self._connection.buffered_bytes:
            # One that sends ahead of its answers is read no further for now.
            self._connection.pause()

    def _take(self, event: Request | Continue | Malformed | None) -> bool:
        """Take what was read; return whether there may be more to read."""
        if isinstance(event, Continue):
            self._connection.write(self._codec.say_continue())
        elif isinstance(event, Malformed):
            # Nothing after it can be told apart, so nothing is taken.
            refused = Answer(self._codec, last=True)
            self.answers.closing = True
            self.answers.push(refused)
            failure, status = event.failure, event.status
            self._go_on(self.answers.refuse(refused, failure, status))
        elif isinstance(event, Request):
            self._held = event
            return self._begin(event)
        else:
            self._connection.resume()
            return False
        return True

    def _may_read(self) -> bool:
        if not self._connection.is_open or self._ending or self._codec.over:
            return False
        newest = self.answers.newest
        if newest is not None and newest.last:
            return False
        if self._connection.buffered_bytes:
            # Until the caller has taken its answer, no further one is made.
            return False
        return len(self.answers) < _MOST_UNDER_WAY

    def _begin(self, request: Request) -> bool:
        """Begin a request, unless it has to wait for answers before it."""
        overlaps = self.may_overlap(request)
        if self.answers and not (overlaps and self.answers.all_overlap):
            return False
        self._held = None
        self._timeout.cancel()
        self.answers.push(Answer(self._codec.detach(), overlaps=overlaps))
        self._on_request(self, request)
        return True

    def _go_on(self, reusable: bool) -> None:
        """Wait for the next request, or close after what was sent."""
        if not self._connection.is_open or self._ending:
            return
        if not reusable:
            # Further requests then count as not read.
            self._ending = True
            self._connection.end()
            self._connection.resume()
            if not self._connection.buffered_bytes:
                self._linger()
            self.answers.drop()
        elif not self.answers:
            abort = self._connection.abort
            self._timeout.cancel()
            self._timeout = self._loop.call_later(_IDLE_S, abort)
            if not self._connection.buffered_bytes:
                self._loop.defer(self._read)

    def _linger(self) -> None:
        """Read on for a moment, until the caller has closed its end."""
        self._timeout.cancel()
        self._timeout = self._loop.call_later(_LINGER_S, self._connection.abort)


def _never(_request: Request) -> bool:
    """Let no request begin before the one ahead of it has its answer."""
    return False
