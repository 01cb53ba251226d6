"""A zone is taken out of service and brought back while calls run."""

import signal
import time

from tests.fixtures import Place, SmallFleet, fetch, wait_until
from tests.journeys.rig import (
    OperatorConsole,
    Traffic,
    count_started_calls,
    count_started_within,
)
from tests.support import function_tests

load_tests = function_tests(__name__)

# Much longer than the second in which the first share is counted.
ZONE_RETURN_MS = 6000
SETTLE_S = 0.5
LEAVE_TIMEOUT_S = 8.0


def test_a_zone_that_is_out_gets_no_new_calls_and_returns_gradually(
    console: OperatorConsole, fleet: SmallFleet, traffic: Traffic
) -> None:
    console.set_defaults(zone_return_ms=ZONE_RETURN_MS)
    assert min(count_started_within(fleet.places, 1)) > 0
    result = console.command('zone', 'out', 'ghent-b')
    assert result.code == 0, result
    assert 'In force on all 2 nodes' in result.stderr
    # Calls in progress may still end there, within their limit of 3 s.
    time.sleep(SETTLE_S)
    in_calls, out_calls = count_started_within(fleet.places, 1)
    assert out_calls == 0
    assert in_calls > 0
    ordered_at = time.monotonic()
    assert console.command('zone', 'in', 'ghent-b').code == 0
    wait_until(lambda: _has_run_for(fleet.places[-1], ordered_at, 1))
    assert _first_second_percent(fleet.places, ordered_at) < 30
    # Its load reports and concurrency limit recover later than its weight.
    wait_until(lambda: _calls_percent_of_last(fleet) >= 40)
    traffic.stop()
    assert not traffic.failed, traffic.failed[:3]
    explanation = console.command('explain', 'zone', 'ghent-b', '--json')
    assert explanation.code == 0


def _start_times(place: Place, since: float) -> list[float]:
    """Return when the calls of a target started after a time, in order."""
    records = fetch(place.control_port, '/control/calls')['calls'].values()
    times = (record['started_at'] for record in records)
    return sorted(at for at in times if at > since)


def _has_run_for(place: Place, since: float, seconds: float) -> bool:
    """Return whether a target has run calls over a number of seconds."""
    times = _start_times(place, since)
    return bool(times) and times[-1] - times[0] > seconds


def _first_second_percent(places: list[Place], since: float) -> int:
    """Return the last target's share in the second after its first call.

    The second starts with that call, and not when the command ends: beside
    other processes the command may see a change seconds after it took effect.
    """
    times = [_start_times(place, since) for place in places]
    end = times[-1][0] + 1
    counts = [
        sum(times[-1][0] <= at < end for at in of_target) for of_target in times
    ]
    return 100 * counts[-1] // sum(counts)


def _calls_percent_of_last(fleet: SmallFleet) -> int:
    counts = count_started_within(fleet.places, 1)
    return 100 * counts[-1] // sum(counts)


def test_a_leaving_target_gets_no_new_calls_and_aborts_none(
    fleet: SmallFleet, traffic: Traffic
) -> None:
    leaving = fleet.places[1]
    assert leaving.target is not None
    wait_until(lambda: count_started_calls(leaving))
    leaving.target.signal(signal.SIGTERM)
    records = fetch(leaving.control_port, '/control/calls')
    deadline = time.monotonic() + LEAVE_TIMEOUT_S
    while leaving.target.popen.poll() is None and time.monotonic() < deadline:
        try:
            records = fetch(leaving.control_port, '/control/calls')
        except OSError:
            break
        time.sleep(0.1)
    assert not records['violations']
    assert leaving.target.popen.wait(LEAVE_TIMEOUT_S) == 0
    assert records['counts']['cancelled_calls'] == 0
    assert count_started_within(fleet.places[:1], 0.5)[0] > 0
    traffic.stop()
    assert not traffic.failed, traffic.failed[:3]
