"""A small deployment on loopback: real nodes, stand-ins for the rest.

The nodes are started with the command and the settings template of
`deploy/system.toml`, each on a loopback address of its own. The platform's
store, the upstreams and the clients are asyncio stand-ins in this process.
They follow PROTOCOL.md; where it is silent they behave as sound ones.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from urllib.parse import parse_qsl, unquote, urlsplit

ROOT = pathlib.Path(__file__).resolve().parent.parent
REGION = 'be-flanders'
ZONES = ('ghent-a', 'ghent-b', 'antwerp-c')
HEARTBEAT_S = 1.5
GRACE_S = 6
STABLE_WINDOW_S = 3.0
DRAIN_S = 2.0
RECOVER_S = 15.0
COLD_S = 3.0
SCRIPT_LIMIT_S = 110.0
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
CONFIG = 'config'


class CannotRun(Exception):
    """The case could not be set up; says nothing about the rule."""


class Record:
    """The lines of record.txt: what was sent, answered and run."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open('w', encoding='utf-8')
        self._started = time.monotonic()

    def line(self, kind: str, /, **fields: object) -> None:
        """Write one line with the seconds since the start."""
        at = time.monotonic() - self._started
        text = ' '.join(f'{name}={value}' for name, value in fields.items())
        self._file.write(f'{at:8.3f} {kind} {text}\n')
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class Message:
    """An HTTP request or answer."""

    def __init__(
        self, first: str, headers: list[tuple[str, str]], body: bytes = b''
    ) -> None:
        self.first = first
        self.headers = headers
        self.body = body

    def header(self, name: str) -> str | None:
        """Return the first header of a name."""
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return None

    @property
    def status(self) -> int:
        """Return the status of an answer."""
        return int(self.first.split()[1])


class Truncated(Exception):
    """The connection ended before the message was complete."""


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Read a first line and headers; None if the peer closed before them."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise Truncated('in the head') from error
        return None
    except OSError as error:
        raise Truncated(str(error)) from error
    first, *lines = head.decode('latin-1').split('\r\n')[:-2]
    headers = []
    for line in lines:
        name, _, value = line.partition(':')
        headers.append((name, value.strip()))
    return Message(first, headers)


async def read_body(
    reader: asyncio.StreamReader, message: Message, is_answer: bool
) -> None:
    """Read the body of a message.

    Raises:
        Truncated: If the connection ends before the body is complete.
    """
    try:
        length = message.header('content-length')
        if length is not None:
            message.body = await reader.readexactly(int(length))
        elif 'chunked' in (message.header('transfer-encoding') or ''):
            parts = []
            while True:
                size = int((await reader.readline()).split(b';')[0] or b'x', 16)
                parts.append(await reader.readexactly(size))
                await reader.readexactly(2)
                if not size:
                    break
            message.body = b''.join(parts)
        elif is_answer:
            message.body = await reader.read(-1)
    except (asyncio.IncompleteReadError, OSError, ValueError) as error:
        raise Truncated('in the body') from error


async def read_message(
    reader: asyncio.StreamReader, is_answer: bool
) -> Message | None:
    """Read a whole message; None if the peer closed before it."""
    message = await read_head(reader)
    if message is not None:
        await read_body(reader, message, is_answer)
    return message


def encode(
    first: str, headers: list[tuple[str, str]], body: bytes | None
) -> bytes:
    """Return the bytes of a message, with its length if it has a body."""
    lines = [first, *(f'{name}: {value}' for name, value in headers)]
    if body is not None:
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode('latin-1') + (body or b'')


_REASONS = {200: 'OK', 421: 'Misdirected Request', 503: 'Service Unavailable'}


def answer_bytes(
    status: int, headers: list[tuple[str, str]], body: bytes
) -> bytes:
    """Return the bytes of an answer."""
    return encode(
        f'HTTP/1.1 {status} {_REASONS.get(status, "Other")}', headers, body
    )


