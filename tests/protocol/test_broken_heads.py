"""A header line that begins with a blank breaks an answer, however split."""

from itertools import pairwise

from hypothesis import given
from hypothesis import strategies as st

from daisyline.protocol.http_client import ClientCodec
from daisyline.protocol.http_messages import BrokenAnswer, End, Part, Request
from tests.support import function_tests

load_tests = function_tests(__name__)

INTERIM = b'HTTP/1.1 103 Early Hints\r\nLink: a\r\n%s\r\n'
HEAD = b'HTTP/1.1 200 OK\r\nX-First: 1\r\n%sContent-Length: 8\r\n\r\n'
# Lines of a body may begin with a blank, also at its start.
BODY = b'\n a\r\n\tb\n'
CUTS = st.lists(st.integers(0, 200), max_size=8)
GARBLED = st.sampled_from(
    (b' X-A: 1\r\n', b'\tX-A: 1\r\n', b' Content-Length: 3\r\n', b' \r\n')
)


def _read(octets: bytes, cuts: list[int]) -> list[object]:
    """Return the events of an answer after the one to an earlier request."""
    codec = ClientCodec()
    for _ in range(2):
        codec.request(Request(b'GET', b'/', (), b''))
        codec.feed(HEAD % b'' + BODY)
        assert isinstance(_events_until_end(codec)[-1], End)
    assert codec.expect_another_answer()
    places = sorted({0, len(octets), *(cut % len(octets) for cut in cuts)})
    events: list[object] = []
    for start, end in pairwise(places):
        codec.feed(octets[start:end])
        events += _events_until_end(codec)
        if events and isinstance(events[-1], (BrokenAnswer, End)):
            break
    return events


def _events_until_end(codec: ClientCodec) -> list[object]:
    """Return the events of what was received, no further than an end."""
    events: list[object] = []
    event = codec.next_event()
    while event is not None:
        events.append(event)
        is_last = isinstance(event, (BrokenAnswer, End))
        event = None if is_last else codec.next_event()
    return events


@given(GARBLED, CUTS)
def test_a_blank_before_a_field_name_breaks_an_answer(
    line: bytes, cuts: list[int]
) -> None:
    for octets in (
        HEAD % line + BODY,
        INTERIM % b'' + HEAD % line + BODY,
        INTERIM % line + HEAD % b'' + BODY,
    ):
        events = _read(octets, cuts)
        assert [type(event) for event in events] == [BrokenAnswer]


@given(CUTS)
def test_a_body_may_have_lines_that_begin_with_a_blank(
    cuts: list[int],
) -> None:
    _head, *parts, end = _read(INTERIM % b'' + HEAD % b'' + BODY, cuts)
    assert isinstance(end, End)
    assert b''.join(part.body for part in parts if isinstance(part, Part)) == (
        BODY
    )
