"""The receiver of targets' reports, on the loop of a soak run."""

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
    Begun,
    BrokenLimit,
    Journal,
    Start,
    Window,
)
from standins.target_model import POISON_PATH

BUFFER_BYTES = 4_194_304
DATAGRAM_BYTES = 65_536
# The launcher sees a process end within this time, in seconds.
SEEN_S = 1.0

Report = Begun | BrokenLimit | Start
_KINDS = types.MappingProxyType(
    {'begun': Begun, 'broken': BrokenLimit, 'start': Start}
)


def report_from(octets: bytes, places: dict[int, str]) -> Report:
    """Read a report.

    Args:
        octets: The datagram.
        places: The place of each target by its TCP port.
    """
    fields = json.loads(octets)
    kind = _KINDS[fields.pop('kind')]
    place = places[fields.pop('port')]
    report: Report = kind(place=place, **fields)
    return report


class Reports:
    """Hands every report on as it comes.

    Attributes:
        port: The UDP port that targets report to.
    """

    def __init__(
        self,
        loop: Loop,
        places: dict[int, str],
        on_report: Callable[[Any], None],
    ) -> None:
        """Listen on any free port."""
        self._places = places
        self._on_report = on_report
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES
        )
        self._socket.settimeout(0)
        self._socket.bind((HOST, 0))
        self.port: int = self._socket.getsockname()[1]
        loop.poller.watch(self._socket.fileno(), self, READABLE)

    def handle_ready(self, readable: bool, writable: bool) -> None:
        """Take all reports that have come."""
        octets = self._receive()
        while octets:
            self._on_report(report_from(octets, self._places))
            octets = self._receive()

    def _receive(self) -> bytes:
        try:
            return self._socket.recv(DATAGRAM_BYTES)
        except BlockingIOError:
            return b''


@functools.singledispatch
def note(report: Any, journal: Journal) -> None:
    """Put a report into the journal.

    Raises:
        TypeError: If the report is not known.
    """
    raise TypeError(report)


@note.register
def _begun(report: Begun, journal: Journal) -> None:
    journal.begun.append(report)


@note.register
def _start(report: Start, journal: Journal) -> None:
    journal.starts.append(report)
    if is_poison(report):
        # The launcher sees the crash a moment later.
        window = Window('Crash', report.place, report.at, report.at + SEEN_S)
        journal.windows.append(window)


@note.register
def _broken(report: BrokenLimit, journal: Journal) -> None:
    journal.broken.append(report)


def is_poison(report: Report) -> bool:
    """Return whether a target begins a call that crashes it."""
    return getattr(report, 'path', '').startswith(POISON_PATH)
