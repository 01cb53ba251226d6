"""Entry nodes that send calls to model targets, with the tally of outcomes."""

import random

import attrs
from hdrh.histogram import HdrHistogram

from bench.model import scenarios
from bench.model.clock import Clock
from bench.model.targets import MEAN_SERVICE_S, ModelTarget
from daisyline.coordination.admission.fair_queue import Ticket
from daisyline.coordination.calls.retries import (
    Attempt,
    Retry,
    RetryBudget,
    decide_retry,
)
from daisyline.coordination.routing.policies import Candidate, Policy
from daisyline.coordination.routing.routing import Router
from daisyline.state.failures import Failure
from daisyline.state.settings import Limits
from daisyline.state.targets import LoadReport

ZONE_COUNT = 3
SAME_ZONE_DELAY_S = 0.0001
CROSS_ZONE_DELAY_S = 0.001
DEADLINE_S = 1.0
REPEATABLE_FRACTION = 0.8
TENANT_COUNT = 4
US_PER_S = 1_000_000
MAX_LATENCY_US = 10_000_000


@attrs.frozen
class Size:
    """Size of a fleet and the load on it.

    Attributes:
        name: Name of the size in the printed table.
        upstreams: Number of targets of the service.
        slots: Slots of each target.
        entries: Number of entry nodes.
        load_fraction: Offered calls as a fraction of the capacity of warm
            targets.
        seconds: Duration of the run, in virtual seconds.
    """

    name: str
    upstreams: int
    slots: int
    entries: int
    load_fraction: float
    seconds: float

    @property
    def calls_per_s(self) -> float:
        """Return the mean rate of calls over all entry nodes."""
        return self.load_fraction * self.upstreams * self.slots / MEAN_SERVICE_S


@attrs.define
class Tally:
    """Counts of the calls of one run by outcome, and their latencies."""

    latency: HdrHistogram = attrs.field(
        factory=lambda: HdrHistogram(1, MAX_LATENCY_US, 3)
    )
    offered: int = 0
    refused: int = 0
    failed: int = 0
    attempts: int = 0

    def percentile_ms(self, percent: float) -> float:
        """Return a percentile of the latency of answered calls, in ms."""
        return self.latency.get_value_at_percentile(percent) / 1000


@attrs.define
class _Entry:
    """One entry node with its router and its retry budget."""

    zone: int
    router: Router
    budget: RetryBudget


@attrs.define
class _Call:
    """State of one call that has not ended yet."""

    ticket: Ticket
    entry: _Entry
    started_at: float
    repeatable: bool
    attempt: int = 1
    retried: bool = False
    tried: frozenset[str] = frozenset()


@attrs.define
class Fleet:
    """Runs one scenario under one policy."""

    size: Size
    scenario: scenarios.Scenario
    clock: Clock
    rng: random.Random
    targets: dict[str, ModelTarget]
    candidates: list[Candidate]
    entries: list[_Entry]
    tally: Tally = attrs.field(factory=Tally)

    @classmethod
    def from_size(
        cls,
        size: Size,
        scenario: scenarios.Scenario,
        policy: Policy,
        remote_penalty_ms: float,
        seed: int,
    ) -> 'Fleet':
        """Build a fleet.

        Args:
            size: The size of the fleet.
            scenario: The load and the faults of the run.
            policy: The routing policy of all entry nodes.
            remote_penalty_ms: See `Router.from_config`.
            seed: Seed of all random numbers.
        """
        rng = random.Random(seed)
        clock = Clock()
        limits = Limits(slots_per_upstream=size.slots)
        targets = {
            str(number): ModelTarget.from_scenario(
                number, scenario, clock, rng, limits
            )
            for number in range(size.upstreams)
        }
        return cls(
            size=size,
            scenario=scenario,
            clock=clock,
            rng=rng,
            targets=targets,
            candidates=[
                Candidate(node, '', str(int(node) % ZONE_COUNT), 1)
                for node in targets
            ],
            entries=[
                _Entry(
                    number % ZONE_COUNT,
                    Router.from_config(
                        policy,
                        rng,
                        zone=str(number % ZONE_COUNT),
                        remote_penalty_ms=remote_penalty_ms,
                    ),
                    RetryBudget.from_limits(limits, 0),
                )
                for number in range(size.entries)
            ],
        )

    @property
    def overloaded_calls(self) -> int:
        """Return how many calls exceeded what cold targets could run."""
        return sum(target.overloaded_calls for target in self.targets.values())

    def run(self) -> Tally:
        """Run the scenario to its end and return the tally."""
        self.clock.call_after(0, self._handle_arrival)
        self.clock.run_until(self.size.seconds + DEADLINE_S)
        return self.tally

    def _handle_arrival(self) -> None:
        """Send one call and schedule the next arrival."""
        now = self.clock.now
        if now >= self.size.seconds:
            return
        factor = scenarios.load_factor(self.scenario, now)
        gap_s = self.rng.expovariate(self.size.calls_per_s * factor)
        self.clock.call_after(gap_s, self._handle_arrival)
        self.tally.offered += 1
        ticket = Ticket(
            str(self.tally.offered),
            str(self.rng.randrange(TENANT_COUNT)),
            now + DEADLINE_S,
        )
        entry = self._pick_entry()
        entry.budget.deposit(now)
        repeatable = self.rng.random() < REPEATABLE_FRACTION
        self._send(_Call(ticket, entry, now, repeatable))

    def _pick_entry(self) -> _Entry:
        zones = scenarios.caller_zone_count(self.scenario) or ZONE_COUNT
        while True:
            entry = self.rng.choice(self.entries)
            if entry.zone < zones:
                return entry

    def _send(self, call: _Call) -> None:
        now = self.clock.now
        node = call.entry.router.pick(self.candidates, now, call.tried)
        if isinstance(node, Failure):
            self.tally.refused += 1
            return
        call.tried |= {node}
        call.entry.router.record_sent(node, now)
        self.tally.attempts += 1
        network_delay_s = self._network_delay_s(call.entry, node)

        def reply(failure: Failure | None, load: LoadReport) -> None:
            self.clock.call_after(
                network_delay_s, self._handle_reply, call, node, failure, load
            )

        may_move = call.entry.router.may_move(self.candidates, call.tried)
        ticket = attrs.evolve(call.ticket, may_move=may_move)
        self.clock.call_after(
            network_delay_s, self.targets[node].offer, ticket, reply
        )

    def _network_delay_s(self, entry: _Entry, node: str) -> float:
        return (
            SAME_ZONE_DELAY_S
            if int(node) % ZONE_COUNT == entry.zone
            else CROSS_ZONE_DELAY_S
        )

    def _handle_reply(
        self,
        call: _Call,
        node: str,
        failure: Failure | None,
        load: LoadReport,
    ) -> None:
        now = self.clock.now
        call.entry.router.record_end(
            node, now, load, refused=failure is not None
        )
        if failure is None:
            self.tally.latency.record_value(
                int((now - call.started_at) * US_PER_S)
            )
            return
        attempt = Attempt(
            number=call.attempt,
            repeatable=call.repeatable,
            retried=call.retried,
            left_s=call.ticket.deadline - now,
        )
        decision = decide_retry(attempt, failure, call.entry.budget, now)
        if isinstance(decision, Retry):
            call.attempt = decision.number
            call.retried = decision.retried
            self._send(call)
        else:
            self._count_failure(decision)

    def _count_failure(self, failure: Failure) -> None:
        if failure.outcome == 'not-run':
            self.tally.refused += 1
        else:
            self.tally.failed += 1
