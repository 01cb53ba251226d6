"""Callers' connections: reads requests, sends answers or refusals in order."""

from collections.abc import Callable
from typing import Any

from daisyline.protocol.dialect import Dialect
from daisyline.protocol.http_messages import (
    ContinueExpected,
    MalformedRequest,
    MoreBuffered,
    Request,
)
from daisyline.transport.caller_answers import AnsweringConnection
from daisyline.transport.loop import Loop
from daisyline.transport.queued_answer import QueuedAnswer
from daisyline.transport.sockets import Connection

# When the node stops, idle connections are closed after this delay.
_IDLE_CLOSE_DELAY_S = 0.5
# The number of concurrent requests of one connection.
_MAX_CONCURRENT_REQUESTS = 16

OnRequest = Callable[['CallerConnection', Request], None]


class CallerConnection(AnsweringConnection):
    """One caller's connection; its answers are sent in the order of requests.

    A request is started before the earlier ones are answered only if all of
    them may overlap.

    Attributes:
        may_overlap: Returns whether a request may run concurrently with
            other requests of the connection.
        on_closed: Called once, when the connection is closed.
        active_at: When bytes were last received, in monotonic seconds.
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
        super().__init__(loop, connection, body_limit_bytes, on_event, dialect)
        self._on_request = on_request
        self._postponed: Request | None = None
        self._awaits_turn = False
        self.active_at = loop.now()
        self.may_overlap: Callable[[Request], bool] = _forbid_overlap
        self.on_closed: Callable[[CallerConnection], None] = bool
        connection.handler = self

    @property
    def is_busy(self) -> bool:
        """Return whether a request or its answer is not wholly through.

        An answer is through when the kernel has its last byte.
        """
        if self.has_unsent_bytes:
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
        is_past_last = self._ending or self.answers.is_ending
        if not is_past_last and not self._codec.is_finished:
            self.active_at = self._loop.now()
            self._codec.feed(octets)
            self._update_memory()
            self._start_requests()

    def handle_eof(self) -> None:
        """Cancel the calls in progress, and send what is whole already.

        A caller that has only stopped sending can't be told from one that has
        closed its connection.
        """
        first = self.answers.first
        partial_bytes = 0 if first is None else first.sent_bytes
        self._ending = True
        self.answers.discard()
        if partial_bytes:
            self._delayed_reset.start(partial_bytes)
        else:
            self._connection.close()

    def handle_drained(self) -> None:
        """Continue once the buffered bytes are sent to the caller."""
        if self._ending:
            self._linger()
            return
        self._update_memory()
        self.answers.report_delivery()
        self._start_requests()

    def handle_closed(self) -> None:
        """Report that the caller of the unanswered calls is disconnected."""
        self._timeout.cancel()
        self.on_closed(self)
        self._postponed = None
        self.answers.discard()
        # The account counts the body no more, but the connection and this
        # object refer to each other until the next garbage collection.
        self._codec.discard_body()
        if self._memory is not None:
            self._memory.release()

    def close_gracefully(self) -> None:
        """Close when the calls in progress end; if idle, after a delay."""
        self.answers.closing = True

        def close_if_idle() -> None:
            if not self.is_busy:
                self._connection.close()

        self._loop.call_later(_IDLE_CLOSE_DELAY_S, close_if_idle)

    def _begin_turn(self) -> None:
        """Decode a bounded part of what was received."""
        self._awaits_turn = False
        self._codec.begin_turn()
        self._start_requests()

    def _start_requests(self) -> None:
        """Start the complete requests that may start now."""
        if self._ending:
            return
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
        self,
        event: Request
        | ContinueExpected
        | MalformedRequest
        | MoreBuffered
        | None,
    ) -> bool:
        """Handle a decoded event; return whether to decode the next one."""
        if isinstance(event, ContinueExpected) and not self.answers:
            self._connection.write(self._codec.continue_response())
        elif isinstance(event, MalformedRequest):
            self._refuse_unfinished(event.failure, event.status)
        elif isinstance(event, Request):
            self._postponed = event
            return self._start_request(event)
        else:
            self._await_bytes(isinstance(event, MoreBuffered))
            return False
        return True

    def _await_bytes(self, has_more: bool) -> None:
        """Go on when bytes come, or in the next turn if some are left."""
        self._bound_cost()
        if has_more and not self._ending:
            self._awaits_turn = True
            self._connection.pause_reading()
            self._loop.call_next(self._begin_turn)
        else:
            self._connection.resume_reading()

    def _bound_cost(self) -> None:
        """Count a body in tiny chunks; it is refused if there are too many."""
        if self._memory is not None and not self._ending:
            self._memory.record_cost(self._codec.costly_chunks)

    def _can_start(self) -> bool:
        if (
            not self._connection.is_open
            or self._ending
            or self._awaits_turn
            or self._codec.is_finished
        ):
            return False
        if self.answers.is_ending:
            return False
        if self._connection.buffered_bytes:
            # No further answer is produced until the caller reads this one.
            return False
        return len(self.answers) < _MAX_CONCURRENT_REQUESTS

    def _start_request(self, request: Request) -> bool:
        """Start a request; return whether earlier answers allowed that."""
        overlaps = self.may_overlap(request)
        if self.answers and not (overlaps and self.answers.can_extend):
            return False
        self._postponed = None
        self._timeout.cancel()
        request_bytes = self._codec.held_bytes
        self.answers.append(
            QueuedAnswer(
                self._codec.detach_answer(),
                overlaps=overlaps,
                request_bytes=request_bytes,
            )
        )
        self._update_memory()
        self._on_request(self, request)
        return True


def _forbid_overlap(_request: Request) -> bool:
    """Let no request start before the earlier one is answered."""
    return False
