"""Events of the connections of callers."""

import attrs

from daisyline.state.failures import Reason


@attrs.frozen
class CallerDisconnected:
    """The connection to a caller was lost before the answer was complete."""

    call: str


@attrs.frozen
class AnswerBytesDelivered:
    """A part of the body of an answer was sent to the caller.

    Attributes:
        call: The call's id.
        octets: The number of bytes sent.
    """

    call: str
    octets: int


@attrs.frozen
class AnswerBroken:
    """A caller gets no whole answer to a call that may have run.

    Attributes:
        call: The call's id.
        reason: Why the answer is not sent whole.
        is_refused: Whether the caller gets a refusal in its place; otherwise
            its connection is reset.
        answers_lost: How many requests that were started get no answer because
            of the reset.
    """

    call: str
    reason: Reason
    is_refused: bool
    answers_lost: int = 0
