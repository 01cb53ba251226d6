"""Reads the answers of one connection to a target, and drops repeated ones."""

import functools
from typing import Any

import attrs

from daisyline.coordination.calls.messages import Headers
from daisyline.protocol.answer_check import AnswerCheck, Verdict
from daisyline.protocol.answer_copies import CopyFilter
from daisyline.protocol.dialect import Dialect
from daisyline.protocol.http_client import CALL_HEADER, ClientCodec
from daisyline.protocol.http_messages import (
    BrokenAnswer,
    End,
    Head,
    Part,
    Request,
)

# The number of late copies of earlier answers that are discarded while a call
# waits for its own answer. A target that writes more of them may never stop.
MAX_DISCARDED_ANSWERS = 4


@attrs.frozen
class Declined:
    """The target reports that it did not run the call.

    Attributes:
        head: The head of its answer.
    """

    head: Head


# Stands for an event of an answer that is discarded.
_SKIPPED = object()

# An answer without a length that another answer or a part of one follows.
_NOT_WHOLE = BrokenAnswer(
    'what follows the answer is no copy of it', is_whole=True
)

AnswerEvent = Head | Part | End | Declined | BrokenAnswer


@attrs.define
class AnswerReader:
    """The requests and answers of one connection, one call at a time.

    Attributes:
        is_discarding: Whether a copy of an earlier answer is being received.
    """

    _dialect: Dialect
    _check: AnswerCheck
    _codec: ClientCodec = attrs.field(factory=ClientCodec)
    _discarded_count: int = 0
    _own_id: bytes = b''
    _copies: CopyFilter | None = None
    _pending_end: End | None = None
    is_discarding: bool = False

    @classmethod
    def from_dialect(cls, dialect: Dialect) -> 'AnswerReader':
        """Build the reader of a new connection."""
        return cls(dialect, AnswerCheck(dialect))

    def has_carried(self, request: Request, call: str) -> bool:
        """Return whether a request with the same id was sent before.

        A copy of that request's answer could not be told from this one's.
        """
        return self._check.has_answered(self._id_of(request, call))

    def request(
        self, request: Request, call: str, extra_headers: Headers
    ) -> list[bytes]:
        """Return the pieces of a request and expect its answer.

        Args:
            request: The request.
            call: The id of daisyline's call.
            extra_headers: Headers of the node, added at the end.
        """
        self._discarded_count = 0
        self._own_id = self._id_of(request, call)
        self._check.expect(self._own_id)
        return self._codec.request_pieces(request, extra_headers)

    def feed(self, octets: bytes) -> None:
        """Buffer received bytes; empty bytes mark the end of the stream."""
        self._codec.feed(octets)

    def next_event(self) -> AnswerEvent | None:
        """Return the next event of the call's own answer.

        Late copies of earlier answers are discarded. Any other answer that is
        not the call's own gives `BrokenAnswer`.

        Returns:
            The event, or None if more bytes are needed.
        """
        event: Any = self._pending_end or _SKIPPED
        self._pending_end = None
        while event is _SKIPPED:
            event = _own_event(self._codec.next_event(), self)
        return event

    def judge(self, head: Head) -> Any:
        """Return the event for the head of an answer, or `_SKIPPED`."""
        verdict = self._check.classify(head)
        if verdict is Verdict.OWN:
            self._copies = None if head.has_length else self._copy_filter()
            return head
        if verdict is Verdict.DECLINED:
            return Declined(head)
        self._discarded_count += 1
        self.is_discarding = (
            verdict is Verdict.REPEATED
            and self._discarded_count <= MAX_DISCARDED_ANSWERS
        )
        if self.is_discarding:
            return _SKIPPED
        return BrokenAnswer('an answer to another request')

    def filter_part(self, part: Part) -> Any:
        """Return the event for a part of a body, without copies of the answer."""
        if self.is_discarding:
            return _SKIPPED
        if self._copies is None:
            return part
        body = self._copies.feed(part.body)
        return _NOT_WHOLE if self._copies.is_broken else Part(body)

    def finish(self, end: End) -> Any:
        """Return the event for the end of an answer, or `_SKIPPED`.

        Without an id, a late copy of the answer could not be told from the
        answer to the next call, so the connection is not reusable.
        """
        if not self.is_discarding:
            own_end = End(end.is_reusable and self._check.has_id)
            return self._finish_own(own_end)
        self.is_discarding = False
        if self._codec.expect_another_answer():
            return _SKIPPED
        return BrokenAnswer('closed after an answer to an earlier call')

    def _finish_own(self, end: End) -> Any:
        """Return the event for the end of the call's own answer.

        Bytes that might have started a copy come before it, as a part.
        """
        rest = b'' if self._copies is None else self._copies.finish()
        if rest is None:
            return _NOT_WHOLE
        if not rest:
            return end
        self._pending_end = end
        return Part(rest)

    def _copy_filter(self) -> CopyFilter:
        header = self._dialect.request_id or CALL_HEADER
        return CopyFilter(header, self._check.has_answered, self._own_id)

    def _id_of(self, request: Request, call: str) -> bytes:
        """Return the id that the target repeats in its answer to a call."""
        name = self._dialect.request_id
        return request.header(name) if name else call.encode()


@functools.singledispatch
def _own_event(event: Any, reader: AnswerReader) -> Any:
    """Return the event of the call's own answer, or `_SKIPPED`."""
    return event


@_own_event.register
def _(event: Head, reader: AnswerReader) -> Any:
    return reader.judge(event)


@_own_event.register
def _(event: Part, reader: AnswerReader) -> Any:
    return reader.filter_part(event)


@_own_event.register
def _(event: End, reader: AnswerReader) -> Any:
    return reader.finish(event)
