"""Times of the store are ordered by era, then by revision."""

from hypothesis import given
from hypothesis import strategies as st

from daisyline.state.facts import Fact
from daisyline.state.store_time import (
    MAX_ERA,
    STORE_ERA,
    StoreTime,
    era_fact,
    era_in,
)
from tests.support import function_tests

load_tests = function_tests(__name__)

MAX_REVISION = 2**48 - 1
REVISIONS = st.integers(0, MAX_REVISION)
TIMES = st.builds(StoreTime, st.integers(0, MAX_ERA), REVISIONS)


@given(TIMES, TIMES)
def test_a_rank_keeps_the_order_of_times(
    one: StoreTime, two: StoreTime
) -> None:
    assert (one < two) == (one.rank < two.rank)
    assert StoreTime.from_rank(one.rank) == one
    assert one.rank < 2**63


@given(REVISIONS)
def test_a_store_without_eras_is_ordered_by_its_revisions(
    revision: int,
) -> None:
    time = StoreTime(0, revision)
    assert time.rank == revision
    assert str(time) == str(revision)
    assert time < StoreTime(1, 0)


def test_only_a_revision_beyond_the_held_one_is_later_for_certain() -> None:
    held = StoreTime(1, 57)
    assert StoreTime(2, 17).may_be_before(held)
    assert StoreTime(2, 57).may_be_before(held)
    assert not StoreTime(2, 58).may_be_before(held)
    assert not StoreTime(1, 17).may_be_before(held)


def test_an_era_of_another_fact_or_out_of_range_is_none() -> None:
    assert era_in(era_fact(3)) == 3
    assert era_in(Fact('quarantine', '', 3)) is None
    assert era_in(Fact(STORE_ERA, '', MAX_ERA + 1)) is None
    assert era_in(Fact(STORE_ERA, '', -1)) is None
