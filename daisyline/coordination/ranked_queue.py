"""A bounded queue of several ranks; within a rank tenants share fairly."""

import math
from collections.abc import Mapping

import attrs

from daisyline.coordination.fair_queue import FairQueue, Ticket

# Whether the answer would be late, and the priority; the smaller goes first.
_Rank = tuple[bool, int]


@attrs.define
class RankedQueue:
    """Calls that wait, those of the lowest rank first.

    Calls whose answer would be late go behind all others, as an answer in
    time is worth more to its caller than one that is late anyhow; else the
    lower priority number goes first. Each rank is a `FairQueue`. A call that
    finds the queue full takes the place of the newest call of the last rank
    behind its own.

    Where `ready_by` is taken, it says when a call that starts now has its
    answer, in monotonic seconds.
    """

    _bound: int
    _shares: Mapping[str, int] = attrs.field(factory=dict)
    _ranks: dict[_Rank, FairQueue] = attrs.field(factory=dict)

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

    def ahead_of(self, ticket: Ticket, ready_by: float = -math.inf) -> float:
        """Return how many waiting calls start before a new one."""
        own = _rank_of(ticket, ready_by)
        before = sum(
            len(queue) for rank, queue in self._ranks.items() if rank < own
        )
        return before + self._queue(own).ahead_of(ticket.tenant)

    def push(self, ticket: Ticket, ready_by: float = -math.inf) -> list[Ticket]:
        """Add a call; return the call that gets no place, if any."""
        dropped: list[Ticket] = []
        own = _rank_of(ticket, ready_by)
        if len(self) >= self._bound:
            behind = [
                rank
                for rank, queue in self._ranks.items()
                if rank > own and len(queue)
            ]
            if not behind:
                return self._push_into_full(self._queue(own), ticket)
            dropped = self._shorten(self._ranks[max(behind)])
        return dropped + self._queue(own).push(ticket)

    def pop(self, ready_by: float = -math.inf) -> Ticket | None:
        """Take the call that starts next; count it as started."""
        self._move_late(ready_by)
        for rank in sorted(self._ranks):
            ticket = self._ranks[rank].pop()
            if ticket is not None:
                return ticket
        return None

    def charge(self, ticket: Ticket, ready_by: float = -math.inf) -> None:
        """Count a call as started."""
        self._queue(_rank_of(ticket, ready_by)).charge(ticket.tenant)

    def remove(self, call: str) -> bool:
        """Take a call out wherever it stands; return whether it waited."""
        return any(queue.remove(call) for queue in self._ranks.values())

    def take_out(self, *, movable_only: bool) -> list[Ticket]:
        """Take out all calls, or those that another target may take."""

        def is_chosen(ticket: Ticket) -> bool:
            return ticket.may_move or not movable_only

        return [
            ticket
            for queue in self._ranks.values()
            for ticket in queue.take_out(is_chosen)
        ]

    def _move_late(self, ready_by: float) -> None:
        """Put calls that have become late while they waited behind others."""

        def is_late(ticket: Ticket) -> bool:
            return ticket.wanted_by < ready_by

        timely = [queue for rank, queue in self._ranks.items() if not rank[0]]
        for queue in timely:
            for ticket in queue.take_out(is_late):
                self._queue(_rank_of(ticket, ready_by)).put_back(ticket)

    def _push_into_full(self, queue: FairQueue, ticket: Ticket) -> list[Ticket]:
        """Let the tenants of one rank compete for its places."""
        queue.set_capacity(len(queue))
        dropped = queue.push(ticket)
        queue.set_capacity(self._bound)
        return dropped

    def _shorten(self, queue: FairQueue) -> list[Ticket]:
        dropped = queue.set_capacity(len(queue) - 1)
        queue.set_capacity(self._bound)
        return dropped

    def _queue(self, rank: _Rank) -> FairQueue:
        queue = self._ranks.get(rank)
        if queue is None:
            queue = FairQueue.from_capacity(self._bound)
            queue.set_weights(self._shares)
            self._ranks[rank] = queue
        return queue


def _rank_of(ticket: Ticket, ready_by: float) -> _Rank:
    return (ticket.wanted_by < ready_by, ticket.priority)
