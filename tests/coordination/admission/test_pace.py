"""A slow target refuses calls that another can take and runs the others."""

from typing import Any

import attrs

from daisyline.coordination.admission.pace import (
    MAX_REPORT_AGE_S,
    PROBE_TIMEOUT_S,
    SLOW_PACE_PERCENT,
)
from daisyline.coordination.admission.pace_events import (
    ProbeTarget,
    TargetPaceReported,
)
from daisyline.coordination.calls import call_events as ev
from daisyline.coordination.calls import messages as msg
from daisyline.coordination.calls.target_side import TargetSide
from daisyline.coordination.calls.target_side_handlers import (
    handle,
    offer,
    tick,
)
from daisyline.coordination.events import EventLog
from daisyline.state.failures import Reason
from daisyline.state.settings import Settings
from daisyline.state.targets import Phase, Target
from tests.builders import run_message
from tests.support import fixture, function_tests

load_tests = function_tests(__name__)

TARGET = Target('docs', 'v1', 'i-1', '10.0.0.1', 80, Phase.READY, 1, 2)


def _settings(**limits: Any) -> Settings:
    return Settings.from_tree(1, {'services': {'docs': limits}})


@fixture
def target_side() -> Any:
    """Give the target side of a node whose target reports its pace."""
    side = TargetSide.from_config('n1', 'ghent-a', EventLog.from_config())
    side.use_settings(_settings(pace_path='/health'), 0)
    side.use_target(TARGET, 0)
    yield side


def _offer(
    target_side: TargetSide, call: str, now: float, **changes: Any
) -> list[Any]:
    run = run_message(call, **{'may_move': True, **changes})
    return offer('n0', run, target_side, now)


def _started(effects: list[Any]) -> list[str]:
    return [one.call for one in effects if isinstance(one, ev.StartTargetCall)]


def _refused(effects: list[Any]) -> list[str]:
    return [
        one.message.reason
        for one in effects
        if isinstance(one, ev.SendReply)
        and isinstance(one.message, msg.CallRefused)
    ]


def test_calls_wait_for_one_probe_and_start_at_the_usual_pace(
    target_side: TargetSide,
) -> None:
    assert _offer(target_side, 'a', 0) == [ProbeTarget('/health')]
    assert _offer(target_side, 'b', 0.001) == []
    effects = handle(TargetPaceReported(100), target_side, 0.002)
    assert _started(effects) == ['a', 'b']


def test_a_slow_target_refuses_movable_calls_while_its_report_is_fresh(
    target_side: TargetSide,
) -> None:
    _offer(target_side, 'a', 0)
    slow = handle(TargetPaceReported(SLOW_PACE_PERCENT), target_side, 0.002)
    assert _refused(slow) == [Reason.SLOW]
    assert not target_side.calls
    assert _refused(_offer(target_side, 'b', 0.01)) == [Reason.SLOW]
    late = 0.002 + MAX_REPORT_AGE_S
    assert _offer(target_side, 'c', late) == [ProbeTarget('/health')]


def test_calls_that_may_not_move_or_are_bulky_start_at_a_slow_target(
    target_side: TargetSide,
) -> None:
    handle(TargetPaceReported(400), target_side, 0)
    assert _started(_offer(target_side, 'a', 0, may_move=False)) == ['a']
    assert _started(_offer(target_side, 'b', 0, accepts_slow_target=True)) == [
        'b'
    ]


def test_an_unanswered_probe_delays_calls_until_its_timeout_at_most(
    target_side: TargetSide,
) -> None:
    _offer(target_side, 'a', 0)
    assert target_side.next_at() <= PROBE_TIMEOUT_S
    assert _started(tick(target_side, PROBE_TIMEOUT_S)) == ['a']


def test_a_call_cancelled_during_a_probe_never_starts(
    target_side: TargetSide,
) -> None:
    _offer(target_side, 'a', 0)
    handle(
        ev.CallMessageReceived('n0', msg.CancelCall('a')), target_side, 0.001
    )
    assert not _started(handle(TargetPaceReported(100), target_side, 0.002))


def test_a_target_that_leaves_during_a_probe_runs_no_waiting_call(
    target_side: TargetSide,
) -> None:
    _offer(target_side, 'a', 0)
    target_side.use_target(attrs.evolve(TARGET, phase=Phase.LEAVING), 0.001)
    effects = handle(TargetPaceReported(100), target_side, 0.002)
    assert _refused(effects) == [Reason.LEAVING]


def test_a_cold_target_gets_no_more_than_its_rate_in_a_second() -> None:
    side = TargetSide.from_config('n1', 'ghent-a', EventLog.from_config())
    side.use_settings(_settings(cold_calls_per_s=3), 0)
    cold = attrs.evolve(TARGET, phase=Phase.COLD, slots=9)
    side.use_target(cold, 0)
    starts = []
    now: float = 0
    for number in range(200):
        now += 0.02
        effects = offer('n0', run_message(f'c{number}'), side, now)
        effects += tick(side, now)
        for call in _started(effects):
            starts.append(now)
            head = ev.TargetAnswerHead(call, 200, (), b'', last=True)
            more = handle(head, side, now)
            starts += [now for _ in _started(more)]
    assert len(starts) >= 9
    for first in starts:
        assert sum(first <= at < first + 1 for at in starts) <= 3
