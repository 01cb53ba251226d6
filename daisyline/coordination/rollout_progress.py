"""One rollout as one node knows it and, if it is a judge, decides on it."""

import math
from random import Random
from typing import Any

import attrs

from daisyline.coordination.effects import PlatformReply
from daisyline.coordination.evidence_messages import Evidence
from daisyline.coordination.fact_events import PutFact
from daisyline.coordination.rollout_judge import Judge
from daisyline.coordination.rollout_record import Record
from daisyline.coordination.rollout_schedule import (
    decide,
    done_due,
    settle_s,
)
from daisyline.coordination.version_trial import Trial
from daisyline.state.facts import DEFAULT_TTL_MS, Fact
from daisyline.state.rollout_plan import PlanState, RolloutPlan
from daisyline.state.rollout_state import (
    RolloutState,
    RolloutStatus,
    Stage,
    fact_name_of,
)

# A judge whose ticks are further apart was paused, and looks anew first.
PAUSE_S = 2.0
# Facts are spread anew well before nodes forget them.
REPEAT_S = 200.0
_MS_PER_S = 1000
assert REPEAT_S * _MS_PER_S < DEFAULT_TTL_MS


@attrs.define
class Bench:
    """What a judge of a rollout needs beside what every node knows."""

    judge: Judge
    record: Record
    interval_s: float
    evaluate_at: float
    settled_at: float
    judged_before: int = 0
    judged: int = 0


