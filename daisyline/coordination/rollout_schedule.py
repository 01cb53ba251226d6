"""When a rollout's share grows, and when it is done."""

from daisyline.coordination.rollout_judge import Judgement
from daisyline.state.rollout_plan import FULL_PERCENT, RolloutPlan
from daisyline.state.rollout_state import FIRST_SHARE, RolloutState, Stage

# The old version keeps the last part until the end, to be compared with; the
# fewer calls it has, the longer a version that turns bad late goes unnoticed.
SHARES = (FIRST_SHARE, 0.1, 0.25, 0.5, 0.75, 0.85)
# The part of the set time at which each share is due.
SHARES_DUE = (0, 0.15, 0.3, 0.45, 0.6, 0.75)
# The rest is kept for the last verdict to spread before the set time.
DONE_DUE = 0.95
# A guarded rollout is short, and its verdict has to be written in time too.
GUARDED_DONE_DUE = 0.9
# Without enough calls a step waits for so much longer.
QUIET_DELAY = 0.15
# After so much of the set time a version that isn't cleared is taken back.
OVERTIME = 1.5
MIN_CALLS_PER_STEP = 100
# A judge lets a new share, or itself after a pause, show for so long.
MAX_SETTLE_S = 5.0
_SETTLE = 0.02


def settle_s(plan: RolloutPlan) -> float:
    """Return the least time between two steps, in seconds."""
    return min(MAX_SETTLE_S, _SETTLE * plan.finish_in_s)


def decide(
    plan: RolloutPlan,
    standing: RolloutState,
    judgement: Judgement,
    elapsed_s: float,
    calls_at_step: int,
) -> RolloutState | None:
    """Return the next standing of a moving rollout, or None to wait.

    Args:
        plan: The plan.
        standing: Where the rollout stands.
        judgement: What the evidence says.
        elapsed_s: Seconds since the rollout started.
        calls_at_step: Calls judged since the share last grew.
    """
    part = elapsed_s / plan.finish_in_s
    if judgement.bad:
        return _ended(Stage.ROLLED_BACK, elapsed_s, judgement.why)
    if judgement.suspicious:
        return _overtime(part, elapsed_s, judgement)
    # A version that no call ever reached may not be there at all.
    if not judgement.seen and not standing.step:
        return None
    index = standing.step + 1
    if index < len(SHARES) and _may_grow(plan, index):
        return _grown(index, part, elapsed_s, calls_at_step)
    if part < done_due(plan):
        return None
    return _last_verdict(plan, judgement, elapsed_s)


def _last_verdict(
    plan: RolloutPlan, judgement: Judgement, elapsed_s: float
) -> RolloutState:
    if judgement.doubtful and plan.is_guarded:
        why = f'not cleared at a small share; {judgement.why}'
        return _ended(Stage.ROLLED_BACK, elapsed_s, why)
    return _ended(
        Stage.DONE,
        elapsed_s,
        f'{judgement.judged} calls compared, nothing speaks against it',
    )


def done_due(plan: RolloutPlan) -> float:
    """Return the part of the set time after which a rollout is done."""
    return GUARDED_DONE_DUE if plan.is_guarded else DONE_DUE


def _may_grow(plan: RolloutPlan, index: int) -> bool:
    return SHARES[index] * FULL_PERCENT <= plan.exposed_percent


def _grown(
    index: int, part: float, elapsed_s: float, calls: int
) -> RolloutState | None:
    """Return the standing of a step if it is due."""
    due = SHARES_DUE[index]
    if calls < MIN_CALLS_PER_STEP:
        due += QUIET_DELAY
    if part < due:
        return None
    return RolloutState(
        Stage.MOVING,
        index,
        SHARES[index],
        _ms(elapsed_s),
        f'{calls} calls compared at the last share',
    )


def _overtime(
    part: float, elapsed_s: float, judgement: Judgement
) -> RolloutState | None:
    if part < OVERTIME:
        return None
    return _ended(
        Stage.ROLLED_BACK,
        elapsed_s,
        f'not cleared in time; {judgement.why}',
    )


def _ended(stage: Stage, elapsed_s: float, why: str) -> RolloutState:
    share = 1.0 if stage is Stage.DONE else 0
    return RolloutState(stage, 0, share, _ms(elapsed_s), why)


def _ms(seconds: float) -> int:
    return int(seconds * 1000)
