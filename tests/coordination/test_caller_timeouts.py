"""A caller that comes again is told from one that asks for the first time."""

import random

from daisyline.coordination.caller_timeouts import MAX_ROUTES, CallerTimeouts
from tests.support import function_tests

load_tests = function_tests(__name__)

FULL_MS = 2500
# Callers' first requests ask for up to a sixth less than the longest.
FIRST_MS = (2100, FULL_MS)


def _learned() -> CallerTimeouts:
    caller_timeouts = CallerTimeouts()
    rng = random.Random(1)
    for _ in range(200):
        assert not caller_timeouts.is_resend('r', rng.randint(*FIRST_MS))
    return caller_timeouts


def test_a_request_with_much_less_time_left_was_sent_before() -> None:
    caller_timeouts = _learned()
    assert caller_timeouts.is_resend('r', 1400)
    assert not caller_timeouts.is_resend('other', 1400)


def test_a_wave_of_returning_callers_is_seen_as_one() -> None:
    caller_timeouts = _learned()
    seen = [caller_timeouts.is_resend('r', 1400) for _ in range(60)]
    assert all(seen)


def test_callers_that_just_differ_are_all_new() -> None:
    caller_timeouts = _learned()
    for _ in range(400):
        caller_timeouts.is_resend('r', 500)
    assert not caller_timeouts.is_resend('r', 500)


def test_one_odd_caller_is_forgotten() -> None:
    caller_timeouts = _learned()
    caller_timeouts.is_resend('r', 60_000)
    again = [caller_timeouts.is_resend('r', FULL_MS) for _ in range(7_000)]
    assert not again[-1]


def test_the_routes_kept_are_bounded() -> None:
    caller_timeouts = CallerTimeouts()
    for number in range(MAX_ROUTES + 10):
        caller_timeouts.is_resend(f'r{number}', FULL_MS)
    assert len(caller_timeouts._routes) == MAX_ROUTES