class Store:
    """The platform's metadata store, as PROTOCOL.md describes it."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._revision = 10
        self._objects: dict[tuple[str, str], dict] = {}
        self._log: list[tuple[int, str, dict, bool]] = []
        self._changed = asyncio.Event()

    def put(self, kind: str, name: str, spec: object) -> int:
        """Write as the operator does; return the revision."""
        self._write(kind, name, 'spec', spec)
        self._record.line('operator', kind=kind, name=name, rev=self._revision)
        return self._revision

    def _write(self, kind: str, name: str, part: str, value: object) -> dict:
        held = self._objects.get((kind, name))
        self._revision += 1
        created = held['metadata']['createdRev'] if held else self._revision
        stored = {
            'metadata': {
                'name': name,
                'rev': self._revision,
                'createdRev': created,
                'finalizers': [],
                'deleting': False,
            },
            'spec': held['spec'] if held else None,
            'status': held['status'] if held else None,
        }
        stored[part] = value
        self._objects[(kind, name)] = stored
        self._append(kind, stored, deleted=False)
        return stored

    def _append(self, kind: str, stored: dict, *, deleted: bool) -> None:
        self._log.append((self._revision, kind, stored, deleted))
        self._changed.set()
        self._changed = asyncio.Event()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        with contextlib.suppress(Truncated, OSError), contextlib.closing(writer):
            while (request := await read_message(reader, False)) is not None:
                status, body = await self._answer(request)
                writer.write(
                    answer_bytes(
                        status,
                        [('Content-Type', 'application/json')],
                        json.dumps(body).encode(),
                    )
                )
                await writer.drain()

    async def _answer(self, request: Message) -> tuple[int, dict]:
        method, target, _ = request.first.split(' ')
        url = urlsplit(target)
        query = dict(parse_qsl(url.query))
        parts = [unquote(part) for part in url.path.split('/')]
        if parts[:3] != ['', '-', 'objects'] or len(parts) < 4:
            return 404, {}
        kind, name = parts[3], parts[4] if len(parts) > 4 else ''
        if method == 'GET' and not name:
            if 'watch' in query:
                wait_s = int(query.get('waitMs', '0')) / 1000
                return await self._watch(kind, int(query['watch']), wait_s)
            items = [
                stored
                for (other, _), stored in self._objects.items()
                if other == kind
            ]
            return 200, {'items': items, 'more': False, 'at': self._revision}
        held = self._objects.get((kind, name))
        if method == 'GET':
            return (200, held) if held else (404, {})
        fields = json.loads(request.body or b'{}')
        meta = fields.get('metadata', {})
        if method == 'POST':
            name = meta['name']
            held = self._objects.get((kind, name))
            if held:
                return 409, held
            return 200, self._write(kind, name, 'spec', fields.get('spec'))
        if held is None:
            return 404, {}
        rev = meta.get('rev', query.get('rev'))
        if rev is not None and int(rev) != held['metadata']['rev']:
            return 409, held
        if method == 'PUT':
            part = 'status' if parts[5:6] == ['status'] else 'spec'
            if held[part] == fields.get(part):
                return 200, held
            return 200, self._write(kind, name, part, fields.get(part))
        if method == 'DELETE':
            self._revision += 1
            del self._objects[(kind, name)]
            self._append(kind, held, deleted=True)
            return 200, held
        return 404, {}

    async def _watch(
        self, kind: str, since: int, wait_s: float
    ) -> tuple[int, dict]:
        until = time.monotonic() + wait_s
        while True:
            changed = self._changed
            events = [
                {'object': stored, 'deleted': deleted}
                for revision, other, stored, deleted in self._log
                if other == kind and revision > since
            ]
            left_s = until - time.monotonic()
            if events or left_s <= 0:
                return 200, {'events': events, 'at': self._revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left_s)


class Run:
    """One run of a request at an upstream."""

    def __init__(self, upstream: 'Upstream', request: Message) -> None:
        self.upstream = upstream
        self.method, self.path, _ = request.first.split(' ')
        self.id = request.header('attempt-id') or ''
        self.at = time.monotonic()
        self.ended = ''


class Upstream:
    """An application upstream beside a node."""

    def __init__(self, place: 'Place', slots: int = 9) -> None:
        self.place = place
        self.slots = slots
        self.instance = f'i-{random.getrandbits(32):08x}'
        self.born = int(time.time() * 1000)
        self.state = 'ready'
        self.runs: list[Run] = []
        self.sequence = 0
        # Returns the work in seconds and the body of the answer.
        self.plan: Callable[[Run], tuple[float, bytes]] = lambda run: (
            0.1,
            b'body of ' + run.id.encode(),
        )
        # It says until then that it is cold, and takes twice as long.
        self.cold_until = 0.0
        self._busy = 0
        self._heart: asyncio.Task | None = None

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection, one request at a time."""
        with contextlib.suppress(Truncated, OSError), contextlib.closing(writer):
            while (request := await read_message(reader, False)) is not None:
                if not await self._serve_one(request, reader, writer):
                    break

    def start_beating(self) -> None:
        """Send heartbeats from now on."""
        self._heart = asyncio.ensure_future(self._beat())

    def stop_beating(self) -> None:
        """Send no more heartbeats."""
        if self._heart is not None:
            self._heart.cancel()

    def next_notice(self) -> tuple[str, bytes]:
        """Return the target and body of a check-in with the present state."""
        self.sequence += 1
        ip, port = self.place.ip, self.place.deployment.app_port
        fields = {
            'service': self.place.service,
            'address': f'{ip}:{port}',
            'zone': self.place.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': self.state,
            'coldRemainingS': round(max(0, self.cold_until - time.monotonic()), 2),
            'sequence': self.sequence,
            'born': self.born,
        }
        target = f'/-/rpc?call=instances.heartbeat&of={self.instance}'
        return target, json.dumps(fields).encode()

    async def send_notice(self, target: str, body: bytes) -> bool:
        """Send a notice to the node; return whether it was acknowledged."""
        record = self.place.deployment.record
        call = target.partition('call=')[2].partition('&')[0]
        acked = False
        with contextlib.suppress(OSError, Truncated, TimeoutError):
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    self.place.ip, self.place.deployment.control_port
                )
                with contextlib.closing(writer):
                    headers = [
                        ('Host', 'control'),
                        ('Content-Type', 'application/json'),
                    ]
                    writer.write(encode(f'POST {target} HTTP/1.1', headers, body))
                    answer = await read_message(reader, True)
                    acked = answer is not None and answer.status // 100 == 2
        record.line(
            'notice',
            node=self.place.name,
            call=call,
            of=self.instance,
            body=body.decode(),
            acked=acked,
        )
        return acked

    async def leave(self) -> bool:
        """Send `instances.leave`; return whether it was acknowledged."""
        body = json.dumps({'born': self.born}).encode()
        target = f'/-/rpc?call=instances.leave&of={self.instance}'
        return await self.send_notice(target, body)

    async def _beat(self) -> None:
        while True:
            await self.send_notice(*self.next_notice())
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve_one(
        self,
        request: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        load = [('Server-Load', f'{self._busy},0,{self.slots},100')]
        path = request.first.split(' ')[1]
        if path == '/health':
            headers = [('Instance-Id', self.instance), *load]
            status = 200 if self.state == 'ready' else 503
            writer.write(answer_bytes(status, headers, b''))
            await writer.drain()
            return True
        echoed = [('Attempt-Id', request.header('attempt-id') or '')]
        expected = request.header('expected-instance')
        if expected not in {None, self.instance}:
            headers = [('Instance-Id', self.instance), *echoed]
            writer.write(answer_bytes(421, headers, b''))
            await writer.drain()
            return True
        if self._busy >= self.slots:
            headers = [('Not-Executed', '1'), *echoed, *load]
            writer.write(answer_bytes(503, headers, b''))
            await writer.drain()
            return True
        return await self._run(request, echoed, reader, writer)

    async def _run(
        self,
        request: Message,
        echoed: list[tuple[str, str]],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        run = Run(self, request)
        self.runs.append(run)
        record = self.place.deployment.record
        record.line(
            'run', at=self.place.name, id=run.id, path=run.path,
            method=run.method, body_bytes=len(request.body),
        )
        work_s, body = self.plan(run)
        if time.monotonic() < self.cold_until:
            work_s *= 2
        self._busy += 1
        try:
            closed = asyncio.ensure_future(reader.read(1))
            done, _ = await asyncio.wait({closed}, timeout=work_s)
            if done:
                # The connection was closed; the upstream drops the request.
                run.ended = 'dropped'
                record.line('dropped', at=self.place.name, id=run.id)
                return False
            closed.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await closed
        finally:
            self._busy -= 1
        headers = [
            *echoed,
            ('Server-Signature', f'{self.instance}.{run.id}'),
            ('Server-Load', f'{self._busy},0,{self.slots},100'),
        ]
        writer.write(answer_bytes(200, headers, body))
        await writer.drain()
        run.ended = 'answered'
        record.line('served', at=self.place.name, id=run.id)
        return True


class Place:
    """A machine: a node and the upstream beside it."""

    def __init__(
        self, deployment: 'Deployment', name: str, ip: str, zone: str, service: str
    ) -> None:
        self.deployment = deployment
        self.name = name
        self.ip = ip
        self.zone = zone
        self.service = service
        self.process: subprocess.Popen | None = None
        self.upstream = Upstream(self)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    def start_node(self) -> None:
        """Start the node with the command of the deploy file."""
        deployment = self.deployment
        settings = deployment.folder / f'{self.name}.json'
        settings.write_text(deployment.settings_of(self), encoding='utf-8')
        kept = ('PATH', 'HOME', 'LANG')
        env = {name: os.environ[name] for name in kept if name in os.environ}
        env['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        env['DAISYLINE_SETTINGS'] = str(settings)
        env['PYTHONDONTWRITEBYTECODE'] = '1'
        log = (deployment.folder / f'{self.name}.log').open('ab')
        self.process = subprocess.Popen(
            deployment.command, cwd=ROOT, env=env, stdin=subprocess.DEVNULL,
            stdout=log, stderr=log,
        )
        log.close()
        deployment.processes.append(self.process)
        deployment.record.line('start', node=self.name)

    def signal(self, number: int) -> None:
        """Send a signal to the node."""
        assert self.process is not None
        self.deployment.record.line(
            'signal', node=self.name, signal=signal.Signals(number).name
        )
        self.process.send_signal(number)

    async def is_ready(self) -> bool:
        """Ask the node's readiness check, as the platform does."""
        with contextlib.suppress(OSError, Truncated, TimeoutError):
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    self.ip, self.deployment.ready_port
                )
                with contextlib.closing(writer):
                    writer.write(
                        encode('GET /-/readiness HTTP/1.1', [('Host', 'x')], None)
                    )
                    answer = await read_message(reader, True)
                    return answer is not None and answer.status == 200
        return False

    async def wait_ready(self, limit_s: float = 20.0) -> None:
        """Wait until the node is ready."""
        until = time.monotonic() + limit_s
        while not await self.is_ready():
            if time.monotonic() > until:
                raise CannotRun(f'{self.name} is not ready')
            await asyncio.sleep(0.02)


    async def serve_upstream(self) -> None:
        """Accept requests to the upstream."""
        self._server = await asyncio.start_server(
            self._serve, self.ip, self.deployment.app_port, limit=2**21
        )

    async def crash(self) -> None:
        """End the upstream: its connections close, and it says nothing."""
        self.upstream.stop_beating()
        assert self._server is not None
        self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def come_back(self) -> None:
        """Start the upstream anew, cold."""
        previous = self.upstream
        self.upstream = Upstream(self, previous.slots)
        self.upstream.plan = previous.plan
        self.upstream.cold_until = time.monotonic() + COLD_S
        await self.serve_upstream()
        self.upstream.start_beating()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            await self.upstream.serve(reader, writer)
        finally:
            self._writers.discard(writer)


class Deployment:
    """The nodes, the store and the upstreams of one run."""

    def __init__(self, record: Record, services: list[str]) -> None:
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='daisyline-review-'))
        self.processes: list[subprocess.Popen] = []
        self.store = Store(record)
        self.servers: list[asyncio.Server] = []
        role = tomllib.loads((ROOT / 'deploy/system.toml').read_text())['roles']
        self._role = role['node']
        self.command = self._role['run'].split()
        net = f'127.{random.randint(10, 250)}.{random.randint(1, 250)}'
        self.store_ip = f'{net}.200'
        ips = [f'{net}.{number}' for number in range(1, len(services) + 1)]
        ports = self._free_ports([*ips, self.store_ip], 7)
        (self.app_port, self.inbound_port, self.outbound_port, self.ready_port,
         self.control_port, self.peers_port, self.store_port) = ports
        self.places = [
            Place(self, f'sidecar-{number}', ip, ZONES[number % 3], service)
            for number, (ip, service) in enumerate(zip(ips, services))
        ]

    @staticmethod
    def _free_ports(ips: list[str], count: int) -> list[int]:
        """Return ports that are free on all addresses."""
        ports: list[int] = []
        while len(ports) < count:
            port = random.randrange(12_000, 32_000)
            try:
                for ip in ips:
                    with socket.socket() as probe:
                        probe.bind((ip, port))
            except OSError:
                continue
            if port not in ports:
                ports.append(port)
        return ports

    def settings_of(self, place: Place) -> str:
        """Fill in the template of the deploy file for a machine."""
        ip = place.ip
        fields = {
            'nodeId': place.name,
            'zone': place.zone,
            'region': REGION,
            'ip': ip,
            'listen.outbound': f'{ip}:{self.outbound_port}',
            'listen.inbound': f'{ip}:{self.inbound_port}',
            'listen.control': f'{ip}:{self.control_port}',
            'listen.ready': f'{ip}:{self.ready_port}',
            'appAddr': f'{ip}:{self.app_port}',
            'service': place.service,
            'platform.address': f'{self.store_ip}:{self.store_port}',
            'internalPorts.0': self.peers_port,
            'zones': dict.fromkeys(ZONES, REGION),
            'heartbeatS': HEARTBEAT_S,
            'bounds.graceS': GRACE_S,
            'bounds.budgetRatio': 0.2,
            'bounds.budgetSlack': 56,
            'bounds.exposeShare': 0.1,
        }
        template = (ROOT / self._role['template']).read_text()
        return re.sub(
            r'\{\{([\w.]+)\|json\}\}',
            lambda found: json.dumps(fields[found.group(1)]),
            template,
        )

    async def start(self, routes: list[dict]) -> None:
        """Start everything and wait until all nodes know all upstreams."""
        self.store.put(CONFIG, 'main', manifest(routes, self._services()))
        self.servers.append(
            await asyncio.start_server(
                self.store.serve, self.store_ip, self.store_port, limit=2**21
            )
        )
        for place in self.places:
            await place.serve_upstream()
            place.start_node()
        for place in self.places:
            await place.wait_ready()
            place.upstream.start_beating()
        # Beats of all upstreams, and their spread among the nodes.
        await asyncio.sleep(2 * HEARTBEAT_S + STABLE_WINDOW_S)

    def _services(self) -> list[str]:
        return sorted({place.service for place in self.places})

    async def stop(self) -> None:
        """End all processes that were started."""
        for process in self.processes:
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()
        for place in self.places:
            place.upstream.stop_beating()
        for server in self.servers:
            server.close()
        if os.environ.get('KEEP_LOGS'):
            print(f'logs of the nodes: {self.folder}')
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def manifest(routes: list[dict], services: list[str]) -> dict:
    """Return a manifest in the form of PROTOCOL.md."""
    return {
        'version': 'r7',
        'routes': routes,
        'services': [
            {
                'name': service,
                'healthCheckPath': '/health',
                'maxConnections': 220,
                'protocol': 'h1',
                'tls': False,
                'coldStartS': COLD_S,
                'coldPerS': 19.0,
            }
            for service in services
        ],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 67108864,
            'headerTimeoutS': 3,
            'idleTimeoutS': 15,
        },
        'baseVersion': 'r5',
    }


