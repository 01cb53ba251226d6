"""Bodies of calls on the streams between nodes: long ones go in parts."""

from collections import deque
from collections.abc import Callable
from typing import Any

import attrs

from daisyline.coordination.calls.messages import (
    BODY_REVISION,
    BodyPart,
    CancelCall,
    RequestPart,
    RunCall,
    RunLongCall,
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
        self._peer_revision = 0
        self._is_length_stated = False

    def __len__(self) -> int:
        """Return the number of calls that are not completely sent."""
        return len(self._waiting)

    @property
    def unsent(self) -> list[RunCall]:
        """Return the calls that the peer can't run, as their end is missing."""
        return list(self._waiting)

    def learn_revision(self, revision: int) -> None:
        """Use the newest messages that the peer reads, from the next call on."""
        self._peer_revision = max(self._peer_revision, revision)

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

    def _next_message(self) -> BodyPart | RequestPart | RunCall:
        """Return the next part of the first call; at its end, the call."""
        run = self._waiting[0]
        start = self._sent_bytes
        if not start:
            self._is_length_stated = self._peer_revision >= BODY_REVISION
        end = start + _PART_BYTES
        self._sent_bytes = end
        if end < len(run.body):
            return self._part(run, start, end)
        self._sent_bytes = 0
        self._waiting.popleft()
        return self._call_with_end(run, start)

    def _part(
        self, run: RunCall, start: int, end: int
    ) -> BodyPart | RequestPart:
        part = run.body[start:end]
        if self._is_length_stated:
            return BodyPart(run.call, run.attempt, start, len(run.body), part)
        return RequestPart(run.call, part)

    def _call_with_end(self, run: RunCall, start: int) -> RunCall:
        if not self._is_length_stated:
            return attrs.evolve(run, body=run.body[start:])
        fields = attrs.asdict(run, recurse=False)
        fields['body'] = run.body[start:]
        return RunLongCall(**fields, body_length=len(run.body))

    def _drop(self, call: str) -> None:
        if self._waiting and self._waiting[0].call == call:
            self._sent_bytes = 0
        self._waiting = deque(run for run in self._waiting if run.call != call)


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
