"""Requests and answers are parsed the same however their bytes are split."""

from typing import Any

import h11
from hypothesis import example, given
from hypothesis import settings as profile
from hypothesis import strategies as st

from daisyline.protocol.http_client import MAX_INFORMATIONAL, ClientCodec
from daisyline.protocol.http_messages import (
    MAX_DETAIL_CHARS,
    MAX_HEAD_BYTES,
    BrokenAnswer,
    End,
    Head,
    MalformedRequest,
    MoreBuffered,
    Part,
    Request,
    end_to_end,
)
from daisyline.protocol.http_server import ServerCodec
from tests.support import function_tests

load_tests = function_tests(__name__)

LIMIT_BYTES = 4096
BOUNDED = profile(derandomize=True, max_examples=200, deadline=None)

_TOKENS = st.text('abcXYZ019-', min_size=1, max_size=8)
_FIELDS = st.text(
    st.characters(min_codepoint=33, max_codepoint=126), max_size=12
)
_PATHS = st.text(
    st.characters(min_codepoint=33, max_codepoint=126), max_size=20
).map(lambda path: f'/{path}')
_EXTRA = st.lists(
    st.tuples(_TOKENS.map(lambda name: f'X-{name}'), _FIELDS), max_size=4
)
_METHODS = st.sampled_from(('GET', 'POST', 'PUT', 'DELETE', 'HEAD', 'OPTIONS'))
_ODD_LINES = st.sampled_from(
    (
        'POST / HTTP/1.1\r\n',
        'GET /a HTTP/1.0\r\n',
        'CONNECT a:1 HTTP/1.1\r\n',
        'Host: docs\r\n',
        'Host: other\r\n',
        'Content-Length: 3\r\n',
        'Content-Length: 4\r\n',
        'Content-Length: 0x3\r\n',
        'Content-Length: +3\r\n',
        'Transfer-Encoding: chunked\r\n',
        'Transfer-Encoding: identity\r\n',
        'Transfer-Encoding : chunked\r\n',
        'Expect: 100-continue\r\n',
        'Connection: close, host\r\n',
        'Upgrade: h2c\r\n',
        ' folded\r\n',
        '\r\n',
        '3\r\nabc\r\n0\r\n\r\n',
        'abc',
        'GET /b HTTP/1.1\r\nHost: docs\r\n\r\n',
    )
).map(str.encode)
_GARBAGE = st.lists(
    st.one_of(_ODD_LINES, st.binary(max_size=12)), max_size=12
).map(b''.join)


@st.composite
def _requests(draw: Any) -> bytes:
    """Return the bytes of a valid HTTP request."""
    method = draw(_METHODS)
    body = draw(st.binary(max_size=40))
    lines = [f'{method} {draw(_PATHS)} HTTP/1.1', 'Host: docs']
    lines += [f'{name}: {content}' for name, content in draw(_EXTRA)]
    if draw(st.booleans()):
        head = '\r\n'.join([*lines, f'Content-Length: {len(body)}', '', ''])
        return head.encode() + body
    head = '\r\n'.join([*lines, 'Transfer-Encoding: chunked', '', ''])
    chunk = b'%x\r\n%s\r\n' % (len(body), body) if body else b''
    return b'%s%s0\r\n\r\n' % (head.encode(), chunk)


def _pieces(octets: bytes, cuts: list[int]) -> list[bytes]:
    length = len(octets)
    edges = sorted({0, length, *(cut % (length + 1) for cut in cuts)})
    return [
        octets[start:stop]
        for start, stop in zip(edges, edges[1:], strict=False)
    ]


def _single(events: list[Any]) -> Any:
    assert len(events) == 1, events
    return events[0]


def _next_event(codec: ServerCodec) -> Any:
    """Return the next event, in as many turns as it takes."""
    event = codec.next_event()
    while isinstance(event, MoreBuffered):
        codec.begin_turn()
        event = codec.next_event()
    return event


def _read_all(pieces: list[bytes]) -> list[Any]:
    """Return the events of a caller's connection; each request is answered."""
    codec = ServerCodec(LIMIT_BYTES)
    events: list[Any] = []
    for piece in pieces:
        codec.feed(piece)
        event = _next_event(codec)
        while event is not None:
            events.append(event)
            if isinstance(event, MalformedRequest):
                assert codec.head(event.status, (), 0)
                return events
            if isinstance(event, Request):
                assert codec.head(200, (), 0)
                codec.end()
                if not codec.is_reusable:
                    return events
                codec.next_cycle()
            else:
                codec.continue_response()
            event = _next_event(codec)
    return events


