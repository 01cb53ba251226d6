"""What faults are made of: processes ended and begun, times that are noted."""

import collections
import functools
from collections.abc import Callable

import attrs

from standins.fleet import OK, Place
from standins.http import Lost, Message
from standins.processes import HOST
from standins.soak_fleet import SoakFleet
from standins.soak_records import Journal, NodeStop, TargetStop, Window
from standins.soak_schedule import Poison

POLL_INTERVAL_S = 0.05
# What a fault has begun may show so much later.
AFTER_EFFECT_S = 1.0
CRASH_RESTART_DELAY_S = 0.5

Callback = Callable[[], None]


@attrs.define
class FaultLog:
    """How many faults of each kind were carried out or passed over.

    Attributes:
        done: Faults carried out, by kind.
        passed: Faults that found their process gone, or another zone out.
        under_way: Faults that are not over yet.
    """

    injected: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    skipped: collections.Counter[str] = attrs.field(factory=collections.Counter)
    active_faults: int = 0


class Injector:
    """Ends, starts and disturbs the processes of a fleet.

    Attributes:
        fleet: The fleet.
        journal: Where faults' times are noted.
        log: How many faults there were.
        zone_out: The zone that is out, or empty.
        on_poison: Called to send a poison request.
    """

    def __init__(self, fleet: SoakFleet, journal: Journal) -> None:
        """Prepare; nothing is done."""
        self.fleet = fleet
        self.journal = journal
        self.log = FaultLog()
        self.zone_out = ''
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
        """Take a process for one fault; False if it is gone or taken."""
        if name in self._reserved or name not in self._processes.names:
            return False
        self._reserved.add(name)
        return True

    def release(self, name: str) -> None:
        """Let other faults have a process again."""
        self._reserved.discard(name)

    def begin_fault(self, kind: str, place: str) -> Callback:
        """Note that a fault begins; the function returned ends it."""
        self.log.active_faults += 1
        return functools.partial(self._end_fault, kind, place, self.now())

    def begin_node_stop(self, place: str) -> Callback:
        """Note that a node is told to stop; the function ends that time."""
        self.log.active_faults += 1
        return functools.partial(self._end_node_stop, place, self.now())

    def record_target_stop(self, place: str) -> None:
        """Note that the instance that now runs in a place is to leave."""
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
        """Start a node again; the fault is over once it answers."""
        self.fleet.links[place.node_name].callers.close()
        self.fleet.start_node(place)
        self._wait_for_node(place, end_fault)

    def start_target(self, place: Place, end_fault: Callback) -> None:
        """Start a target again; the fault is over once it reports."""
        previous_instance = self._instance(place.node_name)
        self.fleet.links[place.node_name].target.close()
        self.fleet.start_target(place)
        self._wait_for_target(place, previous_instance, end_fault)

    def handle_exit(self, name: str) -> bool:
        """Start a target again that ended by itself; False for others."""
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
        """Return the last instance of a place's target that reported."""
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
        self, place: Place, end_fault: Callback, outcome: Message | Lost
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
