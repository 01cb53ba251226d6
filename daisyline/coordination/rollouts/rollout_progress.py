"""The progress of one rollout at one node, and its decisions as a judge."""

import math
from random import Random
from typing import Any

import attrs

from daisyline.coordination.effects import PlatformReply
from daisyline.coordination.membership.fact_events import PutFact
from daisyline.coordination.rollouts.evidence_messages import Evidence
from daisyline.coordination.rollouts.rollout_judge import Judge
from daisyline.coordination.rollouts.rollout_record import (
    REWRITE_WINDOW_S,
    RolloutRecordSync,
)
from daisyline.coordination.rollouts.rollout_schedule import (
    decide,
    done_due_fraction,
    settle_s,
)
from daisyline.coordination.rollouts.version_trial import VersionTrial
from daisyline.state.facts import DEFAULT_TTL_MS, Fact
from daisyline.state.rollout_plan import PlanState, RolloutPlan
from daisyline.state.rollout_state import (
    RolloutState,
    RolloutStatus,
    Stage,
    fact_name_of,
)

# A judge that evaluates later than this was paused. Its evidence is incomplete,
# so it collects for the settling time before it takes the next step.
MAX_EVALUATION_DELAY_S = 2.0
# Facts are spread again well before their time to live ends.
RESPREAD_INTERVAL_S = 200.0
_MS_PER_S = 1000
assert RESPREAD_INTERVAL_S * _MS_PER_S < DEFAULT_TTL_MS


@attrs.define
class JudgeState:
    """The state of a rollout that only its judges hold.

    Attributes:
        judge: The evidence collected so far.
        record_sync: Keeps the platform's object of the rollout up to date.
        interval_s: Seconds between two evaluations.
        evaluate_at: When the evidence is evaluated next, in monotonic seconds.
        settled_after: The time before which only a rollback is decided, in
            monotonic seconds.
        compared_at_step: Number of calls compared when the last step was taken.
        compared_calls: Number of calls compared at the last evaluation.
    """

    judge: Judge
    record_sync: RolloutRecordSync
    interval_s: float
    evaluate_at: float
    settled_after: float
    compared_at_step: int = 0
    compared_calls: int = 0

    def start_settling(self, plan: RolloutPlan, now: float) -> None:
        """Delay the next step by the settling time, after a step."""
        self.settled_after = now + settle_s(plan)
        self.compared_at_step = self.compared_calls

    def schedule_evaluation(
        self, plan: RolloutPlan, started_at: float, now: float
    ) -> None:
        """Schedule the next evaluation.

        It comes after the regular interval, or earlier if the time at which the
        rollout may become done lies within that interval.
        """
        self.evaluate_at = now + self.interval_s
        last_step_s = done_due_fraction(plan) * plan.finish_in_s
        last_step_at = started_at + last_step_s
        if last_step_at > now:
            self.evaluate_at = min(self.evaluate_at, last_step_at)

    def continue_as(self, plan: RolloutPlan, now: float) -> None:
        """Keep the evidence for a plan that differs in its id only."""
        self.judge.continue_as(plan)
        self.record_sync.restart(plan, now)


