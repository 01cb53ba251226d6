"""Whether a call starts at a target that may be slow at this moment."""

import math

from daisyline.coordination import messages as msg
from daisyline.coordination.jobs import Job
from daisyline.coordination.pace_events import ProbeTarget
from daisyline.coordination.target_side import Effects, TargetSide
from daisyline.state.failures import Failure, Reason
from daisyline.state.targets import Phase


def admit_at_pace(job: Job, owner: TargetSide, now: float) -> Effects:
    """Start a call, let it wait, or send it on because the target is slow.

    The target is asked how fast it works, if the call could go elsewhere and
    its last word is old; the call waits for the answer.
    """
    path = _pace_path(owner)
    if not path or not _may_go_elsewhere(job.run):
        return owner.admit(job, now)
    if owner.pace.is_fresh(now):
        return _admit_unless_slow(job, owner, now)
    owner.awaiting_pace.append(job.run.call)
    if owner.pace.probed_at < math.inf:
        return []
    owner.pace.probed_at = now
    return [ProbeTarget(path)]


def resume_after_probe(percent: int, owner: TargetSide, now: float) -> Effects:
    """Go on with the calls that waited to hear the target's pace.

    Args:
        percent: What it has said; 0 if it stayed silent.
        owner: The target's side.
        now: Monotonic seconds.
    """
    owner.pace.probed_at = math.inf
    if percent:
        owner.pace.record(percent, now)
    waiting = tuple(owner.awaiting_pace)
    owner.awaiting_pace.clear()
    effects: Effects = []
    for call in waiting:
        job = owner.jobs.get(call)
        if job is not None and job.started_at is None:
            effects += _resume(job, owner, bool(percent), now)
    return effects


def _resume(job: Job, owner: TargetSide, has_pace: bool, now: float) -> Effects:
    """Decide on a call that waited, of which much may have changed."""
    failure = owner.refusal_for_peer(job.peer)
    if failure is not None:
        return [owner.refuse(job, failure, now)]
    return (
        _admit_unless_slow(job, owner, now)
        if has_pace
        else owner.admit(job, now)
    )


def _admit_unless_slow(job: Job, owner: TargetSide, now: float) -> Effects:
    """Send a call on that a slow target would take too long for."""
    if owner.pace.is_slow:
        percent = owner.pace.percent
        detail = f'work takes {percent}% of the usual time'
        failure = Failure(Reason.SLOW, detail=detail)
        return [owner.refuse(job, failure, now)]
    return owner.admit(job, now)


def _may_go_elsewhere(run: msg.Run) -> bool:
    return run.may_move and not run.stays_if_slow


def _pace_path(owner: TargetSide) -> str:
    """Return where the target says how fast it works, if it does now."""
    target = owner.target
    if target is None or target.phase != Phase.READY:
        return ''
    return owner.limits_of(target).pace_path
