"""Calls stay in their zone while their callers do not notice, and then spill."""

import heapq
import random

import attrs

from daisyline.coordination.routing.policies import Candidate, ZoneAwareWait
from daisyline.coordination.routing.routing import Router, zone_preference_ms
from daisyline.state.limits import Limits
from daisyline.state.routes import Route
from daisyline.state.targets import LoadReport
from tests.support import function_tests

load_tests = function_tests(__name__)

SLOTS = 9
WORK_S = 0.12
OBJECTIVE_MS = 400
ROUTE = Route('r', 'h', '/', (('docs', 1),), objective_ms=OBJECTIVE_MS)
LIMITS = Limits(zone_preference_ms=30, zone_preference_percent=25)
# One target at home and four elsewhere: most callers are in the small zone.
CANDIDATES = tuple(
    Candidate(f'n{number}', 'v', 'b' if number == 0 else 'a', 1)
    for number in range(5)
)
CALLS = 4000
# 99 in 100 calls are to meet their objective.
MAX_LATE_FRACTION = 0.01
MIN_PACE, MAX_PACE = 0.6, 1.6


@attrs.define
class Play:
    """Calls of one entry node to targets of varying pace.

    Attributes:
        router: The router under test.
        rng: The source of random numbers.
        running: The number of calls at each target.
        ends: When each running call ends, with its target.
        took_s: The time that each call took, in seconds.
        at_home: The number of calls that were sent to the own zone.
    """

    router: Router
    rng: random.Random
    running: dict[str, int] = attrs.field(factory=dict)
    ends: list[tuple[float, str]] = attrs.field(factory=list)
    took_s: list[float] = attrs.field(factory=list)
    at_home: int = 0

    def run(self, calls_per_s: float) -> None:
        """Play `CALLS` calls that arrive at random times."""
        now = float(0)
        for _ in range(CALLS):
            now += self.rng.expovariate(calls_per_s)
            while self.ends and self.ends[0][0] <= now:
                self._end(*heapq.heappop(self.ends))
            self._send(now)

    def _send(self, now: float) -> None:
        preference_s = zone_preference_ms(LIMITS, ROUTE) / 1000
        node = self.router.pick(CANDIDATES, now, frozenset(), preference_s)
        assert isinstance(node, str)
        self.router.record_sent(node, now)
        self.at_home += node == 'n0'
        before = self.running.get(node, 0)
        self.running[node] = before + 1
        # Calls beyond the slots wait for a whole round of work.
        rounds = 1 + before // SLOTS
        took_s = WORK_S * rounds * self.rng.uniform(MIN_PACE, MAX_PACE)
        self.took_s.append(took_s)
        heapq.heappush(self.ends, (now + took_s, node))

    def _end(self, at: float, node: str) -> None:
        self.running[node] -= 1
        report = LoadReport(
            running=min(SLOTS, self.running[node]),
            waiting=max(0, self.running[node] - SLOTS),
            limit=SLOTS,
            service_us=int(WORK_S * 1_000_000),
            pace_percent=int(100 * self.rng.uniform(MIN_PACE, MAX_PACE)),
        )
        self.router.record_end(node, at, report, refused=False)


def _play(home_load: float) -> Play:
    """Play a load, given as a fraction of what the home target can serve."""
    rng = random.Random(7)
    play = Play(Router.from_config(ZoneAwareWait('b'), rng, zone='b'), rng)
    play.run(home_load * SLOTS / WORK_S)
    return play


def _late(play: Play) -> float:
    """Return the fraction of calls that missed the objective."""
    late = sum(took_s > OBJECTIVE_MS / 1000 for took_s in play.took_s)
    return late / len(play.took_s)


def test_calls_stay_at_home_while_it_has_room() -> None:
    play = _play(home_load=0.4)
    assert play.at_home > 0.75 * CALLS
    assert not _late(play)


def test_calls_spill_before_a_full_home_makes_them_late() -> None:
    play = _play(home_load=2)
    assert 0.2 * CALLS < play.at_home < 0.6 * CALLS
    assert _late(play) < MAX_LATE_FRACTION


def test_the_longer_preference_applies() -> None:
    assert zone_preference_ms(LIMITS, ROUTE) == OBJECTIVE_MS / 4
    short = attrs.evolve(ROUTE, objective_ms=80)
    assert zone_preference_ms(LIMITS, short) == 30
    assert zone_preference_ms(LIMITS, None) == 30
    bulky = attrs.evolve(LIMITS, bulky_zone_preference_ms=400)
    assert zone_preference_ms(bulky, attrs.evolve(ROUTE, bulky=True)) == 400
