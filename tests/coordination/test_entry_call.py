"""What follows from a call at its entry alone."""

import itertools

from daisyline.coordination.entry_call import pick_node_for_key
from daisyline.coordination.policies import Candidate
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


def test_entries_whose_ramps_differ_send_a_key_to_one_target() -> None:
    met_together = _targets(1, 1, 1, 1)
    met_later = _targets(1, 0.2, 1, 0.05)
    for number in range(KEYS):
        key = f'k{number}'
        picked = pick_node_for_key(key, met_together, None, frozenset())
        assert pick_node_for_key(key, met_later, None, frozenset()) == picked


def test_keys_follow_the_shares_of_versions() -> None:
    targets = _targets(1, 1, 1, 1)
    shares = {'v0': 0.95, 'v1': 0.05}
    picked = [
        pick_node_for_key(f'k{number}', targets, shares, frozenset())
        for number in range(KEYS)
    ]
    to_new = sum(node in {'n1', 'n3'} for node in picked)
    assert 0 < to_new < KEYS / 10
