"""Compares a new version with the old one, route by route.

Each comparison yields an e-value, a number whose expectation is at most 1 while
the new version is no worse. The larger it is, the stronger the evidence against
the new version; see `sequential_test`.
"""

import attrs

from daisyline.coordination.rollouts.evidence import (
    EVIDENCE_INTERVAL_S,
    MAX_ROUTES,
    OTHER_ROUTES,
)
from daisyline.coordination.rollouts.evidence_messages import Evidence
from daisyline.coordination.rollouts.rollout_rates import (
    GROUP_COUNT,
    Block,
    Group,
    LogGains,
    Rate,
    RateTests,
    combine_log_gains,
    log_gains_of,
)
from daisyline.coordination.rollouts.rollout_routes import RouteCounts
from daisyline.state.rollout_plan import RolloutPlan

# The highest probability that a version which is no worse is rolled back.
ALPHA = 0.001
# The same for a guarded rollout. It compares few calls before all calls move at
# once, so passing a bad version costs far more than rolling back a good one,
# which operators can roll out again.
GUARDED_ALPHA = 0.02
# Fewer compared calls are no evidence for a version, so that a guarded rollout
# which ends with fewer is rolled back.
MIN_COMPARED_CALLS = 12
# A guarded rollout that ends with this e-value or more is rolled back.
INCONCLUSIVE_E_VALUE = 2.0
# From this e-value on the share doesn't grow. It is far below the value that
# rolls the version back.
HOLD_E_VALUE = 20.0
# The first crashes aren't held against the version, as one request that crashes
# every target may explain them. Quarantine stops such a request after three.
IGNORED_CRASHES = 3
# Judging may last this many times the time within which the rollout is planned
# to finish.
_HORIZON_FACTOR = 1.5
# Half of the permitted false alarms go to the test of all routes together, the
# other half to the tests of single routes.
_OVERALL_WEIGHT = 0.5
# Epochs remembered of each target; its node draws one when it starts to count.
_MAX_EPOCHS = 4


@attrs.frozen
class Judgement:
    """The result of an evaluation of the evidence.

    Attributes:
        e_value: The e-value against the new version.
        seen_calls: All calls of the new version, including cold ones.
        compared_calls: Warm calls of the new version that were compared.
        why: The route and the numbers with the largest e-value.
        rollback_limit: The e-value from which on the version is rolled back.
    """

    e_value: float = 0
    seen_calls: int = 0
    compared_calls: int = 0
    why: str = ''
    rollback_limit: float = 1 / ALPHA

    @property
    def should_roll_back(self) -> bool:
        """Return whether the new version is to be rolled back."""
        return self.e_value >= self.rollback_limit

    @property
    def is_inconclusive(self) -> bool:
        """Return whether the evidence is too weak to end a guarded rollout."""
        return (
            self.e_value >= INCONCLUSIVE_E_VALUE
            or self.compared_calls < MIN_COMPARED_CALLS
        )

    @property
    def must_hold_share(self) -> bool:
        """Return whether the share must not grow."""
        return self.e_value >= HOLD_E_VALUE


