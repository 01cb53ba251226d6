"""Reports what the answers of a target say of its condition."""

from collections.abc import Callable
from http import HTTPStatus
from typing import Any

from daisyline.coordination.admission.limit_events import TargetLimitReported
from daisyline.coordination.calls.call_events import TargetLeaving
from daisyline.protocol.dialect import (
    Dialect,
    is_leaving,
    named_limit_text,
    parse_limit,
)
from daisyline.protocol.http_messages import Head
from daisyline.state.targets import Target


class TargetCondition:
    """What the answers of a target have said of its condition last.

    It is reported when the head of an answer is received, as the end of a long
    answer may come after newer answers.
    """

    def __init__(
        self, on_event: Callable[[Any], None], dialect: Dialect
    ) -> None:
        """Start without an answer."""
        self._on_event = on_event
        self._dialect = dialect
        self._incarnation = ('', 0)
        self._limit_text = b''
        self._is_leaving = False

    def report(self, target: Target, head: Head) -> None:
        """Report what an answer says, if it is not what the last one said.

        An answer of status 421 may be that of another instance at the same
        address.
        """
        if head.status == HTTPStatus.MISDIRECTED_REQUEST:
            return
        if target.incarnation != self._incarnation:
            self._incarnation = target.incarnation
            self._limit_text = b''
            self._is_leaving = False
        if not self._is_leaving and is_leaving(head, self._dialect):
            self._is_leaving = True
            self._on_event(TargetLeaving(*target.incarnation))
        text = named_limit_text(head, self._dialect)
        if text != self._limit_text:
            self._limit_text = text
            self._on_event(
                TargetLimitReported(
                    target.incarnation,
                    parse_limit(text),
                    text.decode(errors='replace'),
                )
            )
