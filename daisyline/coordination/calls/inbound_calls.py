"""The calls that other nodes send here: their streams and their bodies.

A node sends the messages about its calls on one stream at a time, and opens
another stream for them only once it has closed the former. Messages of the
former may be read later than those of the new one, but the sender has given up
every attempt that they are about.
"""

import functools
import io
from collections.abc import Callable
from typing import Any, Protocol

import attrs

from daisyline.coordination import events as log
from daisyline.coordination.calls.call_events import (
    MEMORY_SHORT,
    CallBodyRefused,
    CallMessageReceived,
)
from daisyline.coordination.calls.messages import (
    BodyCredit,
    BodyPart,
    CancelCall,
    QueryCall,
    RequestPart,
    RunCall,
    RunLongCall,
)
from daisyline.coordination.memory.memory_account import Cause, Holder, Kind
from daisyline.state.failures import Failure, Reason

Effects = list[Any]

# The messages about a call that its entry node sends.
ENTRY_MESSAGES = (
    RunCall,
    BodyPart,
    RequestPart,
    QueryCall,
    CancelCall,
    BodyCredit,
)
_NOT_WHOLE = Failure(Reason.NODE_LOST, detail='the body is not whole')


class BodyMemory(Protocol):
    """The account of the bytes that a node holds for others."""

    def hold(self, holder: Holder, octets: int) -> None:
        """Record how many bytes a holder holds."""

    def release(self, holder: Holder) -> None:
        """Record that a holder holds nothing more."""


@attrs.frozen
class InboundStream:
    """A stream that messages about calls came on.

    Attributes:
        number: Grows with each stream that this process opens or accepts,
            from 1.
        peer: The node at the other end.
        incarnation: The incarnation of that node.
        is_accepted: Whether that node opened the stream. It sends its calls on
            such streams only, unless this node is no member to it.
    """

    number: int
    peer: str
    incarnation: int = 0
    is_accepted: bool = True


@attrs.frozen
class StreamSuperseded:
    """Close a stream, as its node has given up the calls that come on it.

    Attributes:
        stream: The number of the stream.
    """

    stream: int


@attrs.define(eq=False)
class _Body:
    """The parts of one attempt's body that came on one stream.

    Attributes:
        holder: What the parts hold in the account of the node.
        attempt: The number of the attempt; 0 if the sender does not state it.
        length: The length of the body; `None` if the sender does not state it.
        received: The parts.
        parts: How many parts came.
        octets: The length of the parts that came, also of those not kept.
        is_broken: Whether a part is missing.
    """

    holder: Holder
    attempt: int = 0
    length: int | None = None
    received: io.BytesIO = attrs.field(factory=io.BytesIO)
    parts: int = 0
    octets: int = 0
    is_broken: bool = False

    def discard(self, _cause: Cause | None = None) -> None:
        """Discard the parts; the call is refused at its end."""
        self.received = io.BytesIO()

    def is_whole_with(self, run: RunCall) -> bool:
        """Return whether the message with the end completes the body."""
        if not isinstance(run, RunLongCall):
            return self.length is None
        return (self.attempt, self.length, self.octets + len(run.body)) == (
            run.attempt,
            run.body_length,
            run.body_length,
        ) and not self.is_broken


@attrs.frozen
class _Origin:
    """Where a call in progress came from.

    Attributes:
        stream: The number of the stream that its replies go on.
        holder: What its body holds in the account; None if it holds nothing.
    """

    stream: int
    holder: Holder | None = None


