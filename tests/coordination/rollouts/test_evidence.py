"""Nodes count calls for the judges, and judges count each call once."""

import json
from random import Random

import attrs

from daisyline.coordination.rollouts.evidence import (
    MAX_COLD_S,
    MAX_ROUTES,
    Collector,
    bucket_of,
    choose_judges,
)
from daisyline.coordination.rollouts.evidence_messages import (
    Evidence,
    EvidenceRow,
)
from daisyline.coordination.rollouts.rollout_judge import IGNORED_CRASHES, Judge
from daisyline.state.rollout_plan import RolloutPlan
from daisyline.state.rollout_state import CallSample
from tests.support import fixture, function_tests

load_tests = function_tests(__name__)

PLAN = RolloutPlan('docs', 'r1', 'v1', 'v2', 60)
CALL = CallSample('docs', 'v2', 't1', '/a', True, 1000)


@fixture
def collector():
    yield Collector.from_config('n1', Random(1))


@fixture
def judge():
    yield Judge.from_plan(PLAN)


def _evidence(seq: int, *rows: EvidenceRow, version: str = 'v2') -> Evidence:
    return Evidence('docs', 'r1', version, 'n1', 1, seq, rows)


def test_counts_are_sent_once_for_each_route(collector) -> None:
    collector.record_call(CALL, 0)
    collector.record_call(attrs.evolve(CALL, succeeded=False, route='/b'), 0)
    first = collector.take_evidence(PLAN)
    assert first.rows == (
        EvidenceRow('/a', calls=1, buckets=((bucket_of(1000), 1),)),
        EvidenceRow('/b', calls=1, failed=1),
    )
    assert not collector.has_counts
    assert collector.take_evidence(PLAN).seq == first.seq + 1


def test_evidence_survives_a_codec_that_turns_tuples_into_lists(collector):
    collector.record_call(CALL, 0)
    sent = collector.take_evidence(PLAN)
    fields = json.loads(json.dumps(attrs.astuple(sent)))
    assert Evidence(*fields) == sent


def test_calls_count_as_cold_only_for_a_limited_time(collector):
    cold = attrs.evolve(CALL, cold=True)
    collector.record_call(cold, 0)
    collector.record_call(cold, MAX_COLD_S - 1)
    collector.record_call(cold, MAX_COLD_S + 1)
    row = collector.take_evidence(PLAN).rows[0]
    assert (row.cold_calls, row.calls) == (2, 1)


def test_a_crash_counts_once_however_many_calls_it_ended(collector) -> None:
    for _ in range(9):
        collector.record_call(
            attrs.evolve(CALL, succeeded=False, target_crashed=True), 5
        )
    row = collector.take_evidence(PLAN).rows[0]
    assert (row.crashes, row.calls, row.failed) == (1, 0, 0)


def test_routes_beyond_the_limit_are_counted_together(collector) -> None:
    for number in range(3 * MAX_ROUTES):
        collector.record_call(attrs.evolve(CALL, route=f'/{number}'), 0)
    rows = collector.take_evidence(PLAN).rows
    assert len(rows) == MAX_ROUTES + 1
    assert sum(row.calls for row in rows) == 3 * MAX_ROUTES


def test_a_judge_ignores_repeated_and_overtaken_evidence(judge) -> None:
    row = EvidenceRow('/a', calls=5)
    assert judge.add(_evidence(2, row))
    assert not judge.add(_evidence(2, row))
    assert not judge.add(_evidence(1, row))
    assert judge.evaluate().seen_calls == 5


def test_crashes_that_one_poison_request_explains_are_ignored(judge) -> None:
    judge.add(_evidence(1, EvidenceRow('/a', calls=200), version='v1'))
    crashes = EvidenceRow('/a', crashes=IGNORED_CRASHES)
    judge.add(_evidence(2, crashes))
    assert judge.evaluate().e_value <= 1
    for seq in range(3, 9):
        old = EvidenceRow('/a', calls=200)
        judge.add(attrs.evolve(_evidence(seq, old, version='v1'), epoch=2))
        judge.add(_evidence(seq, EvidenceRow('/a', crashes=2)))
    assert judge.evaluate().should_roll_back


def test_losing_a_member_moves_only_the_services_it_judged() -> None:
    members = [f'n{index}' for index in range(40)]
    services = [f's{index}' for index in range(57)]
    for service in services:
        before = choose_judges(service, members)
        assert len(set(before)) == 2
        lost = next(name for name in members if name not in before)
        rest = [name for name in members if name != lost]
        assert choose_judges(service, rest) == before
