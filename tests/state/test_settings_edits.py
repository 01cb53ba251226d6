"""Edits turn one tree into another, can be reverted and merge."""

from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from daisyline.state.settings_check import check_tree
from daisyline.state.settings_edits import (
    apply_edits,
    canonical,
    edit_conflicts,
    edits_between,
    revert_edits,
)
from tests.support import function_tests

load_tests = function_tests(__name__)

ZONES = ('ghent-a', 'ghent-b')
SERVICES = ('docs', 'shop')
LIMITS = st.fixed_dictionaries(
    {},
    optional={
        'slots_per_upstream': st.integers(1, 3),
        'queue_wait_ms': st.integers(0, 2),
    },
)
ROLLOUT = st.fixed_dictionaries(
    {
        'id': st.sampled_from('ab'),
        'old': st.just('1'),
        'new': st.sampled_from('23'),
        'finish_in_s': st.integers(1, 2),
    },
    optional={'state': st.sampled_from(('moving', 'stopped'))},
)
SERVICE = st.tuples(
    LIMITS, st.dictionaries(st.sampled_from(ZONES), LIMITS, max_size=2)
).map(lambda parts: {**parts[0], 'zones': parts[1]})
ZONE = st.tuples(st.sampled_from(('in', 'out')), LIMITS).map(
    lambda parts: {'region': 'fl', 'state': parts[0], **parts[1]}
)
TREES = st.fixed_dictionaries(
    {
        'cluster': st.just('c'),
        'zones': st.fixed_dictionaries(dict.fromkeys(ZONES, ZONE)),
    },
    optional={
        'defaults': LIMITS,
        'services': st.fixed_dictionaries(
            {'docs': SERVICE}, optional={'shop': SERVICE}
        ),
        'tenants': st.dictionaries(
            st.sampled_from('xy'),
            st.integers(1, 3).map(lambda weight: {'weight': weight}),
        ),
    },
).map(canonical)


@settings(derandomize=True, max_examples=150, deadline=None)
@given(old=TREES, new=TREES)
def test_edits_can_be_applied_and_reverted(old: Any, new: Any) -> None:
    edits = edits_between(old, new)
    assert check_tree(new) == []
    assert apply_edits(old, edits) == new
    assert revert_edits(new, edits) == old


@settings(derandomize=True, max_examples=150, deadline=None)
@given(base=TREES, ours=TREES, theirs=TREES)
def test_edits_without_a_conflict_merge_in_any_order(
    base: Any, ours: Any, theirs: Any
) -> None:
    own_edits, other_edits = (
        edits_between(base, ours),
        edits_between(base, theirs),
    )
    if not edit_conflicts(own_edits, other_edits):
        merged = apply_edits(theirs, own_edits)
        assert merged == apply_edits(ours, other_edits)


@settings(derandomize=True, max_examples=50, deadline=None)
@given(first=ROLLOUT, second=ROLLOUT)
def test_a_rollout_is_edited_as_a_whole(first: Any, second: Any) -> None:
    old = canonical({'rollouts': {'docs': first}})
    edits = edits_between(old, canonical({'rollouts': {'docs': second}}))
    assert len(edits) == int(first != second)
    assert all(edit.name == 'rollouts.docs' for edit in edits)
