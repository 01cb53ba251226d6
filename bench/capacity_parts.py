"""What a call costs a node by parts: decisions, h11, msgpack, sockets."""

import socket
from typing import Any

import attrs

from bench.capacity_core import (
    ANSWER_HEADERS,
    BODY,
    HEADERS,
    CoreRig,
    answer,
    run,
    timed_us,
)
from bench.capacity_fit import TargetSize
from daisyline.protocol.frames import FrameDecoder, FrameEncoder
from daisyline.protocol.http import ClientCodec, Request, ServerCodec

CALLS = 400
OF_SERVICE = 19
FRAME_BYTES = 200
READ_BYTES = 65_536
# A whole answer is a head, a part and an end.
ANSWER_EVENTS = 3
_LIMIT_BYTES = 1_048_576
_REQUEST = (
    b'GET /instant HTTP/1.1\r\nHost: docs\r\nX-Call-Id: docs-call-123\r\n'
    b'Accept: application/json\r\n\r\n'
)
_ANSWER = (
    b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n'
    b'X-Call-Id: docs-call-123\r\nContent-Length: 64\r\n\r\n'
) + BODY
_OWN_HEADERS = (
    (b'Daisyline-Call', b'n0-1-1'),
    (b'Daisyline-Deadline-Ms', b'99'),
)


@attrs.frozen
class Part:
    """A part of what a call costs.

    Attributes:
        role: The node that bears it.
        name: What is done.
        call_us: Processor time of one call, in microseconds.
    """

    role: str
    name: str
    call_us: float


@attrs.define
class CallerExchange:
    """One caller's connection, as HTTP sees it."""

    codec: ServerCodec = attrs.field(
        factory=lambda: ServerCodec(_LIMIT_BYTES), init=False
    )

    def once(self) -> None:
        """Read a request and write its answer."""
        self.codec.feed(_REQUEST)
        self.codec.next_event()
        self.codec.head(200, ANSWER_HEADERS, None)
        self.codec.part(BODY)
        self.codec.end()
        self.codec.next_cycle()


@attrs.define
class TargetExchange:
    """One connection to the target, as HTTP sees it."""

    codec: ClientCodec = attrs.field(factory=ClientCodec, init=False)
    request: Request = attrs.field(
        default=Request(b'GET', b'/instant', HEADERS, b''), init=False
    )

    def once(self) -> None:
        """Write a request and read its answer."""
        self.codec.request(self.request, _OWN_HEADERS)
        self.codec.feed(_ANSWER)
        for _ in range(ANSWER_EVENTS):
            self.codec.next_event()


@attrs.define
class Frames:
    """The frames that a node writes and reads for a call."""

    sent: Any
    came: bytes
    encoder: FrameEncoder = attrs.field(factory=FrameEncoder, init=False)
    decoder: FrameDecoder = attrs.field(factory=FrameDecoder, init=False)

    @classmethod
    def from_messages(cls, sent: Any, came: Any) -> 'Frames':
        """Build what writes one message and reads another."""
        return cls(sent, FrameEncoder().encode(came))

    def once(self) -> None:
        """Write one frame and read the other."""
        self.encoder.encode(self.sent)
        self.decoder.feed(self.came)


def parts() -> list[Part]:
    """Return the parts, each measured alone in this process."""
    members = TargetSize().upstreams
    entry = CoreRig.from_members(members, OF_SERVICE)
    beside = CoreRig.from_members(members, OF_SERVICE)
    beside.announce()
    asked = run('n0-1-1')
    answered = answer('n0-1-1')
    at_entry = Frames.from_messages(asked, answered)
    at_target = Frames.from_messages(answered, asked)
    measured = (
        ('entry', 'decisions', entry.as_entry),
        ('entry', 'h11 towards the caller', CallerExchange().once),
        ('entry', 'msgpack', at_entry.once),
        ("target's node", 'decisions', beside.as_target),
        ("target's node", 'h11 towards the target', TargetExchange().once),
        ("target's node", 'msgpack', at_target.once),
    )
    timed = [
        Part(role, name, timed_us(once, CALLS)) for role, name, once in measured
    ]
    return [*timed, Part('each', 'a send and a receive here', _socket_us())]


def _socket_us() -> float:
    """Return the time of a send and a receive that wake no other process."""
    near, far = socket.socketpair()
    frame = bytes(FRAME_BYTES)

    def once() -> None:
        near.send(frame)
        far.recv(READ_BYTES)

    with near, far:
        return timed_us(once, CALLS)
