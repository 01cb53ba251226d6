"""Good versions get all calls in time, bad ones are soon rolled back."""

from random import Random

import attrs
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from bench import rollout as faults
from bench.rollout_fleet import SERVICE, TICK_S, Fleet
from daisyline.coordination.membership.fact_events import FactChanged, PutFact
from daisyline.coordination.rollouts.evidence_messages import (
    Evidence,
    EvidenceRow,
)
from daisyline.coordination.rollouts.rollout import Rollouts
from daisyline.coordination.rollouts.rollout_judge import (
    GUARDED_ALPHA,
    INCONCLUSIVE_E_VALUE,
    MIN_COMPARED_CALLS,
    Judge,
    Judgement,
)
from daisyline.coordination.rollouts.rollout_schedule import decide, settle_s
from daisyline.state.facts import Fact
from daisyline.state.rollout_plan import RolloutPlan
from daisyline.state.rollout_state import (
    FACT_KIND,
    FIRST_SHARE,
    RolloutState,
    Stage,
    fact_name_of,
)
from tests.support import fixture, function_tests

load_tests = function_tests(__name__)

RATE = 200
PLAN = RolloutPlan(SERVICE, 'r1', 'v1', 'v2', 60)


@fixture
def rollout_fleet():
    yield Fleet.from_config(3, RATE, finish_in_s=60)


def _rollout_states(fleet: Fleet) -> set[str]:
    return {node.status()[0].state for node in fleet.nodes.values()}


def test_a_good_version_has_all_calls_by_the_set_time(
    rollout_fleet: Fleet,
) -> None:
    fleet = rollout_fleet
    fleet.run(faults.no_fault, 60)
    assert fleet.last_status[:2] == ('done', 1)
    assert fleet.now <= fleet.plan.finish_in_s
    assert fleet.nodes['node-0'].shares(SERVICE) == {'v1': 0, 'v2': 1}


def test_a_failing_version_is_stopped_everywhere_without_platform(
    rollout_fleet: Fleet,
) -> None:
    fleet = rollout_fleet
    fleet.platform.is_down = True
    fleet.run(faults.fail_calls(1), 5)
    assert fleet.calls_to_new <= 40
    for _ in range(int(1 / TICK_S)):
        fleet.step(faults.fail_calls(1))
    assert _rollout_states(fleet) == {'rolled-back'}
    assert all(
        node.is_rolled_back(SERVICE, 'v2') for node in fleet.nodes.values()
    )
    assert not any(
        node.is_rolled_back(SERVICE, 'v1') for node in fleet.nodes.values()
    )
    exposed = fleet.calls_to_new
    for _ in range(50):
        fleet.step(faults.no_fault)
    assert fleet.calls_to_new == exposed
    fleet.platform.is_down = False
    for _ in range(int(40 / TICK_S)):
        fleet.step(faults.no_fault)
    assert fleet.platform.stored[SERVICE][1]['state'] == 'rolled-back'
    assert fleet.platform.stored[SERVICE][1]['share'] == 0


def test_the_share_stays_small_until_enough_calls_were_compared(
    rollout_fleet: Fleet,
) -> None:
    fleet = rollout_fleet
    while fleet.calls_to_new < 50:
        fleet.step(faults.no_fault)
        assert fleet.last_status[1] <= FIRST_SHARE
        assert fleet.now < fleet.plan.finish_in_s


def test_one_slow_route_rolls_a_version_back(
    rollout_fleet: Fleet,
) -> None:
    fleet = rollout_fleet

    def on_one_route(call: faults.Call) -> bool:
        return call.route == '/price'

    fleet.run(faults.when(on_one_route, faults.slow_calls(3)), 60)
    assert fleet.last_status[0] == 'rolled-back'
    assert fleet.last_status[2].startswith('/price: ')


