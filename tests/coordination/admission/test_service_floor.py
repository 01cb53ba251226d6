"""No customer is served far less often than all, whatever others ask for."""

import heapq
import random
from collections import Counter
from typing import Any

import attrs

from daisyline.coordination.admission.admission import Admission, Admitted
from daisyline.coordination.admission.fair_queue import FairQueue, Ticket
from daisyline.coordination.admission.service_floor import ServiceFloor
from daisyline.state.customers import NO_CUSTOMER
from daisyline.state.limits import Limits
from daisyline.state.settings import Settings
from tests.support import function_tests

load_tests = function_tests(__name__)

SLOTS = 4
SERVICE_S = 0.05
CAPACITY_PER_S = SLOTS / SERVICE_S
SMALL = tuple(f's{number}' for number in range(40))
LARGE = ('l0', 'l1')
# What the requirements allow, and what fair shares give the smaller customers.
LEAST_RELATIVE_SHARE = 0.25
FAIR_RELATIVE_SHARE = 0.85
PLAYED_S = 30.0


@attrs.define
class Play:
    """A load of customers at one target, with a virtual clock."""

    rates: dict[str, float]
    priorities: dict[str, int] = attrs.field(factory=dict)
    rng: random.Random = attrs.field(factory=lambda: random.Random(1))
    asked: Counter[str] = attrs.field(factory=Counter)
    started: Counter[str] = attrs.field(factory=Counter)
    queue: list[tuple[float, int, str, str]] = attrs.field(factory=list)

    def relative_shares(self) -> list[float]:
        """Return how often each customer is served relative to all."""
        admission = Admission.from_limits(
            Limits(slots_per_upstream=SLOTS), 0, announces_cold=True
        )
        keys: dict[str, Any] = {name: {'keys': []} for name in self.rates}
        admission.use_tenants(Settings.from_tree(1, {'tenants': keys}))
        for customer in self.rates:
            self._arrive_later(customer, 0)
        now: float = 0
        while now < PLAYED_S:
            now, number, name, call = heapq.heappop(self.queue)
            admission.expire(now)
            if call:
                begun = admission.finish(
                    call, now, service_s=SERVICE_S, succeeded=True
                )
            else:
                begun = self._offer(admission, name, number, now)
            for started in (*begun, *admission.resume(now)):
                self._start(started, now)
        whole = self.started.total() / self.asked.total()
        return [
            self.started[one] / self.asked[one] / whole for one in self.rates
        ]

    def _offer(
        self, admission: Admission, name: str, number: int, now: float
    ) -> list[str]:
        self.asked[name] += 1
        self._arrive_later(name, now)
        call = f'{name}-{number}'
        priority = self.priorities.get(name, 1)
        ticket = Ticket(call, name, now + 2, False, priority, now + 0.4)
        is_admitted = isinstance(admission.offer(ticket, now), Admitted)
        return [call] if is_admitted else []

    def _arrive_later(self, name: str, now: float) -> None:
        at = now + self.rng.expovariate(self.rates[name])
        heapq.heappush(self.queue, (at, self.rng.getrandbits(60), name, ''))

    def _start(self, call: str, now: float) -> None:
        name = call.partition('-')[0]
        self.started[name] += 1
        ends_at = now + SERVICE_S * self.rng.uniform(0.7, 1.3)
        heapq.heappush(self.queue, (ends_at, 0, name, call))


def _rates(overload: float, large_share: float) -> dict[str, float]:
    """Return the calls per second of each customer."""
    per_s = CAPACITY_PER_S * overload
    shares = {LARGE: large_share, SMALL: 1 - large_share}
    return {
        name: per_s * share / len(names)
        for names, share in shares.items()
        for name in names
    }


def test_a_large_customer_does_not_starve_small_ones() -> None:
    for overload, large_share in ((2, 0.5), (5, 0.9), (20, 0.97)):
        play = Play(_rates(overload, large_share))
        shares = play.relative_shares()
        assert min(shares[len(LARGE) :]) > FAIR_RELATIVE_SHARE
        assert min(shares) > LEAST_RELATIVE_SHARE


def test_many_small_customers_do_not_starve_a_large_one() -> None:
    # With equal shares alone a large customer was served 0.13 times as often.
    for overload, large_share in ((3, 0.5), (8, 0.3)):
        shares = Play(_rates(overload, large_share)).relative_shares()
        assert min(shares) > LEAST_RELATIVE_SHARE


def test_urgent_customers_do_not_starve_others() -> None:
    # By priority alone the customers behind were not served at all.
    for urgent in (LARGE, SMALL, SMALL[:20]):
        priorities = dict.fromkeys(urgent, 0)
        play = Play(_rates(3, 0.6), priorities)
        shares = dict(zip(play.rates, play.relative_shares(), strict=True))
        assert min(shares.values()) > LEAST_RELATIVE_SHARE
        behind = shares.keys() - priorities
        assert min(map(shares.get, urgent)) > min(map(shares.get, behind))


def test_calls_without_a_customer_and_others_starve_neither() -> None:
    # Guards against targets' own calls that count as one small customer.
    for anonymous_per_s in (160, 1600):
        rates = {**dict.fromkeys(SMALL, 4), NO_CUSTOMER: anonymous_per_s}
        shares = Play(rates).relative_shares()
        assert min(shares) > LEAST_RELATIVE_SHARE


def test_calls_without_a_customer_weigh_as_all_that_wait() -> None:
    queue = FairQueue.from_capacity(90)
    for number in range(12):
        for tenant in (NO_CUSTOMER, 'a', 'b', 'c'):
            queue.push(Ticket(f'{tenant}{number}', tenant, 9))
    order = []
    for _ in range(12):
        ticket = queue.pop()
        assert ticket is not None
        queue.charge(ticket.tenant)
        order.append(ticket.tenant)
    assert 5 <= order.count(NO_CUSTOMER) <= 7


def test_only_listed_customers_are_remembered() -> None:
    # Guards against memory for each name that another node sends.
    floor = ServiceFloor()
    floor.use_customers(('a', 'b'))
    for number in range(50):
        floor.rank(Ticket('c', f'x{number}', 9), 0, 1)
    floor.rank(Ticket('c', 'a', 9), 0, 1)
    floor.rank(Ticket('c', 'b', 9), 0, 1)
    floor.use_customers(('b',))
    assert set(floor._tallies) == {'b'}
