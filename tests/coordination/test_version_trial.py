"""A version on trial meets the load that it would have in full use."""

import math
import random
from collections import Counter

from daisyline.coordination.policies import Candidate
from daisyline.coordination.target_table import by_share
from daisyline.coordination.version_trial import (
    LOAD_FACTOR,
    TRIED_PART,
    concentrate,
)
from tests.support import function_tests

load_tests = function_tests(__name__)

SHARE = 0.1
TARGETS = 40
CALLS = 20_000


def _weighed() -> list[Candidate]:
    known = [
        Candidate(f'{version}-{number}', version, 'z', 1)
        for version in ('old', 'new')
        for number in range(TARGETS)
    ]
    return list(by_share(known, {'new': SHARE, '': 1 - SHARE}))


def test_the_share_of_a_version_stays_and_few_targets_carry_it() -> None:
    weighed = concentrate(_weighed(), 'new')
    picked = Counter(
        one.node
        for one in random.Random(1).choices(
            weighed, [one.weight for one in weighed], k=CALLS
        )
    )
    new = {node: count for node, count in picked.items() if 'new' in node}
    assert math.isclose(sum(new.values()), CALLS * SHARE, rel_tol=0.1)
    # Others still get some calls.
    assert len(new) == TARGETS
    usual = CALLS * (1 - SHARE) / TARGETS
    busy = [count for count in new.values() if count > usual]
    assert len(busy) == round(SHARE * TARGETS / LOAD_FACTOR)
    assert min(busy) > usual * LOAD_FACTOR * TRIED_PART * 0.9


def test_entries_that_know_targets_in_another_order_try_the_same() -> None:
    weighed = _weighed()
    shuffled = random.Random(1).sample(weighed, len(weighed))
    first = {one.node: one.weight for one in concentrate(weighed, 'new')}
    second = {one.node: one.weight for one in concentrate(shuffled, 'new')}
    assert first.keys() == second.keys()
    assert all(math.isclose(first[name], second[name]) for name in first)


def test_without_a_trial_nothing_changes() -> None:
    weighed = _weighed()
    assert concentrate(weighed, '') is weighed
