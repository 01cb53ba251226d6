"""The sequential test keeps its bound on false alarms."""

import math
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from daisyline.coordination.rollouts.sequential_test import (
    Alternatives,
    Bet,
    Comparison,
    Counts,
    make_bet,
)
from tests.support import function_tests

load_tests = function_tests(__name__)

ROUNDING = 1e-6
BASE_RATE = 0.1
_rates = st.floats(0, 1)
_calls = st.integers(1, 500)


def _log_mean_gain(bet: Bet, calls: tuple[int, int], rates: list[float]):
    """Return the logarithm of the exact expected gain of a block."""
    old = (1 - rates[0]) * math.exp(bet.old_miss)
    old += rates[0] * math.exp(bet.old_hit)
    new = (1 - rates[1]) * math.exp(bet.new_miss)
    new += rates[1] * math.exp(bet.new_hit)
    return calls[0] * math.log(old) + calls[1] * math.log(new)


def _hits(rng: Random, calls: int) -> int:
    """Return a random number of hits among calls at the base rate."""
    return sum(rng.choices((0, 1), (1 - BASE_RATE, BASE_RATE), k=calls))


def test_no_bet_gains_on_average_unless_the_new_rate_is_too_high() -> None:
    @settings(derandomize=True, max_examples=600, deadline=None)
    @given(
        st.tuples(_calls, _calls),
        st.tuples(_rates, _rates),
        st.floats(0, 0.5),
        _rates,
        _rates,
    )
    def check(calls, assumed_rates, tolerance, old_rate, fraction) -> None:
        bet = make_bet(calls, assumed_rates, tolerance)
        new_rate = fraction * min(1, old_rate + tolerance)
        highest = min(1, old_rate + tolerance)
        for rate in (new_rate, highest):
            gain = _log_mean_gain(bet, calls, [old_rate, rate])
            assert gain < ROUNDING

    check()


def test_equal_rates_rarely_raise_an_alarm_however_often_evaluated() -> None:
    rng = Random(5)
    alternatives = Alternatives(0, (0.05, 0.2))
    alarms = 0
    for _ in range(400):
        comparison = Comparison.from_config(restarts=99)
        highest = 0
        for _ in range(100):
            old = Counts(40, _hits(rng, 40))
            new = Counts(10, _hits(rng, 10))
            comparison.add_block(alternatives.log_gains(old, new, BASE_RATE))
            highest = max(highest, comparison.e_value)
        alarms += highest >= 20
    # Ville's bound is 1 in 20.
    assert alarms <= 20


def test_a_rate_that_rises_late_is_detected() -> None:
    comparison = Comparison.from_config(restarts=1000)
    alternatives = Alternatives(0.002, (0.05, 0.2, 0.8))
    for _ in range(500):
        gains = alternatives.log_gains(Counts(20), Counts(20), 0.001)
        comparison.add_block(gains)
    assert comparison.e_value < 1
    for _ in range(3):
        gains = alternatives.log_gains(Counts(20), Counts(20, 10), 0.001)
        comparison.add_block(gains)
    assert comparison.e_value > 1000
