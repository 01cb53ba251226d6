"""One stream of frames between two nodes."""

from collections.abc import Callable
from typing import Any

import attrs

from daisyline.coordination.calls.messages import Hello, Ping, Pong
from daisyline.protocol.frames import (
    PROTOCOL_VERSION,
    BadFrame,
    FrameDecoder,
    FrameEncoder,
)
from daisyline.transport.long_bodies import OutgoingBodies
from daisyline.transport.loop import Loop
from daisyline.transport.sockets import Connection

# While this node awaits a reply, it pings the peer after PING_AFTER_S without
# received data, and closes the stream if nothing follows within
# PONG_TIMEOUT_S.
PING_AFTER_S = 0.2
PONG_TIMEOUT_S = 0.5
HANDSHAKE_TIMEOUT_S = 0.7
# While no reply is awaited, the peer is pinged after this time without received
# data.
_IDLE_PING_AFTER_S = 10.0
# A check that comes so much too late means that the process was paused.
_PAUSE_THRESHOLD_S = 0.5
# Follows the `Hello`, to tell what this node reads. Its `Pong` tells nothing.
_OPENING_PING = Ping(0)
_OPENING_PONG = Pong(_OPENING_PING.nonce, _OPENING_PING.revision)
# A node that is not identified yet sends its `Hello` and nothing else.
_MAX_HELLO_BYTES = 16_384
# A stream with more unsent bytes is closed, so that a peer that reads too
# slowly can't exhaust this node's memory.
_MAX_BUFFERED_BYTES = 67_108_864


@attrs.frozen
class Identity:
    """The identity that a node sends when a stream opens."""

    cluster: str
    name: str
    incarnation: int

    def hello(self) -> Hello:
        """Return the first message of a stream."""
        return Hello(
            self.cluster, PROTOCOL_VERSION, self.name, self.incarnation
        )