HOST = 'shop.example'


def route(
    name: str, kind: str, service: str, timeout_s: float, attempts: int = 2
) -> dict:
    """Return a route; its prefix is its name."""
    return {
        'name': f'r-{name}',
        'host': HOST,
        'pathPrefix': f'/{name}/',
        'kind': kind,
        'timeoutS': timeout_s,
        'targetLatencyS': 0.6,
        'priority': 1,
        'service': service,
        'maxAttempts': attempts,
    }


def new_id() -> str:
    """Return a new id of a client attempt."""
    return f'{random.getrandbits(64):016x}'


def request_bytes(
    method: str, path: str, attempt: str, limit_ms: int, body: bytes | None = None
) -> bytes:
    """Return the bytes of a client's request."""
    headers = [
        ('Host', HOST),
        ('Attempt-Id', attempt),
        ('Deadline-Ms', str(limit_ms)),
    ]
    return encode(f'{method} {path} HTTP/1.1', headers, body)


# The segment size of Ethernet; loopback would use 64 KB.
SEGMENT_BYTES = 1_460
RECEIVE_BUFFER_BYTES = 8_192
READ_EVERY_S = 0.02


class SlowClient:
    """A client that keeps a connection and reads at the rate of its link."""

    def __init__(self, place: Place, bytes_per_s: int) -> None:
        self._place = place
        self._size = int(bytes_per_s * READ_EVERY_S)
        self._sock: socket.socket | None = None

    async def fetch(self, path: str, limit_s: float) -> tuple[str, int, str]:
        """Send a GET; return its id, its status and how the answer ended.

        An answer that is whole ends as `complete`; the status is 0 without one.
        """
        record = self._place.deployment.record
        loop = asyncio.get_running_loop()
        attempt = new_id()
        received = bytearray()
        how = 'complete'
        try:
            async with asyncio.timeout(limit_s):
                if self._sock is None:
                    await self._connect()
                assert self._sock is not None
                record.line('send', node=self._place.name, id=attempt, path=path)
                limit_ms = int(limit_s * 1000)
                await loop.sock_sendall(
                    self._sock, request_bytes('GET', path, attempt, limit_ms)
                )
                while not is_whole(received):
                    octets = await loop.sock_recv(self._sock, self._size)
                    if not octets:
                        raise Truncated('closed')
                    received += octets
                    await asyncio.sleep(READ_EVERY_S)
        except (Truncated, OSError, TimeoutError) as error:
            how = repr(error).replace(' ', '-')
        head, _, body = bytes(received).partition(b'\r\n\r\n')
        if how != 'complete' or b'\r\nconnection: close' in head.lower():
            self.close()
        status = int(head.split(b' ')[1]) if body or how == 'complete' else 0
        record.line(
            'end', id=attempt, status=status, body_bytes=len(body), how=how
        )
        return attempt, status, how

    def close(self) -> None:
        """Close the connection."""
        if self._sock is not None:
            self._sock.close()
            self._sock = None

    async def _connect(self) -> None:
        sock = socket.socket()
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._sock = sock
        address = (self._place.ip, self._place.deployment.outbound_port)
        await asyncio.get_running_loop().sock_connect(sock, address)


