"""End-to-end tests on a stand-in for the users' platform, as processes."""

import signal
import time
from concurrent import futures

from tests.fixtures import wait_until
from tests.journeys.users_rig import (
    UsersFleet,
    UsersPlace,
    let_target_say_that_it_leaves,
    send_for,
)
from tests.platform.fixtures import DEPLOYMENT_SETTINGS
from tests.support import function_tests

load_tests = function_tests(__name__)

PROPAGATION_LIMIT_S = 2.0
ZONE_OUT_WAIT_S = 5.0
LIMITED_S = 4.0
LIMIT_PER_S = 5


def test_a_request_reaches_a_target_with_the_platforms_headers(
    users_fleet: UsersFleet,
) -> None:
    first = users_fleet.places[0]
    answer = first.send_request('/orders/1', 'a1', 'POST', deadline_ms='900.5')
    assert answer.status == 200
    assert answer.headers['attempt-id'] == 'a1'
    assert answer.headers['server-signature'] == 'signed'
    ran = [
        run
        for place in users_fleet.places
        for run in place.control_target()['ran']
        if run['id'] == 'a1'
    ]
    assert len(ran) == 1
    assert ran[0]['caller'] == 'shop'
    assert 0 < int(ran[0]['left_ms']) <= 900
    assert first.send_request('/nowhere/', 'a2').status == 404
    calls = {
        line['call'] for line in users_fleet.read_decisions() if 'call' in line
    }
    assert any(call.startswith('a1~') for call in calls)


def test_a_safe_request_with_a_broken_answer_is_retried_elsewhere(
    users_fleet: UsersFleet,
) -> None:
    first, second = users_fleet.places
    for fault in ({'break_off': True}, {'wrong_id': True}):
        first.control_target(**fault)
        for number in range(6):
            assert first.send_request('/pages/1', f's{number}').status == 200
            order = first.send_request('/orders/1', f'o{number}', 'POST')
            assert order.status in {200, 502}
        first.control_target(**dict.fromkeys(fault, False))
    ran = first.control_target()['ran'] + second.control_target()['ran']
    orders = [run['id'] for run in ran if run['id'].startswith('o')]
    # The client sent each id twice, once for each fault.
    assert all(orders.count(each) <= 2 for each in orders)


def test_a_leaving_target_gets_no_calls_once_acknowledged(
    users_fleet: UsersFleet,
) -> None:
    first, second = users_fleet.places
    first.control_target(state='draining')
    wait_until(lambda: 'draining' in first.control_target()['acknowledged'])
    before = len(first.control_target()['ran'])
    for number in range(10):
        for place in (first, second):
            assert place.send_request('/pages/1', f'd{number}').status == 200
    assert len(first.control_target()['ran']) == before


def test_an_evacuated_zone_gets_no_calls_until_it_returns(
    users_fleet: UsersFleet,
) -> None:
    first, second = users_fleet.places
    body = {'metadata': {'name': 'ghent-a'}, 'spec': {}}
    users_fleet.call_platform('POST', 'evacuations', body)
    time.sleep(ZONE_OUT_WAIT_S)
    before = len(first.control_target()['ran'])
    for number in range(10):
        assert first.send_request('/pages/1', f'e{number}').status == 200
    assert len(first.control_target()['ran']) == before
    users_fleet.call_platform('DELETE', 'evacuations/ghent-a')

    def gets_calls_again() -> bool:
        second.send_request('/pages/1', 'back')
        first.send_request('/pages/1', 'back')
        return len(first.control_target()['ran']) > before

    wait_until(gets_calls_again)


def test_a_changed_manifest_is_in_force_on_all_nodes_in_time(
    users_fleet: UsersFleet,
) -> None:
    for round_number in range(3):
        routes = users_fleet.call_platform('GET', 'config/main')['spec'][
            'routes'
        ]
        added = {**routes[0], 'name': f'x{round_number}'}
        added['pathPrefix'] = f'/x{round_number}/'
        acknowledged = users_fleet.change_manifest(routes=[*routes, added])
        for place in users_fleet.places:
            _wait_until_served(place, f'/x{round_number}/1')
        assert time.monotonic() - acknowledged < PROPAGATION_LIMIT_S


def test_a_stopping_node_is_not_ready_and_aborts_no_request(
    users_fleet: UsersFleet,
) -> None:
    first, second = users_fleet.places
    second.control_target(work_ms=400)
    first.control_target(work_ms=400)
    assert first.send_request('/pages/1', 'before').status == 200
    first.node.signal(signal.SIGTERM)
    wait_until(lambda: not first.is_ready(), 1.0)
    # Callers that do not yet know of the stop are still served.
    assert first.send_request('/pages/1', 'during').status == 200
    assert first.node.popen.wait(timeout=6) == 0
    assert second.send_request('/pages/1', 'after').status == 200