def test_a_version_that_turns_bad_late_is_stopped_soon(
    rollout_fleet: Fleet,
) -> None:
    fleet = rollout_fleet

    def is_late(call: faults.Call) -> bool:
        return call.now >= 50

    fleet.run(faults.when(is_late, faults.fail_calls(0.2)), 56)
    assert fleet.last_status[0] == 'rolled-back'


def test_cold_targets_poison_and_a_noisy_host_cause_no_rollback() -> None:
    for fault in (
        faults.cold_start,
        faults.poison_requests(),
        faults.when(faults.is_beside_noisy_neighbour, faults.slow_calls(3)),
        faults.when(faults.is_beside_noisy_neighbour, faults.fail_calls(1)),
    ):
        fleet = Fleet.from_config(4, RATE, finish_in_s=60)
        fleet.run(fault, 60)
        assert fleet.last_status[0] == 'done'


def test_with_few_calls_a_version_still_finishes_in_time() -> None:
    fleet = Fleet.from_config(3, rate=2, finish_in_s=60)
    fleet.run(faults.no_fault, 60)
    assert fleet.last_status[:2] == ('done', 1)
    assert 'calls compared' in fleet.last_status[2]


def test_a_version_that_never_answered_is_not_done(
    rollout_fleet: Fleet,
) -> None:
    fleet = rollout_fleet
    fleet.rate = 0
    fleet.run(faults.no_fault, 100)
    assert fleet.last_status[:2] == ('moving', FIRST_SHARE)


def test_a_new_judge_ends_a_rollout_without_further_calls(
    rollout_fleet: Fleet,
) -> None:
    fleet = rollout_fleet
    step_two = RolloutState(Stage.MOVING, 2, 0.25, 20_000)
    fleet.broadcast_state(step_two)
    fleet.rate = 0
    fleet.run(faults.no_fault, 60)
    assert fleet.last_status[0] == 'done'


def test_lost_answers_and_two_judges_leave_one_record(
    rollout_fleet: Fleet,
) -> None:
    fleet = rollout_fleet
    fleet.platform.loses_replies = True
    fleet.run(faults.no_fault, 60)
    for _ in range(int(40 / TICK_S)):
        fleet.step(faults.no_fault)
    assert fleet.platform.stored[SERVICE][1]['state'] == 'done'
    # Each of the six changes is written by one judge. If both write at once,
    # the platform refuses one of the writes.
    assert fleet.platform.writes <= 7


def test_restarted_and_paused_judges_reach_one_outcome(
    rollout_fleet: Fleet,
) -> None:
    fleet = rollout_fleet
    names = list(fleet.nodes)
    for _ in range(int(20 / TICK_S)):
        fleet.step(faults.no_fault)
    share = fleet.last_status[1]
    paused, restarted = fleet.evidence_receivers
    fleet.paused_nodes.add(paused)
    restarted_node = Rollouts.from_config(restarted, Random(9), fleet.now)
    restarted_node.replace_members(names)
    restarted_node.replace_plans({SERVICE: fleet.plan}, fleet.now)
    fleet.nodes[restarted] = restarted_node
    for _ in range(int(10 / TICK_S)):
        fleet.step(faults.no_fault)
    assert fleet.last_status[1] >= share
    for _ in range(int(20 / TICK_S)):
        fleet.step(faults.fail_calls(0.3))
    assert fleet.last_status[0] == 'rolled-back'
    fleet.paused_nodes.clear()
    for _ in range(int(5 / TICK_S)):
        fleet.step(faults.no_fault)
    assert _rollout_states(fleet) == {'rolled-back'}


def test_a_rollout_stopped_by_operators_stays_rolled_back(
    rollout_fleet: Fleet,
) -> None:
    fleet = rollout_fleet
    node = fleet.nodes['node-0']
    stopped = RolloutPlan(SERVICE, 'r1', 'v1', 'v2', 60, 'stopped')
    puts = node.replace_plans({SERVICE: stopped}, 1)
    node.replace_plans({SERVICE: PLAN}, 2)
    assert node.is_rolled_back(SERVICE, 'v2')
    other = fleet.nodes['node-1']
    other.handle(FactChanged(puts[0].fact), 2)
    assert other.shares(SERVICE) == {'v1': 1, 'v2': 0}