@attrs.define
class InboundCalls:
    """The calls in progress that other nodes sent, by their streams.

    Attributes:
        record: Records an event about a long body.
    """

    _memory: BodyMemory
    # The newest stream of each node that messages about calls came on.
    _newest: dict[str, InboundStream] = attrs.field(factory=dict)
    _origins: dict[str, _Origin] = attrs.field(factory=dict)
    # The bodies whose end is awaited, by the number of the stream and the call.
    _bodies: dict[tuple[int, str], _Body] = attrs.field(factory=dict)
    record: Callable[[log.Event], None] = bool

    def receive(
        self, stream: InboundStream, message: Any, now: float
    ) -> Effects:
        """Return the events for a message about a call.

        Once a message has come on a newer stream of the same process, those
        that are read later on an older one are of attempts that were given up.

        Args:
            stream: The stream that the message came on.
            message: One of `ENTRY_MESSAGES`.
            now: Monotonic seconds.
        """
        if stream.is_accepted:
            newest = self._newest.get(stream.peer, stream)
            is_same_process = newest.incarnation == stream.incarnation
            if is_same_process and stream.number < newest.number:
                return [StreamSuperseded(stream.number)]
            self._newest[stream.peer] = stream
        return _receive(message, self, stream, now)

    def origin_of(self, call: str) -> int:
        """Return the number of the stream for replies to a call, or 0."""
        origin = self._origins.get(call)
        return 0 if origin is None else origin.stream

    def record_end(self, call: str) -> None:
        """Record that the last reply to a call is sent."""
        origin = self._origins.pop(call, None)
        if origin is not None and origin.holder is not None:
            self._memory.release(origin.holder)

    def end_stream(
        self, stream: InboundStream, is_last: bool, now: float
    ) -> frozenset[str]:
        """Forget a stream; return the calls in progress that came on it.

        Args:
            stream: The stream.
            is_last: Whether its node has no other stream to this one.
            now: Monotonic seconds.
        """
        if is_last:
            self._newest.pop(stream.peer, None)
        number = stream.number
        unfinished = [call for on, call in self._bodies if on == number]
        for unfinished_call in unfinished:
            self._give_up(stream, unfinished_call, 'stream-lost', now)
        calls = frozenset(
            call
            for call, origin in self._origins.items()
            if origin.stream == number
        )
        for call in calls:
            self.record_end(call)
        return calls

    def add_part(
        self,
        stream: InboundStream,
        part: RequestPart | BodyPart,
        body: _Body,
        now: float,
    ) -> None:
        """Keep a part of the body of a call that follows."""
        body.parts += 1
        body.octets += len(part.body)
        if body.parts == 1:
            self._record(stream, part.call, body, 'begun', now)
        if body.is_broken:
            self._memory.release(body.holder)
            body.discard()
            return
        self._memory.hold(body.holder, body.holder.held_bytes + len(part.body))
        if not body.holder.is_revoked:
            body.received.write(part.body)

    def ordered_body(self, stream: InboundStream, part: RequestPart) -> _Body:
        """Return the body of a part that follows the earlier ones."""
        body = self._bodies.get((stream.number, part.call))
        if body is None or body.length is not None:
            return self._start_body(stream, part.call)
        return body

    def stated_body(self, stream: InboundStream, part: BodyPart) -> _Body:
        """Return the body of a part whose place in it is stated."""
        body = self._bodies.get((stream.number, part.call))
        if body is None or not part.start:
            body = self._start_body(stream, part.call)
            body.attempt = part.attempt
            body.length = part.body_length
        expected = (body.attempt, body.length, body.octets)
        if (part.attempt, part.body_length, part.start) != expected:
            body.is_broken = True
        return body

    def run(self, stream: InboundStream, run: RunCall, now: float) -> Effects:
        """Return the event for a call: it is run whole, or refused."""
        self.record_end(run.call)
        body = self._bodies.pop((stream.number, run.call), None)
        if body is None:
            body = _Body(Holder(Kind.PEERS_IN, stream.peer))
        failure = self._complete(body, run)
        if body.parts or failure is not None:
            state = 'complete' if failure is None else 'refused'
            body.attempt = run.attempt
            self._record(stream, run.call, body, state, now)
        if failure is not None:
            self._memory.release(body.holder)
            self._origins[run.call] = _Origin(stream.number)
            return [CallBodyRefused(stream.peer, run.call, failure)]
        body.holder.is_revocable = False
        self._origins[run.call] = _Origin(stream.number, body.holder)
        return [CallMessageReceived(stream.peer, _with_body(run, body))]

    def query(self, stream: InboundStream, query: QueryCall) -> Effects:
        """Let the replies to a call go on the stream that asked for it."""
        origin = self._origins.get(query.call, _Origin(stream.number))
        self._origins[query.call] = _Origin(stream.number, origin.holder)
        return [CallMessageReceived(stream.peer, query)]

    def cancel(
        self, stream: InboundStream, cancel: CancelCall, now: float
    ) -> Effects:
        """Forget a call that its entry node has given up."""
        self.record_end(cancel.call)
        self._give_up(stream, cancel.call, 'cancelled', now)
        return [CallMessageReceived(stream.peer, cancel)]

    def _complete(self, body: _Body, run: RunCall) -> Failure | None:
        """Add the end of a body; return why the call can't run, or None."""
        is_whole = body.is_whole_with(run)
        body.octets += len(run.body)
        if is_whole:
            held_bytes = body.holder.held_bytes + len(run.body)
            self._memory.hold(body.holder, held_bytes)
        if body.holder.is_revoked:
            return MEMORY_SHORT
        return None if is_whole else _NOT_WHOLE

    def _start_body(self, stream: InboundStream, call: str) -> _Body:
        key = (stream.number, call)
        earlier = self._bodies.get(key)
        if earlier is not None:
            self._memory.release(earlier.holder)
        body = _Body(Holder(Kind.PEERS_IN, stream.peer))
        body.holder.revoke = body.discard
        self._bodies[key] = body
        return body

    def _give_up(
        self, stream: InboundStream, call: str, cause: str, now: float
    ) -> None:
        body = self._bodies.pop((stream.number, call), None)
        if body is not None:
            self._memory.release(body.holder)
            self._record(stream, call, body, cause, now)

    def _record(
        self,
        stream: InboundStream,
        call: str,
        body: _Body,
        state: str,
        now: float,
    ) -> None:
        self.record(
            log.BodyMoved(
                at=now,
                call=call,
                node=stream.peer,
                stream=stream.number,
                attempt=body.attempt,
                parts=body.parts,
                octets=body.octets,
                state=state,
            )
        )


