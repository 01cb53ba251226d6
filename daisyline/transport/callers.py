"""Callers' connections: reads requests, sends answers or refusals in order."""

from collections.abc import Callable
from typing import Any

from daisyline.coordination.calls.call_events import (
    AnswerCaller,
    AnswerCallerPart,
    RefuseCaller,
)
from daisyline.protocol.dialect import Dialect
from daisyline.protocol.http_messages import (
    ContinueExpected,
    MalformedRequest,
    Request,
)
from daisyline.protocol.http_server import ServerCodec
from daisyline.protocol.refusals import status_of
from daisyline.transport.answer_queue import AnswerQueue, QueuedAnswer
from daisyline.transport.loop import Loop
from daisyline.transport.sockets import Connection

# The time limit for a new connection to send its first request.
_REQUEST_TIMEOUT_S = 30.0
# The time limit for an idle connection to send its next request.
_IDLE_TIMEOUT_S = 75.0
# After its last answer a connection is still read for this long. Closing a
# socket with unread bytes sends a reset, which can destroy the end of the
# answer before the caller has read it.
_LINGER_S = 1.0
# When the node stops, idle connections are closed after this delay.
_IDLE_CLOSE_DELAY_S = 0.5
# The number of concurrent requests of one connection.
_MAX_CONCURRENT_REQUESTS = 16

OnRequest = Callable[['CallerConnection', Request], None]


