"""A node beside a target that writes raw bytes to its sockets."""

import contextlib
import json
import re
import socket
import threading
import time
from collections.abc import Callable, Iterator
from http.client import HTTPConnection, HTTPException
from typing import Any

import attrs

from standins.processes import HOST, Ports
from tests.fixtures import (
    READ_BYTES,
    Process,
    fetch,
    kept_on_failure,
    wait_until,
)
from tests.journeys.users_rig import UsersFleet
from tests.platform.fixtures import MANIFEST
from tests.support import fixture

HEAD_END = b'\r\n\r\n'
OK = 200
# What the target's kernel takes of a body that the target doesn't read.
RECEIVE_BYTES = 4096
_HEARTBEAT_INTERVAL_S = 0.3
_CLIENT_TIMEOUT_S = 10.0
_TARGET_TIMEOUT_S = 20.0
_ROLES = ('callers', 'notices', 'ready', 'target', 'peers', 'operators')
_REQUEST_ID = re.compile(rb'\r\nattempt-id: *([^\r]*)', re.IGNORECASE)


@attrs.define
class Received:
    """A request whose head the target has read, and its connection.

    Attributes:
        sock: The connection; the body is not read.
        call: The id that an answer repeats.
        sent_bytes: How much the target has sent.
        is_over: Set once the target sends no more.
    """

    sock: socket.socket
    call: bytes
    sent_bytes: int = 0
    is_over: threading.Event = attrs.field(factory=threading.Event)

    def head(self, status: bytes, *lines: bytes) -> bytes:
        """Return the head of an answer of the target's own."""
        own = (b'Attempt-Id: %s' % self.call, b'Server-Signature: signed')
        return b'\r\n'.join((b'HTTP/1.1 %s' % status, *own, *lines, b'', b''))

    def send(self, octets: bytes) -> None:
        """Send bytes of an answer, or of what is none."""
        left = memoryview(octets)
        while left:
            sent_bytes = self.sock.send(left)
            self.sent_bytes += sent_bytes
            left = left[sent_bytes:]

    def reset(self) -> None:
        """Reset the connection."""
        linger = b'\x01\x00\x00\x00\x00\x00\x00\x00'
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.sock.close()


Answer = Callable[[Received], None]


def answer_whole(received: Received) -> None:
    """Answer as a sound target does."""
    framing = (b'Content-Length: 2', b'Connection: close')
    received.send(received.head(b'200 OK', *framing))
    received.send(b'ok')


