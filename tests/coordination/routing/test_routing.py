"""Tests of target selection: shares of calls, load and stale reports."""

import random
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from daisyline.coordination.calls.retries import MAX_ATTEMPTS
from daisyline.coordination.routing.policies import (
    Candidate,
    ExpectedWait,
    LeastOutstanding,
    PowerOfTwo,
    WeightedRandom,
    ZoneAwareWait,
)
from daisyline.coordination.routing.routing import Router
from daisyline.coordination.routing.weight_ramp import ramp_fraction
from daisyline.state.failures import Failure, Outcome, Reason
from daisyline.state.targets import LoadReport
from tests.support import function_tests

load_tests = function_tests(__name__)

POLICIES = (
    WeightedRandom(),
    LeastOutstanding(),
    PowerOfTwo(),
    ExpectedWait(),
)
IDLE = LoadReport(running=0, waiting=0, limit=9, service_us=10_000)
BUSY = LoadReport(running=9, waiting=9, limit=9, service_us=10_000)


def _router(
    policy: object, seed: int = 1, remote_penalty_ms: float = 0
) -> Router:
    return Router.from_config(
        policy,
        random.Random(seed),
        zone='here',
        remote_penalty_ms=remote_penalty_ms,
    )


def _report(router: Router, **reports: LoadReport) -> None:
    for node, report in reports.items():
        router.record_sent(node, 0)
        router.record_end(node, 0, report, refused=False)


def _count_picks(
    router: Router, candidates: list[Candidate], times: int
) -> Counter[str | Failure]:
    return Counter(
        [router.pick(candidates, 0, frozenset()) for _ in range(times)]
    )


@settings(derandomize=True, max_examples=150, deadline=None)
@given(
    policy=st.sampled_from(POLICIES),
    weights=st.lists(st.sampled_from([0, 0.05, 1, 2.5]), max_size=8),
    tried=st.frozensets(st.integers(0, 7).map(str)),
    seed=st.integers(0, 9),
)
def test_only_untried_targets_with_a_weight_are_picked(
    policy: object, weights: list[float], tried: frozenset[str], seed: int
) -> None:
    candidates = [
        Candidate(str(number), 'v1', 'here', weight)
        for number, weight in enumerate(weights)
    ]
    allowed = {
        candidate.node
        for candidate in candidates
        if candidate.weight and candidate.node not in tried
    }
    picked = _router(policy, seed).pick(candidates, 0, tried)
    if allowed:
        assert picked in allowed
    else:
        assert isinstance(picked, Failure)
        assert picked.reason == Reason.NO_TARGET
        assert picked.outcome == Outcome.NOT_RUN


def test_an_idle_new_version_gets_its_share_and_no_more() -> None:
    candidates = [
        Candidate('old', 'v1', 'here', 0.95),
        Candidate('new', 'v2', 'here', 0.05),
    ]
    for policy in POLICIES:
        router = _router(policy)
        _report(router, old=BUSY, new=IDLE)
        picks = _count_picks(router, candidates, 4000)
        assert 4000 * 0.05 * 0.7 <= picks['new'] <= 4000 * 0.05 * 1.3, policy


def test_a_returning_target_gets_no_more_than_its_weight() -> None:
    candidates = [
        Candidate('one', 'v1', 'here', 1),
        Candidate('two', 'v1', 'here', 1),
        Candidate('back', 'v1', 'here', 0.1),
    ]
    for policy in (WeightedRandom(), PowerOfTwo(), ExpectedWait()):
        router = _router(policy)
        _report(router, one=BUSY, two=BUSY, back=IDLE)
        picks = _count_picks(router, candidates, 4000)
        assert 0 < picks['back'] <= 4000 * 0.1 / 2.1 * 1.3, policy


def test_overflow_goes_to_no_version_with_a_smaller_share() -> None:
    candidates = [
        Candidate('old', 'v1', 'here', 0.9),
        Candidate('new', 'v2', 'here', 0.1),
    ]
    router = _router(ExpectedWait())
    refused = router.pick(candidates, 0, frozenset(('old',)))
    assert isinstance(refused, Failure)
    assert router.pick(candidates, 0, frozenset(('new',))) == 'old'


