"""Target selection at the entry node, based on stale load reports."""

import math
import random
from collections.abc import Sequence

import attrs

from daisyline.coordination.admission.pace import NORMAL_PACE_PERCENT
from daisyline.coordination.calls.retries import MAX_ATTEMPTS
from daisyline.coordination.routing.policies import (
    Candidate,
    Estimate,
    Policy,
    choose,
)
from daisyline.state.failures import Failure, Reason
from daisyline.state.limits import PERCENT, Limits
from daisyline.state.routes import Route
from daisyline.state.targets import LoadReport

US_PER_S = 1_000_000
MS_PER_S = 1000
#: Time constant of the exponential decay of a load report, in seconds.
REPORT_DECAY_S = 0.1
#: A target with outstanding calls may have failed if it sends no report for
#: this many seconds and for this many service times.
SILENT_S = 0.25
SILENT_SERVICE_TIMES = 4
#: Added to the expected wait of such a target, in seconds.
SILENT_PENALTY_S = 2.0
#: Time constant of the exponential decay of a target's pace, in seconds.
PACE_DECAY_S = 0.15
#: Added to the expected wait of a target right after it refused a call, in
#: seconds; decays as a load report does.
REFUSED_PENALTY_S = 0.1
#: Weight of the newest call in the moving average of refused calls.
REFUSED_SMOOTHING = 0.05
#: Above this ratio of refused calls, another target is likely to refuse too.
MAX_REFUSED_FRACTION = 0.5


@attrs.define
class _TargetLoad:
    """What an entry node knows about one target's load.

    Attributes:
        outstanding: Calls that this node has sent and that have not ended.
        report: The last load report; None before the first.
        other_calls: Calls of other entry nodes at the time of the report.
        report_at: When the report came, in monotonic seconds.
        refused_at: When the target last refused a call, in monotonic seconds.
        unreported_since: When the target last sent a report or, if later,
            when its outstanding calls started; infinity without such calls.
    """

    outstanding: int = 0
    report: LoadReport | None = None
    other_calls: float = 0
    report_at: float = -math.inf
    refused_at: float = -math.inf
    unreported_since: float = math.inf

    def update(self, report: LoadReport, now: float) -> None:
        """Store a report, without the calls that this node has sent."""
        self.report = report
        self.other_calls = max(
            0, report.running + report.waiting - self.outstanding
        )
        self.report_at = now

    def estimate(
        self, now: float, default_report: LoadReport, zone_penalty_s: float
    ) -> Estimate:
        """Return the estimated present load of the target.

        The reported number of other calls and the reported pace decay with
        the age of the report, as both change quickly.

        Args:
            now: Monotonic seconds.
            default_report: The report to use before the target's first one.
            zone_penalty_s: Added to the wait if the target is in another
                zone, in seconds.
        """
        decay = math.exp((self.report_at - now) / REPORT_DECAY_S)
        current = self.report or default_report
        load = (self.outstanding + self.other_calls * decay + 1) / current.limit
        service_s = current.service_us / US_PER_S
        if self.report is not None:
            slowdown = self.report.pace_percent / NORMAL_PACE_PERCENT - 1
            pace_decay = math.exp((self.report_at - now) / PACE_DECAY_S)
            service_s *= 1 + slowdown * pace_decay
        penalty_s = REFUSED_PENALTY_S * math.exp(
            (self.refused_at - now) / REPORT_DECAY_S
        )
        if now - self.unreported_since > max(
            SILENT_S, SILENT_SERVICE_TIMES * service_s
        ):
            penalty_s += SILENT_PENALTY_S
        return Estimate(
            outstanding=self.outstanding,
            load=load,
            wait_s=service_s * (1 + load) + penalty_s + zone_penalty_s,
        )


