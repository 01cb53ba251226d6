"""Fixtures that the tests of several modules share."""

import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from http.client import HTTPConnection, HTTPException
from typing import Any

import attrs

from standins.processes import HOST, Ports
from tests.support import fixture

START_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.05
SLOTS = 2
READ_BYTES = 65536


@attrs.define
class Process:
    """One process that a test started."""

    popen: Any

    def signal(self, number: int) -> None:
        """Send a signal."""
        self.popen.send_signal(number)

    def kill(self) -> None:
        """End the process at once."""
        self.signal(signal.SIGKILL)
        self.popen.wait()

    def stop(self) -> int:
        """Ask the process to end and return its exit code."""
        self.signal(signal.SIGTERM)
        return int(self.popen.wait(timeout=START_TIMEOUT_S))


@attrs.define
class Place:
    """A node, the target beside it and their ports."""

    name: str
    zone: str
    callers_port: int
    peers_port: int
    node_target_port: int
    operators_port: int
    calls_port: int
    control_port: int
    node: Process | None = None
    target: Process | None = None

    def status(self) -> dict[str, Any]:
        """Return what the node says on its operators' port."""
        return fetch(self.operators_port, '/status')

    def set_faults(self, **faults: Any) -> None:
        """Set faults of the target."""
        fetch(self.control_port, '/control/faults', method='POST', body=faults)

    def run_calls(self) -> list[dict[str, Any]]:
        """Return the calls that the target has run."""
        return fetch(self.control_port, '/control/calls')['calls']


@attrs.define
class SmallFleet:
    """A platform and a few nodes with their targets, as real processes."""

    ports: Ports
    platform_port: int
    processes: list[Process] = attrs.field(factory=list)
    places: list[Place] = attrs.field(factory=list)

    def start_program(self, module: str, **flags: Any) -> Process:
        """Start a program of ours or a stand-in."""
        words = [
            word
            for name, given in flags.items()
            for word in (_flag(name), str(given))
        ]
        popen = subprocess.Popen(
            [sys.executable, '-m', module, *words],
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL if _is_quiet() else None,
        )
        process = Process(popen)
        self.processes.append(process)
        return process

    def add(self, zone: str, version: str = 'v1', **flags: Any) -> Place:
        """Start one more node, with further flags, and its target."""
        number = len(self.places)
        free = (self.ports.take() for _ in range(6))
        place = Place(f'n{number}', zone, *free)
        self.places.append(place)
        self.start_node(place, **flags)
        self.start_target(place, version)
        return place

    def start_node(self, place: Place, **flags: Any) -> None:
        """Start the node of a place."""
        place.node = self.start_program(
            'daisyline.programs.node',
            name=place.name,
            zone=place.zone,
            region='flanders',
            cluster='stofbril',
            host=HOST,
            callers_port=place.callers_port,
            peers_port=place.peers_port,
            target_port=place.node_target_port,
            operators_port=place.operators_port,
            platform=f'http://{HOST}:{self.platform_port}',
            **flags,
        )

    def start_target(self, place: Place, version: str = 'v1') -> None:
        """Start the target of a place."""
        place.target = self.start_program(
            'standins.target',
            port=place.calls_port,
            control_port=place.control_port,
            node_target_port=place.node_target_port,
            service='docs',
            version=version,
            slots=SLOTS,
            cold_calls=0,
        )

    def wait_until_joined(self) -> None:
        """Wait until each node knows each target and the settings."""
        wait_until(lambda: all(map(self._knows_all, self.places)))

    def kill(self) -> None:
        """End every process that the fleet started."""
        for process in self.processes:
            process.kill()

    def _knows_all(self, place: Place) -> bool:
        assert place.node is not None
        assert place.node.popen.poll() is None, 'the node has ended'
        status = place.status()
        if not status['settings_version']:
            return False
        members = status['members']
        known = [one for one in members if one['service'] == 'docs']
        return len(known) == len(self.places)


@fixture
def fleet() -> Iterator[SmallFleet]:
    """Two nodes with their targets, that know each other."""
    ports = Ports.from_random()
    small = SmallFleet(ports, ports.take())
    with contextlib.ExitStack() as stack:
        stack.callback(small.kill)
        small.start_program(
            'standins.platform',
            port=small.platform_port,
            settings=json.dumps(settings()),
        )
        small.add('ghent-a')
        small.add('ghent-b')
        small.wait_until_joined()
        yield small


def settings() -> dict[str, Any]:
    """Return the settings that the fleet starts with, as they are stored."""
    zones = {name: {'region': 'flanders'} for name in ('ghent-a', 'ghent-b')}
    tree = {
        'cluster': 'stofbril',
        'defaults': {'slots_per_upstream': SLOTS, 'deadline_ms': 5000},
        'zones': zones,
        'services': {'docs': {}},
    }
    return {'tree': tree, 'changes': []}


def fetch(
    port: int, path: str, method: str = 'GET', body: Any = None
) -> dict[str, Any]:
    """Call a JSON port and return what it says."""
    sent = None if body is None else json.dumps(body)
    with contextlib.closing(
        HTTPConnection(HOST, port, timeout=START_TIMEOUT_S)
    ) as connection:
        connection.request(method, path, sent)
        said: dict[str, Any] = json.loads(connection.getresponse().read())
    return said


def send_and_read(port: int, octets: bytes, timeout_s: float = 3.0) -> bytes:
    """Send bytes and return all that comes until the other end closes."""
    came = bytearray()
    with (
        contextlib.suppress(TimeoutError),
        socket.create_connection((HOST, port), timeout=timeout_s) as sock,
    ):
        sock.sendall(octets)
        while chunk := sock.recv(READ_BYTES):
            came += chunk
    return bytes(came)


def wait_until(
    holds: Callable[[], Any], timeout_s: float = START_TIMEOUT_S
) -> Any:
    """Wait until something holds, and return it.

    Raises:
        AssertionError: If it does not in time.
    """
    last_by = time.monotonic() + timeout_s
    while time.monotonic() < last_by:
        try:
            held = holds()
        except (OSError, HTTPException, ValueError):
            held = None
        if held:
            return held
        time.sleep(POLL_INTERVAL_S)
    raise AssertionError('it did not hold in time')


def _flag(name: str) -> str:
    dashed = name.replace('_', '-')
    return f'--{dashed}'


def _is_quiet() -> bool:
    return not os.environ.get('DAISYLINE_TEST_LOUD')
