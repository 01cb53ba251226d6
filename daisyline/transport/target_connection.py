"""A connection to the target and the call that it carries."""

from collections.abc import Callable
from typing import Any, Protocol

from daisyline.coordination.calls.call_events import (
    StartTargetCall,
    TargetAnswerHead,
    TargetAnswerPart,
    TargetCallFailed,
)
from daisyline.coordination.calls.messages import Headers
from daisyline.protocol.answer_reader import AnswerReader, Declined
from daisyline.protocol.dialect import Dialect, parse_pace
from daisyline.protocol.http_messages import (
    BrokenAnswer,
    End,
    Head,
    Part,
    Request,
)
from daisyline.state.targets import Target
from daisyline.transport.loop import Loop
from daisyline.transport.sockets import Connection
from daisyline.transport.target_condition import TargetCondition

# The time limit for a connection to be established.
CONNECT_TIMEOUT_S = 1.0
# If a call is cancelled after at least this time without a byte of an answer,
# idle connections that were last used before it are closed as well.
SUSPECT_SILENCE_S = 1.0
# The time limit for a target to close the connection of a cancelled call.
_CANCEL_TIMEOUT_S = 2.0
_MS_PER_S = 1000
# The keep-alive time of a target whose answers state none.
DEFAULT_KEEP_ALIVE_S = 20.0


class ConnectionOwner(Protocol):
    """The pool that a connection belongs to, as the connection uses it."""

    loop: Loop
    on_event: Callable[[Any], None]
    dialect: Dialect
    condition: TargetCondition

    def handle_idle(self, connection: 'TargetConnection') -> None:
        """Reuse a connection whose answer is complete, or close it."""

    def handle_closed(self, connection: 'TargetConnection') -> None:
        """Remove a connection that is closed."""

    def close_idle_before(self, since: float) -> None:
        """Close idle connections whose last use ended by a time.

        Args:
            since: The time, in monotonic seconds.
        """


