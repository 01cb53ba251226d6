"""How a stand-in target delivers its answers, whole or with a fault."""

import functools
import types
from collections.abc import Mapping
from typing import Any

import attrs

from daisyline.transport.loop import Loop
from daisyline.transport.sockets import Connection

HEAD_END = b'\r\n\r\n'
# Time from an answer to its copy: other calls use the connection by then.
COPY_DELAY_S = 0.03
_BREAK_DELAY_S = 0.15
ENDLESS_INTERVAL_S = 0.01
ENDLESS_CHUNK_BYTES = 4096


@attrs.frozen
class Whole:
    """Each answer is sent once and completely."""


@attrs.frozen
class Repeated:
    """A copy of each answer follows later on the same connection."""


@attrs.frozen
class BrokenOff:
    """The connection closes in the middle of each answer.

    Attributes:
        after_s: How long it stays open without the rest, in seconds.
    """

    after_s: float = 0


@attrs.frozen
class Endless:
    """Bytes follow until the caller closes.

    Attributes:
        start: The bytes before the endless ones.
        repeated: The bytes that are repeated without end.
    """

    start: bytes
    repeated: bytes


Delivery = Whole | Repeated | BrokenOff | Endless

DELIVERIES: Mapping[str, Delivery] = types.MappingProxyType(
    {
        'whole': Whole(),
        'repeated': Repeated(),
        'broken-off': BrokenOff(),
        'endless-status': Endless(b'HTTP/1.1 200 ', b'x'),
        'endless-head': Endless(b'HTTP/1.1 200 OK\r\n', b'X-Filler: x\r\n'),
        'endless-interim': Endless(b'', b'HTTP/1.1 103 Early Hints\r\n\r\n'),
        'endless-body': Endless(b'HTTP/1.1 200 OK\r\n\r\n', b'x'),
        'endless-chunk-size': Endless(
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n', b'0'
        ),
    }
)
# Other answers of the caller's connection are whole by the time it closes.
BROKEN_LATE = BrokenOff(_BREAK_DELAY_S)
FAULTY = tuple(sorted(set(DELIVERIES) - {'whole'}))


@functools.singledispatch
def deliver(
    delivery: Any, octets: bytes, connection: Connection, loop: Loop
) -> None:
    """Deliver the bytes of an answer.

    Args:
        delivery: How, a `Delivery`.
        octets: The whole answer.
        connection: The connection of the request.
        loop: The loop of the process.

    Raises:
        TypeError: If the type of the delivery is unknown.
    """
    raise TypeError(f'unknown delivery {delivery!r}')


@deliver.register
def _(
    delivery: Whole, octets: bytes, connection: Connection, loop: Loop
) -> None:
    connection.write(octets)


@deliver.register
def _(
    delivery: Repeated, octets: bytes, connection: Connection, loop: Loop
) -> None:
    connection.write(octets)
    copy = functools.partial(_write_if_open, connection, octets)
    loop.call_later(COPY_DELAY_S, copy)


@deliver.register
def _(
    delivery: BrokenOff, octets: bytes, connection: Connection, loop: Loop
) -> None:
    body_at = octets.index(HEAD_END) + len(HEAD_END)
    connection.write(octets[: (body_at + len(octets)) // 2])
    loop.call_later(delivery.after_s, connection.close)


@deliver.register
def _(
    delivery: Endless, octets: bytes, connection: Connection, loop: Loop
) -> None:
    connection.write(delivery.start)
    repeats = ENDLESS_CHUNK_BYTES // len(delivery.repeated)
    chunk = delivery.repeated * repeats
    _write_without_end(connection, chunk, loop)


def _write_without_end(
    connection: Connection, chunk: bytes, loop: Loop
) -> None:
    if connection.is_open:
        # What the caller does not read would only fill this process's memory.
        if connection.buffered_bytes < ENDLESS_CHUNK_BYTES:
            connection.write(chunk)
        again = functools.partial(_write_without_end, connection, chunk, loop)
        loop.call_later(ENDLESS_INTERVAL_S, again)


def _write_if_open(connection: Connection, octets: bytes) -> None:
    if connection.is_open:
        connection.write(octets)
