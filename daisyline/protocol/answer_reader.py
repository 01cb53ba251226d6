"""Reads the answers of one connection to a target, and drops repeated ones."""

import functools
from typing import Any

import attrs

from daisyline.coordination.calls.messages import Headers
from daisyline.protocol.answer_check import AnswerCheck, Verdict
from daisyline.protocol.dialect import Dialect
from daisyline.protocol.http_client import ClientCodec
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
    ) -> bytes:
        """Return the bytes of a request and expect its answer.

        Args:
            request: The request.
            call: The id of daisyline's call.
            extra_headers: Headers of the node, added at the end.
        """
        self._discarded_count = 0
        self._check.expect(self._id_of(request, call))
        return self._codec.request(request, extra_headers)

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
        event: Any = _SKIPPED
        while event is _SKIPPED:
            event = _own_event(self._codec.next_event(), self)
        return event

    def judge(self, head: Head) -> Any:
        """Return the event for the head of an answer, or `_SKIPPED`."""
        verdict = self._check.classify(head)
        if verdict is Verdict.OWN:
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

    def finish(self, end: End) -> Any:
        """Return the event for the end of an answer, or `_SKIPPED`.

        Without an id, a late copy of the answer could not be told from the
        answer to the next call, so the connection is not reusable.
        """
        if not self.is_discarding:
            return End(end.is_reusable and self._check.has_id)
        self.is_discarding = False
        if self._codec.expect_another_answer():
            return _SKIPPED
        return BrokenAnswer('closed after an answer to an earlier call')

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
    return _SKIPPED if reader.is_discarding else event


@_own_event.register
def _(event: End, reader: AnswerReader) -> Any:
    return reader.finish(event)
