"""The more urgent rank starts first and keeps its places."""

import copy
import math

from hypothesis import given, settings
from hypothesis import strategies as st

from daisyline.coordination.fair_queue import TENANT_PART, Ticket
from daisyline.coordination.ranked_queue import RankedQueue
from daisyline.coordination.rate_limit import WINDOW_S, RateLimit
from tests.support import function_tests

load_tests = function_tests(__name__)


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
        share = math.ceil(bound * TENANT_PART)
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
    """Return the calls that wait, without taking them out."""
    copied = copy.deepcopy(queue)
    return copied.take_out(movable_only=False)


def test_calls_ahead_are_those_of_its_rank_and_of_more_urgent_ones() -> None:
    queue = RankedQueue.from_capacity(9)
    for number, rank in enumerate((0, 1, 1, 2)):
        queue.push(_ticket(number, rank))
    assert queue.ahead_of(_ticket(9, 0)) == 1
    assert queue.ahead_of(_ticket(9, 1)) == 3
    assert queue.ahead_of(_ticket(9, 2)) == 4


@settings(derandomize=True, max_examples=100, deadline=None)
@given(
    per_s=st.integers(1, 20),
    pauses=st.lists(st.floats(0, 0.4), max_size=80),
)
def test_no_second_sees_more_starts_than_its_rate(
    per_s: int, pauses: list[float]
) -> None:
    rate = RateLimit(per_s, holds=True)
    now: float = 0
    starts = []
    for pause in pauses:
        now += pause
        if rate.allows(now):
            rate.started(now)
            starts.append(now)
        else:
            assert now < rate.next_at() <= now + WINDOW_S
    for first in starts:
        assert sum(first <= at < first + 1 for at in starts) <= per_s
