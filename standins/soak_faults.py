"""The implementation of each kind of fault of a soak run."""

import functools
import signal
from typing import Any

from standins import soak_schedule as schedule
from standins.soak_injector import Callback, Injector
from standins.soak_records import PLATFORM, Window
from standins.soak_slow_nodes import slow_node
from standins.soak_slowness import SlowNode, SlowTarget
from standins.soak_zone import ZoneOutAndIn

# A silent connection is detected when it is next used, and pools keep idle
# connections open.
SILENT_WINDOW_S = 25.0
# When operators write again what the platform's copy lacks, and how long after
# that the fault ends, in seconds.
REWRITE_S = 0.5
AFTER_REWRITE_S = 0.5


def inject(fault: Any, injector: Injector) -> None:
    """Apply a fault and count it as injected or skipped."""
    is_applied = apply_fault(fault, injector)
    counts = injector.log.injected if is_applied else injector.log.skipped
    counts[type(fault).__name__] += 1


@functools.singledispatch
def apply_fault(fault: Any, injector: Injector) -> bool:
    """Apply a fault; return False if that is not possible now.

    A fault is skipped if its process is not running or is reserved by another
    fault, and if another zone is out.

    Raises:
        TypeError: If the kind of fault is unknown.
    """
    raise TypeError(fault)


@apply_fault.register
def _kill_node(fault: schedule.KillNode, injector: Injector) -> bool:
    place = injector.fleet.place(fault.place)
    if not injector.reserve(place.node_name):
        return False
    end_fault = injector.begin_fault('KillNode', fault.place)
    injector.signal(place.node_name, signal.SIGKILL)
    injector.fleet.links[fault.place].callers.close()
    start = functools.partial(injector.start_node, place, end_fault)
    injector.call_after_exit(place.node_name, fault.seconds, start)
    return True


@apply_fault.register
def _stop_node(fault: schedule.StopNode, injector: Injector) -> bool:
    place = injector.fleet.place(fault.place)
    if not injector.reserve(place.node_name):
        return False
    end_fault = injector.begin_node_stop(fault.place)
    injector.signal(place.node_name, signal.SIGTERM)
    injector.fleet.links[fault.place].callers.close()
    start = functools.partial(injector.start_node, place, end_fault)
    injector.call_after_exit(place.node_name, fault.seconds, start)
    return True


@apply_fault.register
def _pause_node(fault: schedule.PauseNode, injector: Injector) -> bool:
    if not injector.reserve(fault.place):
        return False
    end_fault = injector.begin_fault('PauseNode', fault.place)
    injector.signal(fault.place, signal.SIGSTOP)

    def resume() -> None:
        injector.signal(fault.place, signal.SIGCONT)
        injector.release(fault.place)
        end_fault()

    injector.call_later(fault.seconds, resume)
    return True


@apply_fault.register
def _kill_target(fault: schedule.KillTarget, injector: Injector) -> bool:
    place = injector.fleet.place(fault.place)
    if not injector.reserve(place.target_name):
        return False
    end_fault = injector.begin_fault('KillTarget', fault.place)
    injector.signal(place.target_name, signal.SIGKILL)
    injector.fleet.links[fault.place].target.close()
    start = functools.partial(injector.start_target, place, end_fault)
    injector.call_after_exit(place.target_name, fault.seconds, start)
    return True


@apply_fault.register
def _crash_target(fault: schedule.CrashTarget, injector: Injector) -> bool:
    place = injector.fleet.place(fault.place)
    if not injector.reserve(place.target_name):
        return False
    end_fault = injector.begin_fault('CrashTarget', fault.place)
    injector.fleet.set_target_faults(fault.place, crash=True)
    injector.fleet.links[fault.place].target.close()
    start = functools.partial(injector.start_target, place, end_fault)
    injector.call_after_exit(place.target_name, fault.seconds, start)
    return True


@apply_fault.register
def _stop_target(fault: schedule.StopTarget, injector: Injector) -> bool:
    place = injector.fleet.place(fault.place)
    if not injector.reserve(place.target_name):
        return False
    # A planned stop explains no lost call, so it records no window.
    end_fault = injector.log.begin_harmless()
    injector.record_target_stop(fault.place)
    injector.signal(place.target_name, signal.SIGTERM)
    start = functools.partial(injector.start_target, place, end_fault)
    injector.call_after_exit(place.target_name, fault.seconds, start)
    return True


@apply_fault.register
def _slow_target(fault: SlowTarget, injector: Injector) -> bool:
    end_fault = injector.begin_fault('SlowTarget', fault.place)
    injector.fleet.set_target_faults(fault.place, slow_factor=fault.factor)
    _schedule_target_recovery(fault, injector, end_fault)
    return True


