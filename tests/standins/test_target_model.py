"""Tests of a stand-in target's model with its plan and faults."""

from collections.abc import Iterator

import attrs

from standins import target_messages as msg
from standins.target_model import (
    COLD_FAILURE_S,
    CONNECT_COST_S,
    FAILED,
    OK,
    PROBE_COST_S,
    TIMED_OUT,
    TargetModel,
)
from standins.target_plan import TargetFaults, TargetPlan
from standins.target_records import LEAVING_GRACE_S
from tests.support import fixture, function_tests

load_tests = function_tests(__name__)


@fixture
def target_model() -> Iterator[TargetModel]:
    plan = TargetPlan('docs', slots=3, connections=2, cold_calls=0)
    yield TargetModel.from_plan(plan, 1)


def _arrive(target_model: TargetModel, token: str, **fields: object) -> list:
    call = msg.CallReceived(token, token, 'GET', '/')
    return target_model.handle(attrs.evolve(call, **fields), 10)


def _limits(target_model: TargetModel) -> list[str]:
    return [entry.limit for entry in target_model.records.violations]


def test_a_call_is_answered_with_its_own_id(target_model: TargetModel) -> None:
    wait = _arrive(target_model, 'a')[0]
    assert wait.seconds > 0
    reply = target_model.handle(msg.WaitEnded('a'), 11)[0]
    assert (reply.status, reply.content['call']) == (OK, 'a')
    assert target_model.running == 0
    assert target_model.records.calls['a'].runs == 1


def test_a_call_over_the_slots_is_recorded(target_model: TargetModel) -> None:
    for token in 'abcd':
        _arrive(target_model, token)
    assert _limits(target_model) == ['slots']
    assert target_model.records.max_running == 4


def test_a_connection_over_the_bound_is_recorded(
    target_model: TargetModel,
) -> None:
    for number in range(3):
        target_model.handle(msg.ConnectionOpened(number), 10)
    target_model.handle(msg.ConnectionClosed(0), 10)
    assert _limits(target_model) == ['connections']
    assert target_model.records.counts['connections'] == 2


def test_new_connections_and_probes_delay_calls(
    target_model: TargetModel,
) -> None:
    idle = TargetModel.from_plan(target_model.plan, 1)
    target_model.handle(msg.ConnectionOpened(1), 10)
    target_model.handle(msg.LoadRequested('p'), 10)
    busy_s = _arrive(target_model, 'a')[0].seconds
    idle_s = _arrive(idle, 'a')[0].seconds
    assert round(busy_s - idle_s, 6) == CONNECT_COST_S + PROBE_COST_S
    assert target_model.records.probes == 1


def test_a_deadline_ends_a_call_early(target_model: TargetModel) -> None:
    wait = _arrive(target_model, 'a', budget_ms=0)[0]
    assert wait.seconds == 0
    assert target_model.handle(msg.WaitEnded('a'), 11)[0].status == TIMED_OUT


def test_a_cancelled_call_is_never_answered(target_model: TargetModel) -> None:
    _arrive(target_model, 'a')
    target_model.handle(msg.CallCancelled('a'), 10)
    assert not target_model.handle(msg.WaitEnded('a'), 11)
    assert target_model.records.calls['a'].cancelled == 1


def test_a_cold_target_fails_above_its_bound() -> None:
    plan = TargetPlan('docs', cold_calls=3, cold_bound=1)
    target = TargetModel.from_plan(plan, 1)
    assert target.phase == 'cold'
    _arrive(target, 'a')
    reply = _arrive(target, 'b')[0]
    assert reply.status == FAILED
    assert _limits(target) == ['cold']
    target.handle(msg.WaitEnded('a'), 11)
    later = msg.CallReceived('c', 'c', 'GET', '/')
    wait = target.handle(later, 10 + COLD_FAILURE_S)[0]
    assert isinstance(wait, msg.Wait)


def test_a_target_warms_up_after_its_first_calls() -> None:
    plan = TargetPlan('docs', cold_calls=2, cold_factor=100)
    target = TargetModel.from_plan(plan, 1)
    waits = []
    for token in 'abc':
        waits.append(_arrive(target, token)[0].seconds)
        target.handle(msg.WaitEnded(token), 11)
    assert target.phase == 'ready'
    assert waits[2] < min(waits[:2])


def test_a_leaving_target_stops_when_idle(target_model: TargetModel) -> None:
    _arrive(target_model, 'a')
    assert not target_model.handle(msg.Drain(), 10)
    assert target_model.phase == 'leaving'
    reply, stop = target_model.handle(msg.WaitEnded('a'), 11)
    assert reply.status == OK
    assert isinstance(stop, msg.Stop)


def test_new_work_long_after_leaving_is_recorded(
    target_model: TargetModel,
) -> None:
    _arrive(target_model, 'a')
    target_model.handle(msg.Drain(), 10)
    late = msg.CallReceived('b', 'b', 'GET', '/')
    target_model.handle(late, 10 + LEAVING_GRACE_S)
    assert not _limits(target_model)
    target_model.handle(attrs.evolve(late, token='c'), 11 + LEAVING_GRACE_S)
    assert _limits(target_model) == ['leaving']


def test_an_order_run_twice_is_recorded(target_model: TargetModel) -> None:
    for method in ('GET', 'POST'):
        for token in (1, 2):
            _arrive(
                target_model, f'{method}{token}', call_id=method, method=method
            )
            target_model.handle(msg.WaitEnded(f'{method}{token}'), 11)
    assert _limits(target_model) == ['twice']


def test_faults_apply_only_to_their_route_and_load(
    target_model: TargetModel,
) -> None:
    target_model.faults = TargetFaults(
        fail_fast=1, bad_route='/bad', bad_above=1
    )
    assert isinstance(_arrive(target_model, 'a', path='/bad')[0], msg.Wait)
    assert isinstance(_arrive(target_model, 'b', path='/good')[0], msg.Wait)
    assert _arrive(target_model, 'c', path='/bad')[0].status == FAILED


def test_poison_crashes_and_a_chain_calls_a_service(
    target_model: TargetModel,
) -> None:
    assert _arrive(target_model, 'a', path='/poison') == [msg.Crash()]
    _arrive(target_model, 'b', path='/chain/2')
    assert target_model.handle(msg.WaitEnded('b'), 11) == [
        msg.CallService('b', '/chain/1')
    ]
    reply = target_model.handle(msg.ChainedCallEnded('b', 0), 12)[0]
    assert reply.status == TIMED_OUT


def test_the_load_endpoint_lags(target_model: TargetModel) -> None:
    loads = []
    for now in (10, 10.5, 11):
        loads.append(
            target_model.handle(msg.LoadRequested('p'), now)[0].content
        )
        _arrive(target_model, f'{now}')
    assert [load['running'] for load in loads] == [0, 0, 2]
