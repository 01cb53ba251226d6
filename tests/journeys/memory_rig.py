"""A node on a small machine, and clients that send what is never completed."""

import contextlib
import itertools
import pathlib
import re
import resource
import socket
import tempfile
from collections.abc import Iterator
from concurrent import futures

import attrs

from standins.processes import HOST, Ports
from tests.fixtures import Process, wait_until
from tests.journeys.users_rig import UsersFleet, UsersPlace
from tests.platform.fixtures import MANIFEST
from tests.support import fixture

# The memory of the test's machine, in megabytes: the bound of each process.
MACHINE_MB = 128
# The descriptors of the test's machine, and those of them that are for files.
DESCRIPTORS = 400
FILE_DESCRIPTORS = 200
# The smallest machine, and the largest body that limits ever permit.
SMALLEST_MACHINE_MB = 200
LARGEST_BODY_BYTES = 67_108_864
_LONG_TIMEOUT_S = 20.0
# The largest body that the settings of the test permit.
BODY_BYTES = 4_194_304
# Their bodies together exceed the memory of the machine.
BODY_CLIENTS = 64
CHUNK_CLIENTS = 40
CHUNKS = 200_000
IDLE_CLIENTS = 300
# Clients at each door of the machine; their bodies at one door together exceed
# the memory that a node keeps for others.
DOOR_CLIENTS = 32
DOOR_CHUNKS = 50_000
# So many crowds come one after the other.
CROWDS = 5
# Crowds whose bodies lack their end, on the smallest machine: the longest body
# is as long as limits ever permit.
GROWING_BODIES = tuple(length * 1_048_576 for length in (4, 8, 16, 32, 64))
GROWING_CLIENTS = 16
GROWING_ROUNDS = 4
CHUNK_BYTES = 65_536
FAR_OVER_FACTOR = 75
SHAPES = (
    'less a byte',
    'large chunks',
    'chunks of a byte',
    'announced far over the limit',
    'sent far over the limit',
    'a head without end',
)
HTTP_DOORS = ('callers', 'notices', 'ready', 'operators')
DOORS = (*HTTP_DOORS, 'peers')
# The service times of the target, beside complete bodies and otherwise.
SLOW_WORK_MS = 1000
WORK_MS = 5
SEND_TIMEOUT_S = 20.0
_BYTES_PER_MB = 1_000_000
_BYTES_PER_KIB = 1024


@attrs.define
class SmallMachine:
    """One node and its target on a machine with little memory.

    Attributes:
        place: The node and the target.
        fleet: The fleet that they are.
        memory_mb: The memory of the machine, in megabytes.
        sockets: The connections of the clients, which stay open.
    """

    place: UsersPlace
    fleet: UsersFleet
    memory_mb: int = MACHINE_MB
    sockets: list[socket.socket] = attrs.field(factory=list)

    @property
    def node(self) -> Process:
        """Return the process of the node."""
        return self.place.node

    def send_from_clients(
        self, clients: int, octets: bytes, doors: tuple[str, ...] = ('callers',)
    ) -> None:
        """Send the same bytes from many clients at once.

        A client that is refused or gets no room stops; all of them keep their
        connections open.

        Args:
            clients: The number of clients at each door.
            octets: What each of them sends.
            doors: The ports of the node, by their roles.
        """
        calls = list(itertools.product(doors, range(clients)))
        with futures.ThreadPoolExecutor(len(calls)) as threads:
            for door, _number in calls:
                threads.submit(self._send, octets, door)

    def send_and_read(self, octets: bytes) -> bytes:
        """Send bytes from one client; return the first bytes of the answer."""
        self._send(octets)
        return self.sockets[-1].recv(_BYTES_PER_KIB)

    def limit_descriptors(self) -> None:
        """Give the process of the node the descriptors of the machine."""
        limits = (DESCRIPTORS, DESCRIPTORS)
        resource.prlimit(self.node.popen.pid, resource.RLIMIT_NOFILE, limits)

    def restart_node(self) -> None:
        """Start the node again, after it was killed."""
        place = self.place
        place.node = self.fleet.start_node(
            place.name, place.zone, place.ports, memory_mb=self.memory_mb
        )

    def check_node(self) -> None:
        """Check that the node kept its bounds and answers a request."""
        assert self.node.popen.poll() is None, 'the node process has ended'
        descriptors = self._descriptors()
        bound = DESCRIPTORS - FILE_DESCRIPTORS
        assert descriptors < bound, f'the node has {descriptors} descriptors'
        wait_until(self.is_answering)
        # The answer shows that the node has read what came before.
        peak_mb = peak_bytes(self.node) / _BYTES_PER_MB
        assert peak_mb < self.memory_mb, f'the node took {peak_mb:.0f} MB'
        assert self.node.popen.poll() is None, 'the node process has ended'

    def is_answering(self) -> bool:
        """Return whether the node answers an ordinary request."""
        answer = self.place.send_request('/orders/1', 'ordinary', 'POST')
        return answer.status == 200

    def close(self) -> None:
        """Close the connections of the clients."""
        for sock in self.sockets:
            sock.close()

    def _send(self, octets: bytes, door: str = 'callers') -> None:
        address = (HOST, self.place.ports[door])
        with contextlib.suppress(OSError):
            sock = socket.create_connection(address, timeout=SEND_TIMEOUT_S)
            self.sockets.append(sock)
            sock.sendall(octets)

    def _descriptors(self) -> int:
        """Return the number of open descriptors of the node."""
        return len(list((_files_of(self.node) / 'fd').iterdir()))


