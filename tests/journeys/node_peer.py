"""A peer of a node's process: its streams, as a test sends and reads them."""

import contextlib
import socket
from collections.abc import Iterator
from typing import Any

import attrs

from daisyline.coordination.calls.messages import Hello, Ping, Pong
from daisyline.protocol.frames import (
    PROTOCOL_VERSION,
    FrameDecoder,
    FrameEncoder,
)
from standins.processes import HOST

NAME = 'peer'
_CLUSTER = 'platform'
_TIMEOUT_S = 5.0
_READ_BYTES = 65_536


@attrs.define
class PeerStream:
    """One stream to a node.

    Attributes:
        sock: Its socket.
        received: The messages that were read.
    """

    sock: socket.socket
    received: list[Any] = attrs.field(factory=list)
    _decoder: FrameDecoder = attrs.field(factory=FrameDecoder)

    def send(self, *messages: Any) -> None:
        """Send messages."""
        self.sock.sendall(b''.join(map(FrameEncoder().encode, messages)))

    def has_read(self, nonce: int) -> bool:
        """Ping the node; return whether it answers before the stream ends.

        It has read then what was sent before.
        """
        self.send(Ping(nonce))
        while not self.received.count(Pong(nonce, Ping(nonce).revision)):
            octets = self.sock.recv(_READ_BYTES)
            if not octets:
                return False
            self.received += self._decoder.feed(octets)
        return True


@contextlib.contextmanager
def open_stream(port: int) -> Iterator[PeerStream]:
    """Open a stream to the node at a port."""
    with socket.create_connection((HOST, port), _TIMEOUT_S) as sock:
        stream = PeerStream(sock)
        stream.send(Hello(_CLUSTER, PROTOCOL_VERSION, NAME, 1))
        yield stream
