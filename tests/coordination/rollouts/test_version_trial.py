"""Tests that a version on trial gets bursts of the load of full use."""

import math
import random
from collections import Counter

from daisyline.coordination.rollouts.version_trial import (
    BURST_LOAD_FACTOR,
    BURST_PERIOD_S,
    BURST_SHARE_FRACTION,
    BURST_TIME_FRACTION,
    VersionTrial,
    concentrate_share,
)
from daisyline.coordination.routing.policies import Candidate
from daisyline.coordination.routing.target_table import weight_by_share
from tests.support import function_tests

load_tests = function_tests(__name__)

SHARE = 0.1
TARGETS = 40
STARTED_AT = 100.0
TRIAL = VersionTrial('new', STARTED_AT)


def _weighted(targets: int = TARGETS, share: float = SHARE) -> list[Candidate]:
    known = [
        Candidate(f'{version}-{number}', version, 'z', 1)
        for version in ('old', 'new')
        for number in range(targets)
    ]
    return list(weight_by_share(known, {'new': share, '': 1 - share}))


def _mean_weights(weighted: list[Candidate]) -> Counter[str]:
    """Return each target's mean weight over a period."""
    steps = 3000
    means: Counter[str] = Counter()
    for step in range(steps):
        now = STARTED_AT + step * BURST_PERIOD_S / steps
        for one in concentrate_share(weighted, TRIAL, now):
            means[one.node] += one.weight / steps
    return means


def test_a_version_gets_its_share_at_few_targets() -> None:
    means = _mean_weights(_weighted())
    new = {node: mean for node, mean in means.items() if 'new' in node}
    assert math.isclose(sum(new.values()), SHARE, rel_tol=0.02)
    assert math.isclose(sum(means.values()), 1, rel_tol=0.001)
    assert all(mean > 0 for mean in new.values())
    burst = BURST_SHARE_FRACTION * SHARE / BURST_TIME_FRACTION
    loaded = [mean for mean in new.values() if mean > SHARE / TARGETS]
    assert len(loaded) == round(burst * TARGETS / BURST_LOAD_FACTOR)


def test_a_loaded_target_exceeds_the_usual_load_in_a_burst() -> None:
    for targets in (3, TARGETS):
        weighted = _weighted(targets)
        usual = (1 - SHARE) / targets
        burst = concentrate_share(weighted, TRIAL, STARTED_AT)
        heaviest = max(one.weight for one in burst if one.version == 'new')
        assert heaviest > usual


def test_a_burst_has_its_load_in_a_small_service_too() -> None:
    for targets in (5, TARGETS):
        usual = (1 - SHARE) / targets
        burst = concentrate_share(_weighted(targets), TRIAL, STARTED_AT)
        heaviest = max(one.weight for one in burst if one.version == 'new')
        assert heaviest >= BURST_LOAD_FACTOR * usual, targets


def test_a_larger_share_is_kept_exactly() -> None:
    for share in (0.1, 0.15, 0.2):
        weighted = _weighted(share=share)
        means = _mean_weights(weighted)
        new = sum(mean for node, mean in means.items() if 'new' in node)
        assert math.isclose(new, share, rel_tol=0.02)


def test_entry_nodes_select_the_same_targets_in_any_order() -> None:
    weighted = _weighted()
    shuffled = random.Random(1).sample(weighted, len(weighted))
    first, second = (
        {
            one.node: one.weight
            for one in concentrate_share(order, TRIAL, STARTED_AT)
        }
        for order in (weighted, shuffled)
    )
    assert first.keys() == second.keys()
    assert all(math.isclose(first[name], second[name]) for name in first)


def test_without_a_trial_nothing_changes() -> None:
    weighted = _weighted()
    assert concentrate_share(weighted, VersionTrial(), STARTED_AT) is weighted
