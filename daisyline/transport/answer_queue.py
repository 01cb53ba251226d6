"""Answers to the requests of one connection, sent in the requests' order."""

from collections import deque
from collections.abc import Callable
from typing import Any

from daisyline.coordination.calls.call_events import AnswerCaller
from daisyline.coordination.calls.caller_events import (
    AnswerBroken,
    AnswerBytesDelivered,
    CallerDisconnected,
)
from daisyline.coordination.calls.messages import Headers
from daisyline.protocol.dialect import Dialect
from daisyline.protocol.refusals import body_of, headers_of, status_of
from daisyline.state.failures import Failure, Outcome, Reason
from daisyline.transport.delayed_reset import DelayedReset
from daisyline.transport.queued_answer import QueuedAnswer
from daisyline.transport.sockets import Connection

# More of an answer is requested only while at most this many bytes wait for
# the caller.
_CREDIT_THRESHOLD_BYTES = 65_536
_INVALID_ANSWER = Failure(
    Reason.TARGET_LOST, Outcome.UNKNOWN, 'the answer violates its framing'
)
_OVERDUE = Failure(
    Reason.DEADLINE, Outcome.UNKNOWN, 'the answer is not complete'
)


class AnswerQueue:
    """The answers that a connection still has to send, the earliest first.

    An answer may break off at its target. While others wait behind it, none of
    it is sent before it is complete, up to a size: a refusal then takes its
    place. Otherwise only a reset of the connection keeps the part that was
    sent from looking complete.

    Attributes:
        closing: Whether the connection accepts no request after the newest
            one in the queue.
    """

    def __init__(
        self,
        connection: Connection,
        on_event: Callable[[Any], None],
        delayed_reset: DelayedReset,
        dialect: Dialect,
    ) -> None:
        """Start without an answer."""
        self._connection = connection
        self._delayed_reset = delayed_reset
        self._dialect = dialect
        self._on_event = on_event
        self._answers: deque[QueuedAnswer] = deque()
        self.closing = False

    def __len__(self) -> int:
        """Return the number of answers in the queue."""
        return len(self._answers)

    def count_held(self) -> tuple[int, int]:
        """Return the bytes of the requests and those of the unread answers."""
        request_bytes = 0
        answer_bytes = self._connection.buffered_bytes
        for answer in self._answers:
            request_bytes += answer.request_bytes
            answer_bytes += len(answer.unsent)
        return request_bytes, answer_bytes

    @property
    def first(self) -> QueuedAnswer | None:
        """Return the answer that is sent next, or None."""
        return self._answers[0] if self._answers else None

    @property
    def newest(self) -> QueuedAnswer | None:
        """Return the answer to the newest request, or None."""
        return self._answers[-1] if self._answers else None

    @property
    def is_ending(self) -> bool:
        """Return whether no request is answered after those in the queue."""
        return any(
            answer.is_aborted or answer.closes_connection
            for answer in self._answers
        )

    @property
    def keeps_whole_answers(self) -> bool:
        """Return whether whole answers wait behind one that is not sent."""
        first = self.first
        is_begun = first is None or bool(first.sent_bytes)
        return not is_begun and any(
            answer.is_complete for answer in self._answers
        )

    @property
    def can_extend(self) -> bool:
        """Return whether a further request may start beside all of them.

        Its answer would be lost with one that has to be sent while it is
        incomplete, and breaks off.
        """
        return all(
            answer.overlaps and answer.can_be_held for answer in self._answers
        )

    def append(self, answer: QueuedAnswer) -> None:
        """Add the answer to a request that was just received."""
        self._answers.append(answer)

    def find_incomplete(self, call: str) -> QueuedAnswer | None:
        """Return the newest incomplete answer of a call, or None.

        An empty call matches the answers of all calls.
        """
        for answer in reversed(self._answers):
            if not answer.is_complete and call in {'', answer.call}:
                return answer
        return None

    def send_head(self, answer: QueuedAnswer, head: AnswerCaller) -> bool:
        """Send the head and first part; return the same as `send_part`."""
        length = None
        if head.last and not _has_header(head.headers, b'content-length'):
            length = len(head.body)
        answer.record_head(head.headers)
        headers = self._add_connection_close(answer, head.headers)
        octets = answer.codec.head(head.status, headers, length)
        return self.send_part(answer, octets, head.body, head.last)

    def send_refusal(
        self, answer: QueuedAnswer, failure: Failure, status: int | None = None
    ) -> bool:
        """Send a refusal as the answer; return the same as `send_part`.

        Args:
            answer: The answer, none of which was sent.
            failure: The reason and outcome of the refusal.
            status: The HTTP status; None for that of the failure.
        """
        if status is None:
            status = status_of(failure, self._dialect)
        answer.is_refusal = True
        body = body_of(failure)
        headers = self._add_connection_close(
            answer, headers_of(failure, answer.call)
        )
        head = answer.codec.head(status, headers, len(body))
        return self.send_part(answer, head, body, last=True)

    def send_part(
        self, answer: QueuedAnswer, head: bytes | None, body: bytes, last: bool
    ) -> bool:
        """Send a part; return whether the connection may carry more.

        An answer that violates its own framing is aborted.
        """
        end: bytes | None = b''
        octets = answer.codec.part(body)
        if last and octets is not None:
            end = answer.codec.end()
        if head is None or octets is None or end is None:
            return self.abort(answer, _INVALID_ANSWER, is_running=True)
        answer.unsent += head + octets + end
        answer.uncredited_bytes += len(body)
        answer.is_complete = last
        return self.flush()

    def abort(
        self,
        answer: QueuedAnswer,
        failure: Failure,
        *,
        is_running: bool = False,
    ) -> bool:
        """End an answer that can't be sent whole; return as `send_part` does.

        If none of it was sent, it is refused. Otherwise the connection is
        reset once the answers before it are through.

        Args:
            answer: The answer.
            failure: The reason and outcome.
            is_running: Whether its call has to be cancelled.
        """
        call = answer.call
        is_refused = answer.can_be_refused
        if call:
            lost = 0 if is_refused else len(self) - 1
            broken = AnswerBroken(call, failure.reason, is_refused, lost)
            self._on_event(broken)
        if is_refused:
            answer.discard_unsent()
            may_go_on = self.send_refusal(answer, failure)
        else:
            answer.call = ''
            answer.is_aborted = True
            may_go_on = self.flush()
        if call and is_running:
            self._on_event(CallerDisconnected(call))
        return may_go_on

    def expire(self, call: str) -> bool:
        """Refuse an answer that is held at its deadline; return as `flush`.

        Only the others that wait behind it can still be in time.
        """
        first = self.first
        if first is None or first.call != call:
            return self._connection.is_open
        if _is_first_held(self._answers):
            return self.abort(first, _OVERDUE, is_running=True)
        return self._connection.is_open

    def refuse(
        self, is_refused: Callable[[QueuedAnswer], Any], failure: Failure
    ) -> bool:
        """Refuse answers of which nothing was sent; return as `flush`.

        Args:
            is_refused: Returns whether to refuse an answer.
            failure: The reason and outcome.
        """
        may_go_on = True
        for answer in reversed(tuple(self._answers)):
            if answer.can_be_refused and is_refused(answer):
                is_running = not answer.is_complete
                may_go_on = self.abort(answer, failure, is_running=is_running)
        return may_go_on

    def flush(self) -> bool:
        """Send what is next; return whether the connection may carry more."""
        while self._answers and self._connection.is_open:
            first = self._answers[0]
            if first.unsent and not _is_first_held(self._answers):
                self._connection.write(first.take_unsent())
            if first.is_aborted:
                self._delayed_reset.start(first.sent_bytes)
                return self._connection.is_open
            if not first.is_complete:
                self.report_delivery()
                return True
            self._answers.popleft()
            if not first.codec.is_reusable or first.closes_connection:
                return False
        return self._connection.is_open

    def report_delivery(self) -> None:
        """Report bytes of the first answer, so that more of it follow.

        Those of an answer that is held are reported as well.
        """
        first = self.first
        if first is None or not first.uncredited_bytes or first.is_complete:
            return
        if self._connection.buffered_bytes > _CREDIT_THRESHOLD_BYTES:
            return
        delivered_bytes = first.uncredited_bytes
        first.uncredited_bytes = 0
        if first.call:
            self._on_event(AnswerBytesDelivered(first.call, delivered_bytes))

    def discard(self) -> None:
        """Drop all answers and report the calls whose answer is incomplete."""
        lost = [
            answer.call for answer in self._answers if not answer.is_complete
        ]
        self._answers.clear()
        for call in filter(None, lost):
            self._on_event(CallerDisconnected(call))

    def _add_connection_close(
        self, answer: QueuedAnswer, headers: Headers
    ) -> Headers:
        """Return the headers, with `Connection: close` if this is the last.

        Only the newest answer gets it, so that all requests that were started
        are answered.
        """
        is_newest = answer is self.newest
        if (
            not self.closing
            or not is_newest
            or _has_header(headers, b'connection')
        ):
            return headers
        answer.closes_connection = True
        return (*headers, (b'Connection', b'close'))


def _is_first_held(answers: deque[QueuedAnswer]) -> bool:
    """Return whether the answer that is next waits until it is complete."""
    first = answers[0]
    return len(answers) > 1 and not first.is_complete and first.can_be_held


def _has_header(headers: Headers, name: bytes) -> bool:
    return any(key.lower() == name for key, _ in headers)
