"""A bounded queue with several ranks, each fair between tenants."""

import math
from collections.abc import Mapping

import attrs

from daisyline.coordination.admission.fair_queue import FairQueue, Ticket

# Whether the answer would be late, and the priority. The lowest goes first.
_Rank = tuple[bool, int]


@attrs.define
class RankedQueue:
    """Waiting calls in order of rank, the lowest rank first.

    Calls whose answer would be late are served after all others, because an
    answer in time is worth more to its caller than one that is late in any
    case. Among the others the lower priority number is served first. Each rank
    is a `FairQueue`. A call that arrives at a full queue displaces the newest
    call of the last rank after its own.

    The argument `expected_end_at` is when a call of mean length that starts now
    is expected to end, in monotonic seconds.
    """

    _max_calls: int
    _tenant_weights: Mapping[str, int] = attrs.field(factory=dict)
    _ranks: dict[_Rank, FairQueue] = attrs.field(factory=dict)

    @classmethod
    def from_capacity(cls, capacity: int) -> 'RankedQueue':
        """Build an empty queue that holds at most this many calls."""
        return cls(max_calls=capacity)

    def __len__(self) -> int:
        """Return the number of waiting calls."""
        return sum(map(len, self._ranks.values()))

    def __contains__(self, call: str) -> bool:
        """Return whether a call waits."""
        return any(call in queue for queue in self._ranks.values())

    def set_weights(self, weights: Mapping[str, int]) -> None:
        """Replace the tenants' weights; an unlisted tenant has weight 1."""
        self._tenant_weights = dict(weights)
        for queue in self._ranks.values():
            queue.set_weights(self._tenant_weights)

    def set_capacity(self, capacity: int) -> list[Ticket]:
        """Change the capacity and return the calls that are displaced."""
        self._max_calls = capacity
        dropped = []
        for rank in sorted(self._ranks, reverse=True):
            queue = self._ranks[rank]
            excess = max(0, len(self) - capacity)
            dropped += queue.set_capacity(max(0, len(queue) - excess))
            queue.set_capacity(capacity)
        return dropped

    def calls_ahead(
        self, ticket: Ticket, expected_end_at: float = -math.inf
    ) -> float:
        """Return how many waiting calls start before a new one."""
        own_rank = _rank_of(ticket, expected_end_at)
        ahead = sum(
            len(queue) for rank, queue in self._ranks.items() if rank < own_rank
        )
        return ahead + self._queue(own_rank).calls_ahead(ticket.tenant)

    def waiting_count(self, tenant: str, priority: int) -> int:
        """Return how many calls of a tenant wait with a priority."""
        return sum(
            queue.waiting_count(tenant)
            for rank, queue in self._ranks.items()
            if rank[1] == priority
        )

    def push(
        self, ticket: Ticket, expected_end_at: float = -math.inf
    ) -> list[Ticket]:
        """Add a call; return the call that is rejected or displaced, if any."""
        dropped: list[Ticket] = []
        own_rank = _rank_of(ticket, expected_end_at)
        if len(self) >= self._max_calls:
            later_ranks = [
                rank
                for rank, queue in self._ranks.items()
                if rank > own_rank and len(queue)
            ]
            if not later_ranks:
                return self._push_into_full(self._queue(own_rank), ticket)
            dropped = self._drop_newest(self._ranks[max(later_ranks)])
        return dropped + self._queue(own_rank).push(ticket)

    def pop(self, expected_end_at: float = -math.inf) -> Ticket | None:
        """Remove and return the call to start next; `charge` counts it."""
        self._demote_late(expected_end_at)
        for rank in sorted(self._ranks):
            ticket = self._ranks[rank].pop()
            if ticket is not None:
                return ticket
        return None

    def charge(
        self, ticket: Ticket, expected_end_at: float = -math.inf
    ) -> None:
        """Advance the virtual time of its rank for a started call."""
        self._queue(_rank_of(ticket, expected_end_at)).charge(ticket.tenant)

    def remove(self, call: str) -> bool:
        """Remove a call; return whether it was waiting."""
        return any(queue.remove(call) for queue in self._ranks.values())

    def remove_where(self, *, movable_only: bool) -> list[Ticket]:
        """Remove and return all calls, or those that another target may run."""

        def predicate(ticket: Ticket) -> bool:
            return ticket.may_move or not movable_only

        return [
            ticket
            for queue in self._ranks.values()
            for ticket in queue.remove_where(predicate)
        ]

    def _demote_late(self, expected_end_at: float) -> None:
        """Move calls that became late while they waited to a later rank."""

        def is_late(ticket: Ticket) -> bool:
            return _is_late(ticket, expected_end_at)

        on_time = [queue for rank, queue in self._ranks.items() if not rank[0]]
        for queue in on_time:
            for ticket in queue.remove_where(is_late):
                self._queue(_rank_of(ticket, expected_end_at)).insert(ticket)

    def _push_into_full(self, queue: FairQueue, ticket: Ticket) -> list[Ticket]:
        """Add a call to a rank that may not grow; return what is dropped."""
        queue.set_capacity(len(queue))
        dropped = queue.push(ticket)
        queue.set_capacity(self._max_calls)
        return dropped

    def _drop_newest(self, queue: FairQueue) -> list[Ticket]:
        dropped = queue.set_capacity(len(queue) - 1)
        queue.set_capacity(self._max_calls)
        return dropped

    def _queue(self, rank: _Rank) -> FairQueue:
        queue = self._ranks.get(rank)
        if queue is None:
            queue = FairQueue.from_capacity(self._max_calls)
            queue.set_weights(self._tenant_weights)
            self._ranks[rank] = queue
        return queue


def _rank_of(ticket: Ticket, expected_end_at: float) -> _Rank:
    return (_is_late(ticket, expected_end_at), ticket.priority)


def _is_late(ticket: Ticket, expected_end_at: float) -> bool:
    """Return whether the answer would be late if the call started now."""
    return ticket.objective < expected_end_at + ticket.extra_s
