"""Processor time of a call by part: decisions, h11, msgpack and sockets."""

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
    make_answer,
    make_run_call,
    mean_us_after_sleep,
    minimum_us,
)
from bench.capacity_fit import TargetSize, format_short
from daisyline.protocol.frames import FrameDecoder, FrameEncoder
from daisyline.protocol.http_client import ClientCodec
from daisyline.protocol.http_messages import Request
from daisyline.protocol.http_server import ServerCodec

HEADER = ('node', 'part', 'us/call in a row', 'us/call after 5 ms of sleep')
CALL_COUNT = 400
CALLS_AFTER_SLEEP = 200
UPSTREAMS_PER_SERVICE = 19
FRAME_BYTES = 200
READ_BYTES = 65_536
# The events of a complete answer: its head, one part of the body, its end.
EVENTS_PER_ANSWER = 3
_LIMIT_BYTES = 1_048_576
_REQUEST = (
    b'GET /instant HTTP/1.1\r\nHost: docs\r\nX-Call-Id: docs-call-123\r\n'
    b'Accept: application/json\r\n\r\n'
)
_ANSWER = (
    b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n'
    b'X-Call-Id: docs-call-123\r\nContent-Length: 64\r\n\r\n'
) + BODY
_NODE_HEADERS = (
    (b'Daisyline-Call', b'n0-1-1'),
    (b'Daisyline-Deadline-Ms', b'99'),
)


@attrs.frozen
class Part:
    """One part of the processor time of a call.

    Attributes:
        role: The role of the node that does this part.
        name: Name of the part.
        call_us: Processor time per call of calls without pauses, in
            microseconds.
        after_sleep_us: Processor time of a call after the process has slept,
            in microseconds.
    """

    role: str
    name: str
    call_us: float
    after_sleep_us: float

    def cells(self) -> tuple[str, ...]:
        """Return the cells of its row in the table."""
        return (
            self.role,
            self.name,
            format_short(self.call_us),
            format_short(self.after_sleep_us),
        )

    @classmethod
    def measure(
        cls, role: str, name: str, run_once: Callable[[], None]
    ) -> 'Part':
        """Measure a function that does this part for one call."""
        call_us = minimum_us(run_once, CALL_COUNT)
        return cls(
            role,
            name,
            call_us,
            mean_us_after_sleep(run_once, CALLS_AFTER_SLEEP),
        )


@attrs.define
class CallerExchange:
    """HTTP exchanges on one caller's connection, without the socket."""

    codec: ServerCodec = attrs.field(
        factory=lambda: ServerCodec(_LIMIT_BYTES), init=False
    )

    def run_once(self) -> None:
        """Read a request and write its answer."""
        self.codec.feed(_REQUEST)
        self.codec.next_event()
        self.codec.head(OK, ANSWER_HEADERS, None)
        self.codec.part(BODY)
        self.codec.end()
        self.codec.next_cycle()


@attrs.define
class TargetExchange:
    """HTTP exchanges on one connection to the target, without the socket."""

    codec: ClientCodec = attrs.field(factory=ClientCodec, init=False)
    request: Request = attrs.field(
        default=Request(b'GET', b'/instant', HEADERS, b''), init=False
    )

    def run_once(self) -> None:
        """Write a request and read its answer."""
        self.codec.request(self.request, _NODE_HEADERS)
        self.codec.feed(_ANSWER)
        for _ in range(EVENTS_PER_ANSWER):
            self.codec.next_event()


@attrs.define
class Frames:
    """The frames that a node writes and reads for a call.

    Attributes:
        message: The message that is encoded.
        received_frame: The encoded frame that is decoded.
        encoder: Encoder of the node.
        decoder: Decoder of the node.
    """

    message: Any
    received_frame: bytes
    encoder: FrameEncoder = attrs.field(factory=FrameEncoder, init=False)
    decoder: FrameDecoder = attrs.field(factory=FrameDecoder, init=False)

    @classmethod
    def from_messages(cls, message: Any, received: Any) -> 'Frames':
        """Build the frames from the message sent and the message received."""
        return cls(message, FrameEncoder().encode(received))

    def run_once(self) -> None:
        """Encode the sent message and decode the received frame."""
        self.encoder.encode(self.message)
        self.decoder.feed(self.received_frame)


def measure_parts() -> list[Part]:
    """Measure each part separately in this process."""
    return [*_measure_entry(), *_measure_target_node(), _measure_sockets()]


def _measure_entry() -> list[Part]:
    rig = CoreRig.from_members(TargetSize().upstreams, UPSTREAMS_PER_SERVICE)
    frames = Frames.from_messages(
        make_run_call('n0-1-1'), make_answer('n0-1-1')
    )
    return [
        Part.measure('entry', 'decisions', rig.run_as_entry),
        Part.measure(
            'entry', 'h11 towards the caller', CallerExchange().run_once
        ),
        Part.measure('entry', 'msgpack', frames.run_once),
    ]


def _measure_target_node() -> list[Part]:
    rig = CoreRig.from_members(TargetSize().upstreams, UPSTREAMS_PER_SERVICE)
    rig.announce()
    role = "target's node"
    frames = Frames.from_messages(
        make_answer('n0-1-1'), make_run_call('n0-1-1')
    )
    return [
        Part.measure(role, 'decisions', rig.run_as_target),
        Part.measure(role, 'h11 towards the target', TargetExchange().run_once),
        Part.measure(role, 'msgpack', frames.run_once),
    ]


def _measure_sockets() -> Part:
    """Measure a send and a receive that wake no other process."""
    near, far = socket.socketpair()
    frame = bytes(FRAME_BYTES)

    def run_once() -> None:
        near.send(frame)
        far.recv(READ_BYTES)

    with near, far:
        return Part.measure('each', 'a send and a receive here', run_once)
