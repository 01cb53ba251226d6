"""A slow target sends calls on that may go elsewhere, and keeps the rest."""

from typing import Any

import attrs

from daisyline.coordination import call_events as ev
from daisyline.coordination import messages as msg
from daisyline.coordination.events import EventLog
from daisyline.coordination.owner import Owner
from daisyline.coordination.owner_events import handle, offer, tick
from daisyline.coordination.pace import ANSWER_S, FRESH_S, SLOW_PERCENT
from daisyline.coordination.pace_events import ProbeTarget, TargetPaced
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
def paced_owner() -> Any:
    """Give the node's side of a target that says how fast it works."""
    side = Owner.from_config('n1', 'ghent-a', EventLog.from_config())
    side.use_settings(_settings(pace_path='/health'), 0)
    side.use_target(TARGET, 0)
    yield side


def _offer(
    paced_owner: Owner, call: str, now: float, **changes: Any
) -> list[Any]:
    run = run_message(call, **{'may_move': True, **changes})
    return offer('n0', run, paced_owner, now)


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
    paced_owner: Owner,
) -> None:
    assert _offer(paced_owner, 'a', 0) == [ProbeTarget('/health')]
    assert _offer(paced_owner, 'b', 0.001) == []
    effects = handle(TargetPaced(100), paced_owner, 0.002)
    assert _started(effects) == ['a', 'b']


def test_a_slow_target_sends_calls_on_at_once_while_its_word_is_fresh(
    paced_owner: Owner,
) -> None:
    _offer(paced_owner, 'a', 0)
    slow = handle(TargetPaced(SLOW_PERCENT), paced_owner, 0.002)
    assert _refused(slow) == [Reason.SLOW]
    assert not paced_owner.jobs
    assert _refused(_offer(paced_owner, 'b', 0.01)) == [Reason.SLOW]
    late = 0.002 + FRESH_S
    assert _offer(paced_owner, 'c', late) == [ProbeTarget('/health')]


def test_calls_that_may_not_move_or_are_bulky_start_at_a_slow_target(
    paced_owner: Owner,
) -> None:
    handle(TargetPaced(400), paced_owner, 0)
    assert _started(_offer(paced_owner, 'a', 0, may_move=False)) == ['a']
    assert _started(_offer(paced_owner, 'b', 0, accepts_slow_target=True)) == [
        'b'
    ]


def test_a_target_that_doesnt_answer_holds_no_call_up(
    paced_owner: Owner,
) -> None:
    _offer(paced_owner, 'a', 0)
    assert paced_owner.next_at() <= ANSWER_S
    assert _started(tick(paced_owner, ANSWER_S)) == ['a']


def test_a_call_that_was_cancelled_meanwhile_never_starts(
    paced_owner: Owner,
) -> None:
    _offer(paced_owner, 'a', 0)
    handle(
        ev.CallMessageReceived('n0', msg.CancelCall('a')), paced_owner, 0.001
    )
    assert not _started(handle(TargetPaced(100), paced_owner, 0.002))


def test_a_target_that_leaves_meanwhile_runs_none_of_them(
    paced_owner: Owner,
) -> None:
    _offer(paced_owner, 'a', 0)
    paced_owner.use_target(attrs.evolve(TARGET, phase=Phase.LEAVING), 0.001)
    effects = handle(TargetPaced(100), paced_owner, 0.002)
    assert _refused(effects) == [Reason.LEAVING]


def test_a_cold_target_gets_no_more_than_its_rate_in_a_second() -> None:
    side = Owner.from_config('n1', 'ghent-a', EventLog.from_config())
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
