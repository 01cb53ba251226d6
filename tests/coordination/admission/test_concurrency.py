"""The concurrency limit starts at one and adapts to the target's results."""

from collections.abc import Iterator

from hypothesis import given, settings
from hypothesis import strategies as st

from daisyline.coordination.admission.concurrency import ConcurrencyLimit
from daisyline.state.settings import Limits
from tests.support import fixture, function_tests

load_tests = function_tests(__name__)


def _warm(slots: int = 9) -> ConcurrencyLimit:
    concurrency = ConcurrencyLimit.from_limits(Limits(slots_per_upstream=slots))
    for number in range(200):
        concurrency.record_result(
            0.04 if number % 10 == 0 else 0.01, succeeded=True
        )
    return concurrency


@fixture
def warm() -> Iterator[ConcurrencyLimit]:
    yield _warm()


@settings(derandomize=True, max_examples=100, deadline=None)
@given(
    slots=st.integers(1, 50),
    times=st.lists(st.floats(0, 10), min_size=1, max_size=200),
)
def test_each_success_of_a_cold_target_keeps_or_raises_its_slots(
    slots: int, times: list[float]
) -> None:
    concurrency = ConcurrencyLimit.from_limits(Limits(slots_per_upstream=slots))
    assert concurrency.limit == 1
    for service_s in times:
        before = concurrency.limit
        was_growing = concurrency.is_growing
        concurrency.record_result(service_s, succeeded=True)
        if was_growing:
            assert before <= concurrency.limit <= before + 1
        assert concurrency.limit <= slots


def test_a_warm_target_has_all_its_slots(warm: ConcurrencyLimit) -> None:
    assert warm.limit == 9


def test_a_slow_route_among_others_does_not_make_a_target_cold(
    warm: ConcurrencyLimit,
) -> None:
    for number in range(400):
        warm.record_result(0.01 if number % 7 == 0 else 0.2, succeeded=True)
        assert warm.limit == 9


def test_a_sudden_rise_of_all_service_times_makes_a_target_cold(
    warm: ConcurrencyLimit,
) -> None:
    limits = []
    for _ in range(8):
        warm.record_result(0.05, succeeded=True)
        limits.append(warm.limit)
    assert 1 in limits


def test_a_lasting_rise_lowers_the_limit_only_for_a_while(
    warm: ConcurrencyLimit,
) -> None:
    limits = []
    for _ in range(1000):
        warm.record_result(0.05, succeeded=True)
        limits.append(warm.limit)
    assert limits.count(1) < 20
    assert min(limits[500:]) == 9


def test_failures_make_a_target_cold(warm: ConcurrencyLimit) -> None:
    for _ in range(4):
        warm.record_result(0.01, succeeded=True)
        warm.record_result(0.01, succeeded=False)
    assert warm.limit == 1


def test_a_change_of_the_limits_is_applied(warm: ConcurrencyLimit) -> None:
    warm.set_limits(Limits(slots_per_upstream=4))
    assert warm.limit == 4
    warm.set_limits(Limits(slots_per_upstream=12))
    assert warm.limit == 12
    warm.reset_to_cold()
    warm.set_limits(Limits(slots_per_upstream=20))
    assert warm.limit == 1
