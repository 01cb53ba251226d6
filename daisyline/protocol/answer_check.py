"""Checks whether the head of an answer belongs to the call that was sent."""

import enum
from http import HTTPStatus

from daisyline.protocol.dialect import Dialect
from daisyline.protocol.http_messages import Head


class Verdict(enum.Enum):
    """How the head of an answer relates to the call.

    Attributes:
        OWN: The answer belongs to the call.
        DECLINED: The target reports that it did not run the call.
        FOREIGN: The answer belongs to another request, or does not come from
            a target.
    """

    OWN = 'own'
    DECLINED = 'declined'
    FOREIGN = 'foreign'


def classify_head(head: Head, request_id: bytes, dialect: Dialect) -> Verdict:
    """Return whether an answer belongs to the call, judged by its headers.

    Args:
        head: The head of the answer.
        request_id: The caller's id of the request; empty if it has none.
        dialect: The names of the headers that are checked.
    """
    if dialect.request_id:
        sent_id = head.header(dialect.request_id)
        if sent_id is not None and sent_id != request_id:
            return Verdict.FOREIGN
    if _is_declined(head, dialect):
        return Verdict.DECLINED
    if dialect.signature and head.header(dialect.signature) is None:
        return Verdict.FOREIGN
    if dialect.request_id and head.header(dialect.request_id) is None:
        return Verdict.FOREIGN
    return Verdict.OWN


def _is_declined(head: Head, dialect: Dialect) -> bool:
    if dialect.declined and head.header(dialect.declined) is not None:
        return True
    names_instance = bool(dialect.expected_instance)
    return names_instance and head.status == HTTPStatus.MISDIRECTED_REQUEST
