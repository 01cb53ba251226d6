"""Checks the target's pace before a call is admitted."""

import math

from daisyline.coordination.admission.pace_events import ProbeTarget
from daisyline.coordination.calls import messages as msg
from daisyline.coordination.calls.target_call import TargetCall
from daisyline.coordination.calls.target_side import Effects, TargetSide
from daisyline.state.failures import Failure, Reason
from daisyline.state.targets import Phase


def admit_at_pace(
    target_call: TargetCall, target_side: TargetSide, now: float
) -> Effects:
    """Admit a call, or refuse it because the target is slow.

    If another target can take the call and the last report of the pace is too
    old, a probe is sent to the target and the call waits for its answer.
    """
    path = _pace_path(target_side)
    if not path or not _can_move(target_call.run):
        return target_side.admit(target_call, now)
    if target_side.pace.is_fresh(now):
        return _admit_unless_slow(target_call, target_side, now)
    target_side.awaiting_pace.append(target_call.run.call)
    if target_side.pace.probed_at < math.inf:
        return []
    target_side.pace.probed_at = now
    return [ProbeTarget(path)]


def resume_after_probe(
    percent: int, target_side: TargetSide, now: float
) -> Effects:
    """Resume the calls that wait for a probe of the target's pace.

    Args:
        percent: The reported pace; 0 if the probe was not answered.
        target_side: The target side of this node.
        now: Monotonic seconds.
    """
    target_side.pace.probed_at = math.inf
    if percent:
        target_side.pace.record_report(percent, now)
    waiting = tuple(target_side.awaiting_pace)
    target_side.awaiting_pace.clear()
    effects: Effects = []
    for call in waiting:
        target_call = target_side.calls.get(call)
        if target_call is not None and target_call.started_at is None:
            effects += _resume(target_call, target_side, bool(percent), now)
    return effects


def _resume(
    target_call: TargetCall, target_side: TargetSide, has_pace: bool, now: float
) -> Effects:
    """Admit or refuse a call; conditions may have changed while it waited."""
    failure = target_side.refusal_for_peer(target_call.entry_node)
    if failure is not None:
        return [target_side.refuse(target_call, failure, now)]
    return (
        _admit_unless_slow(target_call, target_side, now)
        if has_pace
        else target_side.admit(target_call, now)
    )


def _admit_unless_slow(
    target_call: TargetCall, target_side: TargetSide, now: float
) -> Effects:
    """Admit a call, or refuse it if the target is slow."""
    if target_side.pace.is_slow:
        percent = target_side.pace.percent
        detail = f'work takes {percent}% of the usual time'
        failure = Failure(Reason.SLOW, detail=detail)
        return [target_side.refuse(target_call, failure, now)]
    return target_side.admit(target_call, now)


def _can_move(run: msg.RunCall) -> bool:
    return run.may_move and not run.accepts_slow_target


def _pace_path(target_side: TargetSide) -> str:
    """Return the path of the probe.

    It is empty if the target isn't ready or the settings name no path.
    """
    target = target_side.target
    if target is None or target.phase != Phase.READY:
        return ''
    return target_side.limits_of(target).pace_path
