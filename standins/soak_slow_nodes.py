"""Nodes that turn slow in a soak run, as on a machine with little power."""

import signal

from standins.soak_injector import Injector
from standins.soak_slowness import SlowNode

# The node runs for a share of each such turn, in seconds.
TURN_S = 0.1


def slow_node(fault: SlowNode, injector: Injector) -> bool:
    """Suspend a node for most of each turn."""
    if not injector.reserve(fault.place):
        return False
    end_fault = injector.begin_fault('SlowNode', fault.place)
    ends_at = injector.now() + fault.seconds
    run_s = TURN_S / fault.factor

    def suspend() -> None:
        if injector.now() >= ends_at:
            injector.release(fault.place)
            end_fault()
            return
        injector.signal(fault.place, signal.SIGSTOP)
        injector.call_later(TURN_S - run_s, resume)

    def resume() -> None:
        injector.signal(fault.place, signal.SIGCONT)
        injector.call_later(run_s, suspend)

    suspend()
    return True