@BOUNDED
@given(
    sent=st.lists(_requests(), min_size=1, max_size=3).map(b''.join),
    cuts=st.lists(st.integers(0, 2000), max_size=8),
)
def test_requests_come_out_the_same_however_they_are_split(
    sent: bytes, cuts: list[int]
) -> None:
    unsplit = _read_all([sent])
    assert unsplit
    assert all(isinstance(event, Request) for event in unsplit)
    assert _read_all(_pieces(sent, cuts)) == unsplit


@BOUNDED
@given(sent=_GARBAGE, cuts=st.lists(st.integers(0, 500), max_size=5))
@example(sent=b'CONNECT a:1 HTTP/1.1\r\nHost: docs\r\n\r\n', cuts=[])
@example(
    sent=b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %s\r\n\r\n'
    % (b'9' * 5000),
    cuts=[],
)
def test_garbage_never_raises_and_is_read_one_way_only(
    sent: bytes, cuts: list[int]
) -> None:
    unsplit = [
        event for event in _read_all([sent]) if isinstance(event, Request)
    ]
    split = [
        event
        for event in _read_all(_pieces(sent, cuts))
        if isinstance(event, Request)
    ]
    assert split == unsplit
    assert all(event.method != b'CONNECT' for event in unsplit)


@BOUNDED
@given(sent=_requests())
def test_a_request_reaches_the_target_as_it_came(sent: bytes) -> None:
    request = _single(_read_all([sent]))
    forwarded = ClientCodec().request(request, ((b'Daisyline-Call', b'c-1'),))
    arrived = _single(_read_all([forwarded]))
    assert arrived.parent_call == 'c-1'
    for field in ('method', 'path', 'headers', 'body'):
        assert getattr(arrived, field) == getattr(request, field)


@BOUNDED
@given(
    first=st.sampled_from(('Content-Length: 3', 'Content-Length: abc')),
    second=st.sampled_from(
        (
            'Content-Length: 4',
            'Content-Length: -3',
            'Transfer-Encoding: chunked',
            'Transfer-Encoding: gzip',
            'Transfer-Encoding: identity',
        )
    ),
    swapped=st.booleans(),
    version=st.sampled_from(('1.0', '1.1')),
)
def test_ambiguous_framing_is_always_malformed(
    first: str, second: str, swapped: bool, version: str
) -> None:
    framing = f'{second}\r\n{first}' if swapped else f'{first}\r\n{second}'
    head = f'POST / HTTP/{version}\r\nHost: docs\r\n{framing}\r\n\r\n'
    event = _single(_read_all([f'{head}3\r\nabc\r\n0\r\n\r\n'.encode()]))
    assert isinstance(event, MalformedRequest), event
    assert event.status in {400, 501}


def test_a_body_over_the_limit_is_refused_in_both_framings() -> None:
    long = b'x' * (LIMIT_BYTES + 1)
    head = b'POST / HTTP/1.1\r\nHost: docs\r\n'
    framings = (
        b'Content-Length: %d\r\n\r\n' % len(long),
        b'Transfer-Encoding: chunked\r\n\r\n%x\r\n%s' % (len(long), long),
    )
    for framing in framings:
        event = _single(_read_all([head + framing]))
        assert isinstance(event, MalformedRequest)
        assert event.status == 413


def test_reserved_and_connection_headers_are_stripped_in_any_case() -> None:
    forwarded = end_to_end(
        (
            (b'Host', b'docs'),
            (b'DAISYLINE-Call', b'forged'),
            (b'daisyline-Outcome', b'forged'),
            (b'Connection', b'X-Private ,close'),
            (b'connection', b'x-other'),
            (b'x-private', b'1'),
            (b'X-Other', b'2'),
            (b'Keep-Alive', b'3'),
            (b'X-Kept', b'4'),
        )
    )
    assert forwarded == ((b'Host', b'docs'), (b'X-Kept', b'4'))


