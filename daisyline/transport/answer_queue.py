"""Answers to the requests of one connection, sent in the requests' order."""

from collections import deque
from collections.abc import Callable
from typing import Any

import attrs

from daisyline.coordination.calls.call_events import (
    AnswerCaller,
)
from daisyline.coordination.calls.caller_events import (
    AnswerBytesDelivered,
    CallerDisconnected,
)
from daisyline.coordination.calls.messages import Headers
from daisyline.protocol.answer_codec import AnswerCodec
from daisyline.protocol.refusals import body_of, headers_of
from daisyline.state.failures import Failure
from daisyline.transport.delayed_reset import DelayedReset
from daisyline.transport.sockets import Connection

# More of an answer is requested only while at most this many bytes wait for
# the caller.
_CREDIT_THRESHOLD_BYTES = 65_536


@attrs.define(eq=False)
class QueuedAnswer:
    """The answer to one request, which may wait behind earlier answers.

    Attributes:
        codec: Encodes the answer.
        call: The id of the call, or empty.
        overlaps: Whether later requests may start before this answer is
            complete.
        unsent: Encoded bytes that wait until the earlier answers are sent.
        request_bytes: The bytes that its request takes.
        uncredited_bytes: Bytes of the body that are not yet reported as
            delivered.
        is_complete: Whether the whole answer is in the queue.
        is_aborted: Whether the connection is reset in place of the rest.
        closes_connection: Whether the answer announces that the connection
            is closed after it.
    """

    codec: AnswerCodec
    call: str = ''
    overlaps: bool = False
    unsent: bytearray = attrs.field(factory=bytearray)
    request_bytes: int = 0
    uncredited_bytes: int = 0
    is_complete: bool = False
    is_aborted: bool = False
    closes_connection: bool = False


class AnswerQueue:
    """The answers that a connection still has to send, the earliest first.

    Attributes:
        closing: Whether the connection accepts no request after the newest
            one in the queue.
    """

    def __init__(
        self,
        connection: Connection,
        on_event: Callable[[Any], None],
        delayed_reset: DelayedReset,
    ) -> None:
        """Start without an answer."""
        self._connection = connection
        self._delayed_reset = delayed_reset
        self._on_event = on_event
        self._answers: deque[QueuedAnswer] = deque()
        # What was written of the first answer.
        self._partial_bytes = 0
        self.closing = False

    def __len__(self) -> int:
        """Return the number of answers in the queue."""
        return len(self._answers)

    @property
    def has_unsent_bytes(self) -> bool:
        """Return whether bytes wait for the caller or for its network."""
        return bool(self._connection.buffered_bytes)

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
    def all_overlap(self) -> bool:
        """Return whether a further request may start beside all of them."""
        return all(answer.overlaps for answer in self._answers)

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
        headers = self._add_connection_close(answer, head.headers)
        octets = answer.codec.head(head.status, headers, length)
        return self.send_part(answer, octets, head.body, head.last)

    def send_refusal(
        self, answer: QueuedAnswer, failure: Failure, status: int
    ) -> bool:
        """Send a refusal as the answer; return the same as `send_part`."""
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
            return self._abort_invalid(answer)
        answer.unsent += head + octets + end
        answer.uncredited_bytes += len(body)
        answer.is_complete = last
        return self.flush()

    def abort(self, answer: QueuedAnswer) -> bool:
        """Reset the connection once the answers before this one are through."""
        answer.call = ''
        answer.is_aborted = True
        return self.flush()

    def flush(self) -> bool:
        """Send what is next; return whether the connection may carry more."""
        while self._answers and self._connection.is_open:
            first = self._answers[0]
            self._send(first)
            if first.is_aborted:
                self._delayed_reset.start(self._partial_bytes)
                return self._connection.is_open
            if not first.is_complete:
                self.report_delivery()
                return True
            self._answers.popleft()
            self._partial_bytes = 0
            if not first.codec.is_reusable or first.closes_connection:
                return False
        return self._connection.is_open

    def report_delivery(self) -> None:
        """Report sent bytes, so that more follow, once few are buffered."""
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

    def _send(self, answer: QueuedAnswer) -> None:
        if answer.unsent:
            octets = bytes(answer.unsent)
            answer.unsent.clear()
            self._connection.write(octets)
            self._partial_bytes += len(octets)

    def _abort_invalid(self, answer: QueuedAnswer) -> bool:
        call = answer.call
        may_go_on = self.abort(answer)
        if call:
            self._on_event(CallerDisconnected(call))
        return may_go_on


def _has_header(headers: Headers, name: bytes) -> bool:
    return any(key.lower() == name for key, _ in headers)
