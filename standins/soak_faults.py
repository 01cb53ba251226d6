"""How each fault of a soak run is carried out."""

import functools
import signal
from typing import Any

from standins import soak_schedule as plan
from standins.soak_injector import Done, Injector
from standins.soak_records import PLATFORM, Window
from standins.soak_zone import ZoneTrip

# A silent connection shows when it is next used, and a pool keeps idle ones.
SILENT_S = 25.0


def inject(fault: Any, injector: Injector) -> None:
    """Carry out a fault and count it."""
    carried_out = carry_out(fault, injector)
    counter = injector.log.done if carried_out else injector.log.passed
    counter[type(fault).__name__] += 1


@functools.singledispatch
def carry_out(fault: Any, injector: Injector) -> bool:
    """Carry out a fault; False if its process is gone or taken.

    Raises:
        TypeError: If the fault is not known.
    """
    raise TypeError(fault)


@carry_out.register
def _kill_node(fault: plan.KillNode, injector: Injector) -> bool:
    place = injector.fleet.place(fault.place)
    if not injector.hold(place.node_name):
        return False
    done = injector.begin('KillNode', fault.place)
    injector.signal(place.node_name, signal.SIGKILL)
    injector.fleet.links[fault.place].callers.shut()
    start = functools.partial(injector.start_node, place, done)
    injector.once_gone(place.node_name, fault.seconds, start)
    return True


@carry_out.register
def _stop_node(fault: plan.StopNode, injector: Injector) -> bool:
    place = injector.fleet.place(fault.place)
    if not injector.hold(place.node_name):
        return False
    done = injector.begin_absence(fault.place)
    injector.signal(place.node_name, signal.SIGTERM)
    injector.fleet.links[fault.place].callers.shut()
    start = functools.partial(injector.start_node, place, done)
    injector.once_gone(place.node_name, fault.seconds, start)
    return True


@carry_out.register
def _pause_node(fault: plan.PauseNode, injector: Injector) -> bool:
    if not injector.hold(fault.place):
        return False
    done = injector.begin('PauseNode', fault.place)
    injector.signal(fault.place, signal.SIGSTOP)
    go_on = functools.partial(_continue_node, fault, injector, done)
    injector.later(fault.seconds, go_on)
    return True


def _continue_node(
    fault: plan.PauseNode, injector: Injector, done: Done
) -> None:
    injector.signal(fault.place, signal.SIGCONT)
    injector.release(fault.place)
    done()


@carry_out.register
def _kill_target(fault: plan.KillTarget, injector: Injector) -> bool:
    place = injector.fleet.place(fault.place)
    if not injector.hold(place.target_name):
        return False
    done = injector.begin('KillTarget', fault.place)
    injector.signal(place.target_name, signal.SIGKILL)
    injector.fleet.links[fault.place].target.shut()
    start = functools.partial(injector.start_target, place, done)
    injector.once_gone(place.target_name, fault.seconds, start)
    return True


@carry_out.register
def _crash_target(fault: plan.CrashTarget, injector: Injector) -> bool:
    place = injector.fleet.place(fault.place)
    if not injector.hold(place.target_name):
        return False
    done = injector.begin('CrashTarget', fault.place)
    injector.fleet.set_target_faults(fault.place, crash=True)
    injector.fleet.links[fault.place].target.shut()
    start = functools.partial(injector.start_target, place, done)
    injector.once_gone(place.target_name, fault.seconds, start)
    return True


@carry_out.register
def _stop_target(fault: plan.StopTarget, injector: Injector) -> bool:
    place = injector.fleet.place(fault.place)
    if not injector.hold(place.target_name):
        return False
    # A planned stop explains no lost call, so no window is noted.
    done = _begin_planned(injector)
    injector.note_leaving(fault.place)
    injector.signal(place.target_name, signal.SIGTERM)
    start = functools.partial(injector.start_target, place, done)
    injector.once_gone(place.target_name, fault.seconds, start)
    return True


def _begin_planned(injector: Injector) -> Done:
    """Begin what explains no lost call; the function returned ends it."""
    injector.log.under_way += 1

    def over() -> None:
        injector.log.under_way -= 1

    return over


@carry_out.register
def _slow_target(fault: plan.SlowTarget, injector: Injector) -> bool:
    done = injector.begin('SlowTarget', fault.place)
    injector.fleet.set_target_faults(fault.place, slow_factor=fault.factor)
    _end_target_faults(fault, injector, done)
    return True


@carry_out.register
def _fail_fast(fault: plan.FailFast, injector: Injector) -> bool:
    # A failure is an answer too, so it explains no lost call.
    done = _begin_planned(injector)
    injector.fleet.set_target_faults(fault.place, fail_fast=fault.share)
    _end_target_faults(fault, injector, done)
    return True


def _end_target_faults(
    fault: plan.SlowTarget | plan.FailFast, injector: Injector, done: Done
) -> None:
    def over() -> None:
        injector.fleet.set_target_faults(fault.place)
        done()

    injector.later(fault.seconds, over)


@carry_out.register
def _turn_cold(fault: plan.TurnCold, injector: Injector) -> bool:
    injector.fleet.set_target_faults(fault.place, cold=True)
    return True


@carry_out.register
def _poison(fault: plan.Poison, injector: Injector) -> bool:
    injector.on_poison(fault)
    return True


@carry_out.register
def _down(fault: plan.PlatformDown, injector: Injector) -> bool:
    _disturb_platform(fault, injector, {'down': True}, {'down': False})
    return True


@carry_out.register
def _slow(fault: plan.PlatformSlow, injector: Injector) -> bool:
    begun = {'slow_ms': fault.delay_ms}
    _disturb_platform(fault, injector, begun, {'slow_ms': 0})
    return True


@carry_out.register
def _lose(fault: plan.LoseAnswers, injector: Injector) -> bool:
    over = {'lose_answers': False}
    _disturb_platform(fault, injector, {'lose_answers': True}, over)
    return True


@carry_out.register
def _stale(fault: plan.StaleReads, injector: Injector) -> bool:
    begun = {'stale_reads_ms': fault.lag_ms}
    _disturb_platform(fault, injector, begun, {'stale_reads_ms': 0})
    return True


def _disturb_platform(
    fault: Any,
    injector: Injector,
    begun: dict[str, Any],
    ended: dict[str, Any],
) -> None:
    done = injector.begin(type(fault).__name__, PLATFORM)
    injector.fleet.set_platform_faults(**begun)

    def over() -> None:
        injector.fleet.set_platform_faults(**ended)
        done()

    injector.later(fault.seconds, over)


@carry_out.register
def _silent_callers(fault: plan.SilentCallers, injector: Injector) -> bool:
    injector.fleet.links[fault.place].callers.silence()
    _note_silence(fault, injector)
    return True


@carry_out.register
def _silent_target(fault: plan.SilentTarget, injector: Injector) -> bool:
    injector.fleet.links[fault.place].target.silence()
    _note_silence(fault, injector)
    return True


def _note_silence(
    fault: plan.SilentCallers | plan.SilentTarget, injector: Injector
) -> None:
    now = injector.now()
    kind = type(fault).__name__
    window = Window(kind, fault.place, now, now + SILENT_S)
    injector.journal.windows.append(window)


@carry_out.register
def _silent_platform(fault: plan.SilentPlatform, injector: Injector) -> bool:
    injector.fleet.platform_link.silence()
    return True


@carry_out.register
def _zone_out(fault: plan.ZoneOut, injector: Injector) -> bool:
    if injector.zone_out:
        return False
    ZoneTrip(injector, fault).start()
    return True