def test_a_busy_target_is_avoided_until_its_report_is_old() -> None:
    candidates = [Candidate(node, '', 'here', 1) for node in ('a', 'b')]
    for policy in (PowerOfTwo(), ExpectedWait()):
        router = _router(policy)
        _report(router, a=BUSY, b=IDLE)
        soon = {router.pick(candidates, 0.001, frozenset()) for _ in range(50)}
        assert soon == {'b'}
        for _ in range(3):
            router.record_sent('b', 0.001)
        assert router.pick(candidates, 60, frozenset()) == 'a'


def test_entries_with_one_stale_report_do_not_all_pick_one_target() -> None:
    candidates = [Candidate(str(node), '', 'here', 1) for node in range(19)]
    for policy in (PowerOfTwo(), ExpectedWait()):
        picks: Counter[str | Failure] = Counter()
        for seed in range(1100):
            router = _router(policy, seed)
            reports = {candidate.node: BUSY for candidate in candidates}
            reports['0'] = IDLE
            _report(router, **reports)
            picks[router.pick(candidates, 0.001, frozenset())] += 1
        assert picks['0'] <= 1100 * 3 / 19 * 1.3


def test_the_local_zone_is_preferred_unless_it_is_slower() -> None:
    candidates = [
        Candidate('near', '', 'here', 1),
        Candidate('far', '', 'there', 1),
    ]
    router = _router(ExpectedWait(), remote_penalty_ms=2)
    _report(router, near=IDLE, far=IDLE)
    picks = {router.pick(candidates, 0, frozenset()) for _ in range(50)}
    assert picks == {'near'}
    _report(router, near=BUSY)
    picks = {router.pick(candidates, 0, frozenset()) for _ in range(50)}
    assert picks == {'far'}


def test_a_call_may_move_while_targets_are_left_and_few_refuse() -> None:
    candidates = [Candidate(str(node), '', 'here', 1) for node in range(9)]
    router = _router(ExpectedWait())
    assert router.may_move(candidates, frozenset(('0',)))
    assert not router.may_move(candidates[:1], frozenset(('0',)))
    most = frozenset(map(str, range(MAX_ATTEMPTS)))
    assert router.may_move(candidates, most - {'0'})
    assert not router.may_move(candidates, most)
    for _ in range(50):
        router.record_sent('0', 0)
        router.record_end('0', 0, BUSY, refused=True)
    assert not router.may_move(candidates, frozenset(('0',)))


@settings(derandomize=True, max_examples=100, deadline=None)
@given(
    earlier=st.floats(-1, 100),
    later=st.floats(-1, 100),
    ramp_ms=st.integers(0, 60_000),
)
def test_a_ramp_never_decreases_and_ends_at_the_full_weight(
    earlier: float, later: float, ramp_ms: int
) -> None:
    first, second = sorted((earlier, later))
    assert ramp_fraction(first, ramp_ms) <= ramp_fraction(second, ramp_ms) <= 1
    assert ramp_fraction(first, ramp_ms) > 0
    assert ramp_fraction(ramp_ms / 1000, ramp_ms) == 1


def test_an_idle_local_target_gets_no_more_than_its_low_share() -> None:
    candidates = [
        Candidate('near', '', 'here', 0.1),
        Candidate('far', '', 'there', 1),
        Candidate('other', '', 'there', 1),
    ]
    router = _router(ZoneAwareWait('here'), remote_penalty_ms=500)
    _report(router, near=IDLE, far=IDLE, other=IDLE)
    picks = [router.pick(candidates, 0, frozenset()) for _ in range(2000)]
    assert picks.count('near') < 2000 * 0.1 / 2.1 * 1.5


def test_a_target_without_a_report_is_treated_as_idle() -> None:
    router = _router(ZoneAwareWait('here'))
    known = [Candidate(f'n{number}', 'v', 'here', 1) for number in range(3)]
    _report(router, **{one.node: IDLE for one in known})
    joined = Candidate('joined', 'v', 'here', 1)
    picks = _count_picks(router, [*known, joined], 400)
    assert picks['joined'] > 50
