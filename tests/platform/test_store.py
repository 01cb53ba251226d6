"""Calls to the platform's store are encoded and its answers are decoded."""

import json
import types
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from daisyline.coordination.effects import (
    PlatformList,
    PlatformRead,
    PlatformReply,
    PlatformWatch,
    PlatformWrite,
)
from daisyline.platform.boot import Boot
from daisyline.platform.store import StoreCodec
from daisyline.protocol.platform import PlatformCall
from tests.platform.fixtures import MANIFEST, SETTINGS_FIELDS
from tests.support import function_tests

load_tests = function_tests(__name__)

RECORD = types.MappingProxyType(
    {'id': 'v2.9', 'new': 'v2', 'state': 'done', 'step': 0}
)


def _object(name: str, rev: int, spec: Any = None, status: Any = None) -> Any:
    meta = {'name': name, 'rev': rev, 'createdRev': 3}
    return {'metadata': meta, 'spec': spec, 'status': status}


def _encode(boot: Boot, effect: PlatformCall) -> tuple[bytes, bytes, Any]:
    request = StoreCodec.from_boot(boot).encode_request(effect, 'store')
    body = json.loads(request.body) if request.body else None
    return request.method, request.path, body


def _decode(
    boot: Boot, effect: PlatformCall, answer: Any, status: int = 200
) -> PlatformReply:
    body = json.dumps(answer).encode()
    return StoreCodec.from_boot(boot).decode_reply(effect, status, body)


def test_calls_are_encoded_as_the_store_expects(boot: Boot) -> None:
    assert _encode(boot, PlatformList('t', 'settings')) == (
        b'GET',
        b'/-/objects/config',
        None,
    )
    watch = PlatformWatch('t', 'zones', 7, 4000)
    path = b'/-/objects/evacuations?watch=7&waitMs=4000'
    assert _encode(boot, watch) == (b'GET', path, None)
    creation = PlatformWrite('t', 'seeds', 'ghent-a', 0, {'addresses': []})
    assert _encode(boot, creation) == (
        b'POST',
        b'/-/objects/node-seeds',
        {'metadata': {'name': 'ghent-a'}, 'spec': {'addresses': []}},
    )
    status = PlatformWrite('t', 'rollouts', 'shop', 12, dict(RECORD))
    method, path, body = _encode(boot, status)
    assert (method, path) == (b'PUT', b'/-/objects/rollouts/shop/status')
    assert body['metadata'] == {'name': 'shop', 'rev': 12}
    assert body['status']['state'] == 'completed'
    assert body['status']['targetVersion'] == 'v2'


def test_a_list_returns_the_manifest_as_the_settings_tree(boot: Boot) -> None:
    answer = {
        'items': [_object('main', 6, dict(MANIFEST))],
        'at': 8,
        'more': False,
    }
    reply = _decode(boot, PlatformList('t', 'settings'), answer)
    assert (reply.status, reply.version) == (200, 8)
    name, version, content = reply.content[0]
    assert (name, version) == ('tree', 6)
    assert 'r-orders' in content['tree']['routes']


def test_the_newest_event_of_an_object_wins(boot: Boot) -> None:
    events = [
        {'object': _object('ghent-a', 10, {}), 'deleted': False},
        {'object': _object('ghent-a', 10, {}), 'deleted': True},
        {'object': _object('ghent-b', 12, {}), 'deleted': True},
        {'object': _object('ghent-b', 13, {}), 'deleted': False},
        {'object': {'metadata': 'none'}, 'deleted': False},
        'no event',
    ]
    watch = PlatformWatch('t', 'zones', 7, 4000)
    reply = _decode(boot, watch, {'events': events, 'at': 14})
    assert dict(
        (name, (at, content)) for name, at, content in reply.content
    ) == {
        'ghent-a': (14, None),
        'ghent-b': (13, {'state': 'out'}),
    }


def test_a_rollout_is_read_as_order_and_as_record(boot: Boot) -> None:
    spec = {'service': 'shop', 'targetVersion': 'v2', 'durationS': 12}
    status = {**RECORD, 'state': 'rolled_back'}
    stored = _object('shop', 9, spec, status)
    listed = {'items': [stored], 'at': 9}
    orders = _decode(boot, PlatformList('t', 'rollout-orders'), listed)
    plan = orders.content[0][2]
    assert plan['id'] == 'v2.3'
    assert plan['exposed_percent'] == 10
    record = _decode(boot, PlatformRead('t', 'rollouts', 'shop'), stored)
    assert record.version == 9
    assert record.content['state'] == 'rolled-back'


def test_a_conflict_and_a_lost_answer_keep_their_status(boot: Boot) -> None:
    read = PlatformRead('t', 'rollouts', 'shop')
    assert _decode(boot, read, _object('shop', 9), 409).status == 409
    assert _decode(boot, read, {'at': 4}, 404).status == 404
    no_answer = StoreCodec.from_boot(boot).decode_reply(read, 0, b'')
    assert no_answer.status == 0
    truncated = StoreCodec.from_boot(boot).decode_reply(read, 200, b'{"meta')
    assert truncated.status == 0


@settings(derandomize=True, max_examples=200, deadline=None)
@given(body=st.binary(max_size=40) | st.sampled_from([b'[]', b'{}', b'7']))
def test_arbitrary_answers_never_raise(body: bytes) -> None:
    boot = Boot.from_text(json.dumps(dict(SETTINGS_FIELDS)))
    assert isinstance(boot, Boot)
    store = StoreCodec.from_boot(boot)
    for effect in (
        PlatformList('t', 'settings'),
        PlatformWatch('t', 'zones', 1, 1),
        PlatformRead('t', 'rollouts', 'shop'),
    ):
        assert store.decode_reply(effect, 200, body).status in {0, 200}


def test_any_answer_tells_the_era_of_the_store(boot: Boot) -> None:
    store = StoreCodec.from_boot(boot)
    effect = PlatformRead('t', 'rollouts', 'shop')
    stored = json.dumps(_object('shop', 9)).encode()
    for status, body in ((200, stored), (404, b'{}'), (410, b'x'), (0, b'')):
        for text, era in (
            (b'3', 3),
            (b'', None),
            (b'-1', None),
            (b'9' * 9, None),
        ):
            headers = ((b'Store-Era', text),)
            reply = store.decode_reply(effect, status, body, headers)
            assert reply.era == era
        assert store.decode_reply(effect, status, body).era is None
