"""The outbound and inbound streams of a node."""

from collections.abc import Callable, Mapping
from typing import Any

from daisyline.coordination.calls.call_events import (
    CallMessageReceived,
    InboundStreamLost,
    MessageUndelivered,
    StreamLost,
)
from daisyline.coordination.calls.messages import Hello
from daisyline.protocol.frames import FrameEncoder
from daisyline.state.members import Member
from daisyline.transport.loop import Loop
from daisyline.transport.sockets import Connection, Listener
from daisyline.transport.stream import Identity, Stream

Handler = Callable[[Any], None]


class Streams:
    """Opens streams on demand, sends messages and reports received ones."""

    def __init__(
        self, loop: Loop, identity: Identity, on_event: Handler
    ) -> None:
        """Start without streams and without a listener."""
        self._loop = loop
        self._identity = identity
        self._encoder = FrameEncoder()
        self._on_event = on_event
        self._outbound: dict[str, Stream] = {}
        self._inbound: dict[str, Stream] = {}
        self._unidentified: set[Stream] = set()
        self._listener: Listener | None = None
        self.members: Callable[[], Mapping[str, Member]] = dict
        self.awaits_reply: Callable[[str], bool] = bool

    def listen(self, host: str, port: int) -> None:
        """Accept streams from other nodes.

        Raises:
            OSError: If the port can't be bound.
        """
        self._listener = Listener.open(self._loop, host, port, self._accept)

    def send(self, node: str, message: Any) -> None:
        """Send a message to a node on an outbound stream.

        A node that is no known member gets it on the stream that it opened,
        if there is one; otherwise `MessageUndelivered` is reported.
        """
        stream = self._outbound.get(node)
        if stream is None:
            is_member = node in self.members()
            stream = None if is_member else self._inbound.get(node)
        if stream is None:
            member = self.members().get(node)
            if member is None:
                self._report(MessageUndelivered(node, message))
                return
            stream = self._dial(node, member.host, member.port)
            stream.expected_peer = node
        stream.send(message)

    def send_to_address(self, host: str, port: int, message: Any) -> None:
        """Send a message to an address; its node may be unknown."""
        address = f'{host}:{port}'
        stream = self._outbound.get(address) or self._dial(address, host, port)
        stream.send(message)

    def reply(self, node: str, message: Any) -> None:
        """Send a message on the inbound stream of a node, if it is open."""
        stream = self._inbound.get(node)
        if stream is not None:
            stream.send(message)

    def close(self) -> None:
        """Close the listener and all streams."""
        if self._listener is not None:
            self._listener.close()
        identified = (*self._outbound.values(), *self._inbound.values())
        for stream in (*identified, *self._unidentified):
            stream.close()

    def _dial(self, name: str, host: str, port: int) -> Stream:
        connection = Connection.dial(self._loop, host, port)
        stream = Stream(
            self._loop,
            connection,
            self._identity,
            self._encoder,
            self._handle_message,
            self._outbound_closed,
        )
        stream.key = name
        stream.is_reply_awaited = lambda: self.awaits_reply(stream.key)
        self._outbound[name] = stream
        return stream

    def _accept(self, connection: Connection) -> None:
        stream = Stream(
            self._loop,
            connection,
            self._identity,
            self._encoder,
            self._handle_message,
            self._inbound_closed,
        )
        self._unidentified.add(stream)

    def _handle_message(self, stream: Stream, message: Any) -> None:
        if isinstance(message, Hello):
            self._register(stream)
        else:
            self._on_event(CallMessageReceived(stream.peer, message))

    def _register(self, stream: Stream) -> None:
        """Register a stream by its peer; the newest inbound one is used."""
        if stream in self._unidentified:
            self._unidentified.discard(stream)
            self._inbound[stream.peer] = stream
        elif stream.peer not in self._outbound:
            self._outbound.pop(stream.key, None)
            stream.key = stream.peer
            self._outbound[stream.key] = stream

    def _outbound_closed(self, stream: Stream) -> None:
        """Report the undelivered messages and the loss of the stream."""
        name = stream.key
        if self._outbound.get(name) is stream:
            self._outbound.pop(name)
        for message in stream.undelivered:
            self._report(MessageUndelivered(name, message))
        if stream.is_identified:
            self._report(StreamLost(name, stream.peer_incarnation))

    def _inbound_closed(self, stream: Stream) -> None:
        self._unidentified.discard(stream)
        if stream.peer and self._inbound.get(stream.peer) is stream:
            self._inbound.pop(stream.peer)
            self._report(InboundStreamLost(stream.peer))

    def _report(self, event: Any) -> None:
        """Report an event after the current effects have been performed."""
        self._loop.defer(lambda: self._on_event(event))
