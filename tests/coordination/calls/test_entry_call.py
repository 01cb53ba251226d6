"""Tests of the decisions that need only the state of one call."""

import itertools

from daisyline.coordination.calls.entry_call import pick_node_for_key
from daisyline.coordination.routing.policies import Candidate
from tests.support import function_tests

load_tests = function_tests(__name__)

KEYS = 200


def _targets(*weights: float) -> list[Candidate]:
    return [
        Candidate(f'n{number}', version, 'z', weight)
        for number, (version, weight) in enumerate(
            zip(itertools.cycle(('v0', 'v1')), weights, strict=False)
        )
    ]


def test_entry_nodes_with_different_ramps_pick_one_target_for_a_key() -> None:
    equal_ramps = _targets(1, 1, 1, 1)
    partial_ramps = _targets(1, 0.2, 1, 0.05)
    for number in range(KEYS):
        key = f'k{number}'
        picked = pick_node_for_key(key, equal_ramps, None, frozenset())
        assert (
            pick_node_for_key(key, partial_ramps, None, frozenset()) == picked
        )


def test_keys_follow_the_shares_of_versions() -> None:
    targets = _targets(1, 1, 1, 1)
    shares = {'v0': 0.95, 'v1': 0.05}
    picked = [
        pick_node_for_key(f'k{number}', targets, shares, frozenset())
        for number in range(KEYS)
    ]
    to_new = sum(node in {'n1', 'n3'} for node in picked)
    assert 0 < to_new < KEYS / 10
