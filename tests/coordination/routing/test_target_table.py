"""Targets that have left are not used again after a node restarts."""

import random

import attrs

from daisyline.coordination.routing.target_table import (
    MAX_LEFT_TARGETS,
    TargetTable,
)
from daisyline.state.members import Member
from daisyline.state.targets import Phase, Target
from tests.support import function_tests

load_tests = function_tests(__name__)

TARGET = Target('docs', 'v1', 'i-1', '10.0.0.1', 80, Phase.READY, 1000, 9)
LEAVING = attrs.evolve(TARGET, phase=Phase.LEAVING)


def _member(target: Target, incarnation: int = 1) -> Member:
    return Member(
        'n1',
        '10.0.0.1',
        7400,
        'ghent-a',
        'flanders',
        incarnation,
        target=target,
    )


def _weights(table: TargetTable, now: float) -> list[float]:
    return [one.weight for one in table.candidates('docs', now)]


def test_a_target_that_left_stays_out_after_its_node_restarted() -> None:
    table = TargetTable()
    table.use_members([_member(TARGET)], 0)
    assert _weights(table, 0) == [1]
    table.use_members([_member(LEAVING)], 1)
    assert _weights(table, 1) == [0]
    # The restarted node knows only a late announcement of its target.
    table.use_members([], 2)
    table.use_members([_member(TARGET, incarnation=2)], 3)
    assert _weights(table, 3) == [0]


def test_a_new_start_of_a_target_that_left_is_used() -> None:
    table = TargetTable()
    table.use_members([_member(LEAVING)], 0)
    restarted = attrs.evolve(TARGET, started_ms=2000)
    table.use_members([_member(restarted)], 1)
    assert _weights(table, 10)[0] > 0


def test_the_number_of_remembered_targets_is_bounded() -> None:
    table = TargetTable()
    for number in range(MAX_LEFT_TARGETS + 1):
        left = attrs.evolve(LEAVING, instance=f'i-{number}')
        table.use_members([_member(left)], number)
    assert len(table._left) == MAX_LEFT_TARGETS


def test_changes_one_by_one_lead_to_the_same_candidates() -> None:
    rng = random.Random(1)
    whole, by_changes = TargetTable(), TargetTable()
    members: dict[str, Member] = {}
    for now in range(200):
        name = f'n{rng.randrange(12)}'
        removed = [name] if rng.randrange(3) == 0 else []
        changed = []
        if removed:
            members.pop(name, None)
        else:
            phase = rng.choice(list(Phase))
            target = attrs.evolve(TARGET, phase=phase, instance=f'i-{now}')
            members[name] = attrs.evolve(_member(target), name=name)
            changed.append(members[name])
        whole.use_members(members.values(), now)
        by_changes.update_members(changed, removed, now)
        assert set(whole.candidates('docs', now)) == set(
            by_changes.candidates('docs', now)
        )