class Stream:
    """A connection between two nodes that carries messages in both directions.

    Attributes:
        peer: The peer's name; empty until its `Hello` is accepted.
        peer_incarnation: The incarnation of the peer; 0 until then.
        number: Grows with each stream of this process.
        is_accepted: Whether the peer opened the stream.
        key: The key of an outbound stream: a node name or HOST:PORT.
        expected_peer: The name that the peer must have; empty accepts any.
        is_reply_awaited: Returns whether this node awaits a reply from the
            peer; if so, an unresponsive peer is detected sooner.
        count_unsent: Called when the number of unsent bytes has changed.
    """

    def __init__(
        self,
        loop: Loop,
        connection: Connection,
        identity: Identity,
        encoder: FrameEncoder,
        on_message: Callable[['Stream', Any], None],
        on_closed: Callable[['Stream'], None],
    ) -> None:
        """Send `Hello`; other messages wait for the `Hello` of the peer.

        Args:
            loop: The loop of this process.
            connection: The connection; it may still be connecting.
            identity: The identity of this node.
            encoder: The encoder of this process.
            on_message: Called with the stream and each message, among them
                the `Hello` of the peer but no pings.
            on_closed: Called once with the stream when it has closed.
        """
        self._loop = loop
        self._connection = connection
        self._identity = identity
        self._on_message = on_message
        self._on_closed = on_closed
        self._encoder = encoder
        self._decoder = FrameDecoder()
        self._outgoing: list[bytes] = []
        self._bodies = OutgoingBodies(loop, connection, self._write)
        self._undelivered: list[Any] = []
        self._received_at = loop.now()
        self._handshake_started_at = self._received_at
        self._pinged_at: float | None = None
        self.peer = ''
        self.peer_incarnation = 0
        self.number = 0
        self.is_accepted = not connection.is_connecting
        self.key = ''
        self.expected_peer = ''
        self.is_reply_awaited: Callable[[], bool] = bool
        self.count_unsent: Callable[[], None] = bool
        connection.handler = self
        self._write(identity.hello())
        if self.is_accepted:
            self._write(_OPENING_PING)
        self._check = loop.call_at(self._check_due_at(), self._check_liveness)

    @property
    def undelivered(self) -> list[Any]:
        """Return the messages that were never written to the connection."""
        return [*self._undelivered, *self._bodies.unsent]

    @property
    def has_unsent_bytes(self) -> bool:
        """Return whether messages wait to be sent to an identified peer."""
        is_waiting = (
            self._outgoing or self._bodies or self._connection.buffered_bytes
        )
        return bool(self.peer and is_waiting)

    def send(self, message: Any) -> None:
        """Send a message; those of one loop iteration are written together.

        Messages are queued until the peer is identified, because another
        node may have taken over the address.
        """
        if self.peer:
            if not self._bodies.take(message):
                self._write(message)
            self._check_soon()
        else:
            self._undelivered.append(message)

    def close(self) -> None:
        """Close the stream at once and discard buffered bytes."""
        self._connection.abort()

    def shut_down(self) -> None:
        """Send nothing after the buffered bytes; the peer then closes."""
        self._flush()
        self._connection.write_eof()

    def handle_connected(self) -> None:
        """Restart the handshake and idle timeouts."""
        self._received_at = self._loop.now()
        self._handshake_started_at = self._received_at

    def handle_bytes(self, octets: bytes) -> None:
        """Decode the messages and handle them."""
        self._received_at = self._loop.now()
        self._pinged_at = None
        if not self.peer and len(octets) > _MAX_HELLO_BYTES:
            self.close()
            return
        for message in self._decoder.feed(octets):
            self._handle_message(message)
            if not self._connection.is_open:
                return

    def handle_eof(self) -> None:
        """Close; a half-open stream carries no replies."""
        self._connection.abort()

    def handle_drained(self) -> None:
        """Send the next part of a long body."""
        self.count_unsent()
        self._bodies.send_soon()

    def handle_closed(self) -> None:
        """Report the close of the stream."""
        self._check.cancel()
        self.count_unsent()
        self._on_closed(self)

    def _handle_message(self, message: Any) -> None:
        if isinstance(message, Hello):
            self._handle_hello(message)
        elif isinstance(message, BadFrame) or not self.peer:
            self.close()
        elif isinstance(message, Ping):
            self._bodies.learn_revision(message.revision)
            self._write(Pong(message.nonce, message.revision))
        elif message != _OPENING_PONG:
            self._on_message(self, message)

    def _handle_hello(self, hello: Hello) -> None:
        """Accept one `Hello` of the expected peer; close on any other."""
        own = (self._identity.cluster, PROTOCOL_VERSION)
        is_same_cluster = (hello.cluster, hello.protocol) == own and hello.node
        is_expected = self.expected_peer in {'', hello.node}
        if is_same_cluster and is_expected and not self.peer:
            self.peer = hello.node
            self.peer_incarnation = hello.incarnation
            queued = tuple(self._undelivered)
            self._undelivered.clear()
            for message in queued:
                if not self._bodies.take(message):
                    self._write(message)
            self._check_soon()
            self._on_message(self, hello)
        else:
            self.close()

    def _write(self, message: Any) -> None:
        if not self._outgoing:
            self._loop.defer(self._flush)
        self._outgoing.append(self._encoder.encode(message))

    def _flush(self) -> None:
        octets = b''.join(self._outgoing)
        self._outgoing = []
        self._connection.write(octets)
        self.count_unsent()
        self._bodies.send_soon()
        if self._connection.buffered_bytes > _MAX_BUFFERED_BYTES:
            self.close()

    def _check_soon(self) -> None:
        """Advance the next check, as a reply may be awaited from now on."""
        at = self._loop.now() + PING_AFTER_S
        if self._check.at > at:
            self._check.cancel()
            self._check = self._loop.call_at(at, self._check_liveness)

    def _check_liveness(self) -> None:
        """Ping an idle peer, and close the stream if the peer has timed out.

        The next check is due when the earliest timeout can expire, so that an
        idle stream costs nothing.
        """
        now = self._loop.now()
        if now - self._check.at > _PAUSE_THRESHOLD_S:
            # This process was paused; data from the peer may still be unread.
            self._restart_timeouts(now)
        if now >= self._check_due_at():
            if self._pinged_at is not None or not self._is_established():
                self.close()
                return
            self._pinged_at = now
            self._write(Ping(int(now)))
        self._check = self._loop.call_at(
            self._check_due_at(), self._check_liveness
        )

    def _restart_timeouts(self, now: float) -> None:
        """Restart all timeouts."""
        self._received_at = now
        self._handshake_started_at = now
        self._pinged_at = None

    def _is_established(self) -> bool:
        """Return whether the handshake is complete."""
        return bool(self.peer) and not self._connection.is_connecting

    def _check_due_at(self) -> float:
        """Return when the current timeout expires, in monotonic seconds.

        It is that of the handshake or of a ping, or else the time at which a
        peer that sends nothing is pinged.
        """
        if not self._is_established():
            return self._handshake_started_at + HANDSHAKE_TIMEOUT_S
        if self._pinged_at is not None:
            return self._pinged_at + PONG_TIMEOUT_S
        idle_limit_s = (
            PING_AFTER_S if self.is_reply_awaited() else _IDLE_PING_AFTER_S
        )
        return self._received_at + idle_limit_s
