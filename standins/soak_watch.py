"""Watch the nodes of a soak run: settings, memory and what they report."""

import functools
import itertools
import pathlib
from typing import Any

from standins.fleet import Place
from standins.http import LostCall, Message
from standins.processes import HOST
from standins.soak_fleet import SoakFleet
from standins.soak_records import Held, Journal, Memory, NodeFault

CHECK_S = 0.3
KIB = 1024
FAULT_PREFIX = 'fault:'
PEAK_PREFIX = 'VmHWM:'


class Watch:
    """Reads from each node, again and again, what it holds."""

    def __init__(self, fleet: SoakFleet, journal: Journal) -> None:
        """Prepare; nothing is read."""
        self._fleet = fleet
        self._journal = journal
        self._going = True
        self._memory: dict[int, Memory] = {}

    def start(self) -> None:
        """Begin to read."""
        if self._going:
            for place in self._fleet.places:
                self._read(place)
            self._fleet.loop.call_later(CHECK_S, self.start)

    def stop(self) -> None:
        """Read no more, and note the memory that was seen."""
        self._going = False
        self._journal.memory.extend(self._memory.values())

    def _read(self, place: Place) -> None:
        name = place.node_name
        if name not in self._fleet.processes.names:
            return
        pid = self._fleet.processes.pid(name)
        self._memory[pid] = Memory(name, _peak_octets(pid))
        request = Message('GET', '/status', headers={'Host': HOST})
        heard = functools.partial(self._heard, name, pid)
        self._fleet.ask(place.operators_port, request, heard)

    def _heard(self, name: str, pid: int, ending: Message | LostCall) -> None:
        version = _settings_version(ending)
        if version:
            now = self._fleet.loop.now()
            self._journal.held.append(Held(name, pid, version, now))


@functools.singledispatch
def _settings_version(_ending: Any) -> int:
    """Return the version that a node says it holds; 0 if it says nothing."""
    return 0


@_settings_version.register
def _(ending: Message) -> int:
    status = ending.json() or {}
    return int(status.get('settings_version', 0))


def faults_in(folder: pathlib.Path) -> list[NodeFault]:
    """Return the faults that processes reported on their stderr."""
    lines = (
        (path.stem, line)
        for path in sorted(folder.glob('*.log'))
        for line in path.read_text(errors='replace').splitlines()
    )
    faults = (
        NodeFault(name, line)
        for name, line in lines
        if line.startswith(FAULT_PREFIX)
    )
    return list(faults)


def _peak_octets(pid: int) -> int:
    """Return the most resident memory that a process had, in bytes."""
    try:
        lines = pathlib.Path(f'/proc/{pid}/status').read_text().splitlines()
    except OSError:
        return 0
    peaks = itertools.chain(
        (line.split()[1] for line in lines if line.startswith(PEAK_PREFIX)),
        '0',
    )
    return int(next(peaks)) * KIB
