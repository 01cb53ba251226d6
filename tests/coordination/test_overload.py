"""What callers get while a service comes back with a backlog.

The load is the one after a loss of power: a cold target that bears a bounded
number of starts a second, callers that come again and are late already, and
new callers who want an answer within their objective.
"""

import heapq
import math

import attrs

from daisyline.coordination.admission import Admission, Admitted, Queued
from daisyline.coordination.fair_queue import Ticket
from daisyline.state.settings import Limits
from daisyline.state.targets import Phase
from tests.support import function_tests

load_tests = function_tests(__name__)

STARTS_PER_S = 25
SERVICE_S = 0.1
OBJECTIVE_S = 0.4
DEADLINE_S = 2.5
# Callers that come again, spread over the first second.
BACKLOG = 60
FRESH_PER_S = 20
LOAD_S = 3.0


@attrs.define
class Played:
    """A target's admission and when its calls end.

    Attributes:
        in_time: New callers answered within their objective.
        served: All callers answered.
    """

    admission: Admission
    arrived: dict[str, float] = attrs.field(factory=dict)
    ends: list[tuple[float, str]] = attrs.field(factory=list)
    in_time: int = 0
    served: int = 0

    def offer(self, ticket: Ticket, now: float) -> None:
        """Offer a call, and note when it would end if it starts."""
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
        """Let calls end and waiting ones start until a time."""
        due = self._due()
        while due <= now:
            at = max(due, 0)
            self.admission.expire(at)
            if self.ends and self.ends[0][0] <= at:
                self._finish(at)
            for call in self.admission.resume(at):
                self.start(call, at)
            due = self._due()

    def _due(self) -> float:
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


def _play(*, tells_late: bool) -> Played:
    """Play the load; `tells_late` is whether objectives are known."""
    limits = Limits(slots_per_upstream=9, cold_calls_per_s=STARTS_PER_S)
    played = Played(Admission.from_limits(limits, 0, announces_cold=True))
    played.admission.set_phase(Phase.COLD, 0)
    callers = [
        (number / BACKLOG, f'again{number}') for number in range(BACKLOG)
    ] + [
        (number / FRESH_PER_S, f'new{number}')
        for number in range(int(LOAD_S * FRESH_PER_S))
    ]
    for at, call in sorted(callers):
        objective = at + OBJECTIVE_S if call.startswith('new') else at
        ticket = Ticket(
            call,
            't',
            at + DEADLINE_S,
            objective=objective if tells_late else math.inf,
        )
        played.offer(ticket, at)
    played.advance(LOAD_S + DEADLINE_S)
    return played


def test_new_callers_are_served_in_time_while_a_backlog_is_worked_off() -> None:
    knowing, blind = _play(tells_late=True), _play(tells_late=False)
    new = int(LOAD_S * FRESH_PER_S)
    assert knowing.in_time >= 0.9 * new
    assert knowing.in_time > blind.in_time
    # The room that is left still serves some of those who are late.
    assert knowing.served > knowing.in_time
