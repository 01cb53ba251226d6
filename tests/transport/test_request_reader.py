"""Requests lead to calls of the customer whose key they carry."""

import random
import types
from collections.abc import Iterator
from typing import Any

from daisyline.coordination import node_handlers
from daisyline.coordination.calls.call_events import (
    RefuseCaller,
    RequestReceived,
    RequestUnroutable,
)
from daisyline.coordination.calls.customer_keys import RequestUnauthorized
from daisyline.coordination.calls.entry_call import EntryCall, make_run_call
from daisyline.coordination.node_core import NodeCore
from daisyline.coordination.settings.settings_spread import START_WAIT_S
from daisyline.platform.wire import DIALECT
from daisyline.protocol import operator_views
from daisyline.protocol.dialect import Dialect
from daisyline.protocol.http_messages import Request
from daisyline.state.customers import hash_key
from daisyline.state.failures import Reason
from daisyline.state.members import Member
from daisyline.transport.request_reader import ParentCall, RequestReader
from tests.support import fixture, function_tests

load_tests = function_tests(__name__)

KEY = 'k-5f0c81d2'
BEARER = f'Bearer {KEY}'.encode()
FORGED = (b'TENANT', b'fida11')
CUSTOMERS = types.MappingProxyType(
    {
        'hüle930': {'keys': [hash_key(KEY.encode())], 'priority': 3},
        'fida11': {'keys': [hash_key(b'k-3')]},
    }
)


def _tree(tenants: Any) -> dict[str, Any]:
    shared = {'host': 'shop.example', 'services': {'shop': 1}, 'priority': 2}
    return {
        'cluster': 'test',
        'services': {'shop': {}},
        'tenants': tenants,
        'routes': {
            'r-orders': {**shared, 'prefix': '/orders/'},
            'r-pages': {**shared, 'prefix': '/pages/', 'key_exempt': True},
        },
    }


@fixture
def core() -> Iterator[NodeCore]:
    """Provide a node without settings."""
    me = Member('n1', '127.0.0.1', 7400, 'ghent-a', 'flanders', 1)
    yield NodeCore.from_config(me, 'test', (), random.Random(1), 0)


@fixture
def keyed_core(core: NodeCore) -> Iterator[NodeCore]:
    """Provide a node whose settings have customers with keys."""
    _use_tree(core, _tree(dict(CUSTOMERS)))
    yield core


def _use_tree(core: NodeCore, tree: dict[str, Any]) -> None:
    spread = core.fleet._gossip.settings
    spread.adopt(spread.version + 1, {'tree': tree}, (), 0)
    spread.tick((), START_WAIT_S)
    assert core.fleet.settings.tree['routes'] == tree['routes']


def _read(
    core: NodeCore,
    path: bytes,
    *headers: tuple[bytes, bytes],
    dialect: Dialect = DIALECT,
) -> Any:
    reader = RequestReader(core, dialect, 1, 'shop')
    host = (b'Host', b'shop.example')
    request = Request(b'GET', path, (host, *headers), b'')
    return reader.read(request, ParentCall(), 1)


def _sent(event: RequestReceived, name: bytes) -> list[bytes]:
    return [text for key, text in event.headers if key.lower() == name]


def test_a_known_key_becomes_its_customers_name(keyed_core: NodeCore) -> None:
    for credentials in (BEARER, BEARER.replace(b'Bearer ', b'bearer   ')):
        for path in (b'/orders/1', b'/pages/1'):
            key = (b'Authorization', credentials)
            event = _read(keyed_core, path, key, FORGED)
            assert isinstance(event, RequestReceived)
            assert event.tenant == 'hüle930'
            assert _sent(event, b'tenant') == ['hüle930'.encode()]
            assert _sent(event, b'authorization') == []
            assert KEY not in repr(event)
            run = make_run_call(EntryCall(event, 1), False, 1, 1)
            assert (run.tenant, run.priority) == ('hüle930', 3)
    key = (b'authorization', b'Bearer k-3')
    event = _read(keyed_core, b'/orders/1', key)
    assert make_run_call(EntryCall(event, 1), False, 1, 1).priority == 2


def test_a_request_without_a_valid_key_is_unauthorized(
    keyed_core: NodeCore,
) -> None:
    name = b'Authorization'
    cases: tuple[tuple[str, Any], ...] = (
        ('missing', []),
        ('unknown', [b'Bearer other']),
        ('unknown', [BEARER.upper()]),
        ('malformed', [KEY.encode()]),
        ('malformed', [BEARER.replace(b'Bearer', b'Basic')]),
        ('malformed', [b'Bearer ']),
        ('malformed', [BEARER, b'Bearer other']),
    )
    for cause, credentials in cases:
        headers = [(name, content) for content in credentials]
        for path in (b'/orders/1', b'/nowhere'):
            event = _read(keyed_core, path, FORGED, *headers)
            assert isinstance(event, RequestUnauthorized), headers
            assert event.refusal.cause == cause
        exempt = _read(keyed_core, b'/pages/1', FORGED, *headers)
        assert isinstance(exempt, RequestReceived)
        assert exempt.tenant == ''
        assert _sent(exempt, b'tenant') == _sent(exempt, b'authorization') == []


def test_a_known_key_for_no_route_is_unroutable(keyed_core: NodeCore) -> None:
    event = _read(keyed_core, b'/nowhere', (b'Authorization', BEARER))
    assert isinstance(event, RequestUnroutable)
    assert event.failure.reason == Reason.NO_SERVICE


def test_a_node_without_settings_does_not_judge_keys(core: NodeCore) -> None:
    # Guards against a final 401 from a node that has just started.
    event = _read(core, b'/orders/1', (b'Authorization', BEARER))
    assert isinstance(event, RequestUnroutable)
    assert event.failure.reason == Reason.NO_SETTINGS


def test_requests_pass_unchanged_where_no_customer_has_keys(
    core: NodeCore,
) -> None:
    _use_tree(core, _tree({'hule930': {'weight': 2}}))
    headers = ((b'Authorization', BEARER), (b'X-Tenant', b'hule930'))
    event = _read(core, b'/orders/1', *headers, FORGED)
    assert (event.tenant, event.priority) == ('hule930', None)
    assert _sent(event, b'authorization') == [BEARER]
    assert _sent(event, b'tenant') == []
    own = _read(core, b'/orders/1', *headers, FORGED, dialect=Dialect())
    assert own.headers[1:] == (*headers, FORGED)


def test_refusals_because_of_keys_are_counted_and_their_lines_bounded(
    keyed_core: NodeCore,
) -> None:
    # Guards against wrong keys that displace the lines about other calls.
    for number in range(300):
        key = (b'Authorization', b'Bearer wrong-%d' % number)
        event = _read(keyed_core, b'/orders/1', key)
        effect = node_handlers.handle(event, keyed_core, 1 + number / 1000)[0]
        assert isinstance(effect, RefuseCaller)
        assert effect.failure.reason == Reason.UNAUTHORIZED
    assert keyed_core.entry.key_refusals.count(event.refusal.cause) == 300
    assert b'keys_unknown_total 300' in operator_views.metrics(keyed_core)
    node_handlers.handle(event, keyed_core, 2)
    lines = list(keyed_core.events._call_events)
    assert 1 < len(lines) <= 10
    assert lines[-1].key_hash == hash_key(b'wrong-299')
    assert lines[-1].left_out + len(lines) == 301
