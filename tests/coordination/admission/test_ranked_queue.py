"""Calls of a more urgent rank start first and are not displaced."""

import copy
import math

from hypothesis import given, settings
from hypothesis import strategies as st

from daisyline.coordination.admission.fair_queue import (
    MAX_TENANT_FRACTION,
    Ticket,
)
from daisyline.coordination.admission.ranked_queue import RankedQueue
from daisyline.coordination.admission.rate_limit import WINDOW_S, RateLimit
from tests.support import function_tests

load_tests = function_tests(__name__)


# Sums of floating-point numbers differ in their last digits.
FLOAT_TOLERANCE_S = 0.000_001
RANKS = st.lists(st.integers(0, 3), max_size=20)


def _ticket(number: int, priority: int) -> Ticket:
    return Ticket(f'c{number}', 't', 9, priority=priority)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(bound=st.integers(0, 6), ranks=RANKS)
def test_no_call_is_lost_and_none_waits_behind_a_less_urgent_one(
    bound: int, ranks: list[int]
) -> None:
    queue = RankedQueue.from_capacity(bound)
    dropped = []
    for number, rank in enumerate(ranks):
        lost = queue.push(_ticket(number, rank))
        dropped += lost
        assert len(queue) <= bound
        waiting = [one.priority for one in _waiting(queue)]
        share = math.ceil(bound * MAX_TENANT_FRACTION)
        if lost and waiting.count(lost[0].priority) < share:
            assert lost[0].priority >= max(waiting, default=0)
    popped = []
    while queue:
        popped.append(queue.pop())
    order = [ticket.priority for ticket in popped]
    assert order == sorted(order)
    names = sorted(ticket.call for ticket in popped + dropped)
    assert names == sorted(f'c{number}' for number in range(len(ranks)))


def _waiting(queue: RankedQueue) -> list[Ticket]:
    """Return the waiting calls without removing them."""
    copied = copy.deepcopy(queue)
    return copied.remove_where(movable_only=False)


def test_calls_ahead_are_those_of_its_rank_and_of_more_urgent_ones() -> None:
    queue = RankedQueue.from_capacity(9)
    for number, rank in enumerate((0, 1, 1, 2)):
        queue.push(_ticket(number, rank))
    assert queue.calls_ahead(_ticket(9, 0)) == 1
    assert queue.calls_ahead(_ticket(9, 1)) == 3
    assert queue.calls_ahead(_ticket(9, 2)) == 4


def test_a_late_call_waits_behind_those_in_time() -> None:
    queue = RankedQueue.from_capacity(9)
    wanted = {'late-urgent': 1, 'in-time': 9, 'becomes-late': 4, 'urgent': 8}
    for call, objective in wanted.items():
        priority = 0 if 'urgent' in call else 1
        ticket = Ticket(call, 't', 99, False, priority, objective)
        queue.push(ticket, expected_end_at=2)
    newcomer = Ticket('new', 't', 99, False, 1, 9)
    assert queue.calls_ahead(newcomer, expected_end_at=2) == 3
    order = []
    while queue:
        ticket = queue.pop(expected_end_at=5)
        assert ticket is not None
        order.append(ticket.call)
    assert order == ['urgent', 'in-time', 'late-urgent', 'becomes-late']


def test_a_call_in_time_displaces_a_late_one() -> None:
    queue = RankedQueue.from_capacity(4)
    for number in range(4):
        queue.push(Ticket(f'l{number}', f't{number}', 99, False, 0, 1), 2)
    dropped = queue.push(Ticket('new', 't', 99, False, 3, 9), 2)
    assert [ticket.objective for ticket in dropped] == [1]


@settings(derandomize=True, max_examples=100, deadline=None)
@given(
    per_s=st.integers(1, 20),
    pauses=st.lists(st.floats(0, 0.4), max_size=80),
)
def test_no_second_sees_more_starts_than_its_rate(
    per_s: int, pauses: list[float]
) -> None:
    rate = RateLimit(per_s, is_active=True)
    now: float = 0
    starts = []
    for pause in pauses:
        now += pause
        if rate.allows(now):
            rate.record_start(now)
            starts.append(now)
        else:
            assert now < rate.next_at() <= now + WINDOW_S
    for first in starts:
        assert sum(first <= at < first + 1 for at in starts) <= per_s


def test_starts_are_spread_so_that_later_calls_wait_briefly() -> None:
    rate = RateLimit(20, is_active=True)
    now: float = 0
    while rate.allows(now):
        rate.record_start(now)
    assert 0 < rate.next_at() < rate.start_interval_s + FLOAT_TOLERANCE_S
    assert rate.wait_s(5, now) < 5 * rate.start_interval_s + FLOAT_TOLERANCE_S


def test_starts_without_a_limit_delay_later_calls_only_briefly() -> None:
    rate = RateLimit(20)
    for number in range(400):
        rate.record_start(number / 100)
    rate.is_active = True
    assert rate.next_at() <= 4 + WINDOW_S
