"""Events of the connections of callers."""

import attrs


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
