"""A model target behind the admission control of its node."""

import math
import random
from collections.abc import Callable

import attrs

from bench.model import scenarios
from bench.model.clock import Clock
from daisyline.coordination.admission.admission import Admission, Queued
from daisyline.coordination.admission.fair_queue import Ticket
from daisyline.state.failures import Failure, Outcome, Reason
from daisyline.state.settings import Limits
from daisyline.state.targets import LoadReport

#: Mean service times of short calls and of long calls; one call in ten is
#: long. Half of a service time is fixed and the other half is drawn from an
#: exponential distribution.
SHORT_SERVICE_S = 0.008
LONG_SERVICE_S = 0.032
LONG_FRACTION = 0.1
MEAN_SERVICE_S = (
    SHORT_SERVICE_S * (1 - LONG_FRACTION) + LONG_SERVICE_S * LONG_FRACTION
)

Reply = Callable[[Failure | None, LoadReport], None]


@attrs.define
class ModelTarget:
    """Runs calls with the service times of a scenario and counts overloads."""

    number: int
    scenario: scenarios.Scenario
    clock: Clock
    rng: random.Random
    admission: Admission
    overloaded_calls: int = 0
    _replies: dict[str, Reply] = attrs.field(factory=dict)
    _cold_calls_left: int = 0

    @classmethod
    def from_scenario(
        cls,
        number: int,
        scenario: scenarios.Scenario,
        clock: Clock,
        rng: random.Random,
        limits: Limits,
    ) -> 'ModelTarget':
        """Build a warm target that turns cold at the scenario's time."""
        admission = Admission.from_limits(limits, clock.now)
        target = cls(number, scenario, clock, rng, admission)
        at_s = scenarios.turns_cold_at(scenario, number)
        if math.isfinite(at_s):
            clock.call_after(at_s, target.turn_cold)
        return target

    def turn_cold(self) -> None:
        """Make the target cold without announcing it to its node."""
        self._cold_calls_left = scenarios.COLD_CALLS

    def offer(self, ticket: Ticket, reply: Reply) -> None:
        """Offer an incoming call to admission control and run it if admitted.

        Args:
            ticket: The call.
            reply: Receives the failure, or None, and the load afterwards.
        """
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
        self.clock.call_after(at - self.clock.now, self._wake)

    def _wake(self) -> None:
        for call, failure in self.admission.expire(self.clock.now):
            self._replies.pop(call)(failure, self.admission.load)

    def _run(self, call: str) -> None:
        now = self.clock.now
        mean_s = (
            LONG_SERVICE_S
            if self.rng.random() < LONG_FRACTION
            else SHORT_SERVICE_S
        )
        half_s = mean_s / 2
        service_s = half_s + self.rng.expovariate(1 / half_s)
        service_s *= scenarios.service_time_factor(
            self.scenario, self.number, now
        )
        succeeded = not scenarios.is_failing(self.scenario, self.number, now)
        if self._cold_calls_left:
            self._cold_calls_left -= 1
            service_s *= scenarios.COLD_FACTOR
            if self.admission.running > scenarios.COLD_MAX_RUNNING:
                self.overloaded_calls += 1
                succeeded = False
        if not succeeded:
            service_s = min(service_s, scenarios.FAST_FAILURE_S)
        self.clock.call_after(service_s, self._end, call, service_s, succeeded)

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
