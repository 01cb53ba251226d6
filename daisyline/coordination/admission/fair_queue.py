"""A bounded queue with start-time fair queueing between tenants."""

import math
from collections.abc import Callable, Mapping

import attrs

from daisyline.state.customers import NO_CUSTOMER
from daisyline.state.routes import DEFAULT_PRIORITY

DEFAULT_WEIGHT = 1
#: The fraction of the queue that one tenant may occupy, even if no other
#: tenant has waiting calls.
MAX_TENANT_FRACTION = 0.75


@attrs.frozen
class Ticket:
    """A call that requests a slot.

    Attributes:
        call: The call's id.
        tenant: The tenant or class of the caller.
        deadline: The call's deadline, in monotonic seconds.
        may_move: Whether its entry node can still offer it to another target.
        priority: The call's priority; 0 is the most urgent.
        objective: When an answer becomes late, in monotonic seconds.
        kind: What the call does, as far as its service time depends on it;
            empty if that is not known.
        extra_s: How much longer the call is expected to take than the mean of
            the target's calls, in seconds; negative for shorter calls.
    """

    call: str
    tenant: str
    deadline: float
    may_move: bool = False
    priority: int = DEFAULT_PRIORITY
    objective: float = math.inf
    kind: str = ''
    extra_s: float = 0


@attrs.define
class _TenantQueue:
    """The waiting calls of one tenant, the oldest first."""

    calls: dict[str, Ticket] = attrs.field(factory=dict)


