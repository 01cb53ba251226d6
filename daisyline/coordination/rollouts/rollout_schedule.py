"""The schedule by which a rollout's share grows and the rollout ends.

Fractions of time are fractions of the plan's `finish_in_s`.
"""

from daisyline.coordination.rollouts.rollout_judge import Judgement
from daisyline.state.rollout_plan import FULL_PERCENT, RolloutPlan
from daisyline.state.rollout_state import FIRST_SHARE, RolloutState, Stage

# The shares of calls that the new version gets step by step. The old version
# keeps the rest until the end, as a baseline. The fewer calls it gets, the
# longer it takes to detect a new version that turns bad late.
SHARES = (FIRST_SHARE, 0.1, 0.25, 0.5, 0.75, 0.85)
# The fraction of the time after which each share is due.
SHARE_DUE_FRACTIONS = (0, 0.15, 0.3, 0.45, 0.6, 0.75)
# The fraction after which a rollout may be done. The verdict spreads to all
# nodes in the time that remains.
DONE_DUE_FRACTION = 0.95
# A guarded rollout is short, and its verdict also has to be written to the
# platform in the time that remains.
GUARDED_DONE_DUE_FRACTION = 0.9
# A step is delayed by this fraction if the last one brought too few calls.
FEW_CALLS_DELAY_FRACTION = 0.15
# After this fraction a version whose share is still held back is rolled back.
ROLLBACK_DUE_FRACTION = 1.5
MIN_CALLS_PER_STEP = 100
# After a step, or after a pause of its own, a judge collects evidence for this
# time before it takes the next step.
MAX_SETTLE_S = 5.0
_SETTLE_FRACTION = 0.02


def settle_s(plan: RolloutPlan) -> float:
    """Return the shortest time between two steps, in seconds."""
    return min(MAX_SETTLE_S, _SETTLE_FRACTION * plan.finish_in_s)


def decide(
    plan: RolloutPlan,
    state: RolloutState,
    judgement: Judgement,
    elapsed_s: float,
    calls_since_step: int,
) -> RolloutState | None:
    """Return the next state of a moving rollout, or None to wait.

    Args:
        plan: The plan.
        state: The current state.
        judgement: The result of the latest evaluation.
        elapsed_s: Seconds since the rollout started.
        calls_since_step: Calls compared since the share last grew.
    """
    elapsed_fraction = elapsed_s / plan.finish_in_s
    if judgement.should_roll_back:
        return _final_state(Stage.ROLLED_BACK, elapsed_s, judgement.why)
    if judgement.must_hold_share:
        return _roll_back_if_overdue(elapsed_fraction, elapsed_s, judgement)
    # If no call has reached the new version, it may have no targets yet.
    if not judgement.seen_calls and not state.step:
        return None
    step = state.step + 1
    if step < len(SHARES) and _is_share_allowed(plan, step):
        return _next_step(step, elapsed_fraction, elapsed_s, calls_since_step)
    if elapsed_fraction < done_due_fraction(plan):
        return None
    return _final_verdict(plan, judgement, elapsed_s)


def _final_verdict(
    plan: RolloutPlan, judgement: Judgement, elapsed_s: float
) -> RolloutState:
    if judgement.is_inconclusive and plan.is_guarded:
        why = f'not cleared at a small share; {judgement.why}'
        return _final_state(Stage.ROLLED_BACK, elapsed_s, why)
    return _final_state(
        Stage.DONE,
        elapsed_s,
        f'{judgement.compared_calls} calls compared, nothing speaks against it',
    )


def done_due_fraction(plan: RolloutPlan) -> float:
    """Return the fraction of the time after which a rollout may be done."""
    return GUARDED_DONE_DUE_FRACTION if plan.is_guarded else DONE_DUE_FRACTION


def _is_share_allowed(plan: RolloutPlan, step: int) -> bool:
    return SHARES[step] * FULL_PERCENT <= plan.exposed_percent


def _next_step(
    step: int, elapsed_fraction: float, elapsed_s: float, calls: int
) -> RolloutState | None:
    """Return the state of the next step, or None if it isn't due."""
    due_fraction = SHARE_DUE_FRACTIONS[step]
    if calls < MIN_CALLS_PER_STEP:
        due_fraction += FEW_CALLS_DELAY_FRACTION
    if elapsed_fraction < due_fraction:
        return None
    return RolloutState(
        Stage.MOVING,
        step,
        SHARES[step],
        _to_ms(elapsed_s),
        f'{calls} calls compared at the last share',
    )


def _roll_back_if_overdue(
    elapsed_fraction: float, elapsed_s: float, judgement: Judgement
) -> RolloutState | None:
    if elapsed_fraction < ROLLBACK_DUE_FRACTION:
        return None
    return _final_state(
        Stage.ROLLED_BACK,
        elapsed_s,
        f'not cleared in time; {judgement.why}',
    )


def _final_state(stage: Stage, elapsed_s: float, why: str) -> RolloutState:
    share = 1.0 if stage is Stage.DONE else 0
    return RolloutState(stage, 0, share, _to_ms(elapsed_s), why)


def _to_ms(seconds: float) -> int:
    return int(seconds * 1000)
