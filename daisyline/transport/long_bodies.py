"""Bodies of calls on the streams between nodes: long ones go in parts."""

import io
from collections import deque
from collections.abc import Callable
from typing import Any

import attrs

from daisyline.coordination import events as log
from daisyline.coordination.calls.call_events import (
    CallBodyRefused,
    CallMessageReceived,
)
from daisyline.coordination.calls.messages import (
    CancelCall,
    RequestPart,
    RunCall,
)
from daisyline.coordination.memory.memory_account import Cause, Holder, Kind
from daisyline.transport.loop import Loop
from daisyline.transport.memory_guard import MemoryGuard
from daisyline.transport.sockets import Connection

# A longer body is sent in parts, so that other messages need not wait for it
# and no node encodes or decodes it in one piece.
LONG_BODY_BYTES = 1_048_576
_PART_BYTES = 262_144
# A stream with fewer unsent bytes is never closed for others, as its messages
# keep the fleet together.
_PROTECTED_BYTES = 1_048_576


class OutgoingBodies:
    """The calls with long bodies that one stream still has to send."""

    def __init__(
        self, loop: Loop, connection: Connection, write: Callable[[Any], None]
    ) -> None:
        """Start without a call.

        Args:
            loop: The loop.
            connection: The connection of the stream.
            write: Writes a message to the stream.
        """
        self._loop = loop
        self._connection = connection
        self._write = write
        self._waiting: deque[RunCall] = deque()
        self._sent_bytes = 0
        self._is_scheduled = False

    def __len__(self) -> int:
        """Return the number of calls that are not completely sent."""
        return len(self._waiting)

    @property
    def unsent(self) -> list[RunCall]:
        """Return the calls that the peer can't run, as their end is missing."""
        return list(self._waiting)

    def take(self, message: Any) -> bool:
        """Keep a call with a long body; return False for other messages.

        A call that is cancelled is not sent any more.
        """
        if isinstance(message, CancelCall):
            self._drop(message.call)
        is_long = (
            isinstance(message, RunCall) and len(message.body) > LONG_BODY_BYTES
        )
        if is_long:
            self._waiting.append(message)
            self.send_soon()
        return is_long

    def send_soon(self) -> None:
        """Send a part in the next iteration, unless bytes wait already."""
        is_waiting = self._is_scheduled or self._connection.buffered_bytes
        if self._waiting and not is_waiting:
            self._is_scheduled = True
            self._loop.call_next(self._send)

    def _send(self) -> None:
        self._is_scheduled = False
        if self._waiting and self._connection.is_open:
            self._write(self._next_message())

    def _next_message(self) -> RequestPart | RunCall:
        """Return the next part of the first call; at its end, the call."""
        run = self._waiting[0]
        start = self._sent_bytes
        end = start + _PART_BYTES
        self._sent_bytes = end
        if end < len(run.body):
            return RequestPart(run.call, run.body[start:end])
        self._sent_bytes = 0
        self._waiting.popleft()
        return attrs.evolve(run, body=run.body[start:])

    def _drop(self, call: str) -> None:
        if self._waiting and self._waiting[0].call == call:
            self._sent_bytes = 0
        self._waiting = deque(run for run in self._waiting if run.call != call)


@attrs.define(eq=False)
class _IncomingBody:
    """The body of one call from another node, and what it holds.

    Attributes:
        holder: What it holds, in the account of the node.
        received: The parts that came before the call.
        parts: The number of these parts.
        octets: The length of these parts.
        is_complete: Whether the call has followed.
    """

    holder: Holder
    received: io.BytesIO = attrs.field(factory=io.BytesIO)
    parts: int = 0
    octets: int = 0
    is_complete: bool = False

    def clear(self, _cause: Cause) -> None:
        """Discard what was received; the call is refused at its end."""
        self.received = io.BytesIO()


class IncomingBodies:
    """The bodies of the calls that other nodes sent, until the calls end.

    Attributes:
        record: Records an event about a body that came in parts.
    """

    def __init__(self, loop: Loop, guard: MemoryGuard) -> None:
        """Count the bodies in the account of the node."""
        self._loop = loop
        self._guard = guard
        self._bodies: dict[str, _IncomingBody] = {}
        self.record: Callable[[log.Event], None] = bool

    def add(self, peer: str, stream: int, part: RequestPart) -> None:
        """Keep a part of the body of a call that follows."""
        body = self._body_of(peer, part.call)
        body.parts += 1
        body.octets += len(part.body)
        if body.parts == 1:
            self._record(body, part.call, stream, 'begun')
        size = body.holder.held_bytes + len(part.body)
        self._guard.hold(body.holder, size)
        if not body.holder.is_revoked:
            body.received.write(part.body)

    def complete(
        self, peer: str, stream: int, run: RunCall
    ) -> CallMessageReceived | CallBodyRefused:
        """Return the event for a call, with the earlier parts of its body."""
        if not run.body:
            return CallMessageReceived(peer, run)
        body = self._body_of(peer, run.call)
        size = body.holder.held_bytes + len(run.body)
        self._guard.hold(body.holder, size)
        if body.holder.is_revoked:
            self.release(run.call, stream, 'refused')
            return CallBodyRefused(peer, run.call)
        body.holder.is_revocable = False
        body.is_complete = True
        if body.received.tell():
            body.octets += len(run.body)
            self._record(body, run.call, stream, 'complete', run.attempt)
            body.received.write(run.body)
            run = attrs.evolve(run, body=body.received.getvalue())
            body.received = io.BytesIO()
        return CallMessageReceived(peer, run)

    def release(self, call: str, stream: int, cause: str) -> None:
        """Forget the body of a call that has ended.

        Args:
            call: The id of the call.
            stream: The number of the stream that the end came on.
            cause: Why the call has ended, for the log.
        """
        body = self._bodies.pop(call, None)
        if body is not None:
            self._guard.release(body.holder)
            if body.parts and not body.is_complete:
                self._record(body, call, stream, cause)

    def _record(
        self,
        body: _IncomingBody,
        call: str,
        stream: int,
        state: str,
        attempt: int = 0,
    ) -> None:
        self.record(
            log.BodyMoved(
                at=self._loop.now(),
                call=call,
                node=body.holder.client,
                stream=stream,
                attempt=attempt,
                parts=body.parts,
                octets=body.octets,
                state=state,
            )
        )

    def _body_of(self, peer: str, call: str) -> _IncomingBody:
        body = self._bodies.get(call)
        if body is None:
            body = _IncomingBody(Holder(Kind.PEERS_IN, peer))
            body.holder.revoke = body.clear
            self._bodies[call] = body
        return body


class OutgoingBytes:
    """The bytes that wait to be sent on one stream, in the account."""

    def __init__(
        self, guard: MemoryGuard, peer: str, connection: Connection
    ) -> None:
        """Close the connection if its bytes are taken."""
        self._guard = guard
        self._connection = connection
        self._holder = Holder(Kind.PEERS_OUT, peer, self._close)
        connection.on_progress = self.count

    def count(self) -> None:
        """Record how many bytes wait now."""
        octets = self._connection.buffered_bytes
        self._holder.is_revocable = octets > _PROTECTED_BYTES
        self._guard.hold(self._holder, octets)

    def _close(self, _cause: Cause) -> None:
        self._connection.abort()
