"""The operations that faults consist of, and the record of their times."""

import collections
import functools
from collections.abc import Callable

import attrs

from standins.fleet import OK, Place
from standins.http import LostCall, Message
from standins.processes import HOST
from standins.soak_fleet import SoakFleet
from standins.soak_records import Journal, NodeStop, TargetStop, Window
from standins.soak_schedule import Poison

POLL_INTERVAL_S = 0.05
# A fault may still affect calls for this time after it has ended.
AFTER_EFFECT_S = 1.0
CRASH_RESTART_DELAY_S = 0.5

Callback = Callable[[], None]


@attrs.define
class FaultLog:
    """The number of faults of each kind that were injected or skipped.

    Attributes:
        injected: Faults that were applied, by kind.
        skipped: Faults that found their process stopped or reserved, or another
            zone out, by kind.
        active_faults: The number of faults that have not ended.
    """

    injected: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    skipped: collections.Counter[str] = attrs.field(factory=collections.Counter)
    active_faults: int = 0

    def begin_harmless(self) -> Callback:
        """Begin a fault that explains no lost call; return its end."""
        self.active_faults += 1
        return self._end_harmless

    def _end_harmless(self) -> None:
        self.active_faults -= 1


class Injector:
    """Stops, starts and signals the processes of a fleet.

    Attributes:
        fleet: The fleet.
        journal: The journal in which the times of faults are recorded.
        log: The counts of faults.
        zone_out: The zone that a fault has taken out, or empty.
        is_platform_returning: Whether the platform comes back from a copy, and
            operators' writes may be lost until it has written them again.
        on_poison: Called to send a poison request.
    """

    def __init__(self, fleet: SoakFleet, journal: Journal) -> None:
        """Create an injector; no fault is applied."""
        self.fleet = fleet
        self.journal = journal
        self.log = FaultLog()
        self.zone_out = ''
        self.is_platform_returning = False
        self.on_poison: Callable[[Poison], None] = bool
        self._loop = fleet.loop
        self._processes = fleet.processes
        self._reserved: set[str] = set()

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return self._loop.now()

    def call_later(self, seconds: float, callback: Callback) -> None:
        """Call a function after some seconds."""
        self._loop.call_later(seconds, callback)

    def reserve(self, name: str) -> bool:
        """Reserve a process for a fault.

        Returns:
            False if the process is not running or is reserved already.
        """
        if name in self._reserved or name not in self._processes.names:
            return False
        self._reserved.add(name)
        return True

    def release(self, name: str) -> None:
        """Release a process that was reserved for a fault."""
        self._reserved.discard(name)

    def begin_fault(self, kind: str, place: str) -> Callback:
        """Begin an unplanned fault of a kind at a place.

        Returns:
            A function that ends the fault and records its window.
        """
        self.log.active_faults += 1
        return functools.partial(self._end_fault, kind, place, self.now())

    def begin_node_stop(self, place: str) -> Callback:
        """Begin a planned stop of the node at a place.

        Returns:
            A function that ends the stop and records it.
        """
        self.log.active_faults += 1
        return functools.partial(self._end_node_stop, place, self.now())

    def record_target_stop(self, place: str) -> None:
        """Record a planned stop of the instance that runs at a place."""
        stop = TargetStop(place, self._instance(place), self.now())
        self.journal.target_stops.append(stop)

    def signal(self, name: str, number: int) -> None:
        """Send a process a signal."""
        self._processes.signal(name, number)

    def call_after_exit(
        self, name: str, seconds: float, callback: Callback
    ) -> None:
        """Call a function some seconds after a process has ended."""
        if name in self._processes.names:
            retry = functools.partial(
                self.call_after_exit, name, seconds, callback
            )
            self.call_later(POLL_INTERVAL_S, retry)
        else:
            self.call_later(seconds, callback)

    def start_node(self, place: Place, end_fault: Callback) -> None:
        """Start a node again, and end the fault when its status is readable."""
        self.fleet.links[place.node_name].callers.close()
        self.fleet.start_node(place)
        self._wait_for_node(place, end_fault)

    def start_target(self, place: Place, end_fault: Callback) -> None:
        """Start a target again, and end the fault when the instance reports."""
        previous_instance = self._instance(place.node_name)
        self.fleet.links[place.node_name].target.close()
        self.fleet.start_target(place)
        self._wait_for_target(place, previous_instance, end_fault)

    def handle_exit(self, name: str) -> bool:
        """Restart a target that has exited unexpectedly.

        Returns:
            False if the process is not a target.
        """
        for place in self.fleet.places:
            if place.target_name == name:
                self._restart_crashed(place)
                return True
        return False

    def _restart_crashed(self, place: Place) -> None:
        if place.target_name not in self._reserved:
            self._reserved.add(place.target_name)
            end_fault = self.begin_fault('Crash', place.node_name)
            restart = functools.partial(self.start_target, place, end_fault)
            self.call_later(CRASH_RESTART_DELAY_S, restart)

    def _instance(self, place: str) -> str:
        """Return the newest instance that a place's target has reported."""
        instances = [
            start.instance
            for start in self.journal.instance_starts
            if start.place == place
        ]
        return instances[-1] if instances else ''

    def _wait_for_target(
        self, place: Place, previous_instance: str, end_fault: Callback
    ) -> None:
        if self._instance(place.node_name) == previous_instance:
            retry = functools.partial(
                self._wait_for_target, place, previous_instance, end_fault
            )
            self.call_later(POLL_INTERVAL_S, retry)
        else:
            self.fleet.links[place.node_name].target.open()
            self.release(place.target_name)
            end_fault()

    def _wait_for_node(self, place: Place, end_fault: Callback) -> None:
        on_end = functools.partial(self._handle_status, place, end_fault)
        request = Message('GET', '/status', headers={'Host': HOST})
        self.fleet.send_request(place.operators_port, request, on_end)

    def _handle_status(
        self, place: Place, end_fault: Callback, outcome: Message | LostCall
    ) -> None:
        if isinstance(outcome, Message) and outcome.status == OK:
            self.fleet.links[place.node_name].callers.open()
            self.release(place.node_name)
            end_fault()
        else:
            retry = functools.partial(self._wait_for_node, place, end_fault)
            self.call_later(POLL_INTERVAL_S, retry)

    def _end_fault(self, kind: str, place: str, begins_at: float) -> None:
        self.log.active_faults -= 1
        ends_at = self.now() + AFTER_EFFECT_S
        window = Window(kind, place, begins_at, ends_at)
        self.journal.windows.append(window)

    def _end_node_stop(self, place: str, begins_at: float) -> None:
        self.log.active_faults -= 1
        stop = NodeStop(place, begins_at, self.now())
        self.journal.node_stops.append(stop)
