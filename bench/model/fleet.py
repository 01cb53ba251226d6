"""Entries that send calls to model targets, and what came of the calls."""

import random

import attrs
from hdrh.histogram import HdrHistogram

from bench.model import scenarios
from bench.model.clock import Clock
from bench.model.targets import MEAN_S, ModelTarget
from daisyline.coordination.fair_queue import Ticket
from daisyline.coordination.policies import Candidate, Policy
from daisyline.coordination.retries import (
    Attempt,
    Retry,
    RetryBudget,
    decide_retry,
)
from daisyline.coordination.routing import Router
from daisyline.state.failures import Failure
from daisyline.state.settings import Limits
from daisyline.state.targets import LoadReport

ZONES = 3
NEAR_S = 0.0001
FAR_S = 0.001
DEADLINE_S = 1.0
REPEATABLE_PART = 0.8
TENANTS = 4
US_PER_S = 1_000_000
HIGHEST_US = 10_000_000


@attrs.frozen
class Size:
    """How large the fleet is.

    Attributes:
        name: What the table calls it.
        upstreams: Targets of the service.
        slots: Slots of each.
        entries: Nodes that callers come to.
        load: Calls offered, as a part of what warm targets can serve.
        seconds: Virtual seconds of the run.
    """

    name: str
    upstreams: int
    slots: int
    entries: int
    load: float
    seconds: float

    @property
    def calls_per_s(self) -> float:
        """Return the mean rate of calls over all entries."""
        return self.load * self.upstreams * self.slots / MEAN_S


@attrs.define
class Tally:
    """What came of the calls of one run."""

    latency: HdrHistogram = attrs.field(
        factory=lambda: HdrHistogram(1, HIGHEST_US, 3)
    )
    offered: int = 0
    refused: int = 0
    failed: int = 0
    attempts: int = 0

    def percentile_ms(self, percent: float) -> float:
        """Return a percentile of the latency of answered calls."""
        return self.latency.get_value_at_percentile(percent) / 1000


@attrs.define
class _Entry:
    """One entry node."""

    zone: int
    router: Router
    budget: RetryBudget


@attrs.define
class _Call:
    """One call of a caller on its way."""

    ticket: Ticket
    entry: _Entry
    began: float
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
        """Build a fleet; see `Router.from_config` for `remote_penalty_ms`."""
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
                Candidate(node, '', str(int(node) % ZONES), 1)
                for node in targets
            ],
            entries=[
                _Entry(
                    number % ZONES,
                    Router.from_config(
                        policy,
                        rng,
                        zone=str(number % ZONES),
                        remote_penalty_ms=remote_penalty_ms,
                    ),
                    RetryBudget.from_limits(limits, 0),
                )
                for number in range(size.entries)
            ],
        )

    @property
    def overloaded(self) -> int:
        """Return how many calls cold targets were given too many."""
        return sum(target.overloaded for target in self.targets.values())

    def run(self) -> Tally:
        """Run the scenario to its end and return the tally."""
        self.clock.after(0, self._arrive)
        self.clock.run_until(self.size.seconds + DEADLINE_S)
        return self.tally

    def _arrive(self) -> None:
        """Take one call and plan the next."""
        now = self.clock.now
        if now >= self.size.seconds:
            return
        factor = scenarios.load_factor(self.scenario, now)
        gap_s = self.rng.expovariate(self.size.calls_per_s * factor)
        self.clock.after(gap_s, self._arrive)
        self.tally.offered += 1
        ticket = Ticket(
            str(self.tally.offered),
            str(self.rng.randrange(TENANTS)),
            now + DEADLINE_S,
        )
        entry = self._entry()
        entry.budget.deposit(now)
        repeatable = self.rng.random() < REPEATABLE_PART
        self._send(_Call(ticket, entry, now, repeatable))

    def _entry(self) -> _Entry:
        zones = scenarios.entry_zones(self.scenario) or ZONES
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
        way_s = self._way_s(call.entry, node)

        def reply(failure: Failure | None, load: LoadReport) -> None:
            self.clock.after(way_s, self._done, call, node, failure, load)

        may_move = call.entry.router.may_move(self.candidates, call.tried)
        ticket = attrs.evolve(call.ticket, may_move=may_move)
        self.clock.after(way_s, self.targets[node].offer, ticket, reply)

    def _way_s(self, entry: _Entry, node: str) -> float:
        return NEAR_S if int(node) % ZONES == entry.zone else FAR_S

    def _done(
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
            self.tally.latency.record_value(int((now - call.began) * US_PER_S))
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
            self._count(decision)

    def _count(self, failure: Failure) -> None:
        if failure.outcome == 'not-run':
            self.tally.refused += 1
        else:
            self.tally.failed += 1
