"""A good version replaces the old one in time; a bad one is rolled back."""

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

# The last step is at 95 % of this time; the remaining 5 % have to cover the
# start of the command that reads the status.
FINISH_IN_S = 16
ROLLBACK_LIMIT_S = 10.0
CALLER_COUNT = 3
ORDER_COUNT = 20


def _start(console: OperatorConsole) -> float:
    """Start a rollout from v1 to v2 and return its deadline."""
    line = f'rollout start docs --old v1 --new v2 --finish-in-s {FINISH_IN_S}'
    result = console.command(*line.split(), '--id', 'r1')
    assert result.code == 0, result
    return time.monotonic() + FINISH_IN_S


def _add_new_version(fleet: SmallFleet, traffic: Traffic) -> Place:
    """Start a target of the new version and enough callers to judge it."""
    new = fleet.add('ghent-a', version='v2')
    fleet.wait_until_joined()
    for _ in range(CALLER_COUNT):
        traffic.add_caller(new)
    return new


def _order(place: Place, key: str) -> str:
    """Send a non-repeatable call; return the reason of a refusal or ''."""
    head = f'POST /order HTTP/1.1\r\nHost: docs\r\nIdempotency-Key: {key}\r\n'
    rest = 'Connection: close\r\nContent-Length: 0\r\n\r\n'
    answer = send_and_read(place.callers_port, f'{head}{rest}'.encode(), 8)
    found = re.search(rb'Daisyline-Reason: (\S+)', answer)
    return found[1].decode() if found else ''


def _rollout_status(console: OperatorConsole) -> str:
    return console.command('rollout', 'status', 'docs').stdout


def test_a_good_version_has_all_calls_by_the_deadline(
    console: OperatorConsole, fleet: SmallFleet, traffic: Traffic
) -> None:
    new = _add_new_version(fleet, traffic)
    deadline = _start(console)
    wait_until(lambda: ' done ' in _rollout_status(console))
    assert time.monotonic() <= deadline
    time.sleep(0.5)
    *old_calls, new_calls = count_started_within(fleet.places, 0.5)
    assert (sum(old_calls), new_calls > 0) == (0, True)
    traffic.stop()
    assert not traffic.failed, traffic.failed[:3]
    assert count_started_calls(new) > 0
    stored = fetch(fleet.platform_port, '/v1/objects/rollouts/docs')
    assert stored['value']['state'] == 'done'
    explanation = console.command('explain', 'rollout', 'r1')
    assert 'A rollout came to a new stage or share.' in explanation.stdout


def test_a_bad_version_is_rolled_back_and_gets_no_calls(
    console: OperatorConsole, fleet: SmallFleet, traffic: Traffic
) -> None:
    _start(console)
    new = _add_new_version(fleet, traffic)
    new.set_faults(fail_fast=1)
    wait_until(
        lambda: ' rolled-back ' in _rollout_status(console), ROLLBACK_LIMIT_S
    )
    time.sleep(0.5)
    *old_calls, new_calls = count_started_within(fleet.places, 1)
    assert new_calls == 0
    assert sum(old_calls) > 0
    traffic.stop()
    assert len(traffic.failed) < traffic.answered / 10
    stored = fetch(fleet.platform_port, '/v1/objects/rollouts/docs')
    assert stored['value']['state'] == 'rolled-back'
    status = console.command('status')
    assert 'rolled-back' in status.stdout


def test_an_order_with_a_key_avoids_a_stopped_version(
    console: OperatorConsole, fleet: SmallFleet
) -> None:
    _start(console)
    new = fleet.add('ghent-a', version='v2')
    fleet.wait_until_joined()
    assert console.command('rollout', 'stop', 'docs').code == 0
    orders = [_order(new, f'order-{number}') for number in range(ORDER_COUNT)]
    assert set(orders) == {''}, orders
    assert count_started_calls(new) == 0
