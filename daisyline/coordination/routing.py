"""Choosing a target at the entry node from reports that are stale."""

import math
import random
from collections.abc import Sequence

import attrs

from daisyline.coordination.pace import NORMAL_PACE_PERCENT
from daisyline.coordination.policies import (
    Candidate,
    Estimate,
    Policy,
    choose,
)
from daisyline.coordination.retries import MAX_TRIES
from daisyline.state.failures import Failure, Reason
from daisyline.state.targets import LoadReport

US_PER_S = 1_000_000
MS_PER_S = 1000
#: After this time a report counts for about a third, in seconds.
REPORT_DECAY_S = 0.1
#: A target with calls that has said nothing for so long may be gone, in
#: seconds and in service times, whichever is more.
SILENT_S = 0.25
SILENT_SERVICES = 4
#: What it then seems to take longer, in seconds.
SILENT_WAIT_S = 2.0
#: After this time a target's pace counts for about a third, in seconds.
PACE_DECAY_S = 0.15
#: What a target that has just refused seems to take longer, in seconds.
REFUSED_WAIT_S = 0.1
#: Weight of the newest call in the smoothed part that is refused.
REFUSED_SMOOTHING = 0.05
#: With more than this part refused, other targets are as busy.
MOST_REFUSED_PART = 0.5


@attrs.define
class _View:
    """What an entry node knows of one target's load."""

    outstanding: int = 0
    report: LoadReport | None = None
    others: float = 0
    report_at: float = -math.inf
    refused_at: float = -math.inf
    unheard_since: float = math.inf

    def take(self, report: LoadReport, now: float) -> None:
        """Keep a report, less the calls that are our own."""
        self.report = report
        self.others = max(0, report.running + report.waiting - self.outstanding)
        self.report_at = now

    def estimate(self, now: float, usual: LoadReport, way_s: float) -> Estimate:
        """Return the target's load as it probably is now.

        A pace that a target has said holds for a moment only.

        Args:
            now: Monotonic seconds.
            usual: What is taken for its report as long as there is none.
            way_s: The round trip to the target.
        """
        fading = math.exp((self.report_at - now) / REPORT_DECAY_S)
        known = self.report or usual
        load = (self.outstanding + self.others * fading + 1) / known.limit
        service_s = known.service_us / US_PER_S
        if self.report is not None:
            pace = self.report.pace_percent / NORMAL_PACE_PERCENT - 1
            paced = math.exp((self.report_at - now) / PACE_DECAY_S)
            service_s *= 1 + pace * paced
        penalty_s = REFUSED_WAIT_S * math.exp(
            (self.refused_at - now) / REPORT_DECAY_S
        )
        if now - self.unheard_since > max(
            SILENT_S, SILENT_SERVICES * service_s
        ):
            penalty_s += SILENT_WAIT_S
        return Estimate(
            outstanding=self.outstanding,
            load=load,
            wait_s=service_s * (1 + load) + penalty_s + way_s,
        )


@attrs.define
class Router:
    """Picks targets for one service at one entry node.

    Attributes:
        _zone: The zone the node stands in.
        _far_s: The round trip to another zone, in seconds.
    """

    _policy: Policy
    _rng: random.Random
    _zone: str = ''
    _far_s: float = 0
    _usual: LoadReport = attrs.field(factory=LoadReport)
    _refused_part: float = 0
    _views: dict[str, _View] = attrs.field(factory=dict)

    @classmethod
    def from_config(
        cls,
        policy: Policy,
        rng: random.Random,
        *,
        zone: str = '',
        far_ms: float = 0,
    ) -> 'Router':
        """Build a router that knows no load yet.

        Args:
            policy: How to pick.
            rng: Where random numbers come from.
            zone: The availability zone the node stands in.
            far_ms: The round trip to other zones in milliseconds; 0 means
                that the own zone isn't preferred.
        """
        return cls(policy, rng, zone=zone, far_s=far_ms / 1000)

    def pick(
        self,
        candidates: Sequence[Candidate],
        now: float,
        tried: frozenset[str],
        far_s: float | None = None,
    ) -> str | Failure:
        """Return the node to send a call to.

        Args:
            candidates: The targets that the call may go to.
            now: Monotonic seconds.
            tried: Nodes that have refused this call.
            far_s: How much longer it may take in the own zone than in
                another, in seconds; None for the router's usual.
        """
        further_s = self._far_s if far_s is None else far_s

        open_candidates = untried(candidates, tried)
        if not open_candidates:
            return Failure(Reason.NO_TARGET, detail='no target is left')

        def estimate(candidate: Candidate) -> Estimate:
            way_s = 0 if candidate.zone == self._zone else further_s
            view = self._view(candidate.node)
            return view.estimate(now, self._usual, way_s)

        of_version = self._of_one_version(open_candidates)
        return choose(self._policy, of_version, estimate, self._rng).node

    def may_move(
        self, candidates: Sequence[Candidate], tried: frozenset[str]
    ) -> bool:
        """Return whether a call's next target may leave it to another.

        A busy target then refuses the call as not run instead of letting it
        wait. That doesn't pay once most targets refuse.

        Args:
            candidates: The targets that the call may go to.
            tried: The nodes that it was sent to, the next one included.
        """
        if len(tried) >= MAX_TRIES:
            return False
        if self._refused_part > MOST_REFUSED_PART:
            return False
        return bool(untried(candidates, tried))

    def sent(self, node: str, now: float) -> None:
        """Count a call that went to a node."""
        view = self._view(node)
        if not view.outstanding:
            view.unheard_since = now
        view.outstanding += 1

    def done(
        self,
        node: str,
        now: float,
        report: LoadReport | None,
        *,
        refused: bool,
    ) -> None:
        """Count a call that ended, with the report that came, if any."""
        view = self._view(node)
        view.outstanding = max(0, view.outstanding - 1)
        if report is not None:
            view.unheard_since = now
        if not view.outstanding:
            view.unheard_since = math.inf
        if refused:
            view.refused_at = now
        self._refused_part += REFUSED_SMOOTHING * (refused - self._refused_part)
        if report is not None:
            view.take(report, now)
            self._usual = report

    def report_of(self, node: str) -> LoadReport:
        """Return the last load report of a node."""
        return self._view(node).report or LoadReport()

    def report_age_ms(self, node: str, now: float) -> int:
        """Return how old the last load report is; -1 if there is none."""
        age_s = now - self._view(node).report_at
        return -1 if math.isinf(age_s) else int(age_s * MS_PER_S)

    def forget(self, node: str) -> None:
        """Drop what is known of a node that is gone."""
        self._views.pop(node, None)

    def _of_one_version(
        self, candidates: Sequence[Candidate]
    ) -> Sequence[Candidate]:
        """Draw a version by its share, whatever the load of its targets."""
        shares = _version_shares(candidates)
        if len(shares) == 1:
            return candidates
        version = self._rng.choices(list(shares), list(shares.values()))[0]
        return [
            candidate
            for candidate in candidates
            if candidate.version == version
        ]

    def _view(self, node: str) -> _View:
        return self._views.setdefault(node, _View())


def untried(
    candidates: Sequence[Candidate], tried: frozenset[str]
) -> list[Candidate]:
    """Return the targets that a call may still go to.

    A call that a version couldn't take doesn't go to one with a smaller
    share, as the overflow of an old version would flood a new one.
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
    """Return the sum of weights of each version."""
    shares: dict[str, float] = {}
    for candidate in candidates:
        before = shares.get(candidate.version, 0)
        shares[candidate.version] = before + candidate.weight
    return shares
