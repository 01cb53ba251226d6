"""Monitoring of the nodes of a soak run: settings, memory and faults."""

import functools
import itertools
import pathlib
from typing import Any

from daisyline.state.store_time import StoreTime
from standins.fleet import Place
from standins.http import LostCall, Message
from standins.platform import Platform
from standins.processes import HOST
from standins.soak_fleet import SoakFleet
from standins.soak_records import (
    Journal,
    NodeFault,
    PeakMemory,
    SettingsReading,
)

POLL_INTERVAL_S = 0.3
BYTES_PER_KIB = 1024
FAULT_PREFIX = 'fault:'
PEAK_RSS_PREFIX = 'VmHWM:'


class NodeMonitor:
    """Polls the settings version and the peak memory of each node."""

    def __init__(self, fleet: SoakFleet, journal: Journal) -> None:
        """Create a monitor that is not polling yet."""
        self._fleet = fleet
        self._journal = journal
        self._is_running = True
        self._peak_memory: dict[int, PeakMemory] = {}

    def start(self) -> None:
        """Poll all nodes now and at each interval until `stop`."""
        if self._is_running:
            for place in self._fleet.places:
                self._read(place)
            self._fleet.loop.call_later(POLL_INTERVAL_S, self.start)

    def stop(self) -> None:
        """Stop polling and add the peak memory to the journal."""
        self._is_running = False
        self._journal.peak_memory.extend(self._peak_memory.values())

    def _read(self, place: Place) -> None:
        name = place.node_name
        if name not in self._fleet.processes.names:
            return
        pid = self._fleet.processes.pid(name)
        self._peak_memory[pid] = PeakMemory(name, _peak_rss_bytes(pid))
        request = Message('GET', '/status', headers={'Host': HOST})
        on_end = functools.partial(self._record_version, name, pid)
        self._fleet.send_request(place.operators_port, request, on_end)

    def _record_version(
        self, name: str, pid: int, outcome: Message | LostCall
    ) -> None:
        version = _settings_version(outcome)
        if version:
            now = self._fleet.loop.now()
            self._journal.settings_readings.append(
                SettingsReading(name, pid, version, now)
            )


@functools.singledispatch
def _settings_version(_outcome: Any) -> int:
    """Return the settings version in a node's status, or 0 if there is none."""
    return 0


@_settings_version.register
def _(outcome: Message) -> int:
    status = outcome.json() or {}
    return int(status.get('settings_version', 0))


def read_faults(folder: pathlib.Path) -> list[NodeFault]:
    """Return the faults in the stderr logs of a folder."""
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


def _peak_rss_bytes(pid: int) -> int:
    """Return a process's peak resident memory in bytes, 0 if it has ended."""
    try:
        lines = pathlib.Path(f'/proc/{pid}/status').read_text().splitlines()
    except OSError:
        return 0
    peaks_kib = itertools.chain(
        (line.split()[1] for line in lines if line.startswith(PEAK_RSS_PREFIX)),
        '0',
    )
    return int(next(peaks_kib)) * BYTES_PER_KIB


def stored_version(answer: Message) -> int:
    """Return the version by which nodes know the settings that are stored."""
    revision = (answer.json() or {}).get('version', -1)
    era = int(answer.headers.get(Platform.era_header.lower(), '0'))
    return StoreTime(era, revision).rank