@attrs.define
class Judge:
    """The evidence about one rollout at one of its judges.

    The targets of the new version are divided into groups. The e-value is the
    smallest that remains when any one group is left out, so that one target of
    several on a bad host isn't held against the version. If there is only one
    group, nothing is left out: a single target can't be told apart from its
    host.
    """

    _plan: RolloutPlan
    _restarts: int
    _overall_tests: RateTests
    _route_counts: dict[str, RouteCounts] = attrs.field(factory=dict)
    _route_tests: dict[str, RateTests] = attrs.field(factory=dict)
    _groups: dict[str, Group] = attrs.field(factory=dict)
    _last_seq_by_target: dict[str, dict[int, int]] = attrs.field(factory=dict)
    _crashes: int = 0
    _seen_calls: int = 0
    _compared_calls: int = 0

    @classmethod
    def from_plan(cls, plan: RolloutPlan) -> 'Judge':
        """Build a judge that has no evidence yet."""
        restarts = int(_HORIZON_FACTOR * plan.finish_in_s / EVIDENCE_INTERVAL_S)
        overall_tests = RateTests.from_config(_OVERALL_WEIGHT, restarts)
        return cls(plan, restarts, overall_tests)

    def continue_as(self, plan: RolloutPlan) -> None:
        """Keep the evidence for a plan that differs in its id only."""
        self._plan = plan

    def add(self, evidence: Evidence) -> bool:
        """Add the counts of a message that is new and about this rollout.

        Returns:
            Whether the message was new and about this rollout.
        """
        rollout_key = (evidence.service, evidence.rollout)
        if rollout_key != (self._plan.service, self._plan.id):
            return False
        if self._record_and_check_repeat(evidence):
            return False
        if evidence.version == self._plan.new:
            self._add_of_new_version(evidence)
        elif self._plan.is_old_version(evidence.version):
            for row in evidence.rows:
                self._route_counts_of(row.route).add_old(row)
        return True

    def evaluate(self) -> Judgement:
        """Compare the counts added since the last evaluation."""
        block_log_gains = []
        for route, counts in self._route_counts.items():
            for block in counts.take_blocks():
                block_log_gains.append(self._compare(route, block))
        self._overall_tests.add(combine_log_gains(block_log_gains))
        alpha = GUARDED_ALPHA if self._plan.is_guarded else ALPHA
        return Judgement(
            self._e_value(),
            self._seen_calls,
            self._compared_calls,
            self._strongest_reason(),
            1 / alpha,
        )

    def _compare(self, route: str, block: Block) -> LogGains:
        """Add a block to the tests of its route and return its log gains."""
        log_gains = log_gains_of(block)
        self._route_tests[route].add(log_gains)
        for tests in (self._route_tests[route], self._overall_tests):
            tests.add_counts(block)
        if block.rate is Rate.FAILED:
            self._compared_calls += block.new_total.calls
        return log_gains

    def _add_of_new_version(self, evidence: Evidence) -> None:
        group = self._groups.get(evidence.target)
        if group is None:
            group = len(self._groups) % GROUP_COUNT
            self._groups[evidence.target] = group
        for row in evidence.rows:
            self._seen_calls += row.calls + row.cold_calls + row.crashes
            ignored = min(row.crashes, max(0, IGNORED_CRASHES - self._crashes))
            self._crashes += row.crashes
            row_to_count = attrs.evolve(row, crashes=row.crashes - ignored)
            self._route_counts_of(row.route).add_new(group, row_to_count)

    def _record_and_check_repeat(self, evidence: Evidence) -> bool:
        """Record a message; return whether it or a later one came before."""
        epochs = self._last_seq_by_target.setdefault(evidence.target, {})
        if evidence.seq <= epochs.get(evidence.epoch, 0):
            return True
        epochs[evidence.epoch] = evidence.seq
        while len(epochs) > _MAX_EPOCHS:
            epochs.pop(next(iter(epochs)))
        return False

    def _route_counts_of(self, route: str) -> RouteCounts:
        if (
            route not in self._route_counts
            and len(self._route_counts) >= MAX_ROUTES
        ):
            route = OTHER_ROUTES
        if route not in self._route_counts:
            position = len(self._route_counts) + 1
            # Weights 1/2, 1/6, 1/12 and so on sum to at most 1.
            weight = (1 - _OVERALL_WEIGHT) / (position * (position + 1))
            self._route_counts[route] = RouteCounts()
            self._route_tests[route] = RateTests.from_config(
                weight, self._restarts
            )
        return self._route_counts[route]

    def _e_value(self) -> float:
        """Return the smallest e-value over the groups that may be left out.

        A guarded rollout leaves none out, as it has too few calls for that.
        """
        groups = set(self._groups.values())
        left_out: list[Group | None] = [None]
        if len(groups) > 1 and not self._plan.is_guarded:
            left_out = list(groups)
        all_tests = (self._overall_tests, *self._route_tests.values())
        return min(
            sum(tests.e_value(group) for tests in all_tests)
            for group in left_out
        )

    def _strongest_reason(self) -> str:
        """Return the route, rate and numbers with the largest e-value."""
        all_tests = {'all routes': self._overall_tests, **self._route_tests}
        (e_value, numbers), route = max(
            (tests.strongest(), route) for route, tests in all_tests.items()
        )
        if not e_value:
            return 'nothing speaks against it'
        return f'{route}: {numbers}'