def _with_body(run: RunCall, body: _Body) -> RunCall:
    """Return the call with its whole body."""
    if not body.parts:
        return run
    body.received.write(run.body)
    fields = {
        field.name: getattr(run, field.name) for field in attrs.fields(RunCall)
    }
    return RunCall(**fields | {'body': body.received.getvalue()})


@functools.singledispatch
def _receive(
    message: Any, calls: InboundCalls, stream: InboundStream, now: float
) -> Effects:
    """Return the events for a message of a stream that is in use."""
    return [CallMessageReceived(stream.peer, message)]


@_receive.register
def _(
    message: RequestPart, calls: InboundCalls, stream: InboundStream, now: float
) -> Effects:
    body = calls.ordered_body(stream, message)
    calls.add_part(stream, message, body, now)
    return []


@_receive.register
def _(
    message: BodyPart, calls: InboundCalls, stream: InboundStream, now: float
) -> Effects:
    body = calls.stated_body(stream, message)
    calls.add_part(stream, message, body, now)
    return []


@_receive.register
def _(
    message: RunCall, calls: InboundCalls, stream: InboundStream, now: float
) -> Effects:
    return calls.run(stream, message, now)


@_receive.register
def _(
    message: QueryCall, calls: InboundCalls, stream: InboundStream, now: float
) -> Effects:
    return calls.query(stream, message)


@_receive.register
def _(
    message: CancelCall, calls: InboundCalls, stream: InboundStream, now: float
) -> Effects:
    return calls.cancel(stream, message, now)
