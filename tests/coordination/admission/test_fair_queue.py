"""Tenants share the queue by weight, and none starves another."""

from hypothesis import given, settings
from hypothesis import strategies as st

from daisyline.coordination.admission.fair_queue import FairQueue, Ticket
from tests.support import function_tests

load_tests = function_tests(__name__)

WEIGHTS = st.dictionaries(
    st.sampled_from('abcd'), st.integers(1, 5), min_size=2
)


@settings(derandomize=True, max_examples=100, deadline=None)
@given(weights=WEIGHTS, steps=st.integers(1, 60))
def test_tenants_that_always_wait_start_in_proportion_to_weight(
    weights: dict[str, int], steps: int
) -> None:
    queue = FairQueue.from_capacity(40)
    queue.set_weights(weights)
    served = dict.fromkeys(weights, 0)
    number = 0
    for _ in range(steps):
        for tenant in weights:
            number += 1
            queue.push(Ticket(str(number), tenant, 9))
        ticket = queue.pop()
        assert ticket is not None
        queue.charge(ticket.tenant)
        served[ticket.tenant] += 1
    shares = [served[name] / weight for name, weight in weights.items()]
    slack = max(1 / weight for weight in weights.values())
    assert max(shares) - min(shares) <= 2 * slack


@settings(derandomize=True, max_examples=200, deadline=None)
@given(
    weights=WEIGHTS,
    capacity=st.integers(1, 20),
    tenants=st.lists(st.sampled_from('abcd'), max_size=80),
)
def test_a_tenant_under_its_share_always_gets_a_place(
    weights: dict[str, int], capacity: int, tenants: list[str]
) -> None:
    queue = FairQueue.from_capacity(capacity)
    queue.set_weights(weights)
    held = dict.fromkeys('abcd', 0)
    total_weight = sum(weights.get(tenant, 1) for tenant in 'abcd')
    for number, tenant in enumerate(tenants):
        ticket = Ticket(str(number), tenant, 9)
        dropped = queue.push(ticket)
        share = capacity * weights.get(tenant, 1) / total_weight
        most = -(-capacity * 3 // 4)
        if held[tenant] + 1 <= min(share, most):
            assert ticket not in dropped
        held[tenant] += 1
        for displaced in dropped:
            held[displaced.tenant] -= 1
        assert held[tenant] <= most
        assert len(queue) == sum(held.values())
        assert len(queue) <= capacity


@settings(derandomize=True, max_examples=100, deadline=None)
@given(
    weight=st.integers(1, 5),
    flood=st.integers(1, 200),
    before=st.integers(0, 50),
)
def test_a_flood_delays_another_tenant_by_its_weight_at_most(
    weight: int, flood: int, before: int
) -> None:
    queue = FairQueue.from_capacity(300)
    queue.set_weights({'flood': weight})
    for number in range(flood):
        queue.push(Ticket(str(number), 'flood', 9))
    for _ in range(min(before, flood)):
        ticket = queue.pop()
        assert ticket is not None
        queue.charge(ticket.tenant)
    expected = queue.calls_ahead('quiet')
    queue.push(Ticket('one', 'quiet', 9))
    ahead = []
    while 'one' in queue:
        ticket = queue.pop()
        assert ticket is not None
        queue.charge(ticket.tenant)
        ahead.append(ticket.call)
    assert ahead.index('one') <= weight + 1
    assert expected <= weight


def test_an_idle_tenant_accumulates_no_credit() -> None:
    queue = FairQueue.from_capacity(99)
    for number in range(20):
        queue.push(Ticket(f'busy{number}', 'busy', 9))
    for _ in range(10):
        ticket = queue.pop()
        assert ticket is not None
        queue.charge(ticket.tenant)
    for number in range(10):
        queue.push(Ticket(f'idle{number}', 'idle', 9))
    order = []
    for _ in range(8):
        ticket = queue.pop()
        assert ticket is not None
        queue.charge(ticket.tenant)
        order.append(ticket.tenant)
    assert order.count('busy') >= 3


def test_one_tenant_cannot_fill_the_queue() -> None:
    queue = FairQueue.from_capacity(8)
    places = [
        not queue.push(Ticket(str(number), 'flood', 9)) for number in range(99)
    ]
    assert sum(places) == 6
    assert not queue.push(Ticket('one', 'quiet', 9))
