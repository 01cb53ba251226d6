"""One soak run: start, faults, recovery, end."""

import functools
import pathlib

import attrs

from daisyline.transport.loop import Loop
from standins.http import LostCall, Message
from standins.processes import Ports, Processes
from standins.soak_caller import SoakCaller
from standins.soak_calls import STREAMS, PoisonedLookup, Stream
from standins.soak_checks import RECOVERY_S, Violation, violations_of
from standins.soak_faults import inject
from standins.soak_fleet import SoakFleet
from standins.soak_injector import Injector
from standins.soak_records import Journal, NodeFault
from standins.soak_reports import Report, Reports, is_poison, note
from standins.soak_schedule import Poison, Scope, Timed, draw_schedule
from standins.soak_table import lines_of
from standins.soak_watch import Watch, faults_in
from standins.up import print_line

READY_WITHIN_S = 60.0
CHECK_S = 0.1
# Calls go on for so long after all must be answered again.
JUDGED_S = 2.0
LAST_ANSWERS_S = 20.0


@attrs.frozen
class Verdict:
    """How a run ended.

    Attributes:
        lines: The table.
        violations: What did not hold.
    """

    lines: list[str]
    violations: list[Violation]


class Soak:
    """One run: start, faults, recovery, end."""

    def __init__(
        self, loop: Loop, seed: int, duration_s: float, folder: pathlib.Path
    ) -> None:
        """Take ports; nothing is started.

        Args:
            loop: The loop of the run.
            seed: Sets the schedule of faults.
            duration_s: Seconds of faults.
            folder: Where the processes' stderr goes.
        """
        self.journal = Journal()
        self._loop = loop
        self._folder = folder
        self._processes = Processes(loop, folder)
        self._processes.on_exit = self._note_exit
        self._fleet = SoakFleet(loop, Ports.from_random(), self._processes)
        self.journal.zones = self._fleet.zones
        places = {
            place.calls_port: place.node_name for place in self._fleet.places
        }
        self._fleet.report_port = Reports(loop, places, self._note_report).port
        self._injector = Injector(self._fleet, self.journal)
        self._injector.on_poison = self._send_poison
        self._watch = Watch(self._fleet, self.journal)
        self._callers = [self._caller(stream) for stream in STREAMS]
        self._poison_callers: list[SoakCaller] = []
        self._schedule = draw_schedule(seed, duration_s, self._scope())
        self._duration_s = duration_s
        self._give_up = loop.call_later(READY_WITHIN_S, self._not_ready)
        loop.on_signal = self._interrupted

    def start(self) -> None:
        """Start all processes; the faults follow once all serve."""
        self._fleet.start(self._ready)

    def verdict(self) -> Verdict:
        """Check all that was seen, once the loop has ended."""
        self.journal.node_faults.extend(faults_in(self._folder))
        faults = self._loop.faults
        if faults:
            self.journal.node_faults.append(
                NodeFault('soak', f'its loop had {faults} faults')
            )
        violations = violations_of(self.journal)
        lines = lines_of(self.journal, self._injector.log, violations)
        return Verdict(list(lines), violations)

    def _scope(self) -> Scope:
        deployment = self._fleet.deployment
        return Scope(
            places=tuple(self._fleet.zones),
            services=tuple(service.name for service in deployment.services),
            zones=deployment.zones,
        )

    def _caller(self, stream: Stream) -> SoakCaller:
        ports = self._fleet.entry_ports
        return SoakCaller(
            self._loop, stream, ports, self.journal.attempts.append
        )

    def _ready(self) -> None:
        self._give_up.cancel()
        print_line(f'all nodes serve; faults for {self._duration_s:.0f} s')
        self._watch.start()
        for caller in self._callers:
            caller.start()
        for timed in self._schedule:
            self._loop.call_later(
                timed.at, functools.partial(self._inject, timed)
            )
        self._loop.call_later(self._duration_s, self._await_faults)

    def _inject(self, timed: Timed) -> None:
        at, fault = round(timed.at, 2), timed.fault
        print_line(f'{at} {fault}')
        inject(fault, self._injector)

    def _await_faults(self) -> None:
        """Wait until the last fault is over and its process is back."""
        poisoning = any(caller.pending for caller in self._poison_callers)
        if self._injector.log.under_way or poisoning:
            self._loop.call_later(CHECK_S, self._await_faults)
            return
        self.journal.faults_ended_at = self._loop.now()
        print_line('faults are over')
        for caller in self._callers:
            caller.drop_idle()
        self._loop.call_later(RECOVERY_S + JUDGED_S, self._stop_calls)

    def _stop_calls(self) -> None:
        self.journal.ended_at = self._loop.now()
        for caller in self._callers:
            caller.stop()
        self._give_up = self._loop.call_later(LAST_ANSWERS_S, self._ask_newest)
        self._await_answers()

    def _await_answers(self) -> None:
        if any(caller.pending for caller in self._callers):
            self._loop.call_later(CHECK_S, self._await_answers)
        else:
            self._give_up.cancel()
            self._ask_newest()

    def _ask_newest(self) -> None:
        self.journal.pending = sum(caller.pending for caller in self._callers)
        request = Message('GET', '/v1/objects/settings/tree')
        self._fleet.ask(self._fleet.platform_port, request, self._end)

    def _end(self, ending: Message | LostCall) -> None:
        if isinstance(ending, Message):
            stored = ending.json() or {}
            self.journal.newest_version = stored.get('version', -1)
        self._watch.stop()
        self._processes.stop_all(self._loop.stop)

    def _send_poison(self, fault: Poison) -> None:
        number = len(self._poison_callers) + 1
        stream = Stream(f'poison{number}', PoisonedLookup(fault.service))
        caller = self._caller(stream)
        self._poison_callers.append(caller)
        caller.send()

    def _note_report(self, report: Report) -> None:
        note(report, self.journal)
        if is_poison(report):
            self._fleet.links[report.place].target.shut()

    def _note_exit(self, name: str, code: int) -> None:
        if not self._injector.note_exit(name):
            fault = NodeFault(name, f'ended by itself with code {code}')
            self.journal.node_faults.append(fault)

    def _interrupted(self, number: int) -> None:
        fault = NodeFault('soak', f'interrupted by signal {number}')
        self.journal.node_faults.append(fault)
        self._processes.stop_all(self._loop.stop)

    def _not_ready(self) -> None:
        fault = NodeFault('fleet', f'not ready in {READY_WITHIN_S:.0f} s')
        self.journal.node_faults.append(fault)
        self._processes.stop_all(self._loop.stop)
