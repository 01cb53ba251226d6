"""What a call costs a node by parts: decisions, h11, msgpack, sockets."""

import socket
from collections.abc import Callable
from typing import Any

import attrs

from bench.capacity_core import (
    ANSWER_HEADERS,
    BODY,
    HEADERS,
    OK,
    CoreRig,
    answer,
    rested_us,
    run,
    timed_us,
)
from bench.capacity_fit import TargetSize, format_short
from daisyline.protocol.frames import FrameDecoder, FrameEncoder
from daisyline.protocol.http_client import ClientCodec
from daisyline.protocol.http_messages import Request
from daisyline.protocol.http_server import ServerCodec

HEADER = ('node', 'part', 'us/call in a row', 'us/call after 5 ms of sleep')
CALLS = 400
RESTED_CALLS = 200
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
        call_us: Processor time of one call among many, in microseconds.
        rested_us: The same when the process has slept before it.
    """

    role: str
    name: str
    call_us: float
    rested_us: float

    def cells(self) -> tuple[str, ...]:
        """Return the cells of the row that shows it."""
        return (
            self.role,
            self.name,
            format_short(self.call_us),
            format_short(self.rested_us),
        )

    @classmethod
    def timed(cls, role: str, name: str, once: Callable[[], None]) -> 'Part':
        """Measure what is done for one call."""
        warm = timed_us(once, CALLS)
        return cls(role, name, warm, rested_us(once, RESTED_CALLS))


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
        self.codec.head(OK, ANSWER_HEADERS, None)
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


def measure_parts() -> list[Part]:
    """Return the parts, each measured alone in this process."""
    return [*_at_entry(), *_at_target(), _of_sockets()]


def _at_entry() -> list[Part]:
    rig = CoreRig.from_members(TargetSize().upstreams, OF_SERVICE)
    frames = Frames.from_messages(run('n0-1-1'), answer('n0-1-1'))
    return [
        Part.timed('entry', 'decisions', rig.as_entry),
        Part.timed('entry', 'h11 towards the caller', CallerExchange().once),
        Part.timed('entry', 'msgpack', frames.once),
    ]


def _at_target() -> list[Part]:
    rig = CoreRig.from_members(TargetSize().upstreams, OF_SERVICE)
    rig.announce()
    role = "target's node"
    frames = Frames.from_messages(answer('n0-1-1'), run('n0-1-1'))
    return [
        Part.timed(role, 'decisions', rig.as_target),
        Part.timed(role, 'h11 towards the target', TargetExchange().once),
        Part.timed(role, 'msgpack', frames.once),
    ]


def _of_sockets() -> Part:
    """Return a send and a receive that wake no other process."""
    near, far = socket.socketpair()
    frame = bytes(FRAME_BYTES)

    def once() -> None:
        near.send(frame)
        far.recv(READ_BYTES)

    with near, far:
        return Part.timed('each', 'a send and a receive here', once)