class CallerConnection:
    """One caller's connection; its answers are sent in the order of requests.

    A request is started before the earlier ones are answered only if all of
    them may overlap.

    Attributes:
        answers: The answers that are not completely sent.
        may_overlap: Returns whether a request may run concurrently with
            other requests of the connection.
        on_closed: Called once, when the connection is closed.
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
        """Wait for the first request.

        Args:
            loop: The event loop.
            connection: The accepted connection.
            body_limit_bytes: The maximum size of a request's body.
            on_request: Called with each request that may start.
            on_event: Called with the events of the connection's calls.
            dialect: The names of headers, and the statuses of refusals.
        """
        self._dialect = dialect or Dialect()
        self._loop = loop
        self._connection = connection
        self._codec = ServerCodec(body_limit_bytes)
        self._on_request = on_request
        self.answers = AnswerQueue(connection, on_event)
        self._postponed: Request | None = None
        self._ending = False
        self.may_overlap: Callable[[Request], bool] = _forbid_overlap
        self.on_closed: Callable[[CallerConnection], None] = bool
        connection.handler = self
        self._timeout = loop.call_later(_REQUEST_TIMEOUT_S, connection.abort)

    @property
    def call(self) -> str:
        """Return the id of the call that is answered next; empty if none is."""
        first = self.answers.first
        return '' if first is None else first.call

    @call.setter
    def call(self, call: str) -> None:
        """Set the id of the call of the newest request."""
        newest = self.answers.newest
        assert newest is not None
        newest.call = call

    @property
    def is_busy(self) -> bool:
        """Return whether a request or its answer is not wholly through.

        An answer is through when the kernel has its last byte.
        """
        if self.answers.has_unsent_bytes:
            return True
        if self._ending or not self._connection.is_open:
            return False
        in_progress = len(self.answers) > 0 or self._postponed is not None
        return in_progress or not self._codec.is_idle

    def handle_connected(self) -> None:
        """Do nothing; an accepted connection is open."""

    def handle_bytes(self, octets: bytes) -> None:
        """Decode bytes and start the requests that may start now."""
        # After the last request the connection is read only to detect that
        # the caller closes it.
        if not self._ending and not self._codec.is_finished:
            self._codec.feed(octets)
            self._start_requests()

    def handle_eof(self) -> None:
        """Treat a caller that has stopped sending as disconnected."""
        self._connection.abort()

    def handle_drained(self) -> None:
        """Continue once the buffered bytes are sent to the caller."""
        if self._ending:
            self._linger()
            return
        self.answers.report_delivery()
        self._start_requests()

    def handle_closed(self) -> None:
        """Report that the caller of the unanswered calls is disconnected."""
        self._timeout.cancel()
        self.on_closed(self)
        self._postponed = None
        self.answers.discard()

    def send_answer(self, answer: AnswerCaller) -> None:
        """Send the head and first part of an answer."""
        queued = self.answers.find_incomplete(answer.call)
        if queued is None:
            return
        self._continue_or_close(self.answers.send_head(queued, answer))

    def send_part(self, part: AnswerCallerPart) -> None:
        """Send a further part of an answer."""
        queued = self.answers.find_incomplete(part.call)
        if queued is not None:
            reusable = self.answers.send_part(queued, b'', part.body, part.last)
            self._continue_or_close(reusable)

    def send_refusal(self, refusal: RefuseCaller) -> None:
        """Send a refusal in place of an answer."""
        queued = self.answers.find_incomplete(refusal.call)
        if queued is not None:
            status = status_of(refusal.failure, self._dialect)
            failure = refusal.failure
            self._continue_or_close(
                self.answers.send_refusal(queued, failure, status)
            )

    def abort_answer(self, call: str = '') -> None:
        """Reset the connection, as an answer cannot be completed.

        Args:
            call: The id of the call; empty for the answer that is sent next.
        """
        first = self.answers.first
        queued = self.answers.find_incomplete(call) if call else first
        if queued is not None:
            self.answers.abort(queued)

    def close_gracefully(self) -> None:
        """Close when the calls in progress end; if idle, after a delay."""
        self.answers.closing = True

        def close_if_idle() -> None:
            if not self.is_busy:
                self._connection.close()

        self._loop.call_later(_IDLE_CLOSE_DELAY_S, close_if_idle)

    def _start_requests(self) -> None:
        """Start the complete requests that may start now."""
        has_more = self._can_start()
        while has_more:
            event = self._postponed or self._codec.next_event()
            has_more = self._handle_event(event) and self._can_start()
        is_full = len(self.answers) >= _MAX_CONCURRENT_REQUESTS
        if (
            is_full
            or self._postponed is not None
            or self._connection.buffered_bytes
        ):
            # Limits the memory for a caller that sends faster than it reads.
            self._connection.pause_reading()

    def _handle_event(
        self, event: Request | ContinueExpected | MalformedRequest | None
    ) -> bool:
        """Handle a decoded event; return whether to decode the next one."""
        if isinstance(event, ContinueExpected):
            self._connection.write(self._codec.continue_response())
        elif isinstance(event, MalformedRequest):
            # The end of a malformed request is unknown, so no request after it
            # can be read.
            refused = QueuedAnswer(self._codec, closes_connection=True)
            self.answers.closing = True
            self.answers.append(refused)
            failure, status = event.failure, event.status
            self._continue_or_close(
                self.answers.send_refusal(refused, failure, status)
            )
        elif isinstance(event, Request):
            self._postponed = event
            return self._start_request(event)
        else:
            self._connection.resume_reading()
            return False
        return True

    def _can_start(self) -> bool:
        if (
            not self._connection.is_open
            or self._ending
            or self._codec.is_finished
        ):
            return False
        newest = self.answers.newest
        if newest is not None and newest.closes_connection:
            return False
        if self._connection.buffered_bytes:
            # No further answer is produced until the caller reads this one.
            return False
        return len(self.answers) < _MAX_CONCURRENT_REQUESTS

    def _start_request(self, request: Request) -> bool:
        """Start a request; return whether earlier answers allowed that."""
        overlaps = self.may_overlap(request)
        if self.answers and not (overlaps and self.answers.all_overlap):
            return False
        self._postponed = None
        self._timeout.cancel()
        self.answers.append(
            QueuedAnswer(self._codec.detach_answer(), overlaps=overlaps)
        )
        self._on_request(self, request)
        return True

    def _continue_or_close(self, reusable: bool) -> None:
        """Wait for the next request, or close after the buffered bytes."""
        if not self._connection.is_open or self._ending:
            return
        if not reusable:
            # From now on further requests are ignored.
            self._ending = True
            self._connection.write_eof()
            self._connection.resume_reading()
            if not self._connection.buffered_bytes:
                self._linger()
            self.answers.discard()
        elif not self.answers:
            abort = self._connection.abort
            self._timeout.cancel()
            self._timeout = self._loop.call_later(_IDLE_TIMEOUT_S, abort)
            if not self._connection.buffered_bytes:
                self._loop.defer(self._start_requests)

    def _linger(self) -> None:
        """Read for a short time, until the caller has closed its end."""
        self._timeout.cancel()
        self._timeout = self._loop.call_later(_LINGER_S, self._connection.abort)


def _forbid_overlap(_request: Request) -> bool:
    """Let no request start before the earlier one is answered."""
    return False
