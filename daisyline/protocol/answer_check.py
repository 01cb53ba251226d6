"""Checks whether the head of an answer belongs to the call that was sent."""

import enum
from collections import deque
from http import HTTPStatus

import attrs

from daisyline.protocol.dialect import Dialect
from daisyline.protocol.http_messages import Head

# The number of answers of a connection whose ids are remembered, so that a late
# copy of one of them is recognized.
MAX_REMEMBERED_IDS = 64


class Verdict(enum.Enum):
    """How the head of an answer relates to the call.

    Attributes:
        OWN: The answer belongs to the call.
        DECLINED: The target reports that it did not run the call.
        REPEATED: The answer belongs to an earlier call of the connection,
            which was answered before.
        FOREIGN: The answer belongs to another request, or does not come from
            a target.
    """

    OWN = 'own'
    DECLINED = 'declined'
    REPEATED = 'repeated'
    FOREIGN = 'foreign'


@attrs.define
class AnswerCheck:
    """Checks the answers that one connection receives.

    An answer is identified by the id that it repeats: the caller's id of the
    request or, where the front end has none, the id of daisyline's call. A
    target may write an earlier answer or refusal again, so one without an id
    is accepted only as the first answer of its connection.

    Attributes:
        has_id: Whether the latest answer that was accepted repeats an id.
    """

    _dialect: Dialect
    _expected_id: bytes = b''
    _request_count: int = 0
    _answered_ids: deque[bytes] = attrs.field(
        factory=lambda: deque(maxlen=MAX_REMEMBERED_IDS)
    )
    has_id: bool = False

    def expect(self, expected_id: bytes) -> None:
        """Set the id that the answer to the next request repeats.

        Args:
            expected_id: The id; empty if the request has none.
        """
        if self._expected_id:
            self._answered_ids.append(self._expected_id)
        self._expected_id = expected_id
        self._request_count += 1

    def has_answered(self, request_id: bytes) -> bool:
        """Return whether a request with the same id was sent before."""
        return bool(request_id) and (
            request_id == self._expected_id or request_id in self._answered_ids
        )

    def classify(self, head: Head) -> Verdict:
        """Return whether an answer belongs to the call."""
        sent_id = _id_of(head, self._dialect)
        if sent_id is not None and sent_id != self._expected_id:
            is_repeated = sent_id in self._answered_ids
            return Verdict.REPEATED if is_repeated else Verdict.FOREIGN
        if sent_id is None and self._request_count > 1:
            return Verdict.FOREIGN
        if _is_declined(head, self._dialect):
            return Verdict.DECLINED
        if _lacks_required_header(head, self._dialect):
            return Verdict.FOREIGN
        self.has_id = sent_id is not None
        return Verdict.OWN


def _id_of(head: Head, dialect: Dialect) -> bytes | None:
    return head.header(dialect.request_id) if dialect.request_id else head.call


def _lacks_required_header(head: Head, dialect: Dialect) -> bool:
    required = (dialect.signature, dialect.request_id)
    return any(name and head.header(name) is None for name in required)


def _is_declined(head: Head, dialect: Dialect) -> bool:
    if dialect.declined and head.header(dialect.declined) is not None:
        return True
    names_instance = bool(dialect.expected_instance)
    return names_instance and head.status == HTTPStatus.MISDIRECTED_REQUEST