@fixture
def small_machine() -> Iterator[SmallMachine]:
    """Provide a node on a small machine, once it answers."""
    with _start_machine(MACHINE_MB, BODY_BYTES) as machine:
        yield machine


@fixture
def smallest_machine() -> Iterator[SmallMachine]:
    """Provide a node on the smallest real machine, with the real limits."""
    with _start_machine(SMALLEST_MACHINE_MB, LARGEST_BODY_BYTES) as machine:
        yield machine


@contextlib.contextmanager
def _start_machine(memory_mb: int, body_bytes: int) -> Iterator[SmallMachine]:
    ports = Ports.from_random()
    limits = {**MANIFEST['limits'], 'maxBodyBytes': body_bytes}
    route = {**MANIFEST['routes'][0], 'timeoutS': _LONG_TIMEOUT_S}
    manifest = {**MANIFEST, 'routes': [route], 'limits': limits}
    with contextlib.ExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        fleet = UsersFleet(ports, folder, ports.take())
        stack.callback(fleet.kill)
        fleet.start_platform(manifest)
        place = fleet.add('ghent-a', memory_mb=memory_mb)
        machine = SmallMachine(place, fleet, memory_mb)
        stack.callback(machine.close)
        wait_until(machine.is_answering)
        yield machine


def shape_of_body(name: str) -> bytes:
    """Return what a client sends of a body that it does not end.

    Args:
        name: One of `SHAPES`.
    """
    far_over = FAR_OVER_FACTOR * BODY_BYTES
    announced = head_of(f'Content-Length: {far_over}')
    shapes = {
        'less a byte': head_of(f'Content-Length: {BODY_BYTES}')
        + bytes(BODY_BYTES - 1),
        'large chunks': chunked(BODY_BYTES, 65_536),
        'chunks of a byte': chunked(DOOR_CHUNKS, 1),
        'announced far over the limit': announced + bytes(BODY_BYTES),
        'sent far over the limit': chunked(3 * BODY_BYTES, 65_536),
        'a head without end': head_of('X-Filler: 1')[:-2] + bytes(BODY_BYTES),
    }
    return shapes[name]


def peak_bytes(process: Process) -> int:
    """Return the largest resident memory of a process so far."""
    path = _files_of(process) / 'status'
    found = re.search(r'VmHWM:\s+(\d+) kB', path.read_text('utf-8'))
    assert found is not None
    return int(found.group(1)) * _BYTES_PER_KIB


def head_of(framing: str) -> bytes:
    """Return the head of an order whose body has the given framing."""
    lines = ('POST /orders/1 HTTP/1.1', 'Host: shop.example', framing)
    return '\r\n'.join((*lines, '', '')).encode()


def chunked(size: int, chunk_bytes: int) -> bytes:
    """Return a chunked order of the given size, without its last chunk."""
    chunk = b'%x\r\n%s\r\n' % (chunk_bytes, bytes(chunk_bytes))
    return head_of('Transfer-Encoding: chunked') + chunk * (size // chunk_bytes)


def _files_of(process: Process) -> pathlib.Path:
    return pathlib.Path('/proc', str(process.popen.pid))
