"""Departures of targets outlast all nodes, as processes."""

import time

from tests.fixtures import fetch, wait_until
from tests.journeys.users_rig import (
    UsersFleet,
    UsersPlace,
    let_target_say_that_it_leaves,
    send_for,
)
from tests.support import function_tests

load_tests = function_tests(__name__)

SLOW_S = 0.2
WAIT_S = 0.5
# A call on a store that does not answer fails after 3 s.
INDEPENDENT_S = 2.0


def test_a_target_that_left_gets_no_call_after_all_nodes_were_killed(
    users_fleet: UsersFleet,
) -> None:
    # Guards against the loss of a departure with the last process that knew of
    # it; the target's heartbeats still say that it is ready.
    leaving = users_fleet.places[0]
    let_target_say_that_it_leaves(users_fleet, leaving)
    path = f'departures/{leaving.name}'
    wait_until(lambda: users_fleet.call_platform('GET', path)['spec'])
    for place in users_fleet.places:
        place.node.kill()
    for place in users_fleet.places:
        users_fleet.restart_node(place)
    for place in users_fleet.places:
        wait_until(place.is_ready)
    count = len(leaving.control_target()['ran'])
    assert 200 in send_for(users_fleet, 'late', 5.0)
    assert len(leaving.control_target()['ran']) == count
    calls = fetch(users_fleet.platform_port, '/calls')['calls']
    assert calls['departures write'] == 1


def test_a_departure_is_acknowledged_after_its_write_or_a_bound(
    users_fleet: UsersFleet,
) -> None:
    # Guards against a departure that is lost after its acknowledgement, and
    # against targets that wait for a store which does not answer.
    first, second = users_fleet.places
    _set_store(users_fleet, slow_ms=SLOW_S * 1000)
    assert _leave(first) >= SLOW_S
    _set_store(users_fleet, silent=True)
    assert WAIT_S <= _leave(second) < INDEPENDENT_S


def _set_store(fleet: UsersFleet, **faults: object) -> None:
    fetch(fleet.platform_port, '/faults', 'POST', faults)


def _leave(place: UsersPlace) -> float:
    """Send a leave notice; return the time to its acknowledgement."""
    started = time.monotonic()
    path = '/-/rpc?call=instances.leave&of=another'
    assert fetch(place.ports['notices'], path, 'POST', {'born': 1}) == {}
    return time.monotonic() - started
