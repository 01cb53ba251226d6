"""Tests of the event log: look-up, bounds and failing sinks."""

from daisyline.coordination.events import (
    Event,
    EventLog,
    Picked,
    Refused,
    RolloutMoved,
    ZoneChanged,
)
from tests.support import function_tests

load_tests = function_tests(__name__)


def test_events_are_found_by_call_target_zone_and_rollout() -> None:
    log = EventLog.from_config()
    picked = Picked(1, 'c1', target='t1', zone='ghent-a')
    refused = Refused(2, 'c1', target='t2', reason='overloaded')
    zone = ZoneChanged(0.5, zone='ghent-a', state='out')
    moved = RolloutMoved(3, rollout='r1', stage='done')
    for event in (picked, refused, zone, moved):
        log.add(event)
    assert log.about_call('c1') == [picked, refused]
    assert log.about_target('t1') == [picked]
    assert log.about_zone('ghent-a') == [zone, picked]
    assert log.about_rollout('r1') == [moved]


def test_events_of_calls_do_not_displace_other_events() -> None:
    log = EventLog.from_config(max_call_events=3)
    moved = RolloutMoved(0, rollout='r1', stage='rolled-back')
    log.add(moved)
    for number in range(100):
        log.add(Picked(number, f'c{number}', target='t1'))
    assert log.about_rollout('r1') == [moved]
    assert [event.call for event in log.about_target('t1')] == [
        'c97',
        'c98',
        'c99',
    ]


def test_a_failing_sink_is_counted_and_others_get_the_event() -> None:
    received: list[Event] = []

    def fail(event: Event) -> None:
        raise OSError('disk full')

    log = EventLog.from_config()
    log.add_sink(fail)
    log.add_sink(received.append)
    event = Picked(1, 'c1')
    log.add(event)
    assert received == [event]
    assert log.sink_failures == 1
    assert log.about_call('c1') == [event]
