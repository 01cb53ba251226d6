"""Copies of an answer without a length are told from its body."""

from itertools import pairwise

from hypothesis import given
from hypothesis import strategies as st

from daisyline.protocol.answer_copies import MAX_COPIES, CopyFilter
from tests.support import function_tests

load_tests = function_tests(__name__)

OWN = b'4f1'
EARLIER = b'3e0'
HEAD = b'HTTP/1.1 200 OK\r\nServer-Load: 1,0,9\r\nX-Id: 4f1\r\n\r\n'
COPY = b'%sbody' % HEAD
# Bytes that resemble the start of an answer, or a whole head of no call here.
PIECES = (
    b'H',
    b'HTTP/1.',
    b'HTTP/1.1 200',
    b'HTTP/1.1 200 OK\r\n',
    b'HTTP/1.1 404 Not Found\r\nX-Id: 999\r\n\r\n',
    b'X-Id: 4f1\r\n',
    b'\r\n',
    b'text ',
)
BODIES = st.lists(st.sampled_from(PIECES), max_size=12).map(b''.join)
CUTS = st.lists(st.integers(0, 400), max_size=12)


def _pass_through(octets: bytes, cuts: list[int]) -> bytes | None:
    """Return what a filter takes for the body; None if it isn't whole."""
    copies = CopyFilter(b'x-id', (OWN, EARLIER).__contains__, OWN)
    places = sorted(
        {0, len(octets), *(cut % (len(octets) + 1) for cut in cuts)}
    )
    body = b''.join(
        copies.feed(octets[start:end]) for start, end in pairwise(places)
    )
    rest = copies.finish()
    return None if rest is None else body + rest


@given(BODIES, CUTS)
def test_a_body_without_a_copy_passes_whole_or_looks_incomplete(
    body: bytes, cuts: list[int]
) -> None:
    passed = _pass_through(body, cuts)
    assert passed in {body, None}
    if b'HTTP/1.1 200' not in body:
        assert passed == body


@given(BODIES, CUTS, st.integers(1, MAX_COPIES))
def test_copies_are_cut_off_however_the_bytes_are_split(
    body: bytes, cuts: list[int], count: int
) -> None:
    sent = body + count * (HEAD + body)
    assert _pass_through(sent, cuts) in {body, None}
    if b'HTTP/1.1 200' not in body:
        assert _pass_through(sent, cuts) == body


@given(st.integers(0, len(COPY)), CUTS)
def test_a_part_of_a_copy_is_no_part_of_the_body(
    size: int, cuts: list[int]
) -> None:
    passed = _pass_through(b'body%s' % COPY[:size], cuts)
    # The first bytes of a status line may be the end of a body.
    is_unclear = size < len(b'HTTP/1.1 200')
    is_whole = size == len(COPY)
    expected = {b'body'} if is_whole else {None}
    if is_unclear:
        expected = {b'body%s' % HEAD[:size]}
    assert passed in expected


def test_a_copy_with_a_garbled_header_is_no_part_of_the_body() -> None:
    for name in (b'X Filler', b' X-Filler', b'X\x01Filler', b'X-Filler\r', b''):
        head = HEAD.replace(b'Server-Load', name)
        assert _pass_through(b'body%sbody' % head, []) == b'body', name
        assert _pass_through(b'body%sbode' % head, []) is None, name


def test_what_is_no_copy_of_the_answer_makes_it_incomplete() -> None:
    earlier = HEAD.replace(OWN, EARLIER)
    for following in (
        b'%sbode' % HEAD,
        b'%s and more' % COPY,
        b'%sbody' % earlier,
        b'%s%sbody' % (COPY, earlier),
        (MAX_COPIES + 1) * COPY,
    ):
        assert _pass_through(b'body%s' % following, []) is None


def test_a_filter_holds_few_bytes_of_what_may_be_a_head() -> None:
    line = b'X-More: %s\r\n' % (b'a' * 1000)
    body = b''.join((b'HTTP/1.1 200 OK\r\n', *(40 * [line]), b'end'))
    assert _pass_through(body, []) == body
