"""Whether a call starts at a target that may be slow at this moment."""

import math

from daisyline.coordination import messages as msg
from daisyline.coordination.jobs import Job
from daisyline.coordination.pace_events import ProbeTarget
from daisyline.coordination.target_side import Effects, TargetSide
from daisyline.state.failures import Failure, Reason
from daisyline.state.targets import Phase


def admit_at_pace(job: Job, target_side: TargetSide, now: float) -> Effects:
    """Start a call, let it wait, or send it on because the target is slow.

    The target is asked how fast it works, if the call could go elsewhere and
    its last word is old; the call waits for the answer.
    """
    path = _pace_path(target_side)
    if not path or not _may_go_elsewhere(job.run):
        return target_side.admit(job, now)
    if target_side.pace.is_fresh(now):
        return _admit_unless_slow(job, target_side, now)
    target_side.awaiting_pace.append(job.run.call)
    if target_side.pace.probed_at < math.inf:
        return []
    target_side.pace.probed_at = now
    return [ProbeTarget(path)]


def resume_after_probe(
    percent: int, target_side: TargetSide, now: float
) -> Effects:
    """Go on with the calls that waited to hear the target's pace.

    Args:
        percent: What it has said; 0 if it stayed silent.
        target_side: The target's side.
        now: Monotonic seconds.
    """
    target_side.pace.probed_at = math.inf
    if percent:
        target_side.pace.record(percent, now)
    waiting = tuple(target_side.awaiting_pace)
    target_side.awaiting_pace.clear()
    effects: Effects = []
    for call in waiting:
        job = target_side.calls.get(call)
        if job is not None and job.started_at is None:
            effects += _resume(job, target_side, bool(percent), now)
    return effects


def _resume(
    job: Job, target_side: TargetSide, has_pace: bool, now: float
) -> Effects:
    """Decide on a call that waited, of which much may have changed."""
    failure = target_side.refusal_for_peer(job.peer)
    if failure is not None:
        return [target_side.refuse(job, failure, now)]
    return (
        _admit_unless_slow(job, target_side, now)
        if has_pace
        else target_side.admit(job, now)
    )


def _admit_unless_slow(
    job: Job, target_side: TargetSide, now: float
) -> Effects:
    """Send a call on that a slow target would take too long for."""
    if target_side.pace.is_slow:
        percent = target_side.pace.percent
        detail = f'work takes {percent}% of the usual time'
        failure = Failure(Reason.SLOW, detail=detail)
        return [target_side.refuse(job, failure, now)]
    return target_side.admit(job, now)


def _may_go_elsewhere(run: msg.Run) -> bool:
    return run.may_move and not run.stays_if_slow


def _pace_path(target_side: TargetSide) -> str:
    """Return where the target says how fast it works, if it does now."""
    target = target_side.target
    if target is None or target.phase != Phase.READY:
        return ''
    return target_side.limits_of(target).pace_path
