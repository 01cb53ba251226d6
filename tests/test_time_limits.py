"""No test fails because hypothesis finds the machine too slow."""

import time

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from tests.support import function_tests

load_tests = function_tests(__name__)

# Ten examples of this length exceed the time that the health check allows.
SLOW_S = 0.15


def test_slow_examples_and_slow_generation_do_not_fail_a_test() -> None:
    @st.composite
    def slow_numbers(draw: st.DrawFn) -> int:
        time.sleep(SLOW_S)
        return draw(st.integers())

    @settings(derandomize=True, max_examples=10)
    @given(number=slow_numbers())
    def check(number: int) -> None:
        time.sleep(SLOW_S)
        assert isinstance(number, int)

    check()


def test_settings_of_tests_inherit_the_profile_without_time_limits() -> None:
    profile = settings(derandomize=True, max_examples=10)
    assert profile.deadline is None
    assert HealthCheck.too_slow in profile.suppress_health_check
