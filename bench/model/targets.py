"""A model target with the admission of its node before it."""

import math
import random
from collections.abc import Callable

import attrs

from bench.model import scenarios
from bench.model.clock import Clock
from daisyline.coordination.admission import Admission, Queued
from daisyline.coordination.fair_queue import Ticket
from daisyline.state.failures import Failure, Outcome, Reason
from daisyline.state.settings import Limits
from daisyline.state.targets import LoadReport

#: Mean service times: most calls are short, one in ten is long. Half of a
#: service time is fixed and half is drawn from an exponential distribution.
SHORT_S = 0.008
LONG_S = 0.032
LONG_PART = 0.1
MEAN_S = SHORT_S * (1 - LONG_PART) + LONG_S * LONG_PART

Reply = Callable[[Failure | None, LoadReport], None]


@attrs.define
class ModelTarget:
    """Serves calls as slowly as the scenario says, and counts overloads."""

    number: int
    scenario: scenarios.Scenario
    clock: Clock
    rng: random.Random
    admission: Admission
    overloaded: int = 0
    _replies: dict[str, Reply] = attrs.field(factory=dict)
    _cold_left: int = 0

    @classmethod
    def from_scenario(
        cls,
        number: int,
        scenario: scenarios.Scenario,
        clock: Clock,
        rng: random.Random,
        limits: Limits,
    ) -> 'ModelTarget':
        """Build a warm target that turns cold when the scenario says."""
        admission = Admission.from_limits(limits, clock.now)
        target = cls(number, scenario, clock, rng, admission)
        at_s = scenarios.cold_at(scenario, number)
        if math.isfinite(at_s):
            clock.after(at_s, target.turn_cold)
        return target

    def turn_cold(self) -> None:
        """Lose caches, without a word to the node."""
        self._cold_left = scenarios.COLD_CALLS

    def offer(self, ticket: Ticket, reply: Reply) -> None:
        """Take a call that has come in over the network."""
        decision = self.admission.offer(ticket, self.clock.now)
        if isinstance(decision, Failure):
            reply(decision, self.admission.load)
            return
        self._replies[ticket.call] = reply
        if isinstance(decision, Queued):
            self._wake_later()
        else:
            self._run(ticket.call)

    def _wake_later(self) -> None:
        at = self.admission.next_at()
        self.clock.after(at - self.clock.now, self._wake)

    def _wake(self) -> None:
        for call, failure in self.admission.expire(self.clock.now):
            self._replies.pop(call)(failure, self.admission.load)

    def _run(self, call: str) -> None:
        now = self.clock.now
        mean_s = LONG_S if self.rng.random() < LONG_PART else SHORT_S
        half_s = mean_s / 2
        service_s = half_s + self.rng.expovariate(1 / half_s)
        service_s *= scenarios.slowness(self.scenario, self.number, now)
        succeeded = not scenarios.fails(self.scenario, self.number, now)
        if self._cold_left:
            self._cold_left -= 1
            service_s *= scenarios.COLD_FACTOR
            if self.admission.running > scenarios.COLD_BEARS:
                self.overloaded += 1
                succeeded = False
        if not succeeded:
            service_s = min(service_s, scenarios.FAIL_S)
        self.clock.after(service_s, self._end, call, service_s, succeeded)

    def _end(self, call: str, service_s: float, succeeded: bool) -> None:
        started = self.admission.finish(
            call, self.clock.now, service_s=service_s, succeeded=succeeded
        )
        failure = None
        if not succeeded:
            failure = Failure(Reason.TARGET_LOST, Outcome.UNKNOWN)
        self._replies.pop(call)(failure, self.admission.load)
        for other in started:
            self._run(other)
        self._wake()
