"""Keeps the share of each customer's calls that are served above a floor.

Fair queueing gives waiting customers equal shares, whatever they ask for. Many
small customers can then leave a large one hardly any calls, and a more urgent
customer can take all calls of the others. A customer that is served much less
often than the average is therefore served first until that has changed.
"""

import math
from collections.abc import Iterable

import attrs

from daisyline.coordination.admission.fair_queue import Ticket
from daisyline.state.customers import NO_CUSTOMER

#: The lowest share of a customer's calls that start, relative to the share of
#: all calls. No customer may be served less than a quarter as often as all; a
#: target sees only a sample of its calls, so the floor is higher.
FLOOR = 0.5
#: The priority of calls that are served first; routes and customers have 0 and
#: higher numbers.
FIRST_PRIORITY = -1
# Older calls count less, by the factor e in this time, so that the floor holds
# for the present load. At 20 calls/s a target sees 200 calls in it.
_MEMORY_S = 10.0


@attrs.define
class _Tally:
    """Calls offered and started, of which older ones count less."""

    _offered: float = 0
    _started: float = 0
    _counted_at: float = 0

    def add(self, now: float, *, offered: int = 0, started: int = 0) -> None:
        """Count calls at a time in monotonic seconds."""
        fading = math.exp((self._counted_at - now) / _MEMORY_S)
        self._offered = self._offered * fading + offered
        self._started = self._started * fading + started
        self._counted_at = now

    def surplus(self, share: float, due: int, now: float) -> float:
        """Return by how much the started calls exceed a share of the offered.

        Args:
            share: The share.
            due: Calls that count as started, although they still wait.
            now: Monotonic seconds.
        """
        self.add(now)
        return self._started + due - share * self._offered

    def share(self, now: float) -> float:
        """Return the share of the offered calls that were started."""
        self.add(now)
        return self._started / self._offered if self._offered else 1


@attrs.define
class ServiceFloor:
    """Raises the priority of calls of customers that are served too rarely."""

    _customers: frozenset[str] = frozenset()
    _total: _Tally = attrs.field(factory=_Tally)
    _tallies: dict[str, _Tally] = attrs.field(factory=dict)

    def use_customers(self, names: Iterable[str]) -> None:
        """Replace the customers, and forget those that are not listed.

        Calls without a known customer count as those of one more.
        """
        self._customers = frozenset((*names, NO_CUSTOMER))
        for name in self._tallies.keys() - self._customers:
            self._tallies.pop(name)

    def rank(self, ticket: Ticket, raised: int, now: float) -> Ticket:
        """Count an offered call and return it with its priority here.

        Args:
            ticket: The call.
            raised: The number of waiting calls of its customer that have
                `FIRST_PRIORITY`.
            now: Monotonic seconds.
        """
        if ticket.tenant not in self._customers:
            return ticket
        tally = self._tallies.setdefault(ticket.tenant, _Tally())
        least_share = FLOOR * self._total.share(now)
        is_below = tally.surplus(least_share, raised, now) < 0
        tally.add(now, offered=1)
        self._total.add(now, offered=1)
        if not is_below:
            return ticket
        return attrs.evolve(ticket, priority=FIRST_PRIORITY)

    def record_start(self, tenant: str, now: float) -> None:
        """Count a started call."""
        if tenant in self._customers:
            self._total.add(now, started=1)
            self._tallies.setdefault(tenant, _Tally()).add(now, started=1)
