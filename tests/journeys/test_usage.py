"""The usage report end to end, as processes."""

import time
from collections.abc import Iterator
from typing import Any

from tests.fixtures import fetch, wait_until
from tests.journeys.users_rig import UsersFleet, running_fleet
from tests.support import fixture, function_tests

load_tests = function_tests(__name__)

WINDOW_S = 1
LATE_S = 6
CALLS = 40
WAIT_S = 40.0


@fixture
def usage_fleet() -> Iterator[UsersFleet]:
    """Provide two nodes that report usage to the stand-in platform."""
    with running_fleet(
        duty_calls_per_s=50,
        duty_lease_s=1,
        usage_window_s=WINDOW_S,
        usage_late_s=LATE_S,
    ) as fleet:
        fleet.change_manifest(
            tenants=[
                {'name': name, 'apiKeys': [f'key-{name}']}
                for name in ('acme', 'globex')
            ]
        )
        yield fleet


def _usage(fleet: UsersFleet) -> Any:
    return fetch(fleet.platform_port, '/usage')


def _reported(fleet: UsersFleet, customer: str) -> int:
    reports = _usage(fleet)['reports'].values()
    return sum(counts.get(customer, 0) for counts in reports)


def _send_calls(fleet: UsersFleet, name: str) -> None:
    for number in range(CALLS):
        place = fleet.places[number % len(fleet.places)]
        answer = place.send_request(
            '/pages/1', f'{name}{number}', Authorization='Bearer key-acme'
        )
        assert answer.status == 200
        time.sleep(0.02)


def test_usage_is_reported_once_also_after_its_holder_was_killed(
    usage_fleet: UsersFleet,
) -> None:
    # Guards against windows that are missing, late, or counted twice when the
    # node that reports them ends.
    wait_until(lambda: _usage(usage_fleet)['reports'], WAIT_S)
    _send_calls(usage_fleet, 'first')
    wait_until(lambda: _reported(usage_fleet, 'acme') == CALLS, WAIT_S)
    assert _reported(usage_fleet, 'globex') == 0
    holder, token, *_ = _usage(usage_fleet)['calls'][-1]
    place = next(one for one in usage_fleet.places if one.name == holder)
    place.node.kill()
    place.node = usage_fleet.start_node(holder, place.zone, place.ports)
    wait_until(lambda: _usage(usage_fleet)['token'] > token, WAIT_S)
    wait_until(place.is_ready, WAIT_S)
    _send_calls(usage_fleet, 'second')
    wait_until(lambda: _reported(usage_fleet, 'acme') == 2 * CALLS, WAIT_S)
    records = _usage(usage_fleet)
    assert not records['faults']
    windows = sorted(map(int, records['reports']))
    assert windows == list(range(windows[0], windows[-1] + 1))
