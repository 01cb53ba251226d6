"""Frames decode to the messages that were encoded, or to one `BadFrame`."""

import contextlib
import tracemalloc
from typing import Any

import msgpack
from hypothesis import example, given
from hypothesis import settings as profile
from hypothesis import strategies as st

from daisyline.coordination.calls import messages as msg
from daisyline.coordination.duties.usage_messages import UsageCounts
from daisyline.protocol.frames import (
    MAX_FRAME_BYTES,
    BadFrame,
    FrameDecoder,
    FrameEncoder,
)
from tests.builders import run_message
from tests.coordination.membership.test_gossip_messages import MESSAGES
from tests.support import function_tests

load_tests = function_tests(__name__)

BOUNDED = profile(derandomize=True, max_examples=200, deadline=None)
HEADERS = ((b'Host', b'docs'), (b'X', b''))
RUN = run_message(
    'c',
    budget_ms=9,
    may_move=True,
    settings_version=3,
    headers=HEADERS,
    body=b'\xff',
)
ALL_MESSAGES = (
    msg.Hello('c', 1, 'n', 5),
    msg.Ping(1, 2),
    msg.Pong(1, 2),
    RUN,
    msg.AnswerHead('c', 200, HEADERS, b'x', True, 1, 2, 3, 4, True),
    msg.AnswerPart('c', b'x', False),
    msg.CallRefused('c', 'overloaded', 'not-run', 1, 2, 3, 4, True),
    msg.CancelCall('c'),
    msg.BodyCredit('c', 5),
    msg.QueryCall('c'),
    msg.CallRunning('c'),
    UsageCounts(5, 12, 3, 8, ((7, (('acme', 2),)),)),
    *MESSAGES,
)
TAG_COUNT = 32
IDLE_DECODERS = 50
#: A node keeps a stream to each of up to 1,100 others within 64 MB.
MAX_IDLE_BYTES = 4_096

_LEAVES = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-(2**63), 2**64 - 1),
    st.floats(),
    st.text(max_size=4),
    st.binary(max_size=4),
    st.sampled_from(('overloaded', 'not-run', 'alive')),
)
_TREES = st.recursive(
    _LEAVES,
    lambda inner: st.one_of(
        st.lists(inner, max_size=6),
        st.dictionaries(st.text(max_size=2), inner, max_size=2),
    ),
    max_leaves=20,
)


def _decode(octets: bytes) -> list[Any]:
    return FrameDecoder().feed(octets)


def _decode_one(frame: Any) -> Any:
    decoded = _decode(msgpack.packb(frame))
    assert len(decoded) == 1
    return decoded[0]


@BOUNDED
@given(
    sent=st.lists(st.sampled_from(ALL_MESSAGES), min_size=1, max_size=6),
    cuts=st.lists(st.integers(0, 2000), max_size=6),
)
def test_messages_are_decoded_however_their_bytes_are_split(
    sent: list[Any], cuts: list[int]
) -> None:
    octets = b''.join(map(FrameEncoder().encode, sent))
    length = len(octets)
    edges = sorted({0, length, *(cut % length for cut in cuts)})
    decoder = FrameDecoder()
    decoded = [
        message
        for start, stop in zip(edges, edges[1:], strict=False)
        for message in decoder.feed(octets[start:stop])
    ]
    assert decoded == sent


@BOUNDED
@given(octets=st.binary(max_size=80))
@example(octets=b'\xd7%s' % (b'\xff' * 9))
@example(octets=b'\xc7\x00\x01')
@example(octets=b'\x81\x90\x01')
def test_arbitrary_bytes_never_raise_and_are_one_bad_frame(
    octets: bytes,
) -> None:
    decoded = _decode(octets)
    bad = [message for message in decoded if isinstance(message, BadFrame)]
    assert len(bad) <= 1
    assert not bad or decoded[-1] is bad[0]


@profile(derandomize=True, max_examples=800, deadline=None)
@given(
    tag=st.one_of(st.integers(0, TAG_COUNT), _LEAVES),
    fields=st.lists(_TREES, max_size=8),
)
def test_fields_of_any_type_never_raise(tag: Any, fields: list[Any]) -> None:
    octets = msgpack.packb((tag, *fields), unicode_errors='surrogatepass')
    assert len(_decode(octets)) == 1


def test_a_field_of_another_type_is_refused() -> None:
    encoder = FrameEncoder()
    for message in ALL_MESSAGES[: ALL_MESSAGES.index(MESSAGES[0])]:
        frame = msgpack.unpackb(encoder.encode(message))
        for position, _field in enumerate(frame):
            for wrong in (None, 1.5, {'a': 1}):
                changed = frame.copy()
                changed[position] = wrong
                decoded = _decode_one(changed)
                assert isinstance(decoded, BadFrame), (message, position)
        assert isinstance(_decode_one(frame[:-1]), BadFrame)


def test_headers_of_another_form_are_refused() -> None:
    frame = msgpack.unpackb(FrameEncoder().encode(RUN))
    position = frame.index([list(pair) for pair in HEADERS])
    triple = [b'a', b'b', b'c']
    for wrong in (1, [b'a'], [b'a', 'b'], triple, 'ab'):
        changed = frame.copy()
        changed[position] = [wrong]
        assert isinstance(_decode_one(changed), BadFrame), wrong


def test_a_tag_that_only_equals_a_number_is_refused() -> None:
    for tag in (True, 1.0):
        assert isinstance(_decode_one((tag, 1, 2)), BadFrame)


def test_a_frame_longer_than_the_limit_is_refused() -> None:
    decoder = FrameDecoder()
    length = (2 * MAX_FRAME_BYTES).to_bytes(4, 'big')
    decoded = decoder.feed(b'\x93\x05\xa1c\xc6%s' % length)
    for _ in range(2 * MAX_FRAME_BYTES // 65_536):
        if decoded:
            break
        decoded = decoder.feed(bytes(65_536))
    assert isinstance(decoded[-1], BadFrame)


def test_a_decoder_without_an_incomplete_frame_takes_little_memory() -> None:
    frame = FrameEncoder().encode(RUN)
    with contextlib.ExitStack() as stack:
        tracemalloc.start()
        stack.callback(tracemalloc.stop)
        decoders = [FrameDecoder() for _ in range(IDLE_DECODERS)]
        for decoder in decoders:
            decoder.feed(frame + frame[:3])
            assert len(decoder.feed(frame[3:])) == 1
        taken = tracemalloc.get_traced_memory()[0]
    assert taken / IDLE_DECODERS < MAX_IDLE_BYTES


def test_a_few_bytes_that_claim_much_take_little_memory() -> None:
    frames = (
        b'\xdd\x00\x7f\xff\xff',
        b'\xdd\x00\x7f\xff\xff' * 200,
        b'\xdf\x00\x3f\xff\xff',
        b'\x91' * 5000,
    )
    for frame in frames:
        assert _peak_memory_bytes(frame) < 2 * MAX_FRAME_BYTES, frame[:5]


def _peak_memory_bytes(frame: bytes) -> int:
    """Return the peak memory in bytes while a frame is decoded."""
    with contextlib.ExitStack() as stack:
        tracemalloc.start()
        stack.callback(tracemalloc.stop)
        _decode(frame)
        return tracemalloc.get_traced_memory()[1]
