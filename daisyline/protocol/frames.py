"""Encodes messages between nodes as msgpack frames."""

import functools
from collections.abc import Callable, Iterator
from operator import attrgetter
from typing import Any, get_origin

import attrs
import msgpack

from daisyline.coordination.calls import messages
from daisyline.coordination.duties.usage_messages import UsageCounts
from daisyline.coordination.membership import gossip_messages as gossip
from daisyline.coordination.rollouts import evidence_messages as evidence

PROTOCOL_VERSION = 3
MAX_FRAME_BYTES = 8_388_608
# The decoder allocates the number of elements that an array header declares,
# so the bound limits the memory that a few bytes can claim.
_MAX_ELEMENTS = 16_384
# The first size of the buffer of an unpacker; it grows with the frame.
_READ_BYTES = 16_384

_CALL_MESSAGES: tuple[type, ...] = (
    messages.Hello,
    messages.Ping,
    messages.Pong,
    messages.RunCall,
    messages.AnswerHead,
    messages.AnswerPart,
    messages.CallRefused,
    messages.CancelCall,
    messages.BodyCredit,
    messages.QueryCall,
    messages.CallRunning,
)


# Classes with nested classes as fields; their constructors check the fields.
_NESTED_MESSAGES: tuple[type, ...] = (
    gossip.Join,
    gossip.JoinReply,
    gossip.GossipPing,
    gossip.GossipAck,
    gossip.ProbeRequest,
    gossip.ProbeAnswer,
    gossip.RecordUpdates,
    gossip.BucketHashes,
    gossip.BucketContents,
    gossip.RecordsRequest,
    gossip.SettingsVersionNotice,
    gossip.SettingsRequest,
    gossip.SettingsContent,
    gossip.SettingsHolders,
    evidence.Evidence,
    messages.KeysUsed,
    UsageCounts,
)


# Classes without nested classes whose tags follow those above.
_LATER_MESSAGES: tuple[type, ...] = (
    messages.RequestPart,
    messages.BodyPart,
    messages.RunLongCall,
)


@attrs.frozen
class BadFrame:
    """Bytes that are not a valid message; their stream is closed."""

    detail: str


@attrs.frozen
class _MessageFormat:
    """How one class of messages is encoded and checked.

    Attributes:
        tag: The first element of the frame.
        field_getter: Returns a message's fields in order.
        types: The types that decoded fields must have; empty if the class
            checks its fields itself.
    """

    tag: int
    field_getter: Callable[[Any], tuple[Any, ...]]
    types: tuple[type, ...]


class FrameEncoder:
    """Encodes messages; one encoder serves a whole process."""

    def __init__(self) -> None:
        """Create the packer, which reuses its buffer."""
        self._packer = msgpack.Packer(use_bin_type=True)

    def encode(self, message: Any) -> bytes:
        """Return the frame of a message."""
        message_format = _formats()[type(message)]
        octets: bytes = self._packer.pack(
            (message_format.tag, *message_format.field_getter(message))
        )
        return octets


class FrameDecoder:
    """Decodes the frames of one stream, with bounded memory.

    An unpacker takes some 60 KB, so it is kept only while a frame is
    incomplete: most of a node's streams are idle.
    """

    def __init__(self) -> None:
        """Start at the beginning of a stream."""
        self._unpacker: msgpack.Unpacker | None = None
        self._fed_bytes = 0

    def feed(self, octets: bytes) -> list[Any]:
        """Take bytes and return the messages that are complete.

        If the bytes are not a valid frame, the last element is a `BadFrame`.
        """
        decoded: list[Any] = []
        try:
            decoded.extend(self._decode(octets))
        except (ValueError, TypeError, msgpack.UnpackException) as error:
            decoded.append(BadFrame(str(error)))
        return decoded

    def _decode(self, octets: bytes) -> Iterator[Any]:
        unpacker = self._unpacker or _new_unpacker()
        self._fed_bytes += len(octets)
        unpacker.feed(octets)
        decoded_bytes = 0
        for frame in unpacker:
            # Between frames this counts the bytes of an incomplete one, too.
            decoded_bytes = unpacker.tell()
            yield _decode_message(frame)
        is_between_frames = decoded_bytes == self._fed_bytes
        self._unpacker = None if is_between_frames else unpacker
        if is_between_frames:
            self._fed_bytes = 0


def _new_unpacker() -> msgpack.Unpacker:
    return msgpack.Unpacker(
        use_list=False,
        raw=False,
        read_size=_READ_BYTES,
        max_buffer_size=MAX_FRAME_BYTES,
        max_array_len=_MAX_ELEMENTS,
        max_map_len=_MAX_ELEMENTS,
    )


def _decode_message(frame: Any) -> Any:
    if not isinstance(frame, tuple) or not frame:
        raise ValueError('a frame must be an array with a tag')
    # A bool or a float can equal an integer, but is not a tag.
    kind = _classes_by_tag().get(frame[0]) if _is_number(frame[0]) else None
    if kind is None:
        raise ValueError('unknown message tag')
    types = _formats()[kind].types
    if types and _types_of(frame[1:]) != types:
        raise ValueError(f'wrong fields for {kind.__name__}')
    message = kind(*frame[1:])
    _check_headers(getattr(message, 'headers', ()))
    return message


def _is_number(tag: Any) -> bool:
    return isinstance(tag, int) and not isinstance(tag, bool)


def _check_headers(headers: tuple[Any, ...]) -> None:
    """Check that each header is a pair of bytes.

    Raises:
        ValueError: If one is not.
    """
    for pair in headers:
        if not isinstance(pair, tuple) or _types_of(pair) != (bytes, bytes):
            raise ValueError('headers must be pairs of bytes')


def _types_of(fields: tuple[Any, ...]) -> tuple[type, ...]:
    return tuple(map(type, fields))


@functools.cache
def _formats() -> dict[type, _MessageFormat]:
    """Return the format of each class of messages, in the order of tags."""
    flat = {
        kind: _flat_format(tag, kind) for tag, kind in enumerate(_CALL_MESSAGES)
    }
    nested = {
        kind: _MessageFormat(tag, attrs.astuple, ())
        for tag, kind in enumerate(_NESTED_MESSAGES, len(_CALL_MESSAGES))
    }
    first_tag = len(flat) + len(nested)
    later = {
        kind: _flat_format(tag, kind)
        for tag, kind in enumerate(_LATER_MESSAGES, first_tag)
    }
    return flat | nested | later


@functools.cache
def _classes_by_tag() -> dict[int, type]:
    return {
        message_format.tag: kind for kind, message_format in _formats().items()
    }


def _flat_format(tag: int, kind: type) -> _MessageFormat:
    """Return the format of a class without nested classes."""
    attrs.resolve_types(kind)
    fields = attrs.fields(kind)
    names = [field.name for field in fields]
    getter = attrgetter(*names)
    if len(names) == 1:
        return _MessageFormat(
            tag, lambda message: (getter(message),), _field_types(fields)
        )
    return _MessageFormat(tag, getter, _field_types(fields))


def _field_types(fields: Any) -> tuple[type, ...]:
    """Return the types of fields; a generic type is replaced by tuple."""
    return tuple(
        tuple if get_origin(field.type) else field.type for field in fields
    )
