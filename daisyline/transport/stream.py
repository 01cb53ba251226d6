"""One stream of frames between two nodes."""

from collections.abc import Callable
from typing import Any

import attrs

from daisyline.coordination.messages import Hello, Ping, Pong
from daisyline.protocol.frames import (
    PROTOCOL_VERSION,
    BadFrame,
    FrameDecoder,
    FrameEncoder,
)
from daisyline.transport.loop import Loop
from daisyline.transport.sockets import Connection

# A node that waits for an answer asks for a sign of life after so much
# silence, and gives the stream up after so much more, in seconds.
PING_AFTER_S = 0.2
PONG_TIMEOUT_S = 0.5
HANDSHAKE_TIMEOUT_S = 0.7
_IDLE_PING_AFTER_S = 10.0
# A stream on which nothing is awaited is looked at this often, in seconds.
_IDLE_CHECK_INTERVAL_S = 0.4
# A check that is this late shows that the process stood still, in seconds.
_PAUSE_THRESHOLD_S = 1.0
# A peer that reads this slowly costs its stream, not this node's memory.
_MAX_BUFFERED_BYTES = 67_108_864


@attrs.frozen
class Identity:
    """What a node says of itself when a stream opens."""

    cluster: str
    name: str
    incarnation: int

    def hello(self) -> Hello:
        """Return the message that opens a stream."""
        return Hello(
            self.cluster, PROTOCOL_VERSION, self.name, self.incarnation
        )


class Stream:
    """A connection to another node that carries messages both ways.

    Attributes:
        peer: The other node's name, once its `Hello` has come.
        key: The name under which the node that dialled keeps it.
        expected_peer: The name that the other node must have, or empty.
        is_reply_awaited: Whether an answer is awaited, so that silence matters.
    """

    def __init__(
        self,
        loop: Loop,
        connection: Connection,
        identity: Identity,
        on_message: Callable[['Stream', Any], None],
        on_closed: Callable[['Stream'], None],
    ) -> None:
        """Say hello; messages follow once the other end has too."""
        self._loop = loop
        self._connection = connection
        self._identity = identity
        self._on_message = on_message
        self._on_closed = on_closed
        self._encoder = FrameEncoder()
        self._decoder = FrameDecoder()
        self._outgoing: list[bytes] = []
        self._undelivered: list[Any] = []
        self._heard_at = loop.now()
        self._began_at = self._heard_at
        self._checked_at = self._heard_at
        self._pinged_at: float | None = None
        self.peer = ''
        self.key = ''
        self.expected_peer = ''
        self.is_reply_awaited: Callable[[], bool] = bool
        connection.handler = self
        self._write(identity.hello())
        self._check = loop.call_later(PING_AFTER_S / 2, self._check_silence)

    @property
    def undelivered(self) -> list[Any]:
        """Return messages that were never handed to the network."""
        return self._undelivered

    @property
    def is_identified(self) -> bool:
        """Return whether the other end has said who it is."""
        return bool(self.peer)

    def send(self, message: Any) -> None:
        """Send a message; those of one turn of the loop go out together.

        Until the other end has named itself they are held back: another
        node may stand at the address by now.
        """
        if self.peer:
            self._write(message)
        else:
            self._undelivered.append(message)

    def close(self) -> None:
        """Give the stream up."""
        self._connection.abort()

    def handle_connected(self) -> None:
        """Note that the connection is made."""
        self._heard_at = self._loop.now()
        self._began_at = self._heard_at

    def handle_bytes(self, octets: bytes) -> None:
        """Decode messages and hand them on."""
        self._heard_at = self._loop.now()
        self._pinged_at = None
        for message in self._decoder.feed(octets):
            self._take(message)
            if not self._connection.is_open:
                return

    def handle_eof(self) -> None:
        """Close too; a half-open stream is of no use."""
        self._connection.abort()

    def handle_drained(self) -> None:
        """Do nothing; messages are small and bounded in number."""

    def handle_closed(self) -> None:
        """Tell the owner of the stream."""
        self._check.cancel()
        self._on_closed(self)

    def _take(self, message: Any) -> None:
        if isinstance(message, Hello):
            self._greet(message)
        elif isinstance(message, BadFrame) or not self.peer:
            self.close()
        elif isinstance(message, Ping):
            self._write(Pong(message.nonce, message.settings_version))
        else:
            self._on_message(self, message)

    def _greet(self, hello: Hello) -> None:
        """Turn away all but one node of this cluster, that named itself once."""
        mine = (self._identity.cluster, PROTOCOL_VERSION)
        is_mine = (hello.cluster, hello.protocol) == mine and hello.node
        is_meant = self.expected_peer in {'', hello.node}
        if is_mine and is_meant and not self.peer:
            self.peer = hello.node
            held = tuple(self._undelivered)
            self._undelivered.clear()
            for message in held:
                self._write(message)
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
        if self._connection.buffered_bytes > _MAX_BUFFERED_BYTES:
            self.close()

    def _check_silence(self) -> None:
        """Ping a quiet peer, and give up one that has stayed silent."""
        now = self._loop.now()
        if now - self._checked_at > _PAUSE_THRESHOLD_S:
            # This process stood still: what came meanwhile is still unread.
            self._grant(now)
        self._checked_at = now
        if self._is_silent(now):
            self.close()
            return
        if self._is_quiet(now):
            self._pinged_at = now
            self._write(Ping(int(now), 0))
        pause_s = (
            PING_AFTER_S / 2
            if self.is_reply_awaited()
            else _IDLE_CHECK_INTERVAL_S
        )
        self._check = self._loop.call_later(pause_s, self._check_silence)

    def _grant(self, now: float) -> None:
        """Count silence from now on."""
        self._heard_at = now
        self._began_at = now
        self._pinged_at = None

    def _is_silent(self, now: float) -> bool:
        """Return whether the other end has shown no life for too long."""
        if self._connection.is_connecting or not self.peer:
            return now - self._began_at > HANDSHAKE_TIMEOUT_S
        if self._pinged_at is None:
            return False
        return now - self._pinged_at > PONG_TIMEOUT_S

    def _is_quiet(self, now: float) -> bool:
        """Return whether the other end must be asked for a sign of life."""
        if self._connection.is_connecting or self._pinged_at:
            return False
        allowed_s = (
            PING_AFTER_S if self.is_reply_awaited() else _IDLE_PING_AFTER_S
        )
        return now - self._heard_at > allowed_s
