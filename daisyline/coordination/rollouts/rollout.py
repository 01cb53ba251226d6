"""Version rollouts of all services, as one node takes part in them.

Each node counts the calls of its own target and sends the counts to the judges
of the rollout, two nodes chosen by hash. The judges compare the versions and
spread their decisions to all nodes as facts.
"""

import functools
import math
from collections.abc import Iterator, Mapping, Sequence
from random import Random
from typing import Any

import attrs

from daisyline.coordination.effects import PlatformReply, Send
from daisyline.coordination.events import EventLog, RolloutMoved
from daisyline.coordination.membership.fact_events import FactChanged
from daisyline.coordination.membership.fleet_events import StoreReturned
from daisyline.coordination.rollouts.evidence import (
    EVIDENCE_INTERVAL_S,
    Collector,
    choose_judges,
    evidence_interval_s,
)
from daisyline.coordination.rollouts.evidence_messages import Evidence
from daisyline.coordination.rollouts.rollout_progress import Progress
from daisyline.coordination.rollouts.version_trial import VersionTrial
from daisyline.state.facts import Fact
from daisyline.state.rollout_plan import RolloutPlan
from daisyline.state.rollout_state import (
    FACT_KIND,
    CallSample,
    RolloutState,
    RolloutStatus,
    Stage,
    fact_name_of,
)

# Facts are kept for all rollouts, including those whose settings have not
# arrived yet or have been removed. Beyond this number the oldest is dropped.
MAX_FACTS = 1024


