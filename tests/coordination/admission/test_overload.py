"""New callers are served in time while a service recovers with a backlog.

The load is that after a power failure: a cold target that can start a bounded
number of calls a second, callers that send their requests again and are late
already, and new callers that want an answer within their objective.
"""

import heapq
import math

import attrs

from daisyline.coordination.admission.admission import (
    Admission,
    Admitted,
    Queued,
)
from daisyline.coordination.admission.fair_queue import Ticket
from daisyline.state.settings import Limits
from daisyline.state.targets import Phase
from tests.support import function_tests

load_tests = function_tests(__name__)

STARTS_PER_S = 25
SERVICE_S = 0.1
OBJECTIVE_S = 0.4
DEADLINE_S = 2.5
# Callers that send a request again, spread over the first second.
BACKLOG_CALLERS = 60
NEW_CALLERS_PER_S = 20
LOAD_DURATION_S = 3.0


@attrs.define
class Simulation:
    """A simulation of a target's admission and of the calls that it starts.

    Attributes:
        in_time: The number of new callers answered within their objective.
        served: The number of all callers answered.
    """

    admission: Admission
    arrived: dict[str, float] = attrs.field(factory=dict)
    ends: list[tuple[float, str]] = attrs.field(factory=list)
    in_time: int = 0
    served: int = 0

    def offer(self, ticket: Ticket, now: float) -> None:
        """Offer a call, and run it if it starts."""
        self.advance(now)
        self.arrived[ticket.call] = now
        decision = self.admission.offer(ticket, now)
        if isinstance(decision, Admitted):
            self.start(ticket.call, now)
        else:
            assert isinstance(decision, Queued) or decision.outcome == 'not-run'

    def start(self, call: str, now: float) -> None:
        """Run a call for its service time."""
        heapq.heappush(self.ends, (now + SERVICE_S, call))

    def advance(self, now: float) -> None:
        """Advance the time: calls end and waiting calls start."""
        next_at = self._next_at()
        while next_at <= now:
            at = max(next_at, 0)
            self.admission.expire(at)
            if self.ends and self.ends[0][0] <= at:
                self._finish(at)
            for call in self.admission.resume(at):
                self.start(call, at)
            next_at = self._next_at()

    def _next_at(self) -> float:
        ends_at = self.ends[0][0] if self.ends else math.inf
        return min(ends_at, self.admission.next_at())

    def _finish(self, now: float) -> None:
        call = heapq.heappop(self.ends)[1]
        self.served += 1
        is_new = call.startswith('new')
        self.in_time += is_new and now <= self.arrived[call] + OBJECTIVE_S
        started = self.admission.finish(
            call, now, service_s=SERVICE_S, succeeded=True
        )
        for name in started:
            self.start(name, now)


def _simulate(*, has_objectives: bool) -> Simulation:
    """Run the load; `has_objectives` is whether admission knows objectives."""
    limits = Limits(slots_per_upstream=9, cold_calls_per_s=STARTS_PER_S)
    simulation = Simulation(
        Admission.from_limits(limits, 0, announces_cold=True)
    )
    simulation.admission.set_phase(Phase.COLD, 0)
    callers = [
        (number / BACKLOG_CALLERS, f'again{number}')
        for number in range(BACKLOG_CALLERS)
    ] + [
        (number / NEW_CALLERS_PER_S, f'new{number}')
        for number in range(int(LOAD_DURATION_S * NEW_CALLERS_PER_S))
    ]
    for at, call in sorted(callers):
        objective = at + OBJECTIVE_S if call.startswith('new') else at
        ticket = Ticket(
            call,
            't',
            at + DEADLINE_S,
            objective=objective if has_objectives else math.inf,
        )
        simulation.offer(ticket, at)
    simulation.advance(LOAD_DURATION_S + DEADLINE_S)
    return simulation


def test_new_callers_are_served_in_time_while_a_backlog_is_worked_off() -> None:
    with_objectives, without_objectives = (
        _simulate(has_objectives=True),
        _simulate(has_objectives=False),
    )
    new = int(LOAD_DURATION_S * NEW_CALLERS_PER_S)
    assert with_objectives.in_time >= 0.9 * new
    assert with_objectives.in_time > without_objectives.in_time
    # The remaining capacity still serves some of the late callers.
    assert with_objectives.served > with_objectives.in_time
