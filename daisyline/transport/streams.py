"""All streams of a node: those it opens and those opened to it."""

from collections.abc import Callable, Mapping
from typing import Any

from daisyline.coordination.call_events import (
    CallMessageReceived,
    InboundStreamLost,
    MessageUndelivered,
    StreamLost,
)
from daisyline.coordination.messages import Hello
from daisyline.state.members import Member
from daisyline.transport.loop import Loop
from daisyline.transport.sockets import Connection, Listener
from daisyline.transport.stream import Identity, Stream

Handler = Callable[[Any], None]


class Streams:
    """Opens streams on demand and hands messages over."""

    def __init__(
        self, loop: Loop, identity: Identity, on_event: Handler
    ) -> None:
        """Start without streams."""
        self._loop = loop
        self._identity = identity
        self._on_event = on_event
        self._outbound: dict[str, Stream] = {}
        self._inbound: dict[str, Stream] = {}
        self._unnamed: set[Stream] = set()
        self._listener: Listener | None = None
        self.members: Callable[[], Mapping[str, Member]] = dict
        self.awaits_reply: Callable[[str], bool] = bool

    def listen(self, host: str, port: int) -> None:
        """Accept streams of other nodes."""
        self._listener = Listener.open(self._loop, host, port, self._accept)

    def send(self, node: str, message: Any) -> None:
        """Send a message to a node, on a stream that this node opened."""
        stream = self._outbound.get(node)
        if stream is None:
            known = node in self.members()
            stream = None if known else self._inbound.get(node)
        if stream is None:
            member = self.members().get(node)
            if member is None:
                self._report(MessageUndelivered(node, message))
                return
            stream = self._dial(node, member.host, member.port)
            stream.expected_peer = node
        stream.send(message)

    def send_to_address(self, host: str, port: int, message: Any) -> None:
        """Send a message to an address whose node may be unknown."""
        place = f'{host}:{port}'
        stream = self._outbound.get(place) or self._dial(place, host, port)
        stream.send(message)

    def reply(self, node: str, message: Any) -> None:
        """Send a message on the stream that a node opened to this one."""
        stream = self._inbound.get(node)
        if stream is not None:
            stream.send(message)

    def close(self) -> None:
        """Close the listener and all streams."""
        if self._listener is not None:
            self._listener.close()
        named = (*self._outbound.values(), *self._inbound.values())
        for stream in (*named, *self._unnamed):
            stream.close()

    def _dial(self, name: str, host: str, port: int) -> Stream:
        connection = Connection.dial(self._loop, host, port)
        stream = Stream(
            self._loop,
            connection,
            self._identity,
            self._received,
            self._lost,
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
            self._received,
            self._left,
        )
        self._unnamed.add(stream)

    def _received(self, stream: Stream, message: Any) -> None:
        if isinstance(message, Hello):
            self._named(stream)
        else:
            self._on_event(CallMessageReceived(stream.peer, message))

    def _named(self, stream: Stream) -> None:
        """Keep the newest stream that a node has opened to this one."""
        if stream in self._unnamed:
            self._unnamed.discard(stream)
            self._inbound[stream.peer] = stream
        elif stream.peer not in self._outbound:
            self._outbound.pop(stream.key, None)
            stream.key = stream.peer
            self._outbound[stream.key] = stream

    def _lost(self, stream: Stream) -> None:
        """Report what a stream that this node opened leaves behind."""
        name = stream.key
        if self._outbound.get(name) is stream:
            self._outbound.pop(name)
        for message in stream.undelivered:
            self._report(MessageUndelivered(name, message))
        if stream.is_identified:
            self._report(StreamLost(name))

    def _left(self, stream: Stream) -> None:
        self._unnamed.discard(stream)
        if stream.peer and self._inbound.get(stream.peer) is stream:
            self._inbound.pop(stream.peer)
            self._report(InboundStreamLost(stream.peer))

    def _report(self, event: Any) -> None:
        """Report after the effects in hand have been carried out."""
        self._loop.defer(lambda: self._on_event(event))