@attrs.define
class Progress:
    """One rollout: where it stands, and the judging if this node does it.

    Attributes:
        plan: The plan in force.
        standing: Where the rollout stands; it only ever moves on.
    """

    plan: RolloutPlan
    standing: RolloutState
    _fact: Fact
    _started_at: float
    _spread_at: float
    _bench: Bench | None = None

    @classmethod
    def from_plan(cls, plan: RolloutPlan, now: float) -> 'Progress':
        """Build the progress of a rollout that starts now."""
        standing = RolloutState()
        fact = standing.to_fact(fact_name_of(plan))
        return cls(plan, standing, fact, now, now)

    @property
    def is_moving(self) -> bool:
        """Return whether the rollout is still to be decided."""
        return self.standing.stage is Stage.MOVING

    @property
    def shares(self) -> dict[str, float]:
        """Return each version's share of calls."""
        new = self.standing.share
        return {self.plan.old: 1 - new, self.plan.new: new}

    @property
    def on_trial(self) -> Trial:
        """Return the version that a guarded rollout tries, if there is one."""
        is_tried = self.is_moving and self.plan.is_guarded
        return Trial(self.plan.new, self._started_at) if is_tried else Trial()

    @property
    def status(self) -> RolloutStatus:
        """Return where the rollout stands, for operators."""
        return RolloutStatus(
            self.plan.service,
            self.plan.id,
            str(self.standing.stage),
            self.standing.share,
            self.standing.why,
        )

    def replace_plan(self, plan: RolloutPlan) -> None:
        """Take over a changed plan of the same rollout."""
        versions = (self.plan.old, self.plan.new)
        self.plan = plan
        if (plan.old, plan.new) != versions:
            self._bench = None

    def appoint(self, rng: Random, interval_s: float, now: float) -> None:
        """Become a judge, with no evidence yet, or go on as one."""
        if self._bench is None:
            self._bench = Bench(
                Judge.from_plan(self.plan),
                Record.from_plan(self.plan, rng, now),
                interval_s,
                now + interval_s,
                now + settle_s(self.plan),
            )
        self._bench.interval_s = interval_s

    def dismiss(self) -> None:
        """Be a judge no more."""
        self._bench = None

    def add_evidence(self, evidence: Evidence) -> None:
        """Take in evidence if this node is a judge of a moving rollout."""
        if self._bench is not None and self.is_moving:
            self._bench.judge.add(evidence)

    def take_fact(self, fact: Fact, now: float) -> bool:
        """Take over a fact; return whether the stage or step moved on."""
        standing = RolloutState.from_fact(fact)
        if standing is None or not fact.supersedes(self._fact):
            return False
        # Ranks are built from the place, so no rollout ever goes back.
        assert standing.progress_key >= self.standing.progress_key
        moved = standing.progress_key > self.standing.progress_key
        self._fact = fact
        self.standing = standing
        self._spread_at = now
        self._started_at = min(
            self._started_at, now - standing.elapsed_ms / _MS_PER_S
        )
        if moved and self._bench is not None:
            self._settle(self._bench, now)
        return moved

    def next_at(self) -> float:
        """Return when `tick` has something to do."""
        if self._bench is None:
            return math.inf
        due = min(
            self._bench.record.next_at(self.standing),
            self._spread_at + REPEAT_S,
        )
        if self.is_moving:
            return min(due, self._bench.evaluate_at)
        return due

    def tick(self, now: float) -> list[Any]:
        """Judge, spread and record what is due."""
        if self._bench is None:
            return []
        effects: list[Any] = []
        if self.is_moving and now >= self._bench.evaluate_at:
            effects.extend(self._evaluate(self._bench, now))
        if now >= self._spread_at + REPEAT_S:
            effects.append(self._repeat(now))
        effects.extend(self._bench.record.tick(self.standing, now))
        return effects

    def take_reply(self, reply: PlatformReply, now: float) -> list[Any]:
        """Go on with the platform's object after an answer."""
        if self._bench is None:
            return []
        ahead, effects = self._bench.record.handle(reply, self.standing, now)
        if ahead is not None:
            effects.append(self._put(ahead, now))
        return effects

    def stop_if_planned(self, now: float) -> list[Any]:
        """Roll back if operators stopped the rollout."""
        if self.plan.state is not PlanState.STOPPED or not self.is_moving:
            return []
        elapsed_ms = self._elapsed_ms(now)
        stopped = RolloutState(
            Stage.ROLLED_BACK, 0, 0, elapsed_ms, 'operators stopped it'
        )
        return [self._put(stopped, now)]

    def _evaluate(self, bench: Bench, now: float) -> list[Any]:
        """Judge the evidence of the last interval."""
        if now - bench.evaluate_at > PAUSE_S:
            bench.settled_at = now + settle_s(self.plan)
        bench.evaluate_at = self._next_evaluation(bench, now)
        judgement = bench.judge.evaluate()
        bench.judged = judgement.judged
        if now < bench.settled_at and not judgement.bad:
            return []
        decided = decide(
            self.plan,
            self.standing,
            judgement,
            now - self._started_at,
            judgement.judged - bench.judged_before,
        )
        return [] if decided is None else [self._put(decided, now)]

    def _next_evaluation(self, bench: Bench, now: float) -> float:
        """Return when to judge next: not past the time of the last step."""
        usual = now + bench.interval_s
        due_s = done_due(self.plan) * self.plan.finish_in_s
        last_step_at = self._started_at + due_s
        return min(usual, last_step_at) if last_step_at > now else usual

    def _repeat(self, now: float) -> PutFact:
        """Spread the same standing anew, for nodes that would forget it."""
        repeat = self.standing.reissue_count + 1
        return self._put(
            attrs.evolve(
                self.standing,
                reissue_count=repeat,
                elapsed_ms=self._elapsed_ms(now),
            ),
            now,
        )

    def _put(self, standing: RolloutState, now: float) -> PutFact:
        fact = standing.to_fact(fact_name_of(self.plan))
        self.take_fact(fact, now)
        return PutFact(fact)

    def _settle(self, bench: Bench, now: float) -> None:
        bench.settled_at = now + settle_s(self.plan)
        bench.judged_before = bench.judged

    def _elapsed_ms(self, now: float) -> int:
        return int((now - self._started_at) * _MS_PER_S)
