"""The answer to one request of a connection, until it is completely sent."""

import attrs

from daisyline.coordination.calls.messages import Headers
from daisyline.protocol.answer_codec import AnswerCodec

# An incomplete answer that others wait behind is kept up to this size.
MAX_HELD_BYTES = 1_048_576
_LENGTH_HEADER = b'content-length'


@attrs.define(eq=False)
class QueuedAnswer:
    """The answer to one request, which may wait behind earlier answers.

    Attributes:
        codec: Encodes the answer.
        call: The id of the call, or empty.
        overlaps: Whether later requests may start before this answer is
            complete.
        unsent: Encoded bytes that are not written to the connection.
        sent_bytes: How many bytes were written to the connection.
        stated_bytes: The length of the body that its head states; 0 if none.
        request_bytes: The bytes that its request takes.
        uncredited_bytes: Bytes of the body that are not yet reported as
            delivered.
        is_complete: Whether the whole answer is in the queue.
        is_refusal: Whether it is a refusal in place of a target's answer.
        is_aborted: Whether the connection is reset in place of the rest.
        closes_connection: Whether the answer announces that the connection
            is closed after it.
    """

    codec: AnswerCodec
    call: str = ''
    overlaps: bool = False
    unsent: bytearray = attrs.field(factory=bytearray)
    sent_bytes: int = 0
    stated_bytes: int = 0
    request_bytes: int = 0
    uncredited_bytes: int = 0
    is_complete: bool = False
    is_refusal: bool = False
    is_aborted: bool = False
    closes_connection: bool = False

    @property
    def can_be_held(self) -> bool:
        """Return whether none of it has to be sent before it is complete."""
        size = max(self.stated_bytes, len(self.unsent))
        return self.is_complete or (
            not self.sent_bytes and size <= MAX_HELD_BYTES
        )

    @property
    def can_be_refused(self) -> bool:
        """Return whether a refusal can take the place of a target's answer."""
        return not self.sent_bytes and not self.is_refusal

    def record_head(self, headers: Headers) -> None:
        """Record the length that the head of the answer states."""
        for name, content in headers:
            if name.lower() == _LENGTH_HEADER and content.isdigit():
                self.stated_bytes = int(content)

    def take_unsent(self) -> bytes:
        """Return the bytes that are written to the connection next."""
        octets = bytes(self.unsent)
        self.unsent.clear()
        self.sent_bytes += len(octets)
        return octets

    def discard_unsent(self) -> None:
        """Start anew with another answer, as none of this one was sent."""
        assert not self.sent_bytes, 'a part of the answer was sent'
        self.codec = self.codec.restarted()
        self.unsent.clear()
        self.uncredited_bytes = 0
        self.closes_connection = False
