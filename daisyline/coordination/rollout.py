"""Rollouts: evidence goes to judges, verdicts spread as facts."""

import functools
import math
from collections.abc import Iterator, Mapping, Sequence
from random import Random
from typing import Any

import attrs

from daisyline.coordination.effects import PlatformReply, Send
from daisyline.coordination.events import EventLog, RolloutMoved
from daisyline.coordination.evidence import (
    EVIDENCE_INTERVAL_S,
    Collector,
    interval_s,
    judges_of,
)
from daisyline.coordination.evidence_messages import Evidence
from daisyline.coordination.fact_events import FactChanged
from daisyline.coordination.rollout_progress import Progress
from daisyline.coordination.version_trial import Trial
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

# Facts of rollouts whose settings have not come yet, or were removed.
MAX_FACTS = 1024


@attrs.define
class Rollouts:
    """All rollouts as one node knows and judges them."""

    _node: str
    _rng: Random
    _log: EventLog | None
    _members: tuple[str, ...]
    _evidence_at: float
    _progress: dict[str, Progress] = attrs.field(factory=dict)
    _collectors: dict[str, Collector] = attrs.field(factory=dict)
    _facts: dict[str, Fact] = attrs.field(factory=dict)
    _judges: dict[str, list[str]] = attrs.field(factory=dict)
    _is_appointed: bool = True

    @classmethod
    def from_config(
        cls, node: str, rng: Random, now: float, log: EventLog | None = None
    ) -> 'Rollouts':
        """Build the rollouts of a node; a log is told of each move."""
        # The start of the interval is spread over the nodes.
        first = now + rng.uniform(0, EVIDENCE_INTERVAL_S)
        return cls(node, rng, log, (node,), first)

    def replace_plans(
        self, plans: Mapping[str, RolloutPlan], now: float
    ) -> list[Any]:
        """Take over the plans of new settings, by service."""
        known = self._progress
        self._progress = {}
        effects: list[Any] = []
        for plan in plans.values():
            progress = known.get(plan.service)
            if progress is None or progress.plan.id != plan.id:
                progress = Progress.from_plan(plan, now)
                self._advance(progress, now)
            progress.replace_plan(plan)
            self._progress[plan.service] = progress
            stopped = progress.stop_if_planned(now)
            if stopped:
                self._report(progress, now)
            effects.extend(stopped)
        self._choose_judges()
        return effects

    def replace_members(self, names: Sequence[str]) -> None:
        """Take over the live nodes, this one included."""
        self._members = tuple(names) or (self._node,)
        self._choose_judges()

    def observe(self, sample: CallSample, now: float) -> None:
        """Count a call that ended at the target beside this node."""
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
        collector.observe(sample, now)

    def handle(self, event: Any, now: float) -> list[Any]:
        """Take in `Evidence`, a `FactChanged` or a `PlatformReply`."""
        return _handle(event, self, now)

    def tick(self, now: float) -> list[Any]:
        """Send evidence, judge and record what is due."""
        self._appoint(now)
        effects: list[Any] = []
        if now >= self._evidence_at:
            self._evidence_at = now + interval_s(len(self._members))
            effects.extend(self._send_evidence())
        for progress in self._progress.values():
            before = progress.standing.progress_key
            effects.extend(progress.tick(now))
            if progress.standing.progress_key != before:
                self._report(progress, now)
        return effects

    def next_at(self) -> float:
        """Return when `tick` has something to do next."""
        due = min(
            (progress.next_at() for progress in self._progress.values()),
            default=math.inf,
        )
        if not self._is_appointed:
            return 0
        counted = any(held.has_counts for held in self._collectors.values())
        return min(due, self._evidence_at) if counted else due

    def shares(self, service: str) -> Mapping[str, float] | None:
        """Return each version's share of calls; None without a rollout."""
        progress = self._progress.get(service)
        return None if progress is None else progress.shares

    def on_trial(self, service: str) -> Trial:
        """Return the version that a guarded rollout tries, if there is one."""
        progress = self._progress.get(service)
        return Trial() if progress is None else progress.on_trial

    def stopped(self, service: str, version: str) -> bool:
        """Return whether a version gets no calls any more."""
        progress = self._progress.get(service)
        if progress is None or version != progress.plan.new:
            return False
        return progress.standing.stage is Stage.ROLLED_BACK

    def status(self) -> list[RolloutStatus]:
        """Return where each rollout stands, for operators."""
        return [progress.status for progress in self._progress.values()]

    def take_evidence(self, evidence: Evidence) -> None:
        """Hand evidence to the rollout that it is about."""
        progress = self._progress.get(evidence.service)
        if progress is not None:
            progress.add_evidence(evidence)

    def take_fact(self, fact: Fact, now: float) -> None:
        """Take over a fact about a rollout, also of a plan yet to come."""
        if RolloutState.from_fact(fact) is None:
            return
        held = self._facts.get(fact.name)
        if held is not None and not fact.supersedes(held):
            return
        self._facts[fact.name] = fact
        while len(self._facts) > MAX_FACTS:
            self._facts.pop(next(iter(self._facts)))
        for progress in self._progress.values():
            if fact_name_of(progress.plan) == fact.name:
                self._advance(progress, now)

    def take_reply(self, reply: PlatformReply, now: float) -> list[Any]:
        """Hand the platform's answer to the rollout that asked."""
        effects: list[Any] = []
        for progress in self._progress.values():
            before = progress.standing.progress_key
            effects.extend(progress.take_reply(reply, now))
            if progress.standing.progress_key != before:
                self._report(progress, now)
        return effects

    def _choose_judges(self) -> None:
        self._is_appointed = False
        self._judges = {
            service: judges_of(service, self._members)
            for service in self._progress
        }

    def _appoint(self, now: float) -> None:
        """Judge the rollouts that fall to this node, and no others."""
        self._is_appointed = True
        every_s = interval_s(len(self._members))
        for service, judges in self._judges.items():
            progress = self._progress[service]
            if self._node in judges:
                progress.appoint(self._rng, every_s, now)
            else:
                progress.dismiss()

    def _send_evidence(self) -> Iterator[Send]:
        for service, collector in self._moving_collectors():
            progress = self._progress[service]
            evidence = collector.take(progress.plan)
            for judge in self._judges[service]:
                if judge == self._node:
                    progress.add_evidence(evidence)
                else:
                    yield Send(judge, evidence)

    def _moving_collectors(self) -> list[tuple[str, Collector]]:
        """Return the collectors with counts; drop those not wanted."""
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

    def _advance(self, progress: Progress, now: float) -> None:
        """Move a rollout on to where its fact says that it stands."""
        fact = self._facts.get(fact_name_of(progress.plan))
        if fact is not None and progress.take_fact(fact, now):
            self._report(progress, now)

    def _report(self, progress: Progress, now: float) -> None:
        if self._log is not None:
            status = progress.status
            self._log.add(
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
    raise TypeError(f'rollouts take no {type(event).__name__}')


@_handle.register
def _handle_evidence(
    event: Evidence, rollouts: Rollouts, now: float
) -> list[Any]:
    rollouts.take_evidence(event)
    return []


@_handle.register
def _handle_fact(
    event: FactChanged, rollouts: Rollouts, now: float
) -> list[Any]:
    if event.fact.kind == FACT_KIND:
        rollouts.take_fact(event.fact, now)
    return []


@_handle.register
def _handle_reply(
    event: PlatformReply, rollouts: Rollouts, now: float
) -> list[Any]:
    return rollouts.take_reply(event, now)