@attrs.define
class Rollouts:
    """The rollouts known to one node, and its work as a judge of some."""

    _node: str
    _rng: Random
    _log: EventLog | None
    _members: tuple[str, ...]
    _next_evidence_at: float
    _progress: dict[str, Progress] = attrs.field(factory=dict)
    _collectors: dict[str, Collector] = attrs.field(factory=dict)
    _facts: dict[str, Fact] = attrs.field(factory=dict)
    _judges: dict[str, list[str]] = attrs.field(factory=dict)
    _roles_applied: bool = True

    @classmethod
    def from_config(
        cls, node: str, rng: Random, now: float, log: EventLog | None = None
    ) -> 'Rollouts':
        """Build the rollouts of a node; each change of stage is logged."""
        # A random start keeps the nodes from all sending at the same time.
        next_evidence_at = now + rng.uniform(0, EVIDENCE_INTERVAL_S)
        return cls(node, rng, log, (node,), next_evidence_at)

    def replace_plans(
        self, plans: Mapping[str, RolloutPlan], now: float
    ) -> list[Any]:
        """Replace all plans, keyed by service, and return the effects.

        A rollout whose plan has the same id keeps its progress.
        """
        previous = self._progress
        self._progress = {}
        effects: list[Any] = []
        for plan in plans.values():
            progress = previous.get(plan.service)
            continued = progress and progress.continue_as(plan, now)
            effects.extend(continued or ())
            if progress is None or progress.plan.id != plan.id:
                progress = Progress.from_plan(plan, now)
                self._apply_fact(progress, now)
            progress.replace_plan(plan)
            self._progress[plan.service] = progress
            stopped = progress.stop_if_planned(now)
            if stopped:
                _log_move(self._log, progress, now)
            effects.extend(stopped)
        self._choose_judges()
        return effects

    def replace_members(self, names: Sequence[str]) -> None:
        """Replace the names of the live nodes, which include this node."""
        self._members = tuple(names) or (self._node,)
        self._choose_judges()

    def record_call(self, sample: CallSample, now: float) -> None:
        """Count a call that ended at this node's own target."""
        progress = self._progress.get(sample.service)
        if progress is None or not progress.is_moving:
            return
        plan = progress.plan
        if sample.version != plan.new and not plan.is_old_version(
            sample.version
        ):
            return
        collector = self._collectors.get(sample.service)
        if collector is None:
            collector = Collector.from_config(self._node, self._rng)
            self._collectors[sample.service] = collector
        collector.record_call(sample, now)

    def handle(self, event: Any, now: float) -> list[Any]:
        """Handle an `Evidence`, a `FactChanged` or an event of the platform.

        Returns:
            The effects to carry out.

        Raises:
            TypeError: If the event is of another type.
        """
        return _handle(event, self, now)

    def tick(self, now: float) -> list[Any]:
        """Run the timers that have expired and return the effects.

        The timers cover sending evidence, judging, spreading facts and writing
        the platform's objects.
        """
        self._apply_judge_roles(now)
        effects: list[Any] = []
        if now >= self._next_evidence_at:
            self._next_evidence_at = now + evidence_interval_s(
                len(self._members)
            )
            effects.extend(self._send_evidence())
        for progress in self._progress.values():
            before = progress.state.progress_key
            effects.extend(progress.tick(now))
            if progress.state.progress_key != before:
                _log_move(self._log, progress, now)
        return effects

    def next_at(self) -> float:
        """Return when `tick` has to run next, in monotonic seconds."""
        tick_at = min(
            (progress.next_at() for progress in self._progress.values()),
            default=math.inf,
        )
        if not self._roles_applied:
            return 0
        has_counts = any(
            collector.has_counts for collector in self._collectors.values()
        )
        return min(tick_at, self._next_evidence_at) if has_counts else tick_at

    def shares(self, service: str) -> Mapping[str, float] | None:
        """Return each version's share of calls, 0 to 1.

        Returns:
            Shares by version, or None if the service has no rollout.
        """
        progress = self._progress.get(service)
        return None if progress is None else progress.shares

    def trial_of(self, service: str) -> VersionTrial:
        """Return the version under test in a guarded rollout of a service.

        The trial is empty if no such rollout is moving.
        """
        progress = self._progress.get(service)
        return VersionTrial() if progress is None else progress.trial

    def is_rolled_back(self, service: str, version: str) -> bool:
        """Return whether a version was rolled back and gets no calls."""
        progress = self._progress.get(service)
        if progress is None or version != progress.plan.new:
            return False
        return progress.state.stage is Stage.ROLLED_BACK

    def status(self) -> list[RolloutStatus]:
        """Return the status of each rollout, for operators."""
        return [progress.status for progress in self._progress.values()]

    def add_evidence(self, evidence: Evidence) -> None:
        """Add evidence to the rollout of its service, if there is one."""
        progress = self._progress.get(evidence.service)
        if progress is not None:
            progress.add_evidence(evidence)

    def merge_fact(self, fact: Fact, now: float) -> None:
        """Merge a fact about a rollout, whose plan may not be known yet."""
        if RolloutState.from_fact(fact) is None:
            return
        known = self._facts.get(fact.name)
        if known is not None and not fact.supersedes(known):
            return
        self._facts[fact.name] = fact
        while len(self._facts) > MAX_FACTS:
            self._facts.pop(next(iter(self._facts)))
        for progress in self._progress.values():
            if fact_name_of(progress.plan) == fact.name:
                self._apply_fact(progress, now)

    def handle_reply(self, reply: PlatformReply, now: float) -> list[Any]:
        """Handle the platform's reply in the rollout that sent the request."""
        effects: list[Any] = []
        for progress in self._progress.values():
            before = progress.state.progress_key
            effects.extend(progress.handle_reply(reply, now))
            if progress.state.progress_key != before:
                _log_move(self._log, progress, now)
        return effects

    def handle_return(self, now: float) -> None:
        """Compare all objects again, as the store is an older copy."""
        for progress in self._progress.values():
            progress.handle_return(now)

    def _choose_judges(self) -> None:
        self._roles_applied = False
        self._judges = {
            service: choose_judges(service, self._members)
            for service in self._progress
        }

    def _apply_judge_roles(self, now: float) -> None:
        """Judge the rollouts that this node was chosen for, and no others."""
        self._roles_applied = True
        interval_s = evidence_interval_s(len(self._members))
        for service, judges in self._judges.items():
            progress = self._progress[service]
            if self._node in judges:
                progress.start_judging(self._rng, interval_s, now)
            else:
                progress.stop_judging()

    def _send_evidence(self) -> Iterator[Send]:
        for service, collector in self._moving_collectors():
            progress = self._progress[service]
            evidence = collector.take_evidence(progress.plan)
            for judge in self._judges[service]:
                if judge == self._node:
                    progress.add_evidence(evidence)
                else:
                    yield Send(judge, evidence)

    def _moving_collectors(self) -> list[tuple[str, Collector]]:
        """Return the collectors that hold counts of a moving rollout.

        Collectors of services without a moving rollout are dropped.
        """
        self._collectors = {
            service: collector
            for service, collector in self._collectors.items()
            if service in self._progress and self._progress[service].is_moving
        }
        return [
            (service, collector)
            for service, collector in self._collectors.items()
            if collector.has_counts
        ]

    def _apply_fact(self, progress: Progress, now: float) -> None:
        """Advance a rollout to the state in the fact known about it."""
        fact = self._facts.get(fact_name_of(progress.plan))
        if fact is not None and progress.merge_fact(fact, now):
            _log_move(self._log, progress, now)


def _log_move(log: EventLog | None, progress: Progress, now: float) -> None:
    if log is not None:
        status = progress.status
        log.add(
            RolloutMoved(
                now,
                service=status.service,
                rollout=status.id,
                stage=status.state,
                share=status.share,
                why=status.why,
            )
        )


@functools.singledispatch
def _handle(event: object, rollouts: Rollouts, now: float) -> list[Any]:
    raise TypeError(f'Rollouts cannot handle {type(event).__name__}')


@_handle.register
def _handle_evidence(
    event: Evidence, rollouts: Rollouts, now: float
) -> list[Any]:
    rollouts.add_evidence(event)
    return []


@_handle.register
def _handle_fact_changed(
    event: FactChanged, rollouts: Rollouts, now: float
) -> list[Any]:
    if event.fact.kind == FACT_KIND:
        rollouts.merge_fact(event.fact, now)
    return []


@_handle.register
def _handle_store_returned(
    event: StoreReturned, rollouts: Rollouts, now: float
) -> list[Any]:
    rollouts.handle_return(now)
    return []


@_handle.register
def _handle_platform_reply(
    event: PlatformReply, rollouts: Rollouts, now: float
) -> list[Any]:
    return rollouts.handle_reply(event, now)
