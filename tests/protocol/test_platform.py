"""Answers of the platform are decoded, or treated as no answer."""

import json
from typing import Any

from hypothesis import example, given
from hypothesis import settings as profile
from hypothesis import strategies as st

from daisyline.coordination.effects import (
    PlatformList,
    PlatformRead,
    PlatformReply,
    PlatformWrite,
)
from daisyline.protocol.platform import (
    NO_ANSWER_STATUS,
    decode_reply,
    encode_request,
)
from tests.protocol.test_announcements import JSON
from tests.support import function_tests

load_tests = function_tests(__name__)

READ = PlatformRead('t', 'settings', 'tree')
LIST = PlatformList('t', 'seeds')


@profile(derandomize=True, max_examples=400, deadline=None)
@given(
    answer=st.one_of(
        JSON,
        st.fixed_dictionaries(
            {'revision': JSON, 'items': st.lists(JSON, max_size=2)}
        ),
        st.fixed_dictionaries({'version': JSON, 'value': JSON}),
    ),
    status=st.sampled_from((200, 404, 409, 503)),
)
@example(answer={'revision': 1, 'items': [{'name': 'a'}]}, status=200)
@example(answer={'revision': 1, 'items': 5}, status=200)
@example(answer={'version': True}, status=200)
def test_any_json_is_a_reply_of_the_right_types(
    answer: Any, status: int
) -> None:
    reply = decode_reply(LIST, status, json.dumps(answer).encode())
    assert reply.status in {status, NO_ANSWER_STATUS}
    assert repr(reply.version).lstrip('-').isdigit()
    if isinstance(answer, dict) and 'items' in answer and reply.status == 200:
        for name, version, _content in reply.content:
            assert isinstance(name, str)
            assert repr(version).lstrip('-').isdigit()


@profile(derandomize=True, max_examples=100, deadline=None)
@given(body=st.binary(max_size=30))
@example(body=b'{"value":' * 50_000)
@example(body=b'{"version": 1%s}' % (b'0' * 5000))
def test_arbitrary_bytes_never_raise(body: bytes) -> None:
    assert decode_reply(READ, 200, body).status in {200, NO_ANSWER_STATUS}


def test_answers_are_decoded() -> None:
    body = b'{"name": "tree", "version": 7, "value": {"a": 1}}'
    assert decode_reply(READ, 200, body) == PlatformReply('t', 200, 7, {'a': 1})
    listed = b'{"revision": 9, "items": [{"name": "z", "version": 3}]}'
    reply = PlatformReply('t', 200, 9, [('z', 3, None)])
    assert decode_reply(LIST, 200, listed) == reply
    assert decode_reply(READ, 409, b'{"version": 8}').version == 8


def test_a_write_sends_its_version_and_quotes_its_name() -> None:
    write = PlatformWrite('t', 'seeds', 'ghent/a?', 4, [1])
    request = encode_request(write, 'p:1')
    assert request.path == b'/v1/objects/seeds/ghent%2Fa%3F'
    assert request.header(b'if-match') == b'4'
    assert request.body == b'[1]'
