"""What faults are made of: processes ended and begun, times that are noted."""

import collections
import functools
from collections.abc import Callable

import attrs

from standins.fleet import OK, Place
from standins.http import LostCall, Message
from standins.processes import HOST
from standins.soak_fleet import SoakFleet
from standins.soak_records import Absence, Journal, Leaving, Window
from standins.soak_schedule import Poison

CHECK_S = 0.05
# What a fault has begun may show so much later.
AFTERMATH_S = 1.0
RESTART_S = 0.5

Done = Callable[[], None]


@attrs.define
class FaultLog:
    """How many faults of each kind were carried out or passed over.

    Attributes:
        done: Faults carried out, by kind.
        passed: Faults that found their process gone, or another zone out.
        under_way: Faults that are not over yet.
    """

    done: collections.Counter[str] = attrs.field(factory=collections.Counter)
    passed: collections.Counter[str] = attrs.field(factory=collections.Counter)
    under_way: int = 0


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
        self._busy: set[str] = set()

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return self._loop.now()

    def later(self, seconds: float, function: Done) -> None:
        """Call a function after some seconds."""
        self._loop.call_later(seconds, function)

    def hold(self, name: str) -> bool:
        """Take a process for one fault; False if it is gone or taken."""
        if name in self._busy or name not in self._processes.names:
            return False
        self._busy.add(name)
        return True

    def release(self, name: str) -> None:
        """Let other faults have a process again."""
        self._busy.discard(name)

    def begin(self, kind: str, place: str) -> Done:
        """Note that a fault begins; the function returned ends it."""
        self.log.under_way += 1
        return functools.partial(self._end, kind, place, self.now())

    def begin_absence(self, place: str) -> Done:
        """Note that a node is told to stop; the function ends that time."""
        self.log.under_way += 1
        return functools.partial(self._end_absence, place, self.now())

    def note_leaving(self, place: str) -> None:
        """Note that the instance that now runs in a place is to leave."""
        leaving = Leaving(place, self._instance(place), self.now())
        self.journal.leaving.append(leaving)

    def signal(self, name: str, number: int) -> None:
        """Send a process a signal."""
        self._processes.signal(name, number)

    def once_gone(self, name: str, seconds: float, function: Done) -> None:
        """Call a function some seconds after a process has ended."""
        if name in self._processes.names:
            again = functools.partial(self.once_gone, name, seconds, function)
            self.later(CHECK_S, again)
        else:
            self.later(seconds, function)

    def start_node(self, place: Place, done: Done) -> None:
        """Start a node again; the fault is over once it answers."""
        self.fleet.links[place.node_name].callers.shut()
        self.fleet.start_node(place)
        self._await_node(place, done)

    def start_target(self, place: Place, done: Done) -> None:
        """Start a target again; the fault is over once it reports."""
        known = self._instance(place.node_name)
        self.fleet.links[place.node_name].target.shut()
        self.fleet.start_target(place)
        self._await_target(place, known, done)

    def note_exit(self, name: str) -> bool:
        """Start a target again that ended by itself; False for others."""
        for place in self.fleet.places:
            if place.target_name == name:
                self._note_crash(place)
                return True
        return False

    def _note_crash(self, place: Place) -> None:
        if place.target_name not in self._busy:
            self._busy.add(place.target_name)
            done = self.begin('Crash', place.node_name)
            restart = functools.partial(self.start_target, place, done)
            self.later(RESTART_S, restart)

    def _instance(self, place: str) -> str:
        """Return the last instance of a place's target that reported."""
        instances = [
            begun.instance
            for begun in self.journal.begun
            if begun.place == place
        ]
        return instances[-1] if instances else ''

    def _await_target(self, place: Place, known: str, done: Done) -> None:
        if self._instance(place.node_name) == known:
            again = functools.partial(self._await_target, place, known, done)
            self.later(CHECK_S, again)
        else:
            self.fleet.links[place.node_name].target.open()
            self.release(place.target_name)
            done()

    def _await_node(self, place: Place, done: Done) -> None:
        answered = functools.partial(self._node_answered, place, done)
        request = Message('GET', '/status', headers={'Host': HOST})
        self.fleet.ask(place.operators_port, request, answered)

    def _node_answered(
        self, place: Place, done: Done, ending: Message | LostCall
    ) -> None:
        if isinstance(ending, Message) and ending.status == OK:
            self.fleet.links[place.node_name].callers.open()
            self.release(place.node_name)
            done()
        else:
            again = functools.partial(self._await_node, place, done)
            self.later(CHECK_S, again)

    def _end(self, kind: str, place: str, begins_at: float) -> None:
        self.log.under_way -= 1
        ends_at = self.now() + AFTERMATH_S
        window = Window(kind, place, begins_at, ends_at)
        self.journal.windows.append(window)

    def _end_absence(self, place: str, begins_at: float) -> None:
        self.log.under_way -= 1
        absence = Absence(place, begins_at, self.now())
        self.journal.absences.append(absence)
