"""A stand-in target behaves as its plan and faults say."""

from collections.abc import Iterator

import attrs

from standins import target_messages as msg
from standins.target_model import (
    COLD_FAILURE_S,
    CONNECT_S,
    FAILED,
    OK,
    PROBE_S,
    TIMED_OUT,
    TargetModel,
)
from standins.target_plan import TargetFaults, TargetPlan
from standins.target_records import LEAVING_GRACE_S
from tests.support import fixture, function_tests

load_tests = function_tests(__name__)


@fixture
def target() -> Iterator[TargetModel]:
    plan = TargetPlan('docs', slots=3, connections=2, cold_calls=0)
    yield TargetModel.from_plan(plan, 1)


def _arrive(target: TargetModel, token: str, **fields: object) -> list:
    call = msg.Arrived(token, token, 'GET', '/')
    return target.handle(attrs.evolve(call, **fields), 10)


def _limits(target: TargetModel) -> list[str]:
    return [entry.limit for entry in target.records.violations]


def test_a_call_is_answered_with_its_own_id(target: TargetModel) -> None:
    wait = _arrive(target, 'a')[0]
    assert wait.seconds > 0
    reply = target.handle(msg.Due('a'), 11)[0]
    assert (reply.status, reply.content['call']) == (OK, 'a')
    assert target.running == 0
    assert target.records.calls['a'].runs == 1


def test_a_call_over_the_slots_is_recorded(target: TargetModel) -> None:
    for token in 'abcd':
        _arrive(target, token)
    assert _limits(target) == ['slots']
    assert target.records.max_running == 4


def test_a_connection_over_the_bound_is_recorded(target: TargetModel) -> None:
    for number in range(3):
        target.handle(msg.Opened(number), 10)
    target.handle(msg.Closed(0), 10)
    assert _limits(target) == ['connections']
    assert target.records.counts['connections'] == 2


def test_new_connections_and_probes_delay_calls(target: TargetModel) -> None:
    target.handle(msg.Opened(1), 10)
    target.handle(msg.Probed('p'), 10)
    wait = _arrive(target, 'a')[0]
    assert wait.seconds > CONNECT_S + PROBE_S
    assert target.records.probes == 1


def test_a_deadline_ends_a_call_early(target: TargetModel) -> None:
    wait = _arrive(target, 'a', budget_ms=0)[0]
    assert wait.seconds == 0
    assert target.handle(msg.Due('a'), 11)[0].status == TIMED_OUT


def test_a_cancelled_call_is_never_answered(target: TargetModel) -> None:
    _arrive(target, 'a')
    target.handle(msg.Cancelled('a'), 10)
    assert not target.handle(msg.Due('a'), 11)
    assert target.records.calls['a'].cancelled == 1


def test_a_cold_target_fails_when_it_gets_too_much() -> None:
    plan = TargetPlan('docs', cold_calls=3, cold_bound=1)
    target = TargetModel.from_plan(plan, 1)
    assert target.phase == 'cold'
    _arrive(target, 'a')
    reply = _arrive(target, 'b')[0]
    assert reply.status == FAILED
    assert _limits(target) == ['cold']
    target.handle(msg.Due('a'), 11)
    later = msg.Arrived('c', 'c', 'GET', '/')
    wait = target.handle(later, 10 + COLD_FAILURE_S)[0]
    assert isinstance(wait, msg.Wait)


def test_a_target_warms_up_after_its_first_calls() -> None:
    plan = TargetPlan('docs', cold_calls=2, cold_factor=100)
    target = TargetModel.from_plan(plan, 1)
    waits = []
    for token in 'abc':
        waits.append(_arrive(target, token)[0].seconds)
        target.handle(msg.Due(token), 11)
    assert target.phase == 'ready'
    assert waits[2] < min(waits[:2])


def test_a_leaving_target_stops_when_idle(target: TargetModel) -> None:
    _arrive(target, 'a')
    assert not target.handle(msg.Drain(), 10)
    assert target.phase == 'leaving'
    reply, stop = target.handle(msg.Due('a'), 11)
    assert reply.status == OK
    assert isinstance(stop, msg.Stop)


def test_new_work_long_after_leaving_is_recorded(target: TargetModel) -> None:
    _arrive(target, 'a')
    target.handle(msg.Drain(), 10)
    late = msg.Arrived('b', 'b', 'GET', '/')
    target.handle(late, 10 + LEAVING_GRACE_S)
    assert not _limits(target)
    target.handle(attrs.evolve(late, token='c'), 11 + LEAVING_GRACE_S)
    assert _limits(target) == ['leaving']


def test_an_order_run_twice_is_recorded(target: TargetModel) -> None:
    for method in ('GET', 'POST'):
        for token in (1, 2):
            _arrive(target, f'{method}{token}', call_id=method, method=method)
            target.handle(msg.Due(f'{method}{token}'), 11)
    assert _limits(target) == ['twice']


def test_faults_hit_just_their_route_and_load(target: TargetModel) -> None:
    target.faults = TargetFaults(fail_fast=1, bad_route='/bad', bad_above=1)
    assert isinstance(_arrive(target, 'a', path='/bad')[0], msg.Wait)
    assert isinstance(_arrive(target, 'b', path='/good')[0], msg.Wait)
    assert _arrive(target, 'c', path='/bad')[0].status == FAILED


def test_poison_crashes_and_a_chain_calls_on(target: TargetModel) -> None:
    assert _arrive(target, 'a', path='/poison') == [msg.Crash()]
    _arrive(target, 'b', path='/chain/2')
    assert target.handle(msg.Due('b'), 11) == [msg.CallOn('b', '/chain/1')]
    reply = target.handle(msg.ChainAnswered('b', 0), 12)[0]
    assert reply.status == TIMED_OUT


def test_the_load_endpoint_lags(target: TargetModel) -> None:
    loads = []
    for now in (10, 10.5, 11):
        loads.append(target.handle(msg.Probed('p'), now)[0].content)
        _arrive(target, f'{now}')
    assert [load['running'] for load in loads] == [0, 0, 2]