def is_whole(received: bytes | bytearray) -> bool:
    """Return whether an answer with a length has all of its body."""
    head, mark, body = bytes(received).partition(b'\r\n\r\n')
    for line in head.split(b'\r\n')[1:] if mark else ():
        name, _, value = line.partition(b':')
        if name.lower() == b'content-length':
            return len(body) == int(value)
    return False


def main(
    folder: str,
    services: list[str],
    case: Callable[[Deployment, bool], Awaitable[bool]],
) -> None:
    """Run a case and exit with its result.

    Args:
        folder: The folder of the case, for record.txt.
        services: The service beside each node.
        case: Plays the case, with or without the trouble; returns whether the
            rule was broken.
    """
    record = Record(pathlib.Path(folder) / 'record.txt')
    trouble = os.environ.get('TROUBLE', '1') != '0'

    async def play() -> int:
        deployment = Deployment(record, services)
        # The processes are ended also if this script is told to stop.
        this = asyncio.current_task()
        assert this is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, this.cancel)
        try:
            async with asyncio.timeout(SCRIPT_LIMIT_S):
                return BROKEN if await case(deployment, trouble) else HELD
        finally:
            await deployment.stop()

    try:
        code = asyncio.run(play())
    except BaseException as error:
        record.line('cannot-run', error=repr(error))
        traceback.print_exc()
        code = COULD_NOT_RUN
    record.line('result', exit=code, trouble=int(trouble))
    record.close()
    words = {HELD: 'held', BROKEN: 'BROKEN', COULD_NOT_RUN: 'could not run'}
    print(f'{words[code]} (trouble={int(trouble)})')
    sys.stdout.flush()
    os._exit(code)