class TargetConnection:
    """One connection to the target, carrying one call at a time.

    Attributes:
        target: The target at the other end.
        call: The id of the call in progress, or empty.
        started_at: When that call was sent, in monotonic seconds.
        idle_since: When the last answer was complete, in monotonic seconds.
        keep_alive_s: The time after which the target closes the connection
            if it is idle, in seconds.
    """

    def __init__(
        self, pool: ConnectionOwner, connection: Connection, target: Target
    ) -> None:
        """Wrap a TCP connection that is being established."""
        self._pool = pool
        self._answers = AnswerReader.from_dialect(pool.dialect)
        self._connection = connection
        self._head: Head | None = None
        self._buffered: list[bytes] = []
        self._sent = False
        self._head_reported = False
        self._cancelled = False
        self._has_ended = False
        self.target = target
        self.call = ''
        self.started_at = pool.loop.now()
        self.idle_since = self.started_at
        self.keep_alive_s = DEFAULT_KEEP_ALIVE_S
        connection.handler = self
        self._timeout = pool.loop.call_later(
            CONNECT_TIMEOUT_S, connection.abort
        )

    @property
    def is_reusable(self) -> bool:
        """Return whether the connection may carry another call."""
        return self._connection.is_open and not self.call

    def has_carried(self, start: StartTargetCall) -> bool:
        """Return whether the connection has carried a call with the same id."""
        return self._answers.has_carried(_request_of(start), start.call)

    def send(self, start: StartTargetCall) -> None:
        """Send a call; its bytes wait until the connection is established."""
        self.call = start.call
        self.started_at = self._pool.loop.now()
        self._head = None
        self._buffered = []
        self._head_reported = False
        extra = _extra_headers(start, self.target, self._pool.dialect)
        self._sent = not self._connection.is_connecting
        request = _request_of(start)
        for piece in self._answers.request(request, start.call, extra):
            self._connection.write(piece)

    def cancel(self) -> None:
        """Cancel the call in progress.

        The connection is closed at once if the call is not sent yet, or if
        that stops a call at the target. Otherwise only the sending side is
        closed; the target then stops the call and closes its side.
        """
        if not self._sent or self._pool.dialect.close_cancels_call:
            self._connection.abort()
            return
        self._cancelled = True
        if self._is_silent():
            self._pool.close_idle_before(self.started_at)
        self._connection.write_eof()
        self._timeout.cancel()
        self._timeout = self._pool.loop.call_later(
            _CANCEL_TIMEOUT_S, self._connection.abort
        )

    def pause_read(self) -> None:
        """Stop reading the answer, so that the target is slowed down."""
        self._connection.pause_reading()

    def resume_read(self) -> None:
        """Continue to read the answer."""
        self._connection.resume_reading()

    def close(self) -> None:
        """Close the connection at once."""
        self._connection.abort()

    def handle_connected(self) -> None:
        """Record that the request is being sent."""
        self._sent = True
        self._timeout.cancel()

    def handle_bytes(self, octets: bytes) -> None:
        """Report the received part of the answer in as few events as possible.

        Bytes without a call close the connection, as their call is unknown.
        """
        if not self.call:
            self._connection.abort()
            return
        self._answers.feed(octets)
        self._report_answer()

    def handle_eof(self) -> None:
        """Report the rest of an answer whose end the closing may mark."""
        self._has_ended = True
        self._answers.feed(b'')
        if self.call:
            self._report_answer()
        self._connection.abort()

    def handle_drained(self) -> None:
        """Do nothing; requests are written in one piece."""

    def handle_closed(self) -> None:
        """Report the call in progress, if any, as failed."""
        self._timeout.cancel()
        self._pool.handle_closed(self)
        self._report_failure('the connection closed')

    def _report_answer(self) -> None:
        body: list[bytes] = []
        event = self._answers.next_event()
        while isinstance(event, (Head, Part)):
            if isinstance(event, Head):
                self._use_head(event)
            else:
                body.append(event.body)
            event = self._answers.next_event()
        if isinstance(event, End):
            self._complete(b''.join(body), event)
            return
        self._report(self._answer_event(b''.join(body), last=False))
        if isinstance(event, Declined):
            self._pool.condition.report(self.target, event.head)
            self._report_failure('the target declined it', declined=True)
        elif isinstance(event, BrokenAnswer):
            if event.is_whole or not self._has_ended:
                detail = f'the answer is malformed: {event.detail}'
                self._report_failure(detail, crashed=False)
        if event is not None:
            self._connection.abort()

    def _use_head(self, head: Head) -> None:
        self._head = head
        self._pool.condition.report(self.target, head)
        self.keep_alive_s = (
            DEFAULT_KEEP_ALIVE_S
            if head.idle_timeout_s is None
            else head.idle_timeout_s
        )

    def _complete(self, body: bytes, end: End) -> None:
        """Release the connection, then report the last part of the answer.

        The report may start the next call, which can then use the connection.
        """
        answer = self._answer_event(body, last=True)
        self.call = ''
        # A call may be answered before its request is completely sent.
        is_sent = not self._connection.buffered_bytes
        if end.is_reusable and is_sent and not self._cancelled:
            self._pool.handle_idle(self)
        else:
            self._connection.abort()
        self._report(answer)

    def _is_silent(self) -> bool:
        """Return whether the call has waited long without an answer's head."""
        waited_s = self._pool.loop.now() - self.started_at
        return self._head is None and waited_s >= SUSPECT_SILENCE_S

    def _answer_event(
        self, body: bytes, last: bool
    ) -> TargetAnswerHead | TargetAnswerPart | None:
        """Return the event for a part of the answer, or None for no event.

        The first event of an answer has its head. It is delayed until the
        dialect's number of bytes is buffered or the answer is complete.
        """
        if self._head_reported:
            part = TargetAnswerPart(self.call, body, last)
            return part if body or last else None
        head = self._head
        if head is None:
            return None
        self._buffered.append(body)
        min_bytes = self._pool.dialect.retry_buffer_bytes
        if min_bytes and not last and sum(map(len, self._buffered)) < min_bytes:
            return None
        body = b''.join(self._buffered)
        self._buffered = []
        self._head_reported = True
        pace = parse_pace(head, self._pool.dialect)
        return TargetAnswerHead(
            self.call, head.status, head.headers, body, last, pace
        )

    def _report(
        self, event: TargetAnswerHead | TargetAnswerPart | None
    ) -> None:
        if event is not None:
            self._pool.on_event(event)

    def _report_failure(
        self, detail: str, *, declined: bool = False, crashed: bool = True
    ) -> None:
        """Report the call in progress, if any, as failed.

        Args:
            detail: The cause.
            declined: Whether the target reported that it did not run the call.
            crashed: Whether the target may have closed the connection, as it
                does when it crashes.
        """
        call = self.call
        self.call = ''
        if call:
            sent = self._sent
            self._pool.on_event(
                TargetCallFailed(call, sent, sent and crashed, detail, declined)
            )


def _request_of(start: StartTargetCall) -> Request:
    run = start.run
    return Request(run.method, run.path, run.headers, run.body)


def _extra_headers(
    start: StartTargetCall, target: Target, dialect: Dialect
) -> Headers:
    """Return the headers that daisyline adds to a call."""
    deadline_ms = str(int(start.budget_s * _MS_PER_S)).encode()
    headers = (
        (dialect.call, start.call.encode()),
        (dialect.target_deadline_ms, deadline_ms),
        (dialect.expected_instance, target.instance.encode()),
    )
    return tuple((name, content) for name, content in headers if name)
