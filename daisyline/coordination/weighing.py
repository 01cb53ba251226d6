"""Whether a call starts at a target that may be slow at this moment."""

import math

from daisyline.coordination import messages as msg
from daisyline.coordination.owner import Effects, Owner
from daisyline.coordination.pace_events import ProbeTarget
from daisyline.coordination.target_call import TargetCall
from daisyline.state.failures import Failure, Reason
from daisyline.state.targets import Phase


def take(job: TargetCall, owner: Owner, now: float) -> Effects:
    """Start a call, let it wait, or send it on because the target is slow.

    The target is asked how fast it works, if the call could go elsewhere and
    its last word is old; the call waits for the answer.
    """
    path = _pace_path(owner)
    if not path or not _may_go_elsewhere(job.run):
        return owner.admit(job, now)
    if owner.pace.is_fresh(now):
        return _weigh(job, owner, now)
    owner.unweighed.append(job.run.call)
    if owner.pace.asked_at < math.inf:
        return []
    owner.pace.asked_at = now
    return [ProbeTarget(path)]


def paced(percent: int, owner: Owner, now: float) -> Effects:
    """Go on with the calls that waited to hear the target's pace.

    Args:
        percent: What it has said; 0 if it stayed silent.
        owner: The target's side.
        now: Monotonic seconds.
    """
    owner.pace.asked_at = math.inf
    if percent:
        owner.pace.note(percent, now)
    waiting = tuple(owner.unweighed)
    owner.unweighed.clear()
    effects: Effects = []
    for call in waiting:
        job = owner.jobs.get(call)
        if job is not None and job.started_at is None:
            effects += _go_on(job, owner, bool(percent), now)
    return effects


def _go_on(job: TargetCall, owner: Owner, is_told: bool, now: float) -> Effects:
    """Decide on a call that waited, of which much may have changed."""
    failure = owner.closed_to(job.entry_node)
    if failure is not None:
        return [owner.turn_away(job, failure, now)]
    return _weigh(job, owner, now) if is_told else owner.admit(job, now)


def _weigh(job: TargetCall, owner: Owner, now: float) -> Effects:
    """Send a call on that a slow target would take too long for."""
    if owner.pace.is_slow:
        percent = owner.pace.percent
        detail = f'work takes {percent}% of the usual time'
        failure = Failure(Reason.SLOW, detail=detail)
        return [owner.turn_away(job, failure, now)]
    return owner.admit(job, now)


def _may_go_elsewhere(run: msg.RunCall) -> bool:
    return run.may_move and not run.accepts_slow_target


def _pace_path(owner: Owner) -> str:
    """Return where the target says how fast it works, if it does now."""
    target = owner.target
    if target is None or target.phase != Phase.READY:
        return ''
    return owner.limits_of(target).pace_path