@attrs.define
class FairQueue:
    """Waiting calls, served in proportion to their tenants' weights.

    Implements start-time fair queueing (Goyal, Vin and Cheng, 1996) with a
    cost of one for each call. The virtual time of a tenant advances by the
    inverse of its weight with each call that starts, and the tenant with the
    lowest virtual time is served next. An idle tenant accumulates no credit.

    Calls without a known customer weigh as much as all waiting customers
    together, as they may be calls that targets make to serve any of these.
    """

    _max_calls: int
    _tenant_weights: Mapping[str, int] = attrs.field(factory=dict)
    _queues: dict[str, _TenantQueue] = attrs.field(factory=dict)
    _tenant_by_call: dict[str, str] = attrs.field(factory=dict)
    _finish_tags: dict[str, float] = attrs.field(factory=dict)
    _virtual_time: float = 0

    @classmethod
    def from_capacity(cls, capacity: int) -> 'FairQueue':
        """Build an empty queue that holds at most this many calls."""
        return cls(max_calls=capacity)

    def __len__(self) -> int:
        """Return the number of waiting calls."""
        return len(self._tenant_by_call)

    def __contains__(self, call: str) -> bool:
        """Return whether a call waits."""
        return call in self._tenant_by_call

    def set_weights(self, weights: Mapping[str, int]) -> None:
        """Replace the tenants' weights; an unlisted tenant has weight 1."""
        self._tenant_weights = dict(weights)

    def set_capacity(self, capacity: int) -> list[Ticket]:
        """Change the capacity and return the calls that are displaced."""
        self._max_calls = capacity
        dropped = []
        while len(self) > capacity:
            dropped.append(self._drop_from(self._heaviest_tenant()))
        return dropped

    def waiting_count(self, tenant: str) -> int:
        """Return the number of waiting calls of a tenant."""
        queue = self._queues.get(tenant)
        return len(queue.calls) if queue else 0

    def calls_ahead(self, tenant: str) -> float:
        """Return how many waiting calls start before a tenant's next one."""
        own_count = self.waiting_count(tenant) + 1
        weight = self._weight(tenant)
        return sum(
            min(len(queue.calls), own_count * self._weight(name) / weight)
            for name, queue in self._queues.items()
            if name != tenant
        ) + (own_count - 1)

    def push(self, ticket: Ticket) -> list[Ticket]:
        """Add a call; return the call that is rejected or displaced, if any.

        The new call is rejected if its tenant already occupies the largest
        fraction that one tenant may. Otherwise a full queue drops the newest
        call of the tenant with the most waiting calls for its weight, or the
        new call if its tenant would then be that tenant.
        """
        tenant = ticket.tenant
        if self.waiting_count(tenant) >= math.ceil(
            self._max_calls * MAX_TENANT_FRACTION
        ):
            return [ticket]
        dropped = []
        if len(self) >= self._max_calls:
            heaviest = self._heaviest_tenant()
            if not self._may_displace(tenant, heaviest):
                return [ticket]
            dropped.append(self._drop_from(heaviest))
        self.insert(ticket)
        assert len(self) <= self._max_calls
        return dropped

    def insert(self, ticket: Ticket) -> None:
        """Add a call without checking the capacity."""
        queue = self._queues.setdefault(ticket.tenant, _TenantQueue())
        queue.calls[ticket.call] = ticket
        self._tenant_by_call[ticket.call] = ticket.tenant

    def pop(self) -> Ticket | None:
        """Remove and return the call to start next; `charge` counts it."""
        if not self._queues:
            return None
        tenant = min(self._queues, key=self._start_tag)
        ticket = next(iter(self._queues[tenant].calls.values()))
        self._remove(ticket.call)
        return ticket

    def charge(self, tenant: str) -> None:
        """Advance the virtual time for a started call of a tenant."""
        self._virtual_time = max(self._virtual_time, self._start_tag(tenant))
        self._finish_tags[tenant] = self._start_tag(tenant) + 1 / self._weight(
            tenant
        )
        if not self._queues:
            self._drop_idle_tenants()

    def remove(self, call: str) -> bool:
        """Remove a call; return whether it was waiting."""
        return self._remove(call) is not None

    def remove_where(self, predicate: Callable[[Ticket], bool]) -> list[Ticket]:
        """Remove and return the calls for which the predicate is true."""
        tickets = [
            ticket
            for queue in self._queues.values()
            for ticket in queue.calls.values()
            if predicate(ticket)
        ]
        for ticket in tickets:
            self._remove(ticket.call)
        return tickets

    def _remove(self, call: str) -> Ticket | None:
        tenant = self._tenant_by_call.pop(call, None)
        if tenant is None:
            return None
        queue = self._queues[tenant]
        ticket = queue.calls.pop(call)
        if not queue.calls:
            self._queues.pop(tenant)
        return ticket

    def _drop_from(self, tenant: str) -> Ticket:
        """Remove and return the newest call of a tenant."""
        call, ticket = self._queues[tenant].calls.popitem()
        self._tenant_by_call.pop(call)
        if not self._queues[tenant].calls:
            self._queues.pop(tenant)
        return ticket

    def _may_displace(self, tenant: str, heaviest: str) -> bool:
        """Return whether a tenant with one more call stays below the heaviest.

        This always holds for a tenant that occupies less than its share of a
        full queue.
        """
        own_load = (self.waiting_count(tenant) + 1) / self._weight(tenant)
        return own_load < self.waiting_count(heaviest) / self._weight(heaviest)

    def _heaviest_tenant(self) -> str:
        """Return the tenant with the most waiting calls for its weight."""
        return max(
            self._queues,
            key=lambda name: self.waiting_count(name) / self._weight(name),
        )

    def _weight(self, tenant: str) -> int:
        if tenant == NO_CUSTOMER:
            return max(
                1, sum(map(self._weight, self._queues.keys() - {tenant}))
            )
        return max(1, self._tenant_weights.get(tenant, DEFAULT_WEIGHT))

    def _start_tag(self, tenant: str) -> float:
        return max(self._virtual_time, self._finish_tags.get(tenant, 0))

    def _drop_idle_tenants(self) -> None:
        """Forget tenants whose finish tag is behind the virtual time."""
        self._finish_tags = {
            tenant: finish_tag
            for tenant, finish_tag in self._finish_tags.items()
            if finish_tag > self._virtual_time
        }