@attrs.define
class Progress:
    """One rollout as one node knows it, and its judging if this node judges.

    Attributes:
        plan: The plan in force.
        state: The current state. Its stage and step never go back.
    """

    plan: RolloutPlan
    state: RolloutState
    _fact: Fact
    _started_at: float
    _last_spread_at: float
    _judge_state: JudgeState | None = None
    _returned_at: float = -math.inf

    @classmethod
    def from_plan(cls, plan: RolloutPlan, now: float) -> 'Progress':
        """Build the progress of a rollout that starts at `now`."""
        state = RolloutState()
        fact = state.to_fact(fact_name_of(plan))
        return cls(plan, state, fact, now, now)

    @property
    def is_moving(self) -> bool:
        """Return whether the rollout is neither done nor rolled back."""
        return self.state.stage is Stage.MOVING

    @property
    def shares(self) -> dict[str, float]:
        """Return each version's share of calls, 0 to 1."""
        new = self.state.share
        return {self.plan.old: 1 - new, self.plan.new: new}

    @property
    def trial(self) -> VersionTrial:
        """Return the version under test, empty if the rollout has none.

        Only a guarded rollout that is still moving has one.
        """
        is_on_trial = self.is_moving and self.plan.is_guarded
        return (
            VersionTrial(self.plan.new, self._started_at)
            if is_on_trial
            else VersionTrial()
        )

    @property
    def status(self) -> RolloutStatus:
        """Return the status of the rollout, for operators."""
        return RolloutStatus(
            self.plan.service,
            self.plan.id,
            str(self.state.stage),
            self.state.share,
            self.state.why,
        )

    def replace_plan(self, plan: RolloutPlan) -> None:
        """Replace the plan by a changed one with the same id.

        Judging starts again without evidence if the versions differ.
        """
        versions = (self.plan.old, self.plan.new)
        self.plan = plan
        if (plan.old, plan.new) != versions:
            self._judge_state = None

    def handle_return(self, now: float) -> None:
        """Compare the object again, as the store is an older copy."""
        self._returned_at = now
        if self._judge_state is not None:
            self._judge_state.record_sync.restart(self.plan, now)

    def continue_as(self, plan: RolloutPlan, now: float) -> list[Any] | None:
        """Go on under another id, if the order was written again.

        The order has another revision in the store's new era, and the plan
        another id with it.

        Returns:
            The effects; None if the plan is of another rollout.
        """
        is_expected = now < self._returned_at + REWRITE_WINDOW_S
        if not is_expected or attrs.evolve(plan, id=self.plan.id) != self.plan:
            return None
        if plan == self.plan:
            return []
        self.plan = plan
        self._fact = self.state.to_fact(fact_name_of(plan))
        if self._judge_state is not None:
            self._judge_state.continue_as(plan, now)
        return [] if self.state == RolloutState() else [PutFact(self._fact)]

    def start_judging(self, rng: Random, interval_s: float, now: float) -> None:
        """Make this node a judge, without evidence, unless it is one already.

        Args:
            rng: Source of random delays.
            interval_s: Seconds between two evaluations, also for a node that
                is a judge already.
            now: Monotonic seconds.
        """
        if self._judge_state is None:
            self._judge_state = JudgeState(
                Judge.from_plan(self.plan),
                RolloutRecordSync.from_plan(self.plan, rng, now),
                interval_s,
                now + interval_s,
                now + settle_s(self.plan),
            )
        self._judge_state.interval_s = interval_s

    def stop_judging(self) -> None:
        """Drop the state of a judge, if this node is one."""
        self._judge_state = None

    def add_evidence(self, evidence: Evidence) -> None:
        """Add evidence if this node is a judge of a moving rollout."""
        if self._judge_state is not None and self.is_moving:
            self._judge_state.judge.add(evidence)

    def merge_fact(self, fact: Fact, now: float) -> bool:
        """Merge a fact and return whether the stage or step advanced."""
        state = RolloutState.from_fact(fact)
        if state is None or not fact.supersedes(self._fact):
            return False
        # A fact's rank starts with the stage and step, so neither goes back.
        assert state.progress_key >= self.state.progress_key
        moved = state.progress_key > self.state.progress_key
        self._fact = fact
        self.state = state
        self._last_spread_at = now
        self._started_at = min(
            self._started_at, now - state.elapsed_ms / _MS_PER_S
        )
        if moved and self._judge_state is not None:
            self._judge_state.start_settling(self.plan, now)
        return moved

    def next_at(self) -> float:
        """Return when `tick` has to run next, in monotonic seconds.

        It is infinite if this node is no judge of the rollout.
        """
        if self._judge_state is None:
            return math.inf
        tick_at = min(
            self._judge_state.record_sync.next_at(self.state),
            self._last_spread_at + RESPREAD_INTERVAL_S,
        )
        if self.is_moving:
            return min(tick_at, self._judge_state.evaluate_at)
        return tick_at

    def tick(self, now: float) -> list[Any]:
        """Run a judge's timers that have expired and return the effects.

        The timers cover evaluating the evidence, spreading the fact again and
        writing the platform's object.
        """
        if self._judge_state is None:
            return []
        effects: list[Any] = []
        if self.is_moving and now >= self._judge_state.evaluate_at:
            effects.extend(self._evaluate(self._judge_state, now))
        if now >= self._last_spread_at + RESPREAD_INTERVAL_S:
            effects.append(self._respread(now))
        effects.extend(self._judge_state.record_sync.tick(self.state, now))
        return effects

    def handle_reply(self, reply: PlatformReply, now: float) -> list[Any]:
        """Handle a reply about the platform's object; return the effects.

        If the state in the object is ahead of this node's, it is adopted and
        spread.
        """
        if self._judge_state is None:
            return []
        newer, effects = self._judge_state.record_sync.handle(
            reply, self.state, now
        )
        if newer is not None:
            effects.append(self._publish(newer, now))
        return effects

    def stop_if_planned(self, now: float) -> list[Any]:
        """Roll back if the plan is stopped, and return the effects."""
        if self.plan.state is not PlanState.STOPPED or not self.is_moving:
            return []
        elapsed_ms = self._elapsed_ms(now)
        stopped = RolloutState(
            Stage.ROLLED_BACK, 0, 0, elapsed_ms, 'operators stopped it'
        )
        return [self._publish(stopped, now)]

    def _evaluate(self, judge_state: JudgeState, now: float) -> list[Any]:
        """Evaluate the evidence of the last interval; return the effects."""
        if now - judge_state.evaluate_at > MAX_EVALUATION_DELAY_S:
            judge_state.settled_after = now + settle_s(self.plan)
        judge_state.schedule_evaluation(self.plan, self._started_at, now)
        judgement = judge_state.judge.evaluate()
        judge_state.compared_calls = judgement.compared_calls
        if now < judge_state.settled_after and not judgement.should_roll_back:
            return []
        decided = decide(
            self.plan,
            self.state,
            judgement,
            now - self._started_at,
            judgement.compared_calls - judge_state.compared_at_step,
        )
        return [] if decided is None else [self._publish(decided, now)]

    def _respread(self, now: float) -> PutFact:
        """Spread the same state again before nodes forget its fact."""
        reissue_count = self.state.reissue_count + 1
        return self._publish(
            attrs.evolve(
                self.state,
                reissue_count=reissue_count,
                elapsed_ms=self._elapsed_ms(now),
            ),
            now,
        )

    def _publish(self, state: RolloutState, now: float) -> PutFact:
        """Apply a state here and return the effect that spreads it."""
        fact = state.to_fact(fact_name_of(self.plan))
        self.merge_fact(fact, now)
        return PutFact(fact)

    def _elapsed_ms(self, now: float) -> int:
        return int((now - self._started_at) * _MS_PER_S)
