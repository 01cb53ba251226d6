"""A bounded queue that tenants share by start-time fair queueing."""

import math
from collections.abc import Callable, Mapping

import attrs

from daisyline.state.routes import DEFAULT_PRIORITY

DEFAULT_WEIGHT = 1
#: The part of the queue that one tenant may hold, however idle the others.
TENANT_PART = 0.75


@attrs.frozen
class Ticket:
    """A call that asks for a slot.

    Attributes:
        call: The call's id.
        tenant: The tenant or class of the caller.
        give_up_at: The call's deadline, in monotonic seconds.
        may_move: Whether its entry node can still offer it to another target.
        priority: Its rank; 0 goes first.
        wanted_by: After this its answer is late, in monotonic seconds.
    """

    call: str
    tenant: str
    give_up_at: float
    may_move: bool = False
    priority: int = DEFAULT_PRIORITY
    wanted_by: float = math.inf


@attrs.define
class _Line:
    """The calls of one tenant that wait, the oldest first."""

    calls: dict[str, Ticket] = attrs.field(factory=dict)


@attrs.define
class FairQueue:
    """Calls that wait, served in proportion to their tenants' weights.

    Start-time fair queueing (Goyal, Vin and Cheng, 1996), each call counted
    as one: every tenant has a virtual time that grows by one over its weight
    with each call that starts, and the tenant furthest behind goes next. An
    idle tenant saves nothing up.
    """

    _bound: int
    _shares: Mapping[str, int] = attrs.field(factory=dict)
    _lines: dict[str, _Line] = attrs.field(factory=dict)
    _tenants: dict[str, str] = attrs.field(factory=dict)
    _finish: dict[str, float] = attrs.field(factory=dict)
    _virtual: float = 0

    @classmethod
    def from_capacity(cls, capacity: int) -> 'FairQueue':
        """Build an empty queue for a number of calls."""
        return cls(bound=capacity)

    def __len__(self) -> int:
        """Return how many calls wait."""
        return len(self._tenants)

    def __contains__(self, call: str) -> bool:
        """Return whether a call waits."""
        return call in self._tenants

    def set_weights(self, weights: Mapping[str, int]) -> None:
        """Replace the tenants' weights; one not named has the weight 1."""
        self._shares = dict(weights)

    def set_capacity(self, capacity: int) -> list[Ticket]:
        """Change the bound and return the calls that lose their places."""
        self._bound = capacity
        dropped = []
        while len(self) > capacity:
            dropped.append(self._drop_from(self._longest()))
        return dropped

    def ahead_of(self, tenant: str) -> float:
        """Return how many waiting calls start before a new one of a tenant."""
        mine = self._length(tenant) + 1
        weight = self._weight(tenant)
        return sum(
            min(len(line.calls), mine * self._weight(name) / weight)
            for name, line in self._lines.items()
            if name != tenant
        ) + (mine - 1)

    def push(self, ticket: Ticket) -> list[Ticket]:
        """Add a call; return the call that gets no place, if any.

        That is the call itself if its tenant holds its share, else the
        newest call of the tenant that is furthest over its own.
        """
        tenant = ticket.tenant
        if self._length(tenant) >= math.ceil(self._bound * TENANT_PART):
            return [ticket]
        dropped = []
        if len(self) >= self._bound:
            longest = self._longest()
            if not self._may_displace(tenant, longest):
                return [ticket]
            dropped.append(self._drop_from(longest))
        self.put_back(ticket)
        assert len(self) <= self._bound
        return dropped

    def put_back(self, ticket: Ticket) -> None:
        """Add a call that has a place already."""
        line = self._lines.setdefault(ticket.tenant, _Line())
        line.calls[ticket.call] = ticket
        self._tenants[ticket.call] = ticket.tenant

    def pop(self) -> Ticket | None:
        """Take the call that starts next; count it as started."""
        if not self._lines:
            return None
        tenant = min(self._lines, key=self._start_tag)
        ticket = next(iter(self._lines[tenant].calls.values()))
        self._remove(ticket.call)
        return ticket

    def charge(self, tenant: str) -> None:
        """Count a call of a tenant as started."""
        self._virtual = max(self._virtual, self._start_tag(tenant))
        self._finish[tenant] = self._start_tag(tenant) + 1 / self._weight(
            tenant
        )
        if not self._lines:
            self._forget_idle()

    def remove(self, call: str) -> bool:
        """Take a call out wherever it stands; return whether it waited."""
        return self._remove(call) is not None

    def take_out(self, is_chosen: Callable[[Ticket], bool]) -> list[Ticket]:
        """Take out the calls that a function chooses."""
        tickets = [
            ticket
            for line in self._lines.values()
            for ticket in line.calls.values()
            if is_chosen(ticket)
        ]
        for ticket in tickets:
            self._remove(ticket.call)
        return tickets

    def _remove(self, call: str) -> Ticket | None:
        tenant = self._tenants.pop(call, None)
        if tenant is None:
            return None
        line = self._lines[tenant]
        ticket = line.calls.pop(call)
        if not line.calls:
            self._lines.pop(tenant)
        return ticket

    def _drop_from(self, tenant: str) -> Ticket:
        """Take out the newest call of a tenant."""
        call, ticket = self._lines[tenant].calls.popitem()
        self._tenants.pop(call)
        if not self._lines[tenant].calls:
            self._lines.pop(tenant)
        return ticket

    def _may_displace(self, tenant: str, longest: str) -> bool:
        """Return whether one more call leaves a tenant under the longest.

        A tenant that has not got its share of a full queue then always may.
        """
        mine = (self._length(tenant) + 1) / self._weight(tenant)
        return mine < self._length(longest) / self._weight(longest)

    def _longest(self) -> str:
        """Return the tenant that holds most for its weight."""
        return max(
            self._lines,
            key=lambda name: self._length(name) / self._weight(name),
        )

    def _length(self, tenant: str) -> int:
        line = self._lines.get(tenant)
        return len(line.calls) if line else 0

    def _weight(self, tenant: str) -> int:
        return max(1, self._shares.get(tenant, DEFAULT_WEIGHT))

    def _start_tag(self, tenant: str) -> float:
        return max(self._virtual, self._finish.get(tenant, 0))

    def _forget_idle(self) -> None:
        """Drop tenants whose virtual time has been overtaken."""
        self._finish = {
            tenant: finish
            for tenant, finish in self._finish.items()
            if finish > self._virtual
        }