@apply_fault.register
def _fail_fast(fault: schedule.FailFast, injector: Injector) -> bool:
    # A failure is an answer too, so it explains no lost call.
    end_fault = injector.log.begin_harmless()
    injector.fleet.set_target_faults(fault.place, fail_fast=fault.share)
    _schedule_target_recovery(fault, injector, end_fault)
    return True


@apply_fault.register
def _faulty_answers(fault: schedule.FaultyAnswers, injector: Injector) -> bool:
    # A copy of an answer explains no lost call; the other faults lose answers.
    end_fault = (
        injector.log.begin_harmless()
        if fault.answers == 'repeated'
        else injector.begin_fault('FaultyAnswers', fault.place)
    )
    injector.fleet.set_target_faults(fault.place, answers=fault.answers)
    _schedule_target_recovery(fault, injector, end_fault)
    return True


def _schedule_target_recovery(
    fault: SlowTarget | schedule.FailFast | schedule.FaultyAnswers,
    injector: Injector,
    end_fault: Callback,
) -> None:
    def recover() -> None:
        injector.fleet.set_target_faults(fault.place)
        end_fault()

    injector.call_later(fault.seconds, recover)


@apply_fault.register
def _turn_cold(fault: schedule.TurnCold, injector: Injector) -> bool:
    injector.fleet.set_target_faults(fault.place, cold=True)
    return True


@apply_fault.register
def _poison(fault: schedule.Poison, injector: Injector) -> bool:
    injector.on_poison(fault)
    return True


@apply_fault.register
def _platform_down(fault: schedule.PlatformDown, injector: Injector) -> bool:
    _set_platform_faults(fault, injector, {'down': True}, {'down': False})
    return True


@apply_fault.register
def _platform_slow(fault: schedule.PlatformSlow, injector: Injector) -> bool:
    faults_on = {'slow_ms': fault.delay_ms}
    _set_platform_faults(fault, injector, faults_on, {'slow_ms': 0})
    return True


@apply_fault.register
def _lose_answers(fault: schedule.LoseAnswers, injector: Injector) -> bool:
    faults_off = {'lose_answers': False}
    _set_platform_faults(fault, injector, {'lose_answers': True}, faults_off)
    return True


@apply_fault.register
def _stale_reads(fault: schedule.StaleReads, injector: Injector) -> bool:
    faults_on = {'stale_reads_ms': fault.lag_ms}
    _set_platform_faults(fault, injector, faults_on, {'stale_reads_ms': 0})
    return True


def _set_platform_faults(
    fault: Any,
    injector: Injector,
    faults_on: dict[str, Any],
    faults_off: dict[str, Any],
) -> None:
    end_fault = injector.begin_fault(type(fault).__name__, PLATFORM)
    injector.fleet.set_platform_faults(**faults_on)

    def recover() -> None:
        injector.fleet.set_platform_faults(**faults_off)
        end_fault()

    injector.call_later(fault.seconds, recover)


@apply_fault.register
def _platform_return(
    fault: schedule.PlatformReturn, injector: Injector
) -> bool:
    if injector.zone_out or injector.is_platform_returning:
        return False
    injector.is_platform_returning = True
    end_fault = injector.begin_fault('PlatformReturn', PLATFORM)
    injector.fleet.return_platform(
        age_s=fault.age_s + fault.seconds,
        away_s=fault.seconds,
        rewrite_s=REWRITE_S,
    )

    def recover() -> None:
        injector.is_platform_returning = False
        end_fault()

    injector.call_later(fault.seconds + REWRITE_S + AFTER_REWRITE_S, recover)
    return True


@apply_fault.register
def _silent_callers(fault: schedule.SilentCallers, injector: Injector) -> bool:
    injector.fleet.links[fault.place].callers.silence()
    _record_silence(fault, injector)
    return True


@apply_fault.register
def _silent_target(fault: schedule.SilentTarget, injector: Injector) -> bool:
    injector.fleet.links[fault.place].target.silence()
    _record_silence(fault, injector)
    return True


def _record_silence(
    fault: schedule.SilentCallers | schedule.SilentTarget, injector: Injector
) -> None:
    now = injector.now()
    kind = type(fault).__name__
    window = Window(kind, fault.place, now, now + SILENT_WINDOW_S)
    injector.journal.windows.append(window)


@apply_fault.register
def _silent_platform(
    fault: schedule.SilentPlatform, injector: Injector
) -> bool:
    injector.fleet.platform_link.silence()
    return True


@apply_fault.register
def _zone_out(fault: schedule.ZoneOut, injector: Injector) -> bool:
    if injector.zone_out or injector.is_platform_returning:
        return False
    ZoneOutAndIn(injector, fault).start()
    return True


apply_fault.register(SlowNode, slow_node)
