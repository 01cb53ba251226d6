"""A version on trial meets the load that it would have in full use."""

import math
import random
from collections import Counter

from daisyline.coordination.policies import Candidate
from daisyline.coordination.target_table import weight_by_share
from daisyline.coordination.version_trial import (
    BURST_LOAD_FACTOR,
    BURST_PERIOD_S,
    BURST_SHARE_FRACTION,
    BURST_TIME_FRACTION,
    VersionTrial,
    concentrate_share,
)
from tests.support import function_tests

load_tests = function_tests(__name__)

SHARE = 0.1
TARGETS = 40
BEGAN_AT = 100.0
TRIAL = VersionTrial('new', BEGAN_AT)


def _weighed(targets: int = TARGETS) -> list[Candidate]:
    known = [
        Candidate(f'{version}-{number}', version, 'z', 1)
        for version in ('old', 'new')
        for number in range(targets)
    ]
    return list(weight_by_share(known, {'new': SHARE, '': 1 - SHARE}))


def _mean_weights(weighed: list[Candidate]) -> Counter[str]:
    """Return each target's mean weight over a period."""
    steps = 300
    means: Counter[str] = Counter()
    for step in range(steps):
        now = BEGAN_AT + step * BURST_PERIOD_S / steps
        for one in concentrate_share(weighed, TRIAL, now):
            means[one.node] += one.weight / steps
    return means


def test_a_version_gets_its_share_and_few_targets_carry_it() -> None:
    means = _mean_weights(_weighed())
    new = {node: mean for node, mean in means.items() if 'new' in node}
    assert math.isclose(sum(new.values()), SHARE, rel_tol=0.02)
    assert math.isclose(sum(means.values()), 1, rel_tol=0.001)
    assert all(mean > 0 for mean in new.values())
    burst = BURST_SHARE_FRACTION * SHARE / BURST_TIME_FRACTION
    carrying = [mean for mean in new.values() if mean > SHARE / TARGETS]
    assert len(carrying) == round(burst * TARGETS / BURST_LOAD_FACTOR)


def test_a_tried_target_gets_a_multiple_of_the_usual_load_at_times() -> None:
    for targets in (3, TARGETS):
        weighed = _weighed(targets)
        usual = (1 - SHARE) / targets
        burst = concentrate_share(weighed, TRIAL, BEGAN_AT)
        heaviest = max(one.weight for one in burst if one.version == 'new')
        assert heaviest > usual


def test_entries_that_know_targets_in_another_order_try_the_same() -> None:
    weighed = _weighed()
    shuffled = random.Random(1).sample(weighed, len(weighed))
    first, second = (
        {
            one.node: one.weight
            for one in concentrate_share(order, TRIAL, BEGAN_AT)
        }
        for order in (weighed, shuffled)
    )
    assert first.keys() == second.keys()
    assert all(math.isclose(first[name], second[name]) for name in first)


def test_without_a_trial_nothing_changes() -> None:
    weighed = _weighed()
    assert concentrate_share(weighed, VersionTrial(), BEGAN_AT) is weighed
