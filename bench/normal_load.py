"""Compare the cost of ordinary calls with that of another checkout.

For each checkout two nodes run at the same time: an entry node, and one beside
a target. One caller sends the same calls to both checkouts in turns, so that
other load on the machine meets both alike.
"""

import contextlib
import json
import os
import pathlib
import re
import socket
import statistics
import subprocess
import sys
import time
import types
from collections.abc import Iterator

import attrs
import cyclopts

from bench.capacity_machine import describe_machine
from standins.processes import HOST, Ports

ROUNDS = 5
CALLS_PER_ROUND = 400
WARM_UP_CALLS = 200
START_TIMEOUT_S = 30.0
BODY_SIZES = (0, 16_384, 262_144)
_NS_PER_US = 1000
_BYTES_PER_KIB = 1024
_BYTES_PER_MB = 1_000_000
_RETRY_S = 0.2
_SHOWN_BYTES = 200
_READ_BYTES = 65_536
_SETTINGS = types.MappingProxyType(
    {
        'tree': {
            'cluster': 'bench',
            'defaults': {'slots_per_upstream': 8},
            'zones': {'ghent-a': {'region': 'flanders'}},
            'services': {'docs': {}},
        },
        'changes': [],
    }
)


@attrs.define
class Checkout:
    """The processes that run the sources of one checkout.

    Attributes:
        folder: The folder of the checkout.
        callers_port: The TCP port of the entry node for callers.
        nodes: The two nodes.
        call_us: Processor time of both nodes per call in each round, in
            microseconds, by the size of the calls' bodies.
    """

    folder: pathlib.Path
    callers_port: int
    nodes: list[subprocess.Popen[bytes]]
    call_us: dict[int, list[float]] = attrs.field(factory=dict)

    def run_round(self, body_bytes: int) -> None:
        """Send the calls of one round and record their cost."""
        before = self._processor_us()
        _send_calls(self.callers_port, body_bytes, CALLS_PER_ROUND)
        spent_us = self._processor_us() - before
        costs = self.call_us.setdefault(body_bytes, [])
        costs.append(spent_us / CALLS_PER_ROUND)

    def memory_mb(self, field: str) -> str:
        """Return a field of /proc/PID/status of both nodes, in megabytes."""
        pages = [
            pathlib.Path(f'/proc/{node.pid}/status') for node in self.nodes
        ]
        found = [
            re.search(rf'{field}:\s+(\d+)', page.read_text()) for page in pages
        ]
        sizes = [
            int(match[1]) * _BYTES_PER_KIB / _BYTES_PER_MB
            for match in found
            if match
        ]
        return ' + '.join(f'{size:.1f}' for size in sizes)

    def _processor_us(self) -> float:
        """Return the processor time of both nodes, in microseconds."""
        return (
            sum(
                int(
                    pathlib.Path(f'/proc/{node.pid}/schedstat')
                    .read_text()
                    .split()[0]
                )
                for node in self.nodes
            )
            / _NS_PER_US
        )


def _send_calls(port: int, body_bytes: int, count: int) -> None:
    """Send calls one after another on one connection.

    Raises:
        OSError: If a call is not answered with 200.
    """
    head = f'POST /stock HTTP/1.1\r\nHost: docs\r\nContent-Length: {body_bytes}'
    request = f'{head}\r\n\r\n'.encode() + bytes(body_bytes)
    with socket.create_connection((HOST, port), START_TIMEOUT_S) as sock:
        for _ in range(count):
            sock.sendall(request)
            _read_answer(sock)


def _read_answer(sock: socket.socket) -> None:
    received = b''
    found = None
    while found is None or len(received) < found.end() + int(found[1]):
        chunk = sock.recv(_READ_BYTES)
        received += chunk
        pattern = rb'(?is)content-length: (\d+).*?\r\n\r\n'
        found = re.search(pattern, received)
        if not chunk or not received.startswith(b'HTTP/1.1 200'):
            shown = received[:_SHOWN_BYTES]
            raise OSError(f'no answer with 200: {shown!r}')


@contextlib.contextmanager
def _started(folders: list[pathlib.Path]) -> Iterator[list[Checkout]]:
    """Start the processes of each checkout, and end them."""
    ports = Ports.from_random()
    with contextlib.ExitStack() as stack:
        yield [_start(folder, ports, stack) for folder in folders]


def _start(
    folder: pathlib.Path, ports: Ports, stack: contextlib.ExitStack
) -> Checkout:
    own = pathlib.Path(__file__).resolve().parent.parent
    platform, callers, peers, notices = (ports.take() for _ in range(4))

    def run(
        cwd: pathlib.Path, module: str, **flags: object
    ) -> subprocess.Popen[bytes]:
        words = []
        for name, setting in flags.items():
            words.extend((f'--{name}'.replace('_', '-'), str(setting)))
        process = subprocess.Popen(
            [sys.executable, '-m', module, *words],
            cwd=cwd,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
            env={**os.environ, 'PYTHONPATH': str(cwd)},
        )
        stack.callback(process.wait)
        stack.callback(process.kill)
        return process

    run(
        own,
        'standins.platform',
        port=platform,
        settings=json.dumps(dict(_SETTINGS)),
    )
    common = {
        'zone': 'ghent-a',
        'region': 'flanders',
        'cluster': 'bench',
        'host': HOST,
        'platform': f'http://{HOST}:{platform}',
    }
    module = 'daisyline.programs.node'
    nodes = [
        run(
            folder,
            module,
            name='entry',
            callers_port=callers,
            peers_port=ports.take(),
            target_port=ports.take(),
            operators_port=ports.take(),
            **common,
        ),
        run(
            folder,
            module,
            name='beside',
            callers_port=ports.take(),
            peers_port=peers,
            target_port=notices,
            operators_port=ports.take(),
            **common,
        ),
    ]
    run(
        own,
        'standins.target',
        port=ports.take(),
        control_port=ports.take(),
        node_target_port=notices,
        service='docs',
        version='v1',
        slots=8,
        cold_calls=0,
    )
    _wait_until_served(callers)
    return Checkout(folder, callers, nodes)


def _wait_until_served(port: int) -> None:
    ends_at = time.monotonic() + START_TIMEOUT_S
    while True:
        try:
            return _send_calls(port, 0, 1)
        except OSError:
            if time.monotonic() > ends_at:
                raise
            time.sleep(_RETRY_S)


def compare(earlier: pathlib.Path) -> int:
    """Compare this checkout with an earlier one.

    Args:
        earlier: The folder of the other checkout.
    """
    own = pathlib.Path(__file__).resolve().parent.parent
    with _started([earlier.resolve(), own]) as checkouts:
        for checkout in checkouts:
            _send_calls(checkout.callers_port, 0, WARM_UP_CALLS)
        for body_bytes in BODY_SIZES * ROUNDS:
            for checkout in checkouts:
                checkout.run_round(body_bytes)
        sys.stdout.write(f'{describe_machine()}\n')
        for name, checkout in zip(('earlier', 'this'), checkouts, strict=True):
            costs = ', '.join(
                f'{size} B: {statistics.median(each):.0f}'
                f' ({min(each):.0f} to {max(each):.0f})'
                for size, each in checkout.call_us.items()
            )
            sys.stdout.write(
                f'{name}: us per call, median (range): {costs}; MB resident:'
                f' {checkout.memory_mb("VmRSS")}, at most:'
                f' {checkout.memory_mb("VmHWM")}\n'
            )
    return 0


if __name__ == '__main__':
    cyclopts.run(compare)
