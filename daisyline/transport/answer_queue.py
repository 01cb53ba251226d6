"""Answers to the requests of one connection, sent in the requests' order."""

from collections import deque
from collections.abc import Callable
from typing import Any

import attrs

from daisyline.coordination.call_events import (
    AnswerBytesDelivered,
    AnswerCaller,
    CallerDisconnected,
)
from daisyline.coordination.messages import Headers
from daisyline.protocol.http_server import AnswerCodec
from daisyline.protocol.refusals import body_of, headers_of
from daisyline.state.failures import Failure
from daisyline.transport.sockets import Connection

# How far ahead of a slow caller an answer is buffered, in bytes.
_AHEAD_BYTES = 65_536


@attrs.define(eq=False)
class Answer:
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


class AnswerQueue:
    """The answers that are due, the earliest first.

    Attributes:
        closing: Whether the connection takes no request after those here.
    """

    def __init__(
        self, connection: Connection, on_event: Callable[[Any], None]
    ) -> None:
        """Start without an answer."""
        self._connection = connection
        self._on_event = on_event
        self._answers: deque[Answer] = deque()
        self.closing = False

    def __len__(self) -> int:
        """Return how many answers are due."""
        return len(self._answers)

    @property
    def first(self) -> Answer | None:
        """Return the answer that is due next."""
        return self._answers[0] if self._answers else None

    @property
    def newest(self) -> Answer | None:
        """Return the answer to the request that came last."""
        return self._answers[-1] if self._answers else None

    @property
    def all_overlap(self) -> bool:
        """Return whether a further request may begin beside all of them."""
        return all(answer.overlaps for answer in self._answers)

    def push(self, answer: Answer) -> None:
        """Add the answer to a request that has just come."""
        self._answers.append(answer)

    def waiting(self, call: str) -> Answer | None:
        """Return the newest answer of a call, or of any, that isn't whole."""
        for answer in reversed(self._answers):
            if not answer.whole and call in {'', answer.call}:
                return answer
        return None

    def begin(self, answer: Answer, said: AnswerCaller) -> bool:
        """Send the head and first part; return as `add` does."""
        length = None
        if said.last and not _names(said.headers, b'content-length'):
            length = len(said.body)
        headers = self._said_last(answer, said.headers)
        head = answer.codec.head(said.status, headers, length)
        return self.add(answer, head, said.body, said.last)

    def refuse(self, answer: Answer, failure: Failure, status: int) -> bool:
        """Send a refusal in place of an answer; return as `add` does."""
        body = body_of(failure)
        headers = self._said_last(answer, headers_of(failure, answer.call))
        head = answer.codec.head(status, headers, len(body))
        return self.add(answer, head, body, last=True)

    def add(
        self, answer: Answer, head: bytes | None, body: bytes, last: bool
    ) -> bool:
        """Add a piece; return whether the connection may carry more.

        An answer that breaks its own framing is cut where it stands.
        """
        end: bytes | None = b''
        octets = answer.codec.part(body)
        if last and octets is not None:
            end = answer.codec.end()
        if head is None or octets is None or end is None:
            return self._fail(answer)
        answer.octets += head + octets + end
        answer.untaken += len(body)
        answer.whole = last
        return self.flush()

    def cut(self, answer: Answer) -> bool:
        """Break the connection once the answers before this one are sent."""
        answer.call = ''
        answer.cut = True
        return self.flush()

    def flush(self) -> bool:
        """Send what is due; return whether the connection may carry more."""
        while self._answers and self._connection.is_open:
            first = self._answers[0]
            self._send(first)
            if first.cut:
                self._connection.reset()
                return False
            if not first.whole:
                self.credit()
                return True
            self._answers.popleft()
            if not first.codec.reusable or first.last:
                return False
        return self._connection.is_open

    def credit(self) -> None:
        """Let more of an answer come once the caller has taken enough."""
        first = self.first
        if first is None or not first.untaken or first.whole:
            return
        if self._connection.buffered_bytes > _AHEAD_BYTES:
            return
        taken = first.untaken
        first.untaken = 0
        if first.call:
            self._on_event(AnswerBytesDelivered(first.call, taken))

    def drop(self) -> None:
        """Tell that nobody waits any more for what isn't whole."""
        lost = [answer.call for answer in self._answers if not answer.whole]
        self._answers.clear()
        for call in filter(None, lost):
            self._on_event(CallerDisconnected(call))

    def _said_last(self, answer: Answer, headers: Headers) -> Headers:
        """Return headers that also say if no further request is taken.

        Requests that were begun after it have their answers first.
        """
        is_newest = answer is self.newest
        if not self.closing or not is_newest or _names(headers, b'connection'):
            return headers
        answer.last = True
        return (*headers, (b'Connection', b'close'))

    def _send(self, answer: Answer) -> None:
        if answer.octets:
            octets = bytes(answer.octets)
            answer.octets.clear()
            self._connection.write(octets)

    def _fail(self, answer: Answer) -> bool:
        call = answer.call
        goes_on = self.cut(answer)
        if call:
            self._on_event(CallerDisconnected(call))
        return goes_on


def _names(headers: Headers, name: bytes) -> bool:
    return any(key.lower() == name for key, _ in headers)
