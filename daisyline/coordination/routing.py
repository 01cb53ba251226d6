"""Choosing a target at the entry node from reports that are stale."""

import math
import random
from collections.abc import Sequence

import attrs

from daisyline.coordination.policies import Option, Policy, choose
from daisyline.state.failures import Failure, Reason
from daisyline.state.targets import LoadReport

US_PER_S = 1_000_000
#: After this time a report counts for a third, in seconds.
REPORT_DECAY_S = 0.1


@attrs.frozen
class Candidate:
    """A target that calls of one service may go to.

    Attributes:
        node: The node beside it.
        version: The version that it runs.
        zone: The availability zone it stands in.
        weight: Its share of calls; folds the ramp of a returning zone and
            the share of its version in. 0 means never.
    """

    node: str
    version: str
    zone: str
    weight: float


@attrs.define
class _View:
    """What an entry node knows of one target's load."""

    outstanding: int = 0
    report: LoadReport = attrs.field(factory=LoadReport)
    others: float = 0
    report_at: float = -math.inf

    def take(self, report: LoadReport, now: float) -> None:
        """Keep a report, less the calls that are our own."""
        self.report = report
        self.others = max(0, report.running + report.waiting - self.outstanding)
        self.report_at = now

    def option(self, candidate: Candidate, now: float) -> Option:
        """Return the target as it probably is now."""
        age_s = now - self.report_at
        others = self.others * math.exp(-age_s / REPORT_DECAY_S)
        load = self.outstanding + others
        turns = max(1, (load + 1) / self.report.limit)
        return Option(
            node=candidate.node,
            weight=candidate.weight,
            outstanding=self.outstanding,
            load=load,
            wait_s=turns * max(1, self.report.service_us) / US_PER_S,
        )


@attrs.define
class Router:
    """Picks targets for one service at one entry node."""

    _policy: Policy
    _rng: random.Random
    _views: dict[str, _View] = attrs.field(factory=dict)

    @classmethod
    def from_config(cls, policy: Policy, rng: random.Random) -> 'Router':
        """Build a router that knows no load yet."""
        return cls(policy=policy, rng=rng)

    def pick(
        self,
        candidates: Sequence[Candidate],
        now: float,
        tried: frozenset[str],
    ) -> str | Failure:
        """Return the node to send a call to.

        Args:
            candidates: The targets that the call may go to.
            now: Monotonic seconds.
            tried: Nodes that have refused this call.
        """
        options = [
            self._view(candidate.node).option(candidate, now)
            for candidate in candidates
            if candidate.weight > 0 and candidate.node not in tried
        ]
        if not options:
            return Failure(Reason.NO_TARGET, detail='no target is left')
        return choose(self._policy, options, self._rng).node

    def sent(self, node: str, now: float) -> None:
        """Count a call that went to a node."""
        self._view(node).outstanding += 1

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
            view.take(report, now)

    def report_of(self, node: str) -> LoadReport:
        """Return the last load report of a node."""
        return self._view(node).report

    def forget(self, node: str) -> None:
        """Drop what is known of a node that is gone."""
        self._views.pop(node, None)

    def _view(self, node: str) -> _View:
        return self._views.setdefault(node, _View())