def _parse_answer(octets: bytes, method: bytes = b'GET') -> list[Any]:
    codec = ClientCodec()
    codec.request(Request(method, b'/', ((b'Host', b'docs'),), b''))
    codec.feed(octets)
    events: list[Any] = []
    event = codec.next_event()
    while event is not None:
        events.append(event)
        if isinstance(event, (End, BrokenAnswer)):
            break
        event = codec.next_event()
    return events


def test_informational_answers_are_skipped_up_to_a_bound() -> None:
    early = b'HTTP/1.1 103 Early Hints\r\n\r\n'
    answer = b'%sHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'
    for count, expected in (
        (MAX_INFORMATIONAL, [Head, End]),
        (MAX_INFORMATIONAL + 1, [BrokenAnswer]),
        (2400, [BrokenAnswer]),
    ):
        events = _parse_answer(answer % (early * count))
        assert [type(event) for event in events] == expected, count


def test_an_answer_without_a_body_ends_with_its_head() -> None:
    for status, method in ((204, b'GET'), (304, b'GET'), (200, b'HEAD')):
        sent = b'HTTP/1.1 %d X\r\nContent-Length: 5\r\n\r\n' % status
        head, end = _parse_answer(sent, method)
        assert end == End(is_reusable=True)
        codec = ServerCodec(LIMIT_BYTES)
        codec.feed(b'%s / HTTP/1.1\r\nHost: docs\r\n\r\n' % method)
        codec.next_event()
        encoded = codec.head(head.status, head.headers, None) + codec.end()
        assert encoded.endswith(b'\r\n\r\n')
        assert (b'ontent-' in encoded) == (status != 204)


def test_an_answer_that_switches_protocols_is_broken() -> None:
    events = _parse_answer(b'HTTP/1.1 101 Switching Protocols\r\n\r\n')
    assert isinstance(events[-1], BrokenAnswer)


@BOUNDED
@given(sent=st.one_of(st.binary(max_size=60), _GARBAGE))
def test_an_answer_of_garbage_never_raises(sent: bytes) -> None:
    for prefix in (b'', b'HTTP/1.1 200 OK\r\n'):
        events = _parse_answer(prefix + sent)
        assert all(
            isinstance(event, (Head, Part, End, BrokenAnswer))
            for event in events
        )


def test_an_answer_with_a_wrong_length_is_never_sent_as_complete() -> None:
    for body in (b'abc', b'abcdefgh'):
        codec = ServerCodec(LIMIT_BYTES)
        codec.feed(b'GET / HTTP/1.1\r\nHost: docs\r\n\r\n')
        codec.next_event()
        codec.head(200, ((b'Content-Length', b'5'),), None)
        assert None in {codec.part(body), codec.end()}


def test_h11_parses_an_encoded_answer() -> None:
    codec = ServerCodec(LIMIT_BYTES)
    codec.feed(b'GET / HTTP/1.1\r\nHost: docs\r\n\r\n')
    codec.next_event()
    parts = (codec.head(200, (), None), codec.part(b'ab'), codec.end())
    client = h11.Connection(h11.CLIENT)
    client.send(h11.Request(method='GET', target='/', headers=[('Host', 'd')]))
    client.send(h11.EndOfMessage())
    client.receive_data(b''.join(part or b'' for part in parts))
    kinds = [type(client.next_event()) for _ in range(3)]
    assert kinds == [h11.Response, h11.Data, h11.EndOfMessage]


def test_an_answer_that_stops_in_its_head_is_never_complete() -> None:
    answer = b'HTTP/1.1 200 OK\r\nContent-Type: a\r\nContent-Length: 2\r\n\r\n'
    heads = [answer[:length] for length in range(1, len(answer))]
    for head in heads:
        codec = ClientCodec()
        codec.request(Request(b'GET', b'/', (), b''))
        codec.feed(head)
        assert codec.next_event() is None, head
        codec.feed(b'')
        assert isinstance(codec.next_event(), BrokenAnswer), head


def test_what_is_kept_of_malformed_bytes_is_short() -> None:
    line = b'\x01' * MAX_HEAD_BYTES
    answer = _parse_answer(b'HTTP/1.1 200 OK\r\n%s\r\n\r\n' % line)
    request = _read_all([b'GET / HTTP/1.1\r\n%s\r\n\r\n' % line])
    assert len(_single(answer).detail) <= MAX_DETAIL_CHARS
    assert len(_single(request).failure.detail) <= MAX_DETAIL_CHARS
