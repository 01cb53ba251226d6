"""The receiver of targets' UDP reports, on the loop of a soak run."""

import functools
import json
import socket
import types
from collections.abc import Callable
from typing import Any

from daisyline.transport.loop import Loop
from daisyline.transport.poller import READABLE
from standins.processes import HOST
from standins.soak_records import (
    InstanceStart,
    Journal,
    LimitViolation,
    Start,
    Window,
)
from standins.target_model import POISON_PATH

RECEIVE_BUFFER_BYTES = 4_194_304
MAX_DATAGRAM_BYTES = 65_536
# The launcher detects the exit of a process within this time.
EXIT_DETECTION_S = 1.0

TargetReport = InstanceStart | LimitViolation | Start
_REPORT_TYPES = types.MappingProxyType(
    {'begun': InstanceStart, 'broken': LimitViolation, 'start': Start}
)


def parse_report(octets: bytes, places: dict[int, str]) -> TargetReport:
    """Parse a report.

    Args:
        octets: The datagram.
        places: The place of each target by its TCP port.
    """
    fields = json.loads(octets)
    report_type = _REPORT_TYPES[fields.pop('kind')]
    place = places[fields.pop('port')]
    report: TargetReport = report_type(place=place, **fields)
    return report


class ReportReceiver:
    """Receives reports and passes each to a callback.

    Attributes:
        port: The UDP port that targets report to.
    """

    def __init__(
        self,
        loop: Loop,
        places: dict[int, str],
        on_report: Callable[[Any], None],
    ) -> None:
        """Bind a free UDP port and register with the loop."""
        self._places = places
        self._on_report = on_report
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self._socket.settimeout(0)
        self._socket.bind((HOST, 0))
        self.port: int = self._socket.getsockname()[1]
        loop.poller.watch(self._socket.fileno(), self, READABLE)

    def handle_ready(self, readable: bool, writable: bool) -> None:
        """Receive all reports that are buffered."""
        octets = self._receive()
        while octets:
            self._on_report(parse_report(octets, self._places))
            octets = self._receive()

    def _receive(self) -> bytes:
        try:
            return self._socket.recv(MAX_DATAGRAM_BYTES)
        except BlockingIOError:
            return b''


@functools.singledispatch
def record_report(report: Any, journal: Journal) -> None:
    """Add a report to the journal.

    Raises:
        TypeError: If the type of the report is unknown.
    """
    raise TypeError(report)


@record_report.register
def _record_instance_start(report: InstanceStart, journal: Journal) -> None:
    journal.instance_starts.append(report)


@record_report.register
def _record_call_start(report: Start, journal: Journal) -> None:
    journal.starts.append(report)
    if is_poison_start(report):
        # The launcher detects the crash a moment later.
        window = Window(
            'Crash', report.place, report.at, report.at + EXIT_DETECTION_S
        )
        journal.windows.append(window)


@record_report.register
def _record_limit_violation(report: LimitViolation, journal: Journal) -> None:
    journal.limit_violations.append(report)


def is_poison_start(report: TargetReport) -> bool:
    """Return whether a report is the start of a poison request."""
    return getattr(report, 'path', '').startswith(POISON_PATH)
