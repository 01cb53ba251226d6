"""A version moves over in time if it is good, and is taken back if not."""

import re
import time

from tests.fixtures import Place, SmallFleet, fetch, send_and_read, wait_until
from tests.journeys.rig import (
    OperatorConsole,
    Traffic,
    count_started_calls,
    count_started_within,
)
from tests.support import function_tests

load_tests = function_tests(__name__)

# The last step is due at 95% of the set time; the rest has to cover the start
# of the command that asks.
FINISH_IN_S = 16
SOON_S = 10.0
CALLERS = 3
ORDERS = 20


def _start(console: OperatorConsole) -> float:
    """Start a rollout from v1 to v2; return when it has to be done."""
    line = f'rollout start docs --old v1 --new v2 --finish-in-s {FINISH_IN_S}'
    ended = console.command(*line.split(), '--id', 'r1')
    assert ended.code == 0, ended
    return time.monotonic() + FINISH_IN_S


def _add_new_version(fleet: SmallFleet, traffic: Traffic) -> Place:
    """Start a target of the new version, and callers that suffice."""
    new = fleet.add('ghent-a', version='v2')
    fleet.wait_until_joined()
    for _ in range(CALLERS):
        traffic.call_through(new)
    return new


def _order(place: Place, key: str) -> str:
    """Send a call that may not be repeated; return why it was refused."""
    head = f'POST /order HTTP/1.1\r\nHost: docs\r\nIdempotency-Key: {key}\r\n'
    rest = 'Connection: close\r\nContent-Length: 0\r\n\r\n'
    came = send_and_read(place.callers_port, f'{head}{rest}'.encode(), 8)
    found = re.search(rb'Daisyline-Reason: (\S+)', came)
    return found[1].decode() if found else ''


def _standing(console: OperatorConsole) -> str:
    return console.command('rollout', 'status', 'docs').out


def test_a_good_version_has_moved_over_by_its_time(
    console: OperatorConsole, fleet: SmallFleet, traffic: Traffic
) -> None:
    new = _add_new_version(fleet, traffic)
    due_at = _start(console)
    wait_until(lambda: ' done ' in _standing(console))
    assert time.monotonic() <= due_at
    time.sleep(0.5)
    *old, moved = count_started_within(fleet.places, 0.5)
    assert (sum(old), moved > 0) == (0, True)
    traffic.end()
    assert not traffic.failed, traffic.failed[:3]
    assert count_started_calls(new) > 0
    kept = fetch(fleet.platform_port, '/v1/objects/rollouts/docs')
    assert kept['value']['state'] == 'done'
    explained = console.command('explain', 'rollout', 'r1')
    assert 'A rollout came to a new stage or share.' in explained.out


def test_a_bad_version_is_rolled_back_and_gets_nothing(
    console: OperatorConsole, fleet: SmallFleet, traffic: Traffic
) -> None:
    _start(console)
    new = _add_new_version(fleet, traffic)
    new.set_faults(fail_fast=1)
    wait_until(lambda: ' rolled-back ' in _standing(console), SOON_S)
    time.sleep(0.5)
    *old, bad = count_started_within(fleet.places, 1)
    assert bad == 0
    assert sum(old) > 0
    traffic.end()
    assert len(traffic.failed) < traffic.answered / 10
    kept = fetch(fleet.platform_port, '/v1/objects/rollouts/docs')
    assert kept['value']['state'] == 'rolled-back'
    status = console.command('status')
    assert 'rolled-back' in status.out


def test_an_order_with_a_key_passes_by_a_version_that_was_stopped(
    console: OperatorConsole, fleet: SmallFleet
) -> None:
    _start(console)
    new = fleet.add('ghent-a', version='v2')
    fleet.wait_until_joined()
    assert console.command('rollout', 'stop', 'docs').code == 0
    orders = [_order(new, f'order-{number}') for number in range(ORDERS)]
    assert set(orders) == {''}, orders
    assert count_started_calls(new) == 0
