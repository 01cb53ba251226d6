"""A soak run from the start of its processes to its result."""

import functools
import pathlib
from collections.abc import Container

import attrs

from daisyline.transport.loop import Loop
from standins.http import LostCall, Message
from standins.processes import Ports, Processes
from standins.soak_caller import SoakCaller
from standins.soak_calls import STREAMS, CallStream, PoisonedLookup
from standins.soak_checks import RECOVERY_S, Violation, violations_of
from standins.soak_faults import inject
from standins.soak_fleet import SoakFleet
from standins.soak_injector import Injector
from standins.soak_pipeline import PipelineCaller
from standins.soak_records import Journal, NodeFault
from standins.soak_reports import (
    ReportReceiver,
    TargetReport,
    is_poison_start,
    record_report,
)
from standins.soak_schedule import Poison, Scope, Timed, draw_schedule
from standins.soak_table import table_lines
from standins.soak_watch import NodeMonitor, read_faults, stored_version
from standins.up import print_line

READY_TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.1
# Calls continue for this time after the limit of recovery, to check it.
RECOVERY_CHECK_S = 2.0
LAST_ANSWERS_TIMEOUT_S = 20.0


@attrs.frozen
class SoakResult:
    """The result of a run.

    Attributes:
        lines: The lines of the table that is printed.
        violations: The violations that the checks found.
    """

    lines: list[str]
    violations: list[Violation]


class SoakRun:
    """One run: start of the fleet, faults, recovery and checks.

    Attributes:
        journal: The records of the run.
    """

    def __init__(
        self,
        loop: Loop,
        seed: int,
        duration_s: float,
        log_folder: pathlib.Path,
        left_out: Container[str] = (),
    ) -> None:
        """Create a run; no process is started.

        Args:
            loop: The loop of the run.
            seed: The seed of the schedule of faults.
            duration_s: The duration of the faults, in seconds.
            log_folder: Folder for the stderr of all processes.
            left_out: The names of kinds of faults that are not drawn.
        """
        self.journal = Journal()
        self._loop = loop
        self._log_folder = log_folder
        self._processes = Processes(loop, log_folder)
        self._processes.on_exit = self._record_exit
        self._fleet = SoakFleet(loop, Ports.from_random(), self._processes)
        self.journal.zones = self._fleet.zones
        places = {
            place.calls_port: place.node_name for place in self._fleet.places
        }
        self._fleet.report_port = ReportReceiver(
            loop, places, self._record_report
        ).port
        self._injector = Injector(self._fleet, self.journal)
        self._injector.on_poison = self._send_poison
        self._monitor = NodeMonitor(self._fleet, self.journal)
        self._pipelines = PipelineCaller(
            loop, self._fleet.entry_ports, self.journal.attempts.append
        )
        self._callers: list[SoakCaller | PipelineCaller] = [
            self._pipelines,
            *map(self._caller, STREAMS),
        ]
        self._poison_callers: list[SoakCaller] = []
        self._schedule = draw_schedule(
            seed, duration_s, self._scope(), left_out
        )
        self._duration_s = duration_s
        self._timeout = loop.call_later(
            READY_TIMEOUT_S, self._handle_start_timeout
        )
        loop.on_signal = self._handle_interrupt

    def start(self) -> None:
        """Start all processes; faults and calls start when all are ready."""
        self._fleet.start(self._start_faults)

    def result(self) -> SoakResult:
        """Check the records and return the result, after the loop has ended."""
        self.journal.node_faults.extend(read_faults(self._log_folder))
        faults = self._loop.exception_count
        if faults:
            self.journal.node_faults.append(
                NodeFault('soak', f'the loop logged {faults} faults')
            )
        violations = violations_of(self.journal)
        lines = table_lines(self.journal, self._injector.log, violations)
        return SoakResult(list(lines), violations)

    def _scope(self) -> Scope:
        deployment = self._fleet.deployment
        return Scope(
            places=tuple(self._fleet.zones),
            services=tuple(service.name for service in deployment.services),
            zones=deployment.zones,
        )

    def _caller(self, stream: CallStream) -> SoakCaller:
        ports = self._fleet.entry_ports
        return SoakCaller(
            self._loop, stream, ports, self.journal.attempts.append
        )

    def _start_faults(self) -> None:
        self._timeout.cancel()
        print_line(
            f'nodes are ready; injecting faults for {self._duration_s:.0f} s'
        )
        self._monitor.start()
        for caller in self._callers:
            caller.start()
        for timed in self._schedule:
            self._loop.call_later(
                timed.at, functools.partial(self._inject, timed)
            )
        self._loop.call_later(self._duration_s, self._wait_for_faults)

    def _inject(self, timed: Timed) -> None:
        at, fault = round(timed.at, 2), timed.fault
        print_line(f'{at} {fault}')
        inject(fault, self._injector)

    def _wait_for_faults(self) -> None:
        """Wait until the last fault has ended and its process runs again."""
        is_poison_pending = any(
            caller.pending for caller in self._poison_callers
        )
        if self._injector.log.active_faults or is_poison_pending:
            self._loop.call_later(POLL_INTERVAL_S, self._wait_for_faults)
            return
        self.journal.faults_ended_at = self._loop.now()
        self._pipelines.breaks_answers = False
        print_line('all faults have ended')
        for caller in self._callers:
            caller.close_idle()
        self._loop.call_later(RECOVERY_S + RECOVERY_CHECK_S, self._stop_calls)

    def _stop_calls(self) -> None:
        self.journal.ended_at = self._loop.now()
        for caller in self._callers:
            caller.stop()
        self._timeout = self._loop.call_later(
            LAST_ANSWERS_TIMEOUT_S, self._read_newest_settings
        )
        self._wait_for_answers()

    def _wait_for_answers(self) -> None:
        if any(caller.pending for caller in self._callers):
            self._loop.call_later(POLL_INTERVAL_S, self._wait_for_answers)
        else:
            self._timeout.cancel()
            self._read_newest_settings()

    def _read_newest_settings(self) -> None:
        self.journal.pending = sum(caller.pending for caller in self._callers)
        request = Message('GET', '/v1/objects/settings/tree')
        self._fleet.send_request(
            self._fleet.platform_port, request, self._finish
        )

    def _finish(self, outcome: Message | LostCall) -> None:
        if isinstance(outcome, Message):
            self.journal.newest_version = stored_version(outcome)
        self._monitor.stop()
        self._processes.stop_all(self._loop.stop)

    def _send_poison(self, fault: Poison) -> None:
        number = len(self._poison_callers) + 1
        stream = CallStream(f'poison{number}', PoisonedLookup(fault.service))
        caller = self._caller(stream)
        self._poison_callers.append(caller)
        caller.send()

    def _record_report(self, report: TargetReport) -> None:
        record_report(report, self.journal)
        if is_poison_start(report):
            self._fleet.links[report.place].target.close()

    def _record_exit(self, name: str, code: int) -> None:
        if not self._injector.handle_exit(name):
            fault = NodeFault(name, f'exited unexpectedly with code {code}')
            self.journal.node_faults.append(fault)

    def _handle_interrupt(self, number: int) -> None:
        fault = NodeFault('soak', f'interrupted by signal {number}')
        self.journal.node_faults.append(fault)
        self._processes.stop_all(self._loop.stop)

    def _handle_start_timeout(self) -> None:
        fault = NodeFault('fleet', f'not ready within {READY_TIMEOUT_S:.0f} s')
        self.journal.node_faults.append(fault)
        self._processes.stop_all(self._loop.stop)