def test_a_fleet_without_facts_reads_the_verdict_from_the_platform() -> None:
    first = Fleet.from_config(3, RATE, finish_in_s=60)
    first.run(faults.fail_calls(1), 20)
    for _ in range(50):
        first.step(faults.no_fault)
    second = Fleet.from_config(4, RATE, finish_in_s=60)
    second.platform = first.platform
    second.run(faults.no_fault, 5)
    assert second.last_status[0] == 'rolled-back'


def test_a_malformed_fact_changes_nothing() -> None:
    node = Rollouts.from_config('n', Random(1), 0)
    node.replace_plans({SERVICE: PLAN}, 0)
    name = fact_name_of(PLAN)
    malformed = {
        0: [('moving', 0, 'all', 0, '', 0)],
        10**13: [(), ('done',), ('odd', 1, 1, 1, ''), (1,) * 9],
        10**15: [('moving', 10**9, 0, 0, '')],
    }
    facts = [
        Fact(FACT_KIND, name, rank, payload)
        for rank, payloads in malformed.items()
        for payload in payloads
    ]
    for fact in facts:
        node.handle(FactChanged(fact), 0)
    assert node.shares(SERVICE) == {'v2': FIRST_SHARE, 'v1': 1 - FIRST_SHARE}
    verdict = RolloutState(Stage.ROLLED_BACK, 0, 0).to_fact(name)
    node.handle(FactChanged(verdict), 0)
    assert node.is_rolled_back(SERVICE, 'v2')


def _facts_put(node: Rollouts, now: float) -> list[PutFact]:
    return [put for put in node.tick(now) if isinstance(put, PutFact)]


def test_a_new_or_paused_judge_settles_before_its_next_step() -> None:
    node = Rollouts.from_config('n', Random(1), 0)
    node.replace_plans({SERVICE: PLAN}, 0)
    late = RolloutState(Stage.MOVING, 2, 0.25, 55_000).to_fact(
        fact_name_of(PLAN)
    )
    node.handle(FactChanged(late), 0)
    settle = settle_s(PLAN)
    assert not _facts_put(node, 0)
    assert not _facts_put(node, settle - 0.1)
    assert len(_facts_put(node, settle + 0.5)) == 1
    # The judge is paused for so long that the next steps are due.
    resumed = 100
    assert not _facts_put(node, resumed)
    assert not _facts_put(node, resumed + settle - 0.1)
    assert len(_facts_put(node, resumed + settle + 0.5)) == 1


class _GossipMachine(RuleBasedStateMachine):
    """Facts reach nodes late, repeated or out of order; nodes restart."""

    def __init__(self) -> None:
        super().__init__()
        self.facts = [RolloutState().to_fact(fact_name_of(PLAN))]
        self.nodes = {name: self._new_node(name) for name in 'abc'}
        self.last_position = dict.fromkeys('abc', (0, 0, 0))

    @rule(stage=st.sampled_from(Stage), step=st.integers(0, 5))
    def decide(self, stage: Stage, step: int) -> None:
        share = {Stage.DONE: 1, Stage.ROLLED_BACK: 0}
        state = RolloutState(stage, step, share.get(stage, 0.05 + step / 10))
        self.facts.append(state.to_fact(fact_name_of(PLAN)))

    @rule(name=st.sampled_from('abc'), index=st.integers(0, 99))
    def deliver(self, name: str, index: int) -> None:
        fact = self.facts[index % len(self.facts)]
        self.nodes[name].handle(FactChanged(fact), 0)

    @rule(name=st.sampled_from('abc'))
    def restart(self, name: str) -> None:
        self.nodes[name] = self._new_node(name)
        self.last_position[name] = (0, 0)

    @invariant()
    def stage_and_share_never_go_back(self) -> None:
        for name, node in self.nodes.items():
            position = self._stage_and_share(name)
            assert position >= tuple(self.last_position[name])[:2]
            self.last_position[name] = position
            assert sum(node.shares(SERVICE).values()) == 1
            assert node.is_rolled_back(SERVICE, 'v2') == (
                position[0] == Stage.ROLLED_BACK.order
            )

    def teardown(self) -> None:
        for name in self.nodes:
            for fact in self.facts:
                self.nodes[name].handle(FactChanged(fact), 0)
        assert len({self._stage_and_share(name) for name in self.nodes}) == 1

    def _new_node(self, name: str) -> Rollouts:
        node = Rollouts.from_config(name, Random(name), 0)
        node.replace_plans({SERVICE: PLAN}, 0)
        return node

    def _stage_and_share(self, name: str) -> tuple[int, float]:
        status = self.nodes[name].status()[0]
        share = status.share if status.state == 'moving' else 0
        return (Stage(status.state).order, share)


