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
from daisyline.coordination.calls.messages import (
    AnswerHead,
    AnswerPart,
    CallRefused,
    CallRunning,
    CancelCall,
    Hello,
    Ping,
    Pong,
    QueryCall,
    RequestPart,
    RunCall,
)
from daisyline.coordination.memory.memory_account import MemoryAccount
from daisyline.protocol.frames import FrameEncoder
from daisyline.state.members import Member
from daisyline.transport.listener import Listener
from daisyline.transport.long_bodies import IncomingBodies, OutgoingBytes
from daisyline.transport.loop import Loop
from daisyline.transport.memory_guard import MemoryGuard
from daisyline.transport.ping_rounds import PingRounds
from daisyline.transport.sockets import Connection
from daisyline.transport.stream import Identity, Stream

Handler = Callable[[Any], None]

_REQUESTS = (RunCall, RequestPart, QueryCall)
_CALL_REPLIES = (AnswerHead, AnswerPart, CallRefused, CallRunning)


class Streams:
    """Opens streams on demand, sends messages and reports received ones.

    All replies to a call go on the stream that the call came on. Another node
    may have opened a second one since, and parts of an answer that are sent on
    different streams can be lost or overtake each other.

    Attributes:
        bodies: The bodies of the calls that other nodes sent.
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
        self.bodies = IncomingBodies(loop, self._memory)
        self._loop = loop
        self._identity = identity
        self._encoder = FrameEncoder()
        self._on_event = on_event
        self._outbound: dict[str, Stream] = {}
        # The streams that each node has opened, the newest last.
        self._inbound: dict[str, list[Stream]] = {}
        # The stream that each call in progress here came on.
        self._origins: dict[str, Stream] = {}
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
            self._ping(node, message)
            return
        if isinstance(message, _CALL_REPLIES):
            stream = self._origins.get(message.call)
            if _is_final(message):
                self._origins.pop(message.call, None)
                number = 0 if stream is None else stream.number
                self.bodies.release(message.call, number, 'replied')
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

    def _ping(self, node: str, ping: Ping) -> None:
        """Ping a node on all streams that it has opened.

        Its `Pong` is reported once all of them have answered or ended.
        """
        streams = self._inbound.get(node, [])
        if streams:
            self._ping_rounds.start(node, ping.nonce, streams)
        for stream in streams:
            stream.send(ping)

    def _identified(self) -> tuple[Stream, ...]:
        """Return the streams that this node and others have opened."""
        inbound = itertools.chain.from_iterable(self._inbound.values())
        return (*self._outbound.values(), *inbound)

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
        stream.number = next(self._numbers)
        stream.key = name
        unsent = OutgoingBytes(self._memory, name, connection)
        stream.count_unsent = unsent.count
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
        unsent = OutgoingBytes(self._memory, connection.peer_host, connection)
        stream.count_unsent = unsent.count
        stream.number = next(self._numbers)
        self._unidentified.add(stream)

    def _handle_message(self, stream: Stream, message: Any) -> None:
        if isinstance(message, Hello):
            self._register(stream)
            return
        if isinstance(message, _REQUESTS):
            # A call with a part of its body counts as one of the stream, too,
            # so that the body is released when the stream ends.
            self._origins[message.call] = stream
        if isinstance(message, RequestPart):
            self.bodies.add(stream.peer, stream.number, message)
        elif isinstance(message, RunCall):
            self._on_event(
                self.bodies.complete(stream.peer, stream.number, message)
            )
        else:
            self._handle_short_message(stream, message)

    def _handle_short_message(self, stream: Stream, message: Any) -> None:
        if isinstance(message, CancelCall):
            self._origins.pop(message.call, None)
            self.bodies.release(message.call, stream.number, 'cancelled')
        elif isinstance(message, Pong):
            self._ping_rounds.record_answer(stream, message.nonce)
            if self._ping_rounds.is_incomplete(stream.peer, message.nonce):
                return
        self._on_event(CallMessageReceived(stream.peer, message))

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
        name = stream.key
        if self._outbound.get(name) is stream:
            self._outbound.pop(name)
        for message in stream.undelivered:
            self._report(MessageUndelivered(name, message))
        if stream.peer:
            self._report(StreamLost(name, stream.peer_incarnation))

    def _inbound_closed(self, stream: Stream) -> None:
        """Report the loss of a stream, if calls came on it or it was the last.

        The calls that came on it get no more replies.
        """
        self._unidentified.discard(stream)
        streams = self._inbound.get(stream.peer, [])
        if stream not in streams:
            return
        streams.remove(stream)
        if not streams:
            self._inbound.pop(stream.peer)
        calls = self._forget_calls(stream)
        if calls or not streams:
            is_last = not streams
            self._report(InboundStreamLost(stream.peer, calls, is_last))
        nonce = self._ping_rounds.record_end(stream)
        if nonce is not None and streams:
            pong = Pong(nonce, 0)
            self._report(CallMessageReceived(stream.peer, pong))

    def _forget_calls(self, stream: Stream) -> frozenset[str]:
        """Forget the calls that came on a stream, and return their ids."""
        calls = frozenset(
            call for call, origin in self._origins.items() if origin is stream
        )
        for call in calls:
            self._origins.pop(call)
            self.bodies.release(call, stream.number, 'stream-lost')
        return calls

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
