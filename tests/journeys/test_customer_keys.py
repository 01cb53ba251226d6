"""Customers' keys on a stand-in for the users' platform, as processes."""

import time
from typing import Any

from standins.processes import HOST
from tests.fixtures import wait_until
from tests.journeys.users_rig import UsersFleet, UsersPlace
from tests.support import function_tests

load_tests = function_tests(__name__)

KEY = 'k-5f0c81d2'
OTHER_KEY = 'k-77aa01'
WITHDRAWAL_LIMIT_S = 2.5
UNAUTHORIZED = 401
ORDER = '/orders/1'
PAGE = '/pages/1'


def _send(
    place: UsersPlace, path: str, name: str, key: str = '', **headers: str
) -> Any:
    if key:
        headers['Authorization'] = f'Bearer {key}'
    return place.send_request(path, name, 'GET', **headers)


def _use_customers(fleet: UsersFleet, *keys: str) -> float:
    """Give a customer some keys; pages need none. Return the time."""
    routes = fleet.call_platform('GET', 'config/main')['spec']['routes']
    for route in routes:
        route['authExempt'] = route['pathPrefix'] == '/pages/'
    customers = [
        {'name': 'hule930', 'apiKeys': list(keys), 'priority': 0},
        {'name': 'fida11', 'apiKeys': [OTHER_KEY]},
    ]
    return fleet.change_manifest(tenants=customers, routes=routes)


def _wait_until_refused(fleet: UsersFleet, key: str) -> None:
    def is_refused() -> bool:
        answers = [_send(place, ORDER, 'w', key) for place in fleet.places]
        return {answer.status for answer in answers} == {UNAUTHORIZED}

    wait_until(is_refused)


def _runs(fleet: UsersFleet) -> dict[str, dict[str, Any]]:
    """Return what the targets have seen of each request, by its id."""
    return {
        run['id']: run
        for place in fleet.places
        for run in place.control_target()['ran']
    }


def test_a_target_gets_the_name_of_the_customer_and_never_a_key(
    users_fleet: UsersFleet,
) -> None:
    forged = {'Tenant': 'fida11'}
    before = users_fleet.places[0]
    assert _send(before, ORDER, 'before', KEY, **forged).status == 200
    _use_customers(users_fleet, KEY)
    _wait_until_refused(users_fleet, '')
    for place in users_fleet.places:
        for path, without_key in ((ORDER, UNAUTHORIZED), (PAGE, 200)):
            name = f'{place.name}{path[1]}'
            assert _send(place, path, f'{name}k', KEY, **forged).status == 200
            other = _send(place, path, f'{name}x', 'wrong', **forged)
            none = _send(place, path, f'{name}n', **forged)
            assert other.status == none.status == without_key
        refused = _send(place, ORDER, 'refused', 'wrong')
        assert refused.headers['www-authenticate'] == 'Bearer'
        assert 'retry-after' not in refused.headers
        assert place.is_ready()
    runs = _runs(users_fleet)
    # Where there are no customers, the header with the key is not ours.
    assert runs.pop('before')['authorization'] == f'Bearer {KEY}'
    assert runs['n0ok']['tenant'] == runs['n1pk']['tenant'] == 'hule930'
    assert not any(runs[name]['tenant'] for name in ('n0px', 'n1pn'))
    assert {run['authorization'] for run in runs.values()} == {None}
    assert not {'n0ox', 'n0on', 'n1ox', 'n1on', 'refused'} & set(runs)
    decisions = users_fleet.read_decisions()
    assert any(line['event'] == 'KeyRefused' for line in decisions)
    assert KEY not in repr(decisions)


def test_a_withdrawn_key_is_refused_soon_and_after_a_restart(
    users_fleet: UsersFleet,
) -> None:
    _use_customers(users_fleet, KEY)
    _wait_until_refused(users_fleet, '')
    first = users_fleet.places[0]
    assert _send(first, ORDER, 'before', KEY).status == 200
    withdrawn_at = _use_customers(users_fleet)
    _wait_until_refused(users_fleet, KEY)
    assert time.monotonic() < withdrawn_at + WITHDRAWAL_LIMIT_S
    first.node.kill()
    first.node = users_fleet.start_node(first.name, first.zone, first.ports)
    wait_until(first.is_listening)
    statuses = []
    while UNAUTHORIZED not in statuses:
        statuses.append(_send(first, ORDER, 'restart', KEY).status)
    assert set(statuses) <= {503, UNAUTHORIZED}
    wait_until(lambda: _send(first, ORDER, 'x', OTHER_KEY).status == 200)
    assert 'restart' not in _runs(users_fleet)


def test_malformed_customers_leave_the_settings_before_in_force(
    users_fleet: UsersFleet,
) -> None:
    _use_customers(users_fleet, KEY)
    _wait_until_refused(users_fleet, '')
    broken = [{'name': 'hule930', 'apiKeys': [OTHER_KEY, '']}]
    users_fleet.change_manifest(tenants=broken)
    finding = 'tenants[0].apiKeys[1]: must not be empty'
    wait_until(lambda: finding in repr(users_fleet.read_decisions()))
    for place in users_fleet.places:
        assert _send(place, ORDER, 'kept', KEY).status == 200
        assert _send(place, ORDER, 'none', 'wrong').status == UNAUTHORIZED
    assert OTHER_KEY not in repr(users_fleet.read_decisions())
    # A restarted node finds them malformed, too, and asks the other one.
    first = users_fleet.places[0]
    first.node.kill()
    first.node = users_fleet.start_node(first.name, first.zone, first.ports)
    wait_until(first.is_listening)
    wait_until(lambda: _send(first, ORDER, 'again', KEY).status == 200)
    assert _send(first, ORDER, 'none', 'wrong').status == UNAUTHORIZED


def test_a_node_without_settings_judges_no_key(
    users_fleet: UsersFleet,
) -> None:
    _use_customers(users_fleet, KEY)
    # Nothing listens there, so the node finds neither settings nor others.
    port = users_fleet.ports.take()
    alone = users_fleet.add('ghent-a', store=f'{HOST}:{port}')
    wait_until(alone.is_listening)
    for key in ('', KEY, 'wrong'):
        assert _send(alone, ORDER, 'alone', key).status == 503
    assert not alone.is_ready()
