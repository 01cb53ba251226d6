"""Lines are read as h11 reads them, in a time linear in their length."""

import re
import time

from h11 import _abnf
from hypothesis import given
from hypothesis import strategies as st

from daisyline.protocol.answer_copies import CopyFilter
from daisyline.protocol.h11_connection import CHUNK_HEADER, HEADER_LINE
from daisyline.protocol.http_client import ClientCodec
from daisyline.protocol.http_messages import MAX_HEAD_BYTES, Request
from daisyline.protocol.http_server import ServerCodec
from tests.support import function_tests

load_tests = function_tests(__name__)

# A call of the users' shortest route waits no longer for its answer.
MAX_PROCESSOR_S = 1.5
BLANKS = b' ' * (MAX_HEAD_BYTES - 1000)
OK = b'HTTP/1.1 200 OK\r\n'
CHUNKED = b'%sTransfer-Encoding: chunked\r\n\r\n' % OK
ANSWERS = (
    b'%sX: %s\x00\r\n\r\n' % (OK, BLANKS),
    b'%sX: a%sb%s\r\r\n\r\n' % (OK, BLANKS[::2], BLANKS[::2]),
    b'%s1;%s\n\r\n' % (CHUNKED, BLANKS),
    b'%s1%sx\r\n' % (CHUNKED, BLANKS),
    b'%s0\r\nX: %s\x0b\r\n\r\n' % (CHUNKED, BLANKS),
)
ORIGINALS = (
    (HEADER_LINE, re.compile(_abnf.header_field.encode())),
    (CHUNK_HEADER, re.compile(_abnf.chunk_header.encode())),
)
# The bytes that the patterns tell apart.
LINES = st.lists(
    st.sampled_from(
        [bytes((octet,)) for octet in b'X-0a:; \t\r\n\x00\x01\x0b\xff']
    )
).map(b''.join)


@given(LINES, st.sampled_from((b'', b'X:', b'X: ', b'1', b'1;')))
def test_the_patterns_match_what_those_of_h11_match(
    rest: bytes, start: bytes
) -> None:
    for line in (start + rest, b'%s%s\r\n' % (start, rest)):
        for pattern, original in ORIGINALS:
            found, expected = pattern.fullmatch(line), original.fullmatch(line)
            assert bool(found) == bool(expected), line
            if found and expected:
                assert found.groupdict() == expected.groupdict(), line


def test_runs_of_blanks_cost_no_more_than_their_bytes() -> None:
    # Guards against one line that stops the loop for many seconds.
    copies = CopyFilter(b'x-id', b'4f1'.__eq__, b'4f1')
    started = time.process_time()
    copies.feed(b'%sX: %s\r\r\n' % (OK, BLANKS[:1000]))
    for answer in ANSWERS:
        client = ClientCodec()
        client.request(Request(b'GET', b'/', (), b''))
        client.feed(answer)
        client.next_event()
        # The second event is that of a line behind a whole head.
        client.next_event()
        server = ServerCodec(MAX_HEAD_BYTES)
        server.feed(answer.replace(OK, b'POST / HTTP/1.1\r\nHost: a\r\n'))
        server.next_event()
    assert time.process_time() - started < MAX_PROCESSOR_S