@attrs.define
class RawTarget:
    """Accepts connections, and answers each request in a thread.

    Attributes:
        answer: Writes the answer to a request.
        slots: How many requests it runs at a time.
        requests: The requests that were received, by their ids.
    """

    _listener: socket.socket
    _notices: int
    answer: Answer = answer_whole
    slots: int = 2
    requests: dict[str, Received] = attrs.field(factory=dict)
    _stopped: threading.Event = attrs.field(factory=threading.Event)
    _born: int = attrs.field(factory=lambda: time.time_ns() // 1_000_000)

    @classmethod
    def listen(cls, port: int, notices: int) -> 'RawTarget':
        """Start the target and its heartbeats."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
        listener.bind((HOST, port))
        listener.listen()
        target = cls(listener, notices)
        for run in (target._accept, target._send_heartbeats):
            threading.Thread(target=run, daemon=True).start()
        return target

    def count_sent(self, call: str) -> int:
        """Return how many bytes were sent for a request, once no more are."""
        request = self.requests[call]
        assert request.is_over.wait(_TARGET_TIMEOUT_S)
        return request.sent_bytes

    def stop(self) -> None:
        """Accept no more connections and send no more heartbeats."""
        self._stopped.set()
        self._listener.close()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while not self._stopped.is_set():
                sock, _address = self._listener.accept()
                threading.Thread(
                    target=self._serve, args=(sock,), daemon=True
                ).start()

    def _serve(self, sock: socket.socket) -> None:
        with sock, contextlib.suppress(OSError):
            received = bytearray()
            while HEAD_END not in received:
                chunk = sock.recv(READ_BYTES)
                if not chunk:
                    return
                received += chunk
            found = _REQUEST_ID.search(received)
            assert found is not None
            sock.settimeout(_TARGET_TIMEOUT_S)
            request = Received(sock, found.group(1))
            self.requests[request.call.decode()] = request
            with contextlib.ExitStack() as stack:
                stack.callback(request.is_over.set)
                self.answer(request)

    def _send_heartbeats(self) -> None:
        sequence = 0
        while not self._stopped.wait(_HEARTBEAT_INTERVAL_S):
            sequence += 1
            with contextlib.suppress(OSError, HTTPException):
                self._send_heartbeat(sequence)

    def _send_heartbeat(self, sequence: int) -> None:
        port = self._listener.getsockname()[1]
        fields = {
            'service': 'shop',
            'address': f'{HOST}:{port}',
            'zone': 'ghent-a',
            'version': 'v1',
            'slots': self.slots,
            'state': 'ready',
            'coldRemainingS': 0,
            'sequence': sequence,
            'born': self._born,
        }
        path = f'/-/rpc?call=instances.heartbeat&of=i-{self._born}'
        with contextlib.closing(
            HTTPConnection(HOST, self._notices, timeout=1)
        ) as connection:
            connection.request('POST', path, json.dumps(fields))
            connection.getresponse().read()


@attrs.define
class RawPlace:
    """A node and its raw target."""

    node: Process
    target: RawTarget
    callers: int
    operators: int

    def send(
        self, call: str, method: str = 'POST', body: bytes = b''
    ) -> tuple[int, bytes] | None:
        """Send a request; return the whole answer's status and body, or None.

        None stands for an answer that breaks off.
        """
        headers = {'Host': 'shop.example', 'Attempt-Id': call}
        with contextlib.closing(
            HTTPConnection(HOST, self.callers, timeout=_CLIENT_TIMEOUT_S)
        ) as connection:
            connection.request(method, f'/orders/{call}', body, headers)
            try:
                return _read_answer(connection)
            except (ConnectionError, HTTPException):
                return None

    def send_and_discard(self, call: str) -> None:
        """Send a request, and discard its answer to the end."""
        lines = (
            'GET /orders/x HTTP/1.1',
            'Host: shop.example',
            'Connection: close',
            f'Attempt-Id: {call}',
        )
        request = '\r\n'.join((*lines, '', ''))
        address = (HOST, self.callers)
        with (
            contextlib.suppress(OSError),
            socket.create_connection(address, _CLIENT_TIMEOUT_S) as sock,
        ):
            sock.sendall(request.encode())
            octets = sock.recv(READ_BYTES)
            while octets:
                octets = sock.recv(READ_BYTES)

    def use_slots(self, slots: int, usable: int) -> None:
        """Let the target run more requests, and wait until its node knows."""
        self.target.slots = slots

        def is_known() -> bool:
            members = fetch(self.operators, '/status')['members']
            return int(members[0]['limit']) >= usable

        wait_until(is_known)

    def is_answering(self) -> bool:
        """Return whether an ordinary request is answered."""
        self.target.answer = answer_whole
        return self.send('ordinary') == (OK, b'ok')


def _read_answer(connection: HTTPConnection) -> tuple[int, bytes]:
    response = connection.getresponse()
    return response.status, response.read()


@fixture
def raw_place() -> Iterator[RawPlace]:
    """Provide a node and a raw target, once a request is answered."""
    ports = Ports.from_random()
    routes: list[dict[str, Any]] = [
        {**route, 'service': 'shop'} for route in MANIFEST['routes']
    ]
    for route in routes:
        route.pop('trafficSplit', None)
    with contextlib.ExitStack() as stack:
        folder = stack.enter_context(kept_on_failure())
        fleet = UsersFleet(ports, folder, ports.take())
        stack.callback(fleet.kill)
        fleet.start_platform({**MANIFEST, 'routes': routes})
        own_ports = {role: ports.take() for role in _ROLES}
        node = fleet.start_node('n0', 'ghent-a', own_ports)
        target = RawTarget.listen(own_ports['target'], own_ports['notices'])
        stack.callback(target.stop)
        place = RawPlace(
            node, target, own_ports['callers'], own_ports['operators']
        )
        wait_until(place.is_answering)
        yield place
