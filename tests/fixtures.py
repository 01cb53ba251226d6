"""Processes, and a fixture of a small fleet, for tests of several modules.

The logs of a test's processes are kept if it fails, and their folder is printed.
"""

import contextlib
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Iterator
from http.client import HTTPConnection, HTTPException
from typing import Any

import attrs

from standins.processes import HOST, Ports
from tests.support import fixture

START_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.05
SLOTS_PER_TARGET = 2
READ_BYTES = 65536


@attrs.define
class Process:
    """A process that a test started."""

    popen: Any

    def signal(self, number: int) -> None:
        """Send a signal."""
        self.popen.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait until it has ended."""
        self.signal(signal.SIGKILL)
        self.popen.wait()

    def stop(self) -> int:
        """Send SIGTERM and return the exit code."""
        self.signal(signal.SIGTERM)
        return int(self.popen.wait(timeout=START_TIMEOUT_S))


@attrs.define
class Place:
    """A node with its target, and the TCP ports of both."""

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
        """Return the status from the node's operators' port."""
        return fetch(self.operators_port, '/status')

    def set_faults(self, **faults: Any) -> None:
        """Set faults of the target."""
        fetch(self.control_port, '/control/faults', method='POST', body=faults)

    def run_calls(self) -> list[dict[str, Any]]:
        """Return the records of the calls that the target has run."""
        return fetch(self.control_port, '/control/calls')['calls']


@attrs.define
class SmallFleet:
    """A platform and a few nodes with their targets, each a process.

    Attributes:
        ports: Allocates the TCP ports.
        platform_port: The TCP port of the platform.
        folder: The path of the folder with the logs of the processes.
        processes: All processes, the ended ones included.
        places: The nodes with their targets.
    """

    ports: Ports
    platform_port: int
    folder: str
    processes: list[Process] = attrs.field(factory=list)
    places: list[Place] = attrs.field(factory=list)

    def start_program(self, module: str, **flags: Any) -> Process:
        """Start a module of the package or of the stand-ins."""
        words = [
            word
            for name, setting in flags.items()
            for word in (_flag(name), str(setting))
        ]
        process = start_logged(
            self.folder, len(self.processes), [module, *words]
        )
        self.processes.append(process)
        return process

    def add(self, zone: str, version: str = 'v1', **flags: Any) -> Place:
        """Start another node, with optional further flags, and its target."""
        number = len(self.places)
        free_ports = (self.ports.take() for _ in range(6))
        place = Place(f'n{number}', zone, *free_ports)
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
            slots=SLOTS_PER_TARGET,
            cold_calls=0,
        )

    def wait_until_joined(self) -> None:
        """Wait until each node has the settings and lists all targets."""
        wait_until(lambda: all(map(self._knows_all, self.places)))

    def kill(self) -> None:
        """Kill all processes of the fleet."""
        for process in self.processes:
            process.kill()

    def _knows_all(self, place: Place) -> bool:
        assert place.node is not None
        assert place.node.popen.poll() is None, 'the node process has ended'
        status = place.status()
        if not status['settings_version']:
            return False
        members = status['members']
        docs_members = [
            member for member in members if member['service'] == 'docs'
        ]
        return len(docs_members) == len(self.places)


def start_logged(
    folder: str, number: int, words: list[str], **options: Any
) -> Process:
    """Start a Python module whose output goes to a file.

    Args:
        folder: The path of the folder for the file.
        number: The number of the process in its test.
        words: The name of the module and its arguments.
        options: Further arguments of `subprocess.Popen`.
    """
    log = pathlib.Path(folder, f'{number}-{words[0]}.log')
    with log.open('wb') as lines:
        popen = subprocess.Popen(
            [sys.executable, '-m', *words],
            stdout=lines,
            stderr=None if _is_loud() else subprocess.STDOUT,
            **options,
        )
    return Process(popen)


@contextlib.contextmanager
def kept_on_failure() -> Iterator[str]:
    """Give the path of a new folder, which is deleted unless the test fails."""
    folder = tempfile.mkdtemp(prefix='daisyline-test-')
    try:
        yield folder
    except BaseException:
        sys.stderr.write(f'\nThe logs of the processes are in {folder}\n')
        raise
    shutil.rmtree(folder)


@fixture
def fleet() -> Iterator[SmallFleet]:
    """Provide two nodes with their targets, once they have joined."""
    ports = Ports.from_random()
    with contextlib.ExitStack() as stack:
        folder = stack.enter_context(kept_on_failure())
        new_fleet = SmallFleet(ports, ports.take(), folder)
        stack.callback(new_fleet.kill)
        new_fleet.start_program(
            'standins.platform',
            port=new_fleet.platform_port,
            settings=json.dumps(stored_settings()),
        )
        new_fleet.add('ghent-a')
        new_fleet.add('ghent-b')
        new_fleet.wait_until_joined()
        yield new_fleet


def stored_settings() -> dict[str, Any]:
    """Return the fleet's initial settings as the platform stores them."""
    zones = {name: {'region': 'flanders'} for name in ('ghent-a', 'ghent-b')}
    tree = {
        'cluster': 'stofbril',
        'defaults': {
            'slots_per_upstream': SLOTS_PER_TARGET,
            'deadline_ms': 5000,
        },
        'zones': zones,
        'services': {'docs': {}},
    }
    return {'tree': tree, 'changes': []}


def fetch(
    port: int, path: str, method: str = 'GET', body: Any = None
) -> dict[str, Any]:
    """Send a request and return the JSON value of its response."""
    request_body = None if body is None else json.dumps(body)
    with contextlib.closing(
        HTTPConnection(HOST, port, timeout=START_TIMEOUT_S)
    ) as connection:
        connection.request(method, path, request_body)
        answer: dict[str, Any] = json.loads(connection.getresponse().read())
    return answer


def send_and_read(port: int, octets: bytes, timeout_s: float = 3.0) -> bytes:
    """Send bytes and return those received until the peer closes.

    A time of timeout_s without bytes ends the exchange as well.
    """
    received = bytearray()
    with (
        contextlib.suppress(TimeoutError),
        socket.create_connection((HOST, port), timeout=timeout_s) as sock,
    ):
        sock.sendall(octets)
        while chunk := sock.recv(READ_BYTES):
            received += chunk
    return bytes(received)


def wait_until(
    condition: Callable[[], Any], timeout_s: float = START_TIMEOUT_S
) -> Any:
    """Poll a condition until it is true, and return its value.

    Errors of a connection or of its content count as false.

    Raises:
        AssertionError: If it is not true in time.
    """
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        try:
            result = condition()
        except (OSError, HTTPException, ValueError):
            result = None
        if result:
            return result
        time.sleep(POLL_INTERVAL_S)
    raise AssertionError('the condition did not become true in time')


def _flag(name: str) -> str:
    dashed = name.replace('_', '-')
    return f'--{dashed}'


def _is_loud() -> bool:
    return bool(os.environ.get('DAISYLINE_TEST_LOUD'))