@attrs.define
class Router:
    """Picks targets for one service at one entry node.

    Attributes:
        _policy: The policy that selects a target.
        _rng: The source of random numbers.
        _zone: The availability zone of this node.
        _remote_penalty_s: Added by default to the expected wait of targets in
            other zones, in seconds.
        _default_report: The newest report of any target; used for a target
            that has sent none.
        _refused_fraction: The moving average of the ratio of refused calls.
        _loads: The load of each target, by node.
    """

    _policy: Policy
    _rng: random.Random
    _zone: str = ''
    _remote_penalty_s: float = 0
    _default_report: LoadReport = attrs.field(factory=LoadReport)
    _refused_fraction: float = 0
    _loads: dict[str, _TargetLoad] = attrs.field(factory=dict)

    @classmethod
    def from_config(
        cls,
        policy: Policy,
        rng: random.Random,
        *,
        zone: str = '',
        remote_penalty_ms: float = 0,
    ) -> 'Router':
        """Build a router without any load reports.

        Args:
            policy: The policy that selects a target.
            rng: The source of random numbers.
            zone: The availability zone of this node.
            remote_penalty_ms: Added to the expected wait of targets in other
                zones, in milliseconds; usually the round-trip time. With 0
                the local zone is not preferred.
        """
        return cls(
            policy, rng, zone=zone, remote_penalty_s=remote_penalty_ms / 1000
        )

    @property
    def takes_most_calls(self) -> bool:
        """Return whether the targets took most of the latest calls."""
        return self._refused_fraction <= MAX_REFUSED_FRACTION

    def pick(
        self,
        candidates: Sequence[Candidate],
        now: float,
        tried: frozenset[str],
        remote_penalty_s: float | None = None,
    ) -> str | Failure:
        """Return the node to send a call to, or a failure if none is left.

        Args:
            candidates: The targets that the call may go to.
            now: Monotonic seconds.
            tried: Nodes that the call must not go to.
            remote_penalty_s: The extra wait, in seconds, that is accepted to
                stay in the local zone; None for the router's default.
        """
        penalty_s = (
            self._remote_penalty_s
            if remote_penalty_s is None
            else remote_penalty_s
        )

        open_candidates = untried_candidates(candidates, tried)
        if not open_candidates:
            return Failure(Reason.NO_TARGET, detail='no target is left')

        def estimate(candidate: Candidate) -> Estimate:
            zone_penalty_s = 0 if candidate.zone == self._zone else penalty_s
            target_load = self._load_of(candidate.node)
            return target_load.estimate(
                now, self._default_report, zone_penalty_s
            )

        of_version = self._draw_version(open_candidates)
        return choose(self._policy, of_version, estimate, self._rng).node

    def may_move(
        self, candidates: Sequence[Candidate], tried: frozenset[str]
    ) -> bool:
        """Return whether the next target may pass a call on to another.

        A busy target then refuses the call as not run instead of queueing
        it. Once most targets refuse calls, another attempt would not help.

        Args:
            candidates: The targets that the call may go to.
            tried: The nodes that the call was sent to, with the next one.
        """
        if len(tried) >= MAX_ATTEMPTS:
            return False
        if not self.takes_most_calls:
            return False
        return bool(untried_candidates(candidates, tried))

    def start_interval_s(self, candidates: Sequence[Candidate]) -> float:
        """Return the mean time between two starts at targets, in seconds.

        It is 0 if there is none or one of them has sent no report.
        """
        reports = [self._load_of(one.node).report for one in candidates]
        per_s = sum(
            report.limit * US_PER_S / report.service_us
            for report in reports
            if report is not None and report.service_us
        )
        is_known = all(report and report.service_us for report in reports)
        return 1 / per_s if per_s and is_known else 0

    def record_sent(self, node: str, now: float) -> None:
        """Record that a call was sent to a node."""
        target_load = self._load_of(node)
        if not target_load.outstanding:
            target_load.unreported_since = now
        target_load.outstanding += 1

    def record_end(
        self,
        node: str,
        now: float,
        report: LoadReport | None,
        *,
        refused: bool,
    ) -> None:
        """Record the end of an attempt.

        Args:
            node: The node that the call was sent to.
            now: Monotonic seconds.
            report: The load report that the node sent with it, if any.
            refused: Whether the node refused the call.
        """
        target_load = self._load_of(node)
        target_load.outstanding = max(0, target_load.outstanding - 1)
        if report is not None:
            target_load.unreported_since = now
        if not target_load.outstanding:
            target_load.unreported_since = math.inf
        if refused:
            target_load.refused_at = now
        self._refused_fraction += REFUSED_SMOOTHING * (
            refused - self._refused_fraction
        )
        if report is not None:
            target_load.update(report, now)
            self._default_report = report

    def last_report(self, node: str) -> LoadReport:
        """Return the last load report of a node, or an empty report."""
        return self._load_of(node).report or LoadReport()

    def report_age_ms(self, node: str, now: float) -> int:
        """Return the age of the last load report in ms; -1 if none came."""
        age_s = now - self._load_of(node).report_at
        return -1 if math.isinf(age_s) else int(age_s * MS_PER_S)

    def remove(self, node: str) -> None:
        """Remove the load of a node that is no longer a member."""
        self._loads.pop(node, None)

    def _draw_version(
        self, candidates: Sequence[Candidate]
    ) -> Sequence[Candidate]:
        """Return the candidates of one version, drawn by the shares.

        The load of the targets has no influence on the version.
        """
        shares = _version_shares(candidates)
        if len(shares) == 1:
            return candidates
        version = self._rng.choices(list(shares), list(shares.values()))[0]
        return [
            candidate
            for candidate in candidates
            if candidate.version == version
        ]

    def _load_of(self, node: str) -> _TargetLoad:
        return self._loads.setdefault(node, _TargetLoad())


def zone_preference_ms(limits: Limits, route: Route | None) -> float:
    """Return how much longer a call may take in its own zone, in milliseconds.

    A caller does not notice a small part of the objective of its route, while
    each call to another zone costs bandwidth and the round trip.

    Args:
        limits: The limits of the service.
        route: The route of the call; None if the settings list no routes.
    """
    if route is None:
        return limits.zone_preference_ms
    fixed_ms = (
        limits.bulky_zone_preference_ms
        if route.bulky
        else limits.zone_preference_ms
    )
    percent = limits.zone_preference_percent
    return max(fixed_ms, route.objective_ms * percent / PERCENT)


def untried_candidates(
    candidates: Sequence[Candidate], tried: frozenset[str]
) -> list[Candidate]:
    """Return the targets that a call may still go to.

    A call that one version refused does not go to a version with a smaller
    share: the overflow of an old version would overload a new one.
    """
    shares = _version_shares(candidates)
    least_share = max(
        (
            shares[candidate.version]
            for candidate in candidates
            if candidate.node in tried
        ),
        default=0,
    )
    return [
        candidate
        for candidate in candidates
        if candidate.weight > 0
        and candidate.node not in tried
        and shares[candidate.version] >= least_share
    ]


def _version_shares(candidates: Sequence[Candidate]) -> dict[str, float]:
    """Return the sum of the weights of each version's targets."""
    shares: dict[str, float] = {}
    for candidate in candidates:
        before = shares.get(candidate.version, 0)
        shares[candidate.version] = before + candidate.weight
    return shares
