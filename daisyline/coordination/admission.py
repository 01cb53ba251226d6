"""Admission at a target's node: a call starts, waits or is refused."""

import heapq
import math
from collections.abc import Mapping

import attrs

from daisyline.coordination.breaker import Breaker
from daisyline.coordination.concurrency import Concurrency
from daisyline.coordination.fair_queue import Ticket
from daisyline.coordination.ranked_queue import RankedQueue
from daisyline.coordination.rate_limit import RateLimit
from daisyline.state.failures import Failure, Outcome, Reason
from daisyline.state.settings import Limits
from daisyline.state.targets import LoadReport, Phase

MS_PER_S = 1000
#: A call that can still move waits at most this many service times, or this
#: long, whichever is more.
MOVE_WAIT_SERVICES = 2
MOVE_WAIT_S = 0.004
#: While starts are bounded by a rate, it waits for so many turns; the other
#: targets are then probably cold too.
MOVE_WAIT_TURNS = 4
#: A call whose answer would be late waits for this part of the time that it
#: then has left, so that its caller may still be served elsewhere.
LATE_WAIT_PART = 0.25
US_PER_S = 1_000_000


@attrs.frozen
class Admitted:
    """The call holds a slot: hand it to the target."""


@attrs.frozen
class Queued:
    """The call waits; `finish` or `expire` will name it."""


Refusals = list[tuple[str, Failure]]


@attrs.frozen
class Change:
    """What a change of phase or limits brought about.

    Attributes:
        started: Calls that hold a slot from now on.
        refused: Calls that waited and are refused as not run.
    """

    started: list[str] = attrs.field(factory=list)
    refused: Refusals = attrs.field(factory=list)


@attrs.define
class _Waits:
    """When each waiting call gives up, the earliest first."""

    _heap: list[tuple[float, str]] = attrs.field(factory=list)
    _times: dict[str, float] = attrs.field(factory=dict)

    def __getitem__(self, call: str) -> float:
        return self._times[call]

    def add(self, call: str, at: float) -> None:
        self._times[call] = at
        heapq.heappush(self._heap, (at, call))

    def discard(self, call: str) -> None:
        self._times.pop(call, None)

    def next_at(self) -> float:
        """Return the earliest time, or infinity."""
        while self._heap and self._is_stale(*self._heap[0]):
            heapq.heappop(self._heap)
        return self._heap[0][0] if self._heap else math.inf

    def pop(self) -> str:
        """Take the call that gives up first."""
        call = heapq.heappop(self._heap)[1]
        self._times.pop(call)
        return call

    def _is_stale(self, at: float, call: str) -> bool:
        return self._times.get(call) != at