def test_a_node_reloads_its_settings_and_aborts_no_request(
    users_fleet: UsersFleet,
) -> None:
    first, second = users_fleet.places
    for place in users_fleet.places:
        place.control_target(work_ms=300)
    with futures.ThreadPoolExecutor() as pool:
        pending = [
            pool.submit(first.send_request, '/orders/1', f'h{number}', 'POST')
            for number in range(4)
        ]
        users_fleet.change_settings(first.name, stop_s=4)
        first.node.signal(signal.SIGHUP)
        users_fleet.change_settings(second.name, heartbeat_s=2)
        assert {response.result().status for response in pending} == {200}
    wait_until(
        lambda: _reloaded_settings(users_fleet) >= {'stop_s', 'heartbeat_s'}
    )
    assert first.send_request('/pages/1', 'after').status == 200
    assert first.node.popen.poll() is None


def _reloaded_settings(fleet: UsersFleet) -> set[str]:
    """Return the settings that nodes have logged as changed."""
    log_text = ' '.join(
        line['text']
        for line in fleet.read_decisions()
        if line['event'] == 'message'
    )
    return {
        name
        for name in ('stop_s', 'heartbeat_s')
        if f'changed: {name}' in log_text
    }


def _wait_until_served(place: UsersPlace, path: str) -> None:
    wait_until(lambda: place.send_request(path, 'x', 'POST').status == 200)


def test_a_named_limit_holds_over_all_nodes_and_ends(
    users_fleet: UsersFleet,
) -> None:
    for place in users_fleet.places:
        place.control_target(limit=str(LIMIT_PER_S))
    send_for(users_fleet, 'learn', 0.5)
    before = _run_counts(users_fleet)
    answers = send_for(users_fleet, 'limited', LIMITED_S)
    ran = [
        after - count
        for after, count in zip(_run_counts(users_fleet), before, strict=True)
    ]
    assert all(count <= LIMIT_PER_S * (LIMITED_S + 1) + 1 for count in ran)
    assert sum(ran) >= LIMIT_PER_S * LIMITED_S
    assert set(answers) <= {200, 503}
    for place in users_fleet.places:
        place.control_target(limit='')
    # The first answer of each target ends its limit.
    send_for(users_fleet, 'end', 1.0)
    assert set(send_for(users_fleet, 'free', 1.0)) == {200}


def test_a_target_that_leaves_by_its_answers_gets_no_further_calls(
    users_fleet: UsersFleet,
) -> None:
    leaving = users_fleet.places[0]
    let_target_say_that_it_leaves(users_fleet, leaving)
    count = len(leaving.control_target()['ran'])
    # Its heartbeats still say that it is ready.
    assert set(send_for(users_fleet, 'late', 1.0)) == {200}
    assert len(leaving.control_target()['ran']) == count


def test_a_restarted_node_sends_no_call_to_a_target_that_left(
    users_fleet: UsersFleet,
) -> None:
    # Guards against a target that is used again because the process that knew
    # of its leaving was killed; its heartbeats still say that it is ready.
    leaving = users_fleet.places[0]
    let_target_say_that_it_leaves(users_fleet, leaving)
    leaving.node.kill()
    users_fleet.restart_node(leaving)
    wait_until(leaving.is_ready)
    count = len(leaving.control_target()['ran'])
    # Several heartbeats arrive meanwhile.
    assert 200 in send_for(users_fleet, 'late', 4.0)
    assert len(leaving.control_target()['ran']) == count


def _run_counts(fleet: UsersFleet) -> list[int]:
    return [len(place.control_target()['ran']) for place in fleet.places]


def test_a_node_starts_from_the_settings_of_each_kind_of_deployment(
    users_fleet: UsersFleet,
) -> None:
    for number, changes in enumerate(DEPLOYMENT_SETTINGS.values()):
        # The default operators' port can be taken by another test.
        operators_port = users_fleet.ports.take()
        settings = {**changes, 'operators_port': operators_port}
        place = users_fleet.add('ghent-a', **settings)
        place.ports['operators'] = operators_port
        wait_until(place.is_listening)
        wait_until(place.is_ready)
        # A ready node refuses requests until it has met a target.
        assert _statuses_until_served(place, f'k{number}') <= {200, 503}


def _statuses_until_served(place: UsersPlace, name: str) -> set[int]:
    """Send a request until it is answered with 200; return all statuses."""
    statuses = set()

    def is_served() -> bool:
        statuses.add(place.send_request('/pages/1', name).status)
        return 200 in statuses

    wait_until(is_served)
    return statuses