def test_a_rollout_never_goes_back_and_all_nodes_converge() -> None:
    run_state_machine_as_test(
        _GossipMachine,
        settings=settings(
            derandomize=True, max_examples=60, stateful_step_count=25
        ),
    )


GUARDED = attrs.evolve(PLAN, old='', finish_in_s=12, exposed_percent=10)


def _decide_guarded(
    judgement: Judgement, elapsed_s: float
) -> RolloutState | None:
    state = RolloutState(Stage.MOVING, 1, 0.1)
    return decide(
        GUARDED, state, judgement, elapsed_s, judgement.compared_calls
    )


def test_a_guarded_rollout_never_exceeds_its_share_before_the_verdict() -> None:
    clear = Judgement(e_value=0, seen_calls=500, compared_calls=500)
    for tenths in range(1, 108):
        assert _decide_guarded(clear, tenths / 10) is None
    done = _decide_guarded(clear, 10.8)
    assert done is not None
    assert done.stage is Stage.DONE


def test_a_guarded_rollout_without_enough_evidence_is_rolled_back() -> None:
    for judgement in (
        Judgement(
            e_value=INCONCLUSIVE_E_VALUE, seen_calls=500, compared_calls=500
        ),
        Judgement(
            e_value=0, seen_calls=500, compared_calls=MIN_COMPARED_CALLS - 1
        ),
    ):
        assert _decide_guarded(judgement, 10) is None
        ended = _decide_guarded(judgement, 10.8)
        assert ended is not None
        assert ended.stage is Stage.ROLLED_BACK


def test_a_guarded_rollout_is_rolled_back_on_less_evidence() -> None:
    limit = 1 / GUARDED_ALPHA
    judgement = Judgement(
        e_value=limit, seen_calls=50, compared_calls=50, rollback_limit=limit
    )
    ended = _decide_guarded(judgement, 3)
    assert ended is not None
    assert ended.stage is Stage.ROLLED_BACK


def _e_value_with_one_bad_target(plan: RolloutPlan) -> float:
    """Return the e-value against a version with one bad target of two."""
    judge = Judge.from_plan(plan)
    e_value: float = 0
    for seq in range(1, 13):
        for version, target, calls, failed in (
            ('v1', 'old', 60, 1),
            ('v2', 'good', 3, 0),
            ('v2', 'bad', 3, 2),
        ):
            row = EvidenceRow('GET /', calls, failed, 0, 0, 0, ())
            judge.add(
                Evidence(SERVICE, plan.id, version, target, 1, seq, (row,))
            )
        e_value = judge.evaluate().e_value
    return e_value


def test_one_bad_target_of_two_rolls_back_only_a_guarded_rollout() -> None:
    whole = attrs.evolve(GUARDED, exposed_percent=100)
    assert _e_value_with_one_bad_target(GUARDED) >= 1 / GUARDED_ALPHA
    assert _e_value_with_one_bad_target(whole) < 1 / GUARDED_ALPHA
