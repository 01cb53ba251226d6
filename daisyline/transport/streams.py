"""The outbound and inbound streams of a node."""

import itertools
from collections.abc import Callable, Mapping
from typing import Any

from daisyline.coordination.calls.call_events import (
    CallMessageReceived,
    InboundStreamLost,
    MessageUndelivered,
    StreamLost,
)
from daisyline.coordination.calls.inbound_calls import (
    ENTRY_MESSAGES,
    InboundCalls,
    InboundStream,
    StreamSuperseded,
)
from daisyline.coordination.calls.messages import (
    AnswerHead,
    AnswerPart,
    CallRefused,
    CallRunning,
    Hello,
    Ping,
    Pong,
)
from daisyline.coordination.memory.memory_account import MemoryAccount
from daisyline.protocol.frames import FrameEncoder
from daisyline.state.members import Member
from daisyline.transport.listener import Listener
from daisyline.transport.long_bodies import OutgoingBytes
from daisyline.transport.loop import Loop
from daisyline.transport.memory_guard import MemoryGuard
from daisyline.transport.ping_rounds import PingRounds
from daisyline.transport.sockets import Connection
from daisyline.transport.stream import Identity, Stream

Handler = Callable[[Any], None]

_CALL_REPLIES = (AnswerHead, AnswerPart, CallRefused, CallRunning)


