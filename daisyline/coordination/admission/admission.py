"""Admission control at a target's node: starts, queues or refuses calls."""

import heapq
import math

import attrs

from daisyline.coordination.admission.breaker import CircuitBreaker
from daisyline.coordination.admission.concurrency import ConcurrencyLimit
from daisyline.coordination.admission.fair_queue import Ticket
from daisyline.coordination.admission.ranked_queue import RankedQueue
from daisyline.coordination.admission.rate_limit import RateLimit
from daisyline.coordination.admission.service_floor import (
    FIRST_PRIORITY,
    ServiceFloor,
)
from daisyline.coordination.admission.service_times import ServiceTimes
from daisyline.coordination.admission.start_rate import StartRates
from daisyline.state.failures import Failure, Outcome, Reason
from daisyline.state.settings import Limits, Settings
from daisyline.state.targets import LoadReport, Phase

MS_PER_S = 1000
#: A call that another target can still take waits at most this many service
#: times or `MOVE_WAIT_S`, whichever is longer.
MOVE_WAIT_SERVICE_TIMES = 2
MOVE_WAIT_S = 0.004
#: While a rate limit bounds the starts, such a call may wait for this many
#: start intervals, because the other targets are probably cold too.
MOVE_WAIT_START_INTERVALS = 4
#: Once the answer of a waiting call would miss its objective, the call waits
#: for this fraction of the time left until its deadline. It is then refused,
#: so that another target can still serve its caller.
LATE_WAIT_FRACTION = 0.25
US_PER_S = 1_000_000


@attrs.frozen
class Admitted:
    """The call holds a slot and must be sent to the target."""


@attrs.frozen
class Queued:
    """The call waits until a later decision starts or refuses it."""


Refusals = list[tuple[str, Failure]]


@attrs.frozen
class AdmissionChange:
    """The effect of a change of phase or limits on waiting calls.

    Attributes:
        started: Calls that hold a slot from now on.
        refused: Waiting calls that are refused without having run.
    """

    started: list[str] = attrs.field(factory=list)
    refused: Refusals = attrs.field(factory=list)


@attrs.define
class _WaitDeadlines:
    """The times at which waiting calls expire, the earliest first."""

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
        """Return the earliest expiry, or infinity if no call waits."""
        while self._heap and self._is_stale(*self._heap[0]):
            heapq.heappop(self._heap)
        return self._heap[0][0] if self._heap else math.inf

    def pop(self) -> str:
        """Remove and return the call that expires first."""
        call = heapq.heappop(self._heap)[1]
        self._times.pop(call)
        return call

    def _is_stale(self, at: float, call: str) -> bool:
        return self._times.get(call) != at


