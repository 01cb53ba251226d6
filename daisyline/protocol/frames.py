"""Messages between nodes as msgpack frames."""

import functools
from collections.abc import Callable, Iterator
from operator import attrgetter
from typing import Any, get_origin

import attrs
import msgpack

from daisyline.coordination import evidence_messages as evidence
from daisyline.coordination import gossip_messages as gossip
from daisyline.coordination import messages

PROTOCOL_VERSION = 3
MAX_FRAME_BYTES = 8_388_608
# The decoder makes room for as many elements as an array claims to have.
_MAX_ELEMENTS = 16_384

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


# Classes whose fields hold other classes; they check their own fields.
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
)


@attrs.frozen
class BadFrame:
    """Bytes that are no message; the stream that brought them is closed."""

    detail: str


@attrs.frozen
class _MessageFormat:
    """How one class of messages is encoded and checked.

    Attributes:
        tag: The first element of the frame.
        fields: Returns a message's fields in order.
        types: The types that decoded fields must have.
    """

    tag: int
    fields: Callable[[Any], tuple[Any, ...]]
    types: tuple[type, ...]


class FrameEncoder:
    """Encodes messages; one for a process is enough."""

    def __init__(self) -> None:
        """Make the packer once, as it keeps its buffer."""
        self._packer = msgpack.Packer(use_bin_type=True)

    def encode(self, message: Any) -> bytes:
        """Return the frame of a message."""
        shape = _formats()[type(message)]
        octets: bytes = self._packer.pack((shape.tag, *shape.fields(message)))
        return octets


class FrameDecoder:
    """Decodes one stream of frames, of bounded size."""

    def __init__(self) -> None:
        """Start at the beginning of a stream."""
        self._unpacker = msgpack.Unpacker(
            use_list=False,
            raw=False,
            max_buffer_size=MAX_FRAME_BYTES,
            max_array_len=_MAX_ELEMENTS,
            max_map_len=_MAX_ELEMENTS,
        )

    def feed(self, octets: bytes) -> list[Any]:
        """Take bytes and return the whole messages, a `BadFrame` the last."""
        decoded: list[Any] = []
        try:
            decoded.extend(self._messages(octets))
        except (ValueError, TypeError, msgpack.UnpackException) as error:
            decoded.append(BadFrame(str(error)))
        return decoded

    def _messages(self, octets: bytes) -> Iterator[Any]:
        self._unpacker.feed(octets)
        return map(_message, self._unpacker)


def _message(frame: Any) -> Any:
    if not isinstance(frame, tuple) or not frame:
        raise ValueError('a frame is an array with a tag')
    # A bool or a float can equal a number, but is no tag.
    kind = _kinds().get(frame[0]) if _is_number(frame[0]) else None
    if kind is None:
        raise ValueError('unknown tag')
    types = _formats()[kind].types
    if types and _kinds_of(frame[1:]) != types:
        raise ValueError(f'wrong fields for {kind.__name__}')
    message = kind(*frame[1:])
    _check_headers(getattr(message, 'headers', ()))
    return message


def _is_number(tag: Any) -> bool:
    return isinstance(tag, int) and not isinstance(tag, bool)


def _check_headers(headers: tuple[Any, ...]) -> None:
    """Check that all are pairs of a name and a content in bytes."""
    for pair in headers:
        if not isinstance(pair, tuple) or _kinds_of(pair) != (bytes, bytes):
            raise ValueError('headers are pairs of bytes')


def _kinds_of(fields: tuple[Any, ...]) -> tuple[type, ...]:
    return tuple(map(type, fields))


@functools.cache
def _formats() -> dict[type, _MessageFormat]:
    """Return the shape of each class of messages, in the order of tags."""
    flat = {kind: _shape(tag, kind) for tag, kind in enumerate(_CALL_MESSAGES)}
    nested = {
        kind: _MessageFormat(tag, attrs.astuple, ())
        for tag, kind in enumerate(_NESTED_MESSAGES, len(_CALL_MESSAGES))
    }
    return flat | nested


@functools.cache
def _kinds() -> dict[int, type]:
    return {shape.tag: kind for kind, shape in _formats().items()}


def _shape(tag: int, kind: type) -> _MessageFormat:
    """Work out how a class of flat messages is encoded."""
    attrs.resolve_types(kind)
    fields = attrs.fields(kind)
    names = [field.name for field in fields]
    getter = attrgetter(*names)
    if len(names) == 1:
        return _MessageFormat(
            tag, lambda message: (getter(message),), _types(fields)
        )
    return _MessageFormat(tag, getter, _types(fields))


def _types(fields: Any) -> tuple[type, ...]:
    """Return the plain types of fields; generic ones count as tuples."""
    return tuple(
        tuple if get_origin(field.type) else field.type for field in fields
    )