@attrs.define
class Admission:
    """Admits calls to one target; its counts are exact.

    Calls whose end isn't the answer to the call that caused it (displaced
    from the queue, or found too late when a slot came free) are named by the
    next `expire`, and `next_at` is then in the past.
    """

    _contract: Limits
    _concurrency: Concurrency
    _queue: RankedQueue
    _now: float
    _breaker: Breaker = attrs.field(factory=Breaker)
    _announced: Phase = Phase.READY
    _cold_rate: RateLimit = attrs.field(factory=lambda: RateLimit(0))
    _running: set[str] = attrs.field(factory=set)
    _waits: _Waits = attrs.field(factory=_Waits)
    _refused: Refusals = attrs.field(factory=list)

    @classmethod
    def from_limits(
        cls, limits: Limits, now: float, *, candid: bool = False
    ) -> 'Admission':
        """Build admission for a target just met.

        Args:
            limits: What the contract allows.
            now: Monotonic seconds.
            candid: Whether the target says itself when it is cold; one that
                doesn't is taken for cold at first.
        """
        return cls(
            contract=limits,
            concurrency=Concurrency.from_limits(limits, candid=candid),
            queue=RankedQueue.from_capacity(limits.queue_per_upstream),
            now=now,
            cold_rate=RateLimit(limits.cold_calls_per_s),
        )

    @property
    def running(self) -> int:
        """Return how many calls hold a slot."""
        return len(self._running)

    @property
    def load(self) -> LoadReport:
        """Return what goes back to entry nodes with each answer."""
        return LoadReport(
            running=self.running,
            waiting=len(self._queue),
            limit=self._concurrency.limit,
            service_us=int(self._concurrency.service_s * US_PER_S),
        )

    def offer(self, ticket: Ticket, now: float) -> Admitted | Queued | Failure:
        """Decide on a call that has just come in."""
        failure = self._refusal(ticket, now)
        if failure is not None:
            return failure
        if self._has_room(now) and not self._queue:
            self._start(ticket, now)
            return Admitted()
        return self._enqueue(ticket, now)

    def finish(
        self, call: str, now: float, *, service_s: float, succeeded: bool | None
    ) -> list[str]:
        """Free the slot of a call that ended; unknown calls are ignored.

        Args:
            call: The call's id.
            now: Monotonic seconds.
            service_s: How long the target took, in seconds.
            succeeded: Whether the target answered without a failure; `None`
                if the end says nothing of the target, as a caller that left.

        Returns:
            The calls that hold a slot from now on.
        """
        if call not in self._running:
            return []
        self._running.remove(call)
        if succeeded is not None:
            if self._concurrency.observe(service_s, succeeded=succeeded):
                self._refuse_all(Reason.OVERLOADED, movable_only=True)
            if self._breaker.observe(now, succeeded=succeeded):
                self._refuse_all(Reason.OVERLOADED)
        return self.resume(now)

    def withdraw(self, call: str, now: float) -> bool:
        """Take out a call that nobody waits for; return whether it waited."""
        self._waits.discard(call)
        # It may have lost its place already, and nobody is to be told.
        self._refused = [one for one in self._refused if one[0] != call]
        return self._queue.remove(call)

    def expire(self, now: float) -> Refusals:
        """Return the waiting calls that end without having run."""
        while self._waits.next_at() <= now:
            call = self._waits.pop()
            self._queue.remove(call)
            self._refused.append((call, Failure(Reason.QUEUE_TIMEOUT)))
        refused = self._refused.copy()
        self._refused.clear()
        return refused

    def next_at(self) -> float:
        """Return when `expire` or `resume` has something to do."""
        if self._refused:
            return -math.inf
        next_at = self._waits.next_at()
        if self._queue and self.running < self._concurrency.limit:
            return min(next_at, self._cold_rate.next_at())
        return next_at

    def resume(self, now: float) -> list[str]:
        """Start waiting calls while there is room; return which."""
        started = []
        while self._has_room(now):
            ticket = self._queue.pop(self._concurrency.ready_by(now))
            if ticket is None:
                break
            if self._waits[ticket.call] <= now:
                self._refuse(ticket, Reason.QUEUE_TIMEOUT)
            else:
                self._waits.discard(ticket.call)
                self._start(ticket, now)
                started.append(ticket.call)
        return started

    def set_limits(self, limits: Limits, now: float) -> Change:
        """Follow a change of settings."""
        self._contract = limits
        self._concurrency.set_limits(limits)
        self._cold_rate.per_s = limits.cold_calls_per_s
        _bound_cold(self._concurrency, self._cold_rate, self._announced)
        dropped = self._queue.set_capacity(limits.queue_per_upstream)
        for ticket in dropped:
            self._refuse(ticket, Reason.OVERLOADED)
        return Change(started=self.resume(now), refused=self.expire(now))

    def set_phase(self, phase: Phase, now: float) -> Change:
        """Follow what the target says of itself; repeats change nothing."""
        if phase == self._announced:
            return Change()
        self._announced = phase
        _bound_cold(self._concurrency, self._cold_rate, phase)
        if phase == Phase.LEAVING:
            self._refuse_all(Reason.LEAVING)
        return Change(started=self.resume(now), refused=self.expire(now))

    def turned_cold(self, now: float) -> None:
        """Go back to one slot, as for a new instance; running calls go on."""
        self._concurrency.turned_cold()
        self._breaker = Breaker()

    def set_weights(self, weights: Mapping[str, int]) -> None:
        """Replace the tenants' weights; one not named has the weight 1."""
        self._queue.set_weights(weights)

    def _refusal(self, ticket: Ticket, now: float) -> Failure | None:
        """Return why a call can neither start nor wait, if that is so."""
        if ticket.call in self._running or ticket.call in self._queue:
            return Failure(Reason.DUPLICATE, Outcome.UNKNOWN)
        if self._announced == Phase.LEAVING:
            return Failure(Reason.LEAVING, detail='the target is leaving')
        if ticket.give_up_at <= now:
            return Failure(Reason.DEADLINE, detail='the deadline has passed')
        if self._breaker.is_open(now):
            return Failure(Reason.OVERLOADED, detail='the target fails calls')
        return None

    def _enqueue(self, ticket: Ticket, now: float) -> Queued | Failure:
        gives_up_at = self._gives_up_at(ticket, now)
        ready_by = self._concurrency.ready_by(now)
        turns = self._queue.ahead_of(ticket, ready_by) + 1
        wait_s = max(
            turns * self._concurrency.turn_s,
            self._cold_rate.wait_s(turns, now),
        )
        if now + wait_s > gives_up_at:
            return Failure(Reason.OVERLOADED, detail='the wait is too long')
        dropped = self._queue.push(ticket, ready_by)
        if ticket in dropped:
            return Failure(Reason.OVERLOADED, detail='the queue is full')
        for loser in dropped:
            self._refuse(loser, Reason.OVERLOADED)
        self._waits.add(ticket.call, gives_up_at)
        return Queued()

    def _gives_up_at(self, ticket: Ticket, now: float) -> float:
        """Return when a call that still waits is refused."""
        service_s = self._concurrency.service_s
        wait_s = self._contract.queue_wait_ms / MS_PER_S
        if ticket.may_move:
            move_wait_s = max(
                MOVE_WAIT_S,
                MOVE_WAIT_SERVICES * service_s,
                MOVE_WAIT_TURNS * self._cold_rate.turn_s,
            )
            wait_s = min(wait_s, move_wait_s)
        late_at = max(now, ticket.wanted_by - service_s)
        if late_at < ticket.give_up_at:
            late_s = LATE_WAIT_PART * (ticket.give_up_at - late_at)
            wait_s = min(wait_s, late_at + late_s - now)
        return min(now + wait_s, ticket.give_up_at - service_s)

    def _has_room(self, now: float) -> bool:
        has_slot = self.running < self._concurrency.limit
        return has_slot and self._cold_rate.allows(now)

    def _start(self, ticket: Ticket, now: float) -> None:
        assert self.running < self._contract.slots_per_upstream
        self._running.add(ticket.call)
        self._queue.charge(ticket, self._concurrency.ready_by(now))
        # Counted also while it is warm, as it may turn out to have been cold.
        self._cold_rate.started(now)

    def _refuse_all(
        self, reason: Reason, *, movable_only: bool = False
    ) -> None:
        for ticket in self._queue.take_out(movable_only=movable_only):
            self._refuse(ticket, reason)

    def _refuse(self, ticket: Ticket, reason: Reason) -> None:
        self._waits.discard(ticket.call)
        self._refused.append((ticket.call, Failure(reason)))


def _bound_cold(
    concurrency: Concurrency, rate: RateLimit, phase: Phase
) -> None:
    """Bound a cold target by its rate, or by one slot if it has none."""
    is_cold = phase == Phase.COLD
    concurrency.hold(is_cold and not rate.per_s)
    rate.holds = is_cold and rate.per_s > 0
