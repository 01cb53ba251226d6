"""Judge a new version against the old one on the same routes."""

import attrs

from daisyline.coordination.evidence import (
    EVIDENCE_INTERVAL_S,
    MAX_ROUTES,
    OTHER_ROUTES,
)
from daisyline.coordination.evidence_messages import Evidence
from daisyline.coordination.rollout_rates import (
    GROUPS,
    Block,
    Gains,
    Group,
    Rate,
    RateTests,
    gains_of,
    product_of,
)
from daisyline.coordination.rollout_routes import RouteCounts
from daisyline.state.rollout_plan import RolloutPlan

ALPHA = 0.001
# A guarded rollout sees few calls before all go over at once, so that a bad
# version costs far more than a good one that has to be ordered again.
GUARDED_ALPHA = 0.02
# Calls compared with fewer than this say nothing for a version.
LEAST_JUDGED = 12
# Evidence from here on is too much for a guarded rollout to be done.
DOUBT = 2.0
# Evidence from here on holds the share back, far short of a verdict.
SUSPICION = 20.0
# Quarantine stops a request that crashes targets after so many crashes.
EXCUSED_CRASHES = 3
# Judging goes on for half as long again as the rollout may take.
_HORIZON = 1.5
# Half of the false alarms allowed are for all routes taken together.
_OVERALL_WEIGHT = 0.5
_EPOCHS_KEPT = 4


@attrs.frozen
class Judgement:
    """What the evidence says now.

    Attributes:
        evidence: The e-value against the new version.
        seen: Calls of the new version in all, cold ones too.
        judged: Warm calls of the new version that were compared.
        why: The route and numbers that weigh most.
        limit: The evidence from which on the version is rolled back.
    """

    evidence: float = 0
    seen: int = 0
    judged: int = 0
    why: str = ''
    limit: float = 1 / ALPHA

    @property
    def bad(self) -> bool:
        """Return whether the new version is to be rolled back."""
        return self.evidence >= self.limit

    @property
    def doubtful(self) -> bool:
        """Return whether too little is known to give it all calls at once."""
        return self.evidence >= DOUBT or self.judged < LEAST_JUDGED

    @property
    def suspicious(self) -> bool:
        """Return whether the share must not grow."""
        return self.evidence >= SUSPICION


@attrs.define
class Judge:
    """Evidence about one rollout at one of its judges.

    New targets fall into groups, and evidence counts only as far as it
    remains when any one group is left out; so one target on a bad host, of
    several, is not held against the version. A version with one target can't
    be told from its host and is judged as it is.
    """

    _plan: RolloutPlan
    _restarts: int
    _overall: RateTests
    _counts: dict[str, RouteCounts] = attrs.field(factory=dict)
    _routes: dict[str, RateTests] = attrs.field(factory=dict)
    _groups: dict[str, Group] = attrs.field(factory=dict)
    _last_seq: dict[str, dict[int, int]] = attrs.field(factory=dict)
    _crashes: int = 0
    _seen: int = 0
    _judged: int = 0

    @classmethod
    def from_plan(cls, plan: RolloutPlan) -> 'Judge':
        """Build a judge that has no evidence yet."""
        restarts = int(_HORIZON * plan.finish_in_s / EVIDENCE_INTERVAL_S)
        overall = RateTests.from_config(_OVERALL_WEIGHT, restarts)
        return cls(plan, restarts, overall)

    def add(self, evidence: Evidence) -> bool:
        """Take in evidence once; return whether it was new."""
        of_rollout = (evidence.service, evidence.rollout)
        if of_rollout != (self._plan.service, self._plan.id):
            return False
        if self._is_repeated(evidence):
            return False
        if evidence.version == self._plan.new:
            self._add_new(evidence)
        elif self._plan.is_old_version(evidence.version):
            for row in evidence.rows:
                self._route(row.route).add_old(row)
        return True

    def evaluate(self) -> Judgement:
        """Compare what came in since the last time."""
        parts = []
        for route, counts in self._counts.items():
            for block in counts.take_blocks():
                parts.append(self._compare(route, block))
        self._overall.add(product_of(parts))
        alpha = GUARDED_ALPHA if self._plan.is_guarded else ALPHA
        return Judgement(
            self._evidence(), self._seen, self._judged, self._why(), 1 / alpha
        )

    def _compare(self, route: str, block: Block) -> Gains:
        """Compare a block on its route; return what it gains."""
        gains = gains_of(block)
        self._routes[route].add(gains)
        for tests in (self._routes[route], self._overall):
            tests.note(block)
        if block.rate is Rate.FAILED:
            self._judged += block.new_total.calls
        return gains

    def _add_new(self, evidence: Evidence) -> None:
        group = self._groups.get(evidence.target)
        if group is None:
            group = len(self._groups) % GROUPS
            self._groups[evidence.target] = group
        for row in evidence.rows:
            self._seen += row.calls + row.cold_calls + row.crashes
            excused = min(row.crashes, max(0, EXCUSED_CRASHES - self._crashes))
            self._crashes += row.crashes
            counted = attrs.evolve(row, crashes=row.crashes - excused)
            self._route(row.route).add_new(group, counted)

    def _is_repeated(self, evidence: Evidence) -> bool:
        """Return whether a message was taken before, and remember it."""
        epochs = self._last_seq.setdefault(evidence.target, {})
        if evidence.seq <= epochs.get(evidence.epoch, 0):
            return True
        epochs[evidence.epoch] = evidence.seq
        while len(epochs) > _EPOCHS_KEPT:
            epochs.pop(next(iter(epochs)))
        return False

    def _route(self, route: str) -> RouteCounts:
        if route not in self._counts and len(self._counts) >= MAX_ROUTES:
            route = OTHER_ROUTES
        if route not in self._counts:
            place = len(self._counts) + 1
            # Weights 1/2, 1/6, 1/12 and so on sum to at most 1.
            weight = (1 - _OVERALL_WEIGHT) / (place * (place + 1))
            self._counts[route] = RouteCounts()
            self._routes[route] = RateTests.from_config(weight, self._restarts)
        return self._counts[route]

    def _evidence(self) -> float:
        """Return the evidence that no one group of targets accounts for.

        A guarded rollout has too few calls to leave some of them out.
        """
        groups = set(self._groups.values())
        left_out: list[Group | None] = [None]
        if len(groups) > 1 and not self._plan.is_guarded:
            left_out = list(groups)
        every = (self._overall, *self._routes.values())
        return min(
            sum(tests.evidence(group) for tests in every) for group in left_out
        )

    def _why(self) -> str:
        """Say which route and rate weigh most against the new version."""
        every = {'all routes': self._overall, **self._routes}
        (evidence, numbers), route = max(
            (tests.worst(), route) for route, tests in every.items()
        )
        if not evidence:
            return 'nothing speaks against it'
        return f'{route}: {numbers}'