@attrs.define
class Admission:
    """Admits calls to one target and keeps exact counts of them.

    A call can be refused as a side effect of a method that returns something
    else: it is displaced from the queue, or has expired when a slot becomes
    free. The next `expire` returns these refusals; until then `next_at` is in
    the past.
    """

    _contract_limits: Limits
    _concurrency: ConcurrencyLimit
    _queue: RankedQueue
    _now: float
    _breaker: CircuitBreaker = attrs.field(factory=CircuitBreaker)
    _announced_phase: Phase = Phase.READY
    _rates: StartRates = attrs.field(factory=StartRates)
    _running: dict[str, str] = attrs.field(factory=dict)
    _wait_deadlines: _WaitDeadlines = attrs.field(factory=_WaitDeadlines)
    _pending_refusals: Refusals = attrs.field(factory=list)
    _floor: ServiceFloor | None = None
    service_times: ServiceTimes = attrs.field(factory=ServiceTimes)

    @classmethod
    def from_limits(
        cls, limits: Limits, now: float, *, announces_cold: bool = False
    ) -> 'Admission':
        """Build the admission of a target that is new to this node.

        Args:
            limits: The contract's limits.
            now: Monotonic seconds.
            announces_cold: Whether the target announces when it is cold; a
                target that doesn't is treated as cold at first.
        """
        return cls(
            contract_limits=limits,
            concurrency=ConcurrencyLimit.from_limits(
                limits, announces_cold=announces_cold
            ),
            queue=RankedQueue.from_capacity(limits.queue_per_upstream),
            now=now,
            rates=StartRates(RateLimit(limits.cold_calls_per_s)),
        )

    @property
    def running(self) -> int:
        """Return how many calls hold a slot."""
        return len(self._running)

    @property
    def load(self) -> LoadReport:
        """Return the load report that entry nodes get with each answer.

        A target that names a limit is as fast as one with so few slots that
        they carry no more than that rate.
        """
        limit = self._concurrency.limit
        service_s = self._concurrency.service_s
        interval_s = self._rates.named.start_interval_s
        if interval_s:
            limit = max(1, min(limit, int(service_s / interval_s)))
            service_s = max(service_s, limit * interval_s)
        return LoadReport(
            running=self.running,
            waiting=len(self._queue),
            limit=limit,
            service_us=int(service_s * US_PER_S),
        )

    def offer(self, ticket: Ticket, now: float) -> Admitted | Queued | Failure:
        """Start, queue or refuse a call that has just arrived."""
        failure = self._refusal(ticket, now)
        if failure is not None:
            return failure
        if self._floor is not None:
            raised = self._queue.waiting_count(ticket.tenant, FIRST_PRIORITY)
            ticket = self._floor.rank(ticket, raised, now)
        ticket = self.service_times.with_extra_time(
            ticket, self._concurrency.service_s, now
        )
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
                if the end doesn't depend on the target, for instance when the
                caller disconnected.

        Returns:
            The waiting calls that were started.
        """
        if call not in self._running:
            return []
        kind = self._running.pop(call)
        if succeeded:
            self.service_times.record(kind, service_s)
        if succeeded is not None:
            if self._concurrency.record_result(service_s, succeeded=succeeded):
                self._refuse_all(Reason.OVERLOADED, movable_only=True)
            if self._breaker.record_result(now, succeeded=succeeded):
                self._refuse_all(Reason.OVERLOADED)
        return self.resume(now)

    def withdraw(self, call: str, now: float) -> bool:
        """Remove a call whose caller disconnected; return whether it waited."""
        self._wait_deadlines.discard(call)
        # The call may have been displaced already; its refusal is not needed.
        self._pending_refusals = [
            refusal for refusal in self._pending_refusals if refusal[0] != call
        ]
        return self._queue.remove(call)

    def expire(self, now: float) -> Refusals:
        """Return the waiting calls to refuse, which have not run, and why."""
        while self._wait_deadlines.next_at() <= now:
            call = self._wait_deadlines.pop()
            self._queue.remove(call)
            self._pending_refusals.append((call, Failure(Reason.QUEUE_TIMEOUT)))
        refused = self._pending_refusals.copy()
        self._pending_refusals.clear()
        return refused

    def next_at(self) -> float:
        """Return when to call `expire` and `resume` next, in monotonic seconds.

        Infinity if no call waits; minus infinity if refusals are pending.
        """
        if self._pending_refusals:
            return -math.inf
        next_at = self._wait_deadlines.next_at()
        if self._queue and self.running < self._concurrency.limit:
            return min(next_at, self._rates.next_at())
        return next_at

    def resume(self, now: float) -> list[str]:
        """Start waiting calls while slots are free; return the calls."""
        started = []
        while self._has_room(now):
            ticket = self._queue.pop(self._concurrency.expected_end_at(now))
            if ticket is None:
                break
            if self._wait_deadlines[ticket.call] <= now:
                self._refuse(ticket, Reason.QUEUE_TIMEOUT)
            else:
                self._wait_deadlines.discard(ticket.call)
                self._start(ticket, now)
                started.append(ticket.call)
        return started

    def set_limits(self, limits: Limits, now: float) -> AdmissionChange:
        """Apply changed limits."""
        self._contract_limits = limits
        self._concurrency.set_limits(limits)
        self._rates.cold.per_s = limits.cold_calls_per_s
        _apply_cold_limit(
            self._concurrency, self._rates.cold, self._announced_phase
        )
        dropped = self._queue.set_capacity(limits.queue_per_upstream)
        for ticket in dropped:
            self._refuse(ticket, Reason.OVERLOADED)
        return AdmissionChange(
            started=self.resume(now), refused=self.expire(now)
        )

    def set_named_limit(self, per_s: float, now: float) -> AdmissionChange:
        """Apply a limit that the target names.

        Waiting calls that it doesn't let start in time are refused at once.

        Args:
            per_s: The calls a second; 0 if the target names no limit.
            now: Monotonic seconds.
        """
        self._rates.named.limit_to(per_s, now)
        for ticket in self._queue.remove_where(movable_only=False):
            expected_end_at = self._concurrency.expected_end_at(now)
            position = self._queue.calls_ahead(ticket, expected_end_at) + 1
            start_at = now + self._rates.wait_s(position, now)
            dropped = [ticket]
            if start_at <= self._wait_deadlines[ticket.call]:
                dropped = self._queue.push(ticket, expected_end_at)
            for refused in dropped:
                self._refuse(refused, Reason.OVERLOADED)
        return AdmissionChange(
            started=self.resume(now), refused=self.expire(now)
        )

    def set_phase(self, phase: Phase, now: float) -> AdmissionChange:
        """Apply the phase that the target announces, if it has changed."""
        if phase == self._announced_phase:
            return AdmissionChange()
        self._announced_phase = phase
        _apply_cold_limit(self._concurrency, self._rates.cold, phase)
        if phase == Phase.LEAVING:
            self._refuse_all(Reason.LEAVING)
        return AdmissionChange(
            started=self.resume(now), refused=self.expire(now)
        )

    def reset_to_cold(self, now: float) -> None:
        """Return to one slot for a new instance; running calls continue."""
        self._concurrency.reset_to_cold()
        self._breaker = CircuitBreaker()
        self._rates.named.limit_to(0, now)

    def use_tenants(self, settings: Settings) -> None:
        """Apply the tenants' weights; an unlisted tenant has weight 1.

        Where customers have keys, none of them is served far less often than
        all, whatever its priority and weight are.
        """
        weights = settings.tenant_weights
        self._queue.set_weights(weights)
        if settings.customers.requires_keys:
            self._floor = self._floor or ServiceFloor()
            self._floor.use_customers(weights)
        else:
            self._floor = None

    def _refusal(self, ticket: Ticket, now: float) -> Failure | None:
        """Return why a call can neither start nor wait, or None."""
        if ticket.call in self._running or ticket.call in self._queue:
            return Failure(Reason.DUPLICATE, Outcome.UNKNOWN)
        if self._announced_phase == Phase.LEAVING:
            return Failure(Reason.LEAVING, detail='the target is leaving')
        if ticket.deadline <= now:
            return Failure(Reason.DEADLINE, detail='the deadline has passed')
        if self._breaker.is_open(now):
            return Failure(
                Reason.OVERLOADED, detail='the circuit breaker is open'
            )
        return None

    def _enqueue(self, ticket: Ticket, now: float) -> Queued | Failure:
        wait_deadline = _wait_deadline(
            ticket,
            self._contract_limits.queue_wait_ms / MS_PER_S,
            self._concurrency.service_s,
            self._rates.cold.start_interval_s,
            now,
        )
        expected_end_at = self._concurrency.expected_end_at(now)
        position = self._queue.calls_ahead(ticket, expected_end_at) + 1
        wait_s = max(
            position * self._concurrency.slot_interval_s,
            self._rates.wait_s(position, now),
        )
        if now + wait_s > wait_deadline:
            return Failure(
                Reason.OVERLOADED, detail='the expected wait is too long'
            )
        dropped = self._queue.push(ticket, expected_end_at)
        if ticket in dropped:
            return Failure(Reason.OVERLOADED, detail='the queue is full')
        for displaced in dropped:
            self._refuse(displaced, Reason.OVERLOADED)
        self._wait_deadlines.add(ticket.call, wait_deadline)
        return Queued()

    def _has_room(self, now: float) -> bool:
        has_slot = self.running < self._concurrency.limit
        return has_slot and self._rates.allows(now)

    def _start(self, ticket: Ticket, now: float) -> None:
        assert self.running < self._contract_limits.slots_per_upstream
        self._running[ticket.call] = ticket.kind
        self._queue.charge(ticket, self._concurrency.expected_end_at(now))
        self._rates.record_start(now)
        if self._floor is not None:
            self._floor.record_start(ticket.tenant, now)

    def _refuse_all(
        self, reason: Reason, *, movable_only: bool = False
    ) -> None:
        for ticket in self._queue.remove_where(movable_only=movable_only):
            self._refuse(ticket, reason)

    def _refuse(self, ticket: Ticket, reason: Reason) -> None:
        self._wait_deadlines.discard(ticket.call)
        self._pending_refusals.append((ticket.call, Failure(reason)))


def _apply_cold_limit(
    concurrency: ConcurrencyLimit, rate: RateLimit, phase: Phase
) -> None:
    """Bound a cold target by its start rate, or by one slot without one."""
    is_cold = phase == Phase.COLD
    concurrency.limit_to_one(is_cold and not rate.per_s)
    rate.is_active = is_cold and rate.per_s > 0


def _wait_deadline(
    ticket: Ticket,
    queue_wait_s: float,
    service_s: float,
    cold_interval_s: float,
    now: float,
) -> float:
    """Return when a call that still waits expires, in monotonic seconds.

    Args:
        ticket: The call.
        queue_wait_s: The longest wait that the contract allows, in seconds.
        service_s: The mean service time of the target's calls, in seconds.
        cold_interval_s: The time between two starts of a cold target, in
            seconds; 0 if it is warm.
        now: Monotonic seconds.
    """
    wait_s = queue_wait_s
    if ticket.may_move:
        move_wait_s = max(
            MOVE_WAIT_S,
            MOVE_WAIT_SERVICE_TIMES * service_s,
            MOVE_WAIT_START_INTERVALS * cold_interval_s,
        )
        wait_s = min(wait_s, move_wait_s)
    own_service_s = service_s + ticket.extra_s
    late_at = max(now, ticket.objective - own_service_s)
    if late_at < ticket.deadline:
        late_s = LATE_WAIT_FRACTION * (ticket.deadline - late_at)
        wait_s = min(wait_s, late_at + late_s - now)
    return min(now + wait_s, ticket.deadline - own_service_s)
