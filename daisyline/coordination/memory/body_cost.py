"""The processing cost of a body that arrives in chunks."""

import attrs

# A body may cost anything up to this number of received bytes.
FREE_BYTES = 16_384
# The smallest share of payload in what is received of a chunked body. Chunks
# of five bytes reach it.
MIN_PAYLOAD_SHARE = 0.5
# The least that a chunk takes beside its payload: its size and two line ends.
_FRAMING_BYTES = 5


@attrs.define
class BodyCost:
    """What was received of one body.

    Attributes:
        payload_bytes: The bytes of the body itself.
        chunks: The number of its chunks.
    """

    payload_bytes: int = 0
    chunks: int = 0

    def add(self, octets: int, *, starts_chunk: bool) -> None:
        """Count received bytes of the body."""
        self.payload_bytes += octets
        self.chunks += starts_chunk

    def is_excessive(self, received_bytes: int = 0) -> bool:
        """Return whether the body costs too much for its payload.

        Args:
            received_bytes: All bytes that were received for the decoded part
                of the body; 0 if this is not known.
        """
        least_bytes = self.payload_bytes + self.chunks * _FRAMING_BYTES
        received_bytes = max(received_bytes, least_bytes)
        payload_share = self.payload_bytes / max(received_bytes, 1)
        return received_bytes > FREE_BYTES and payload_share < MIN_PAYLOAD_SHARE
