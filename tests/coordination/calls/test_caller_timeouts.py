"""A request that a caller sends again is told apart from a first request."""

import random

from daisyline.coordination.calls.caller_timeouts import (
    MAX_ROUTES,
    CallerTimeouts,
)
from tests.support import function_tests

load_tests = function_tests(__name__)

LONGEST_TIMEOUT_MS = 2500
# The timeouts of first requests differ from the longest by up to a sixth.
FIRST_TIMEOUTS_MS = (2100, LONGEST_TIMEOUT_MS)


def _learned() -> CallerTimeouts:
    caller_timeouts = CallerTimeouts()
    rng = random.Random(1)
    for _ in range(200):
        assert not caller_timeouts.is_resend(
            'r', rng.randint(*FIRST_TIMEOUTS_MS)
        )
    return caller_timeouts


def test_a_request_with_much_less_time_left_was_sent_before() -> None:
    caller_timeouts = _learned()
    assert caller_timeouts.is_resend('r', 1400)
    assert not caller_timeouts.is_resend('other', 1400)


def test_every_call_of_a_wave_of_resends_is_detected() -> None:
    caller_timeouts = _learned()
    seen = [caller_timeouts.is_resend('r', 1400) for _ in range(60)]
    assert all(seen)


def test_callers_with_different_timeouts_count_as_new() -> None:
    caller_timeouts = _learned()
    for _ in range(400):
        caller_timeouts.is_resend('r', 500)
    assert not caller_timeouts.is_resend('r', 500)


def test_a_single_long_timeout_is_forgotten() -> None:
    caller_timeouts = _learned()
    caller_timeouts.is_resend('r', 60_000)
    again = [
        caller_timeouts.is_resend('r', LONGEST_TIMEOUT_MS) for _ in range(7_000)
    ]
    assert not again[-1]


def test_the_number_of_routes_is_bounded() -> None:
    caller_timeouts = CallerTimeouts()
    for number in range(MAX_ROUTES + 10):
        caller_timeouts.is_resend(f'r{number}', LONGEST_TIMEOUT_MS)
    assert len(caller_timeouts._routes) == MAX_ROUTES
