"""A bounded queue of several ranks; within a rank tenants share fairly."""

from collections.abc import Mapping

import attrs

from daisyline.coordination.fair_queue import FairQueue, Ticket


@attrs.define
class RankedQueue:
    """Calls that wait, those of the lowest rank number first.

    Each rank is a `FairQueue`. A call that finds the queue full takes the
    place of the newest call of the last rank behind its own.
    """

    _bound: int
    _shares: Mapping[str, int] = attrs.field(factory=dict)
    _ranks: dict[int, FairQueue] = attrs.field(factory=dict)

    @classmethod
    def from_capacity(cls, capacity: int) -> 'RankedQueue':
        """Build an empty queue for a number of calls."""
        return cls(bound=capacity)

    def __len__(self) -> int:
        """Return how many calls wait."""
        return sum(map(len, self._ranks.values()))

    def __contains__(self, call: str) -> bool:
        """Return whether a call waits."""
        return any(call in queue for queue in self._ranks.values())

    def set_weights(self, weights: Mapping[str, int]) -> None:
        """Replace the tenants' weights; one not named has the weight 1."""
        self._shares = dict(weights)
        for queue in self._ranks.values():
            queue.set_weights(self._shares)

    def set_capacity(self, capacity: int) -> list[Ticket]:
        """Change the bound and return the calls that lose their places."""
        self._bound = capacity
        dropped = []
        for rank in sorted(self._ranks, reverse=True):
            queue = self._ranks[rank]
            excess = max(0, len(self) - capacity)
            dropped += queue.set_capacity(max(0, len(queue) - excess))
            queue.set_capacity(capacity)
        return dropped

    def ahead_of(self, ticket: Ticket) -> float:
        """Return how many waiting calls start before a new one."""
        before = sum(
            len(queue)
            for rank, queue in self._ranks.items()
            if rank < ticket.priority
        )
        return before + self._rank(ticket.priority).ahead_of(ticket.tenant)

    def push(self, ticket: Ticket) -> list[Ticket]:
        """Add a call; return the call that gets no place, if any."""
        dropped: list[Ticket] = []
        if len(self) >= self._bound:
            behind = [
                rank
                for rank, queue in self._ranks.items()
                if rank > ticket.priority and len(queue)
            ]
            if not behind:
                return self._push_into_full(ticket)
            dropped = self._shorten(self._ranks[max(behind)])
        return dropped + self._rank(ticket.priority).push(ticket)

    def pop(self) -> Ticket | None:
        """Take the call that starts next; count it as started."""
        for rank in sorted(self._ranks):
            ticket = self._ranks[rank].pop()
            if ticket is not None:
                return ticket
        return None

    def charge(self, ticket: Ticket) -> None:
        """Count a call as started."""
        self._rank(ticket.priority).charge(ticket.tenant)

    def remove(self, call: str) -> bool:
        """Take a call out wherever it stands; return whether it waited."""
        return any(queue.remove(call) for queue in self._ranks.values())

    def take_out(self, *, movable_only: bool) -> list[Ticket]:
        """Take out all calls, or those that another target may take."""
        return [
            ticket
            for queue in self._ranks.values()
            for ticket in queue.take_out(movable_only=movable_only)
        ]

    def _push_into_full(self, ticket: Ticket) -> list[Ticket]:
        """Let the tenants of one rank compete for its places."""
        queue = self._rank(ticket.priority)
        queue.set_capacity(len(queue))
        dropped = queue.push(ticket)
        queue.set_capacity(self._bound)
        return dropped

    def _shorten(self, queue: FairQueue) -> list[Ticket]:
        dropped = queue.set_capacity(len(queue) - 1)
        queue.set_capacity(self._bound)
        return dropped

    def _rank(self, rank: int) -> FairQueue:
        queue = self._ranks.get(rank)
        if queue is None:
            queue = FairQueue.from_capacity(self._bound)
            queue.set_weights(self._shares)
            self._ranks[rank] = queue
        return queue