class Streams:
    """Opens streams on demand, sends messages and reports received ones.

    All replies to a call go on the stream that the call came on. Another node
    may have opened a second one since, and parts of an answer that are sent on
    different streams can be lost or overtake each other.

    Attributes:
        calls: The calls in progress that other nodes sent.
        members: Returns the nodes that are known, by name.
        awaits_reply: Returns whether this node awaits a reply from a node.
    """

    def __init__(
        self,
        loop: Loop,
        identity: Identity,
        on_event: Handler,
        memory: MemoryGuard | None = None,
    ) -> None:
        """Start without streams and without a listener.

        Args:
            loop: The loop of this process.
            identity: The identity of this node.
            on_event: Called with the events of streams.
            memory: The account of the node; None for one of its own.
        """
        self._memory = memory or MemoryGuard(MemoryAccount.from_config(None))
        self.calls = InboundCalls(self._memory)
        self._loop = loop
        self._identity = identity
        self._encoder = FrameEncoder()
        self._on_event = on_event
        self._outbound: dict[str, Stream] = {}
        # The streams that each node has opened, the newest last.
        self._inbound: dict[str, list[Stream]] = {}
        # All streams that are not closed, by their numbers.
        self._open: dict[int, Stream] = {}
        self._ping_rounds = PingRounds()
        self._numbers = itertools.count(1)
        self._unidentified: set[Stream] = set()
        self._listener: Listener | None = None
        self.members: Callable[[], Mapping[str, Member]] = dict
        self.awaits_reply: Callable[[str], bool] = bool

    @property
    def has_unsent_bytes(self) -> bool:
        """Return whether messages wait to be sent on any stream."""
        return any(stream.has_unsent_bytes for stream in self._identified())

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
            stream = None if is_member else self._newest_inbound(node)
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
        """Send a message to a node that has opened a stream to this one.

        A reply to a call is dropped if the stream of the call was closed: the
        node has noticed that, or will, and gives the call up.
        """
        if isinstance(message, Ping):
            # Its `Pong` is reported once all streams have answered or ended.
            streams = self._inbound.get(node, [])
            self._ping_rounds.start(node, message, streams)
            return
        if isinstance(message, _CALL_REPLIES):
            stream = self._open.get(self.calls.origin_of(message.call))
            if _is_final(message):
                self.calls.record_end(message.call)
        else:
            stream = self._newest_inbound(node)
        if stream is not None:
            stream.send(message)

    def close(self) -> None:
        """Close the listener and all streams."""
        if self._listener is not None:
            self._listener.close()
        for stream in (*self._identified(), *self._unidentified):
            stream.close()

    def shut_down(self) -> None:
        """Send what is buffered, then let the peers close the streams."""
        for stream in self._identified():
            stream.shut_down()

    def _identified(self) -> tuple[Stream, ...]:
        """Return the streams that this node and others have opened."""
        inbound = itertools.chain.from_iterable(self._inbound.values())
        return (*self._outbound.values(), *inbound)

    def _dial(self, name: str, host: str, port: int) -> Stream:
        connection = Connection.dial(self._loop, host, port)
        stream = self._open_stream(name, connection, self._outbound_closed)
        stream.key = name
        stream.is_reply_awaited = lambda: self.awaits_reply(stream.key)
        self._outbound[name] = stream
        return stream

    def _accept(self, connection: Connection) -> None:
        name = connection.peer_host
        stream = self._open_stream(name, connection, self._inbound_closed)
        self._unidentified.add(stream)

    def _open_stream(
        self,
        name: str,
        connection: Connection,
        on_closed: Callable[[Stream], None],
    ) -> Stream:
        stream = Stream(
            self._loop,
            connection,
            self._identity,
            self._encoder,
            self._handle_message,
            on_closed,
        )
        unsent = OutgoingBytes(self._memory, name, connection)
        stream.count_unsent = unsent.count
        stream.number = next(self._numbers)
        self._open[stream.number] = stream
        return stream

    def _handle_message(self, stream: Stream, message: Any) -> None:
        if isinstance(message, Hello):
            self._register(stream)
        elif isinstance(message, ENTRY_MESSAGES):
            self._receive_from_entry(stream, message)
        elif not isinstance(message, Pong) or self._ping_rounds.record_answer(
            stream, message.nonce
        ):
            self._on_event(CallMessageReceived(stream.peer, message))

    def _receive_from_entry(self, stream: Stream, message: Any) -> None:
        source, now = _source_of(stream), self._loop.now()
        for event in self.calls.receive(source, message, now):
            if isinstance(event, StreamSuperseded):
                stream.close()
            else:
                self._on_event(event)

    def _register(self, stream: Stream) -> None:
        """Register a stream by its peer."""
        if stream in self._unidentified:
            self._unidentified.discard(stream)
            self._inbound.setdefault(stream.peer, []).append(stream)
        elif stream.peer not in self._outbound:
            self._outbound.pop(stream.key, None)
            stream.key = stream.peer
            self._outbound[stream.key] = stream

    def _outbound_closed(self, stream: Stream) -> None:
        """Report the undelivered messages and the loss of the stream."""
        self._open.pop(stream.number)
        name = stream.key
        if self._outbound.get(name) is stream:
            self._outbound.pop(name)
        for message in stream.undelivered:
            self._report(MessageUndelivered(name, message))
        if stream.peer:
            self._report(StreamLost(name, stream.peer_incarnation))
            self._loop.defer(lambda: self._report_end(stream))

    def _inbound_closed(self, stream: Stream) -> None:
        """Report the loss of a stream, if calls came on it or it was the last.

        The calls that came on it get no more replies.
        """
        self._open.pop(stream.number)
        self._unidentified.discard(stream)
        streams = self._inbound.get(stream.peer, [])
        if stream not in streams:
            return
        streams.remove(stream)
        if not streams:
            self._inbound.pop(stream.peer)
        self._loop.defer(lambda: self._report_end(stream))

    def _report_end(self, stream: Stream) -> None:
        """Report the calls whose replies would go on a closed stream.

        Their node may have asked for some of them on another stream since it
        closed; these are not lost.
        """
        is_open = stream.peer in self._inbound
        is_last = stream.is_accepted and not is_open
        now = self._loop.now()
        calls = self.calls.end_stream(_source_of(stream), is_last, now)
        if calls or is_last:
            self._on_event(InboundStreamLost(stream.peer, calls, is_last))
        nonce = self._ping_rounds.record_end(stream)
        if nonce is not None and is_open:
            pong = Pong(nonce, 0)
            self._on_event(CallMessageReceived(stream.peer, pong))

    def _newest_inbound(self, node: str) -> Stream | None:
        """Return the stream that a node opened last, or None."""
        streams = self._inbound.get(node)
        return streams[-1] if streams else None

    def _report(self, event: Any) -> None:
        """Report an event after the current effects have been performed."""
        self._loop.defer(lambda: self._on_event(event))


def _is_final(reply: Any) -> bool:
    """Return whether a reply is the last one to its call."""
    return isinstance(reply, CallRefused) or getattr(reply, 'last', False)


def _source_of(stream: Stream) -> InboundStream:
    return InboundStream(
        stream.number,
        stream.peer,
        stream.peer_incarnation,
        stream.is_accepted,
    )
