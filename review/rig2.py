"""Stand-ins and processes for the scripts of the second review.

A store, targets and clients on loopback addresses, and the nodes as separate
processes, started with the command of the deploy file. Only the standard
library is used.
"""

import contextlib
import http.server
import itertools
import json
import os
import random
import signal
import socket
import socketserver
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
HOST = '127.0.0.1'
DEPS = os.path.join(ROOT, 'target', 'deps')
# The command of deploy/system.toml.
COMMAND = ('python3', '-P', '-m', 'daisyline.platform')
HEARTBEAT_S = 1.5
HELD, BROKEN, NOT_RUN = 0, 1, 2
# A script may take 120 s; one that takes longer than this ends as not run.
LIMIT_S = 110
# The limits that `fleetbench wire` shows for the small sites.
LIMITS = {
    'maxHeaderBytes': 16384,
    'maxBodyBytes': 67108864,
    'headerTimeoutS': 3,
    'idleTimeoutS': 15,
}
_ids = itertools.count(1)
_taken_ports = set()


def has_trouble():
    """Return whether the disruption is to take place."""
    return os.environ.get('TROUBLE', '1') != '0'


def free_ports(count):
    """Return free TCP ports on the loopback address.

    They lie below the ports that the system gives to clients' connections.
    """
    found = []
    while len(found) < count:
        port = random.randrange(18_000, 30_000)
        with contextlib.suppress(OSError), socket.socket() as sock:
            sock.bind((HOST, port))
            if port not in _taken_ports:
                _taken_ports.add(port)
                found.append(port)
    return found


class Record:
    """What was sent, answered and run, with times since the start."""

    def __init__(self, folder):
        self._file = open(os.path.join(folder, 'record.txt'), 'w')
        self._began = time.monotonic()
        self._lock = threading.Lock()

    def add(self, text):
        with self._lock:
            at = time.monotonic() - self._began
            self._file.write(f'{at:9.3f} s  {text}\n')
            self._file.flush()


class _StoreHandler(http.server.BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'

    def log_message(self, *_args):
        pass

    def _answer(self, status, body):
        octets = json.dumps(body).encode()
        self.send_response(status)
        self.send_header('Content-Type', 'application/json')
        self.send_header('Content-Length', str(len(octets)))
        self.send_header('Store-Era', '1')
        self.end_headers()
        self.wfile.write(octets)

    def _parts(self):
        url = urllib.parse.urlsplit(self.path)
        names = [urllib.parse.unquote(part) for part in url.path.split('/')]
        return names[3:], dict(urllib.parse.parse_qsl(url.query))

    def _body(self):
        length = int(self.headers.get('Content-Length') or 0)
        return json.loads(self.rfile.read(length) or b'{}')

    def do_GET(self):
        names, query = self._parts()
        self._answer(*self.server.store.read(names, query))

    def do_POST(self):
        names, _query = self._parts()
        self._answer(*self.server.store.create(names[0], self._body()))

    def do_PUT(self):
        names, _query = self._parts()
        self._answer(*self.server.store.replace(names, self._body()))


class _Server(socketserver.ThreadingMixIn, http.server.HTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, *_args):
        pass


class Store:
    """The platform's store: objects with revisions, lists and watches."""

    def __init__(self, manifest):
        self._objects = {}
        self._events = []
        self._revision = 1
        self._changed = threading.Condition()
        self.put('config', 'main', manifest)
        self._server = _Server((HOST, free_ports(1)[0]), _StoreHandler)
        self._server.store = self
        self.address = f'{HOST}:{self._server.server_address[1]}'
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def put(self, kind, name, spec, part='spec'):
        with self._changed:
            self._revision += 1
            held = self._objects.get((kind, name))
            meta = {
                'name': name,
                'rev': self._revision,
                'createdRev': held['metadata']['createdRev']
                if held
                else self._revision,
                'finalizers': [],
                'deleting': False,
            }
            fields = held or {'spec': None, 'status': None}
            stored = {**fields, 'metadata': meta, part: spec}
            self._objects[kind, name] = stored
            self._events.append((self._revision, kind, stored))
            self._changed.notify_all()
            return stored

    def create(self, kind, body):
        name = body['metadata']['name']
        with self._changed:
            held = self._objects.get((kind, name))
            if held:
                return 409, held
            return 201, self.put(kind, name, body.get('spec'))

    def replace(self, names, body):
        kind, name, *rest = names
        part = 'status' if rest else 'spec'
        with self._changed:
            held = self._objects.get((kind, name))
            if not held:
                return 404, {}
            if body['metadata'].get('rev') not in {
                None,
                held['metadata']['rev'],
            }:
                return 409, held
            return 200, self.put(kind, name, body.get(part), part)

    def read(self, names, query):
        kind, *rest = names
        with self._changed:
            if rest:
                held = self._objects.get((kind, rest[0]))
                return (200, held) if held else (404, {})
            if 'watch' not in query:
                items = [
                    held
                    for (of, _name), held in self._objects.items()
                    if of == kind
                ]
                body = {'items': items, 'more': False, 'at': self._revision}
                return 200, body
            since = int(query['watch'])
            until = time.monotonic() + int(query.get('waitMs', 0)) / 1000
            while True:
                events = [
                    {'object': stored, 'deleted': False}
                    for revision, of, stored in self._events
                    if of == kind and revision > since
                ]
                left_s = until - time.monotonic()
                if events or left_s <= 0:
                    return 200, {'events': events, 'at': self._revision}
                self._changed.wait(left_s)


class Request:
    """A request as a target has read it."""

    def __init__(self, head, body):
        first, *lines = head.decode('latin-1').split('\r\n')
        self.method, self.path, _version = first.split(' ')
        self.headers = {}
        for line in lines:
            name, _, text = line.partition(':')
            self.headers[name.strip().lower()] = text.strip()
        self.body = body

    @property
    def id(self):
        return self.headers.get('attempt-id', '')


def read_request(stream):
    """Read one request; None if the connection ends before its end."""
    head = b''
    while not head.endswith(b'\r\n\r\n'):
        line = stream.readline()
        if not line:
            return None
        head += line
    request = Request(head[:-4], b'')
    length = int(request.headers.get('content-length', 0))
    request.body = stream.read(length) if length else b''
    return request if len(request.body) == length else None


class Target:
    """A target beside a node, which says of itself what the pages ask for.

    Attributes:
        behave: Answers a request that runs; called with the connection and the
            request. Returns whether the connection is kept.
        ran: The ids of the requests that it began to work on.
    """

    def __init__(self, name, service, slots, record, behave):
        self.service = service
        self.name = name
        self.behave = behave
        self.ran = []
        self._slots = slots
        self._record = record
        self._instance = f'i-{random.getrandbits(40):010x}'
        self._born = int(time.time() * 1000)
        self._sequence = itertools.count(1)
        self._sock = socket.socket()
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._sock.bind((HOST, free_ports(1)[0]))
        self._sock.listen(256)
        self.address = f'{HOST}:{self._sock.getsockname()[1]}'
        self._notices = None
        threading.Thread(target=self._accept, daemon=True).start()

    def head(self, request, length, status='200 OK'):
        """Return the head of an answer."""
        return (
            f'HTTP/1.1 {status}\r\nAttempt-Id: {request.id}\r\n'
            f'Server-Signature: sig.{self._instance}\r\n'
            f'Server-Load: 1,0,{self._slots},100\r\n'
            f'Content-Length: {length}\r\n\r\n'
        ).encode()

    def send_heartbeats(self, notices):
        """Send check-ins to an address from now on."""
        self._notices = notices
        threading.Thread(target=self._beat, daemon=True).start()

    def _beat(self):
        while True:
            with contextlib.suppress(OSError):
                self._send_heartbeat()
            time.sleep(HEARTBEAT_S)

    def _send_heartbeat(self):
        fields = {
            'service': self.service,
            'address': self.address,
            'zone': 'ghent-a',
            'version': 'v1',
            'slots': self._slots,
            'state': 'ready',
            'coldRemainingS': 0,
            'sequence': next(self._sequence),
            'born': self._born,
        }
        octets = json.dumps(fields).encode()
        path = f'/-/rpc?call=instances.heartbeat&of={self._instance}'
        head = (
            f'POST {path} HTTP/1.1\r\nHost: node\r\nConnection: close\r\n'
            f'Content-Type: application/json\r\n'
            f'Content-Length: {len(octets)}\r\n\r\n'
        )
        host, port = self._notices.split(':')
        with socket.create_connection((host, int(port)), 1) as sock:
            sock.settimeout(1)
            sock.sendall(head.encode() + octets)
            while sock.recv(4096):
                pass

    def _accept(self):
        while True:
            sock, _address = self._sock.accept()
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(
                target=self._serve, args=(sock,), daemon=True
            ).start()

    def _serve(self, sock):
        stream = sock.makefile('rb')
        with contextlib.suppress(OSError), sock:
            while True:
                request = read_request(stream)
                if request is None or not self._answer(sock, request):
                    break
        stream.close()

    def _answer(self, sock, request):
        if request.path == '/health':
            sock.sendall(
                (
                    f'HTTP/1.1 200 OK\r\nInstance-Id: {self._instance}\r\n'
                    f'Server-Load: 0,0,{self._slots},100\r\n'
                    'Content-Length: 0\r\n\r\n'
                ).encode()
            )
            return True
        if request.headers.get('expected-instance') != self._instance:
            sock.sendall(
                b'HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n'
            )
            return True
        self.ran.append(request.id)
        self._record.add(
            f'{self.name} runs {request.id}: {request.method} {request.path}'
            f' with a body of {len(request.body)} bytes'
        )
        return self.behave(self, sock, request)


class Machine:
    """A node's process and the target beside it."""

    def __init__(self, name, store, target, record, folder, memory_mb=300):
        ports = free_ports(5)
        self.name = name
        self.target = target
        self.callers = (HOST, ports[0])
        self.process = None
        self._record = record
        self._path = os.path.join(folder, f'{name}.json')
        self._log = os.path.join(folder, f'{name}.log')
        self._settings = {
            'name': name,
            'zone': 'ghent-a',
            'region': 'be-flanders',
            'host': HOST,
            'callers': f'{HOST}:{ports[0]}',
            'notices': f'{HOST}:{ports[1]}',
            'ready': f'{HOST}:{ports[2]}',
            'target': target.address,
            'service': target.service,
            'store': store.address,
            'peers_port': ports[3],
            'operators_port': ports[4],
            'zones': {'ghent-a': 'be-flanders'},
            'heartbeat_s': HEARTBEAT_S,
            'stop_s': 6,
            'retry_share': 0.2,
            'retry_slack': 56,
            'exposed_share': 0.1,
            'memory_mb': str(memory_mb),
        }
        self._ready = (HOST, ports[2])
        self.write_settings()
        target.send_heartbeats(self._settings['notices'])

    def write_settings(self, **changes):
        """Write the settings file as a whole, as the platform does."""
        self._settings.update(changes)
        new = f'{self._path}.new'
        with open(new, 'w') as file:
            json.dump(self._settings, file)
        os.replace(new, self._path)

    def start(self):
        """Start the process with the command of the deploy file."""
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['DAISYLINE_SETTINGS'] = self._path
        environment['PYTHONPATH'] = DEPS
        log = open(self._log, 'ab')
        self.process = subprocess.Popen(
            COMMAND,
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()
        self._record.add(f'{self.name} starts')

    def is_ready(self):
        """Return whether the readiness check is answered with 200."""
        try:
            with socket.create_connection(self._ready, 1) as sock:
                sock.settimeout(1)
                sock.sendall(b'GET /-/readiness HTTP/1.1\r\nHost: n\r\n\r\n')
                return sock.recv(64).startswith(b'HTTP/1.1 200')
        except OSError:
            return False

    def signal(self, number):
        """Send a signal to the process."""
        self._record.add(f'{self.name} gets {signal.Signals(number).name}')
        self.process.send_signal(number)

    def memory_peak_mb(self):
        """Return the largest resident size so far, in 1,000,000 bytes."""
        with open(f'/proc/{self.process.pid}/status') as file:
            for line in file:
                if line.startswith('VmHWM:'):
                    return int(line.split()[1]) * 1024 / 1e6
        return 0

    def last_line(self):
        """Return the last line that the process has written."""
        with open(self._log, errors='replace') as file:
            lines = file.read().splitlines()
        return lines[-1][:300] if lines else ''

    def end(self):
        """End the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Platform:
    """The platform's watch: a process that exceeds its memory is killed.

    It is started again, as is one that ended by itself.

    Attributes:
        ends: How often the process has ended.
        peak_mb: The most memory that any of the processes had.
    """

    def __init__(self, machine, memory_mb, record):
        self.ends = 0
        self.peak_mb = 0
        self._machine = machine
        self._memory_mb = memory_mb
        self._record = record
        self._ending = threading.Event()
        self._thread = threading.Thread(target=self._watch, daemon=True)
        self._thread.start()

    def end(self):
        """End the watch; no process is started after it."""
        self._ending.set()
        self._thread.join()

    def _watch(self):
        while not self._ending.wait(0.005):
            with contextlib.suppress(OSError):
                self._check(self._machine.memory_peak_mb())

    def _check(self, used_mb):
        self.peak_mb = max(self.peak_mb, used_mb)
        code = self._machine.process.poll()
        # The pages don't say which megabytes; this is the larger reading.
        if used_mb <= self._memory_mb * 1.048576 and code is None:
            return
        name = self._machine.name
        if code is None:
            self._record.add(
                f'{name} has taken {used_mb:.0f} MB of {self._memory_mb} MB'
                ' and is killed'
            )
        else:
            self._record.add(f'{name} has ended with {code}')
        self._machine.end()
        self.ends += 1
        self._machine.start()


def route(name, prefix, kind, service, timeout_s=1.5, attempts=2):
    """Return a route of the manifest."""
    return {
        'name': name,
        'host': 'shop.example',
        'pathPrefix': prefix,
        'kind': kind,
        'timeoutS': timeout_s,
        'targetLatencyS': 0.4,
        'priority': 1,
        'service': service,
        'maxAttempts': attempts,
    }


def manifest(routes):
    """Return the manifest of a small deployment."""
    names = sorted({one['service'] for one in routes})
    return {
        'version': 'r7',
        'routes': routes,
        'services': [
            {
                'name': name,
                'healthCheckPath': '/health',
                'maxConnections': 220,
                'protocol': 'h1',
                'tls': False,
                'coldStartS': 3.0,
                'coldPerS': 19.0,
            }
            for name in names
        ],
        'limits': LIMITS,
    }


def new_id():
    """Return the id of a client attempt."""
    return f'{next(_ids):04x}{random.getrandbits(48):012x}'


def request_bytes(request_id, method, path, headers=(), body=b'', limit_ms=2500):
    """Return the bytes of a client's request."""
    lines = [
        f'{method} {path} HTTP/1.1',
        'Host: shop.example',
        f'Attempt-Id: {request_id}',
        f'Deadline-Ms: {limit_ms}',
        *headers,
    ]
    if body:
        lines.append(f'Content-Length: {len(body)}')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode() + body


class Answer:
    """An answer as a client has read it.

    Attributes:
        status: The status; 0 if the connection ended before the head.
        headers: The headers.
        body: The body, as far as it came.
        is_whole: Whether the whole body came.
    """

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b''
        self.is_whole = False


def read_answer(stream, on_body=None):
    """Read one answer, as any client of HTTP/1.1 does.

    Interim answers (1xx) before the head are passed over.
    """
    answer = Answer()
    with contextlib.suppress(OSError, ValueError, IndexError):
        while answer.status // 100 in {0, 1}:
            line = stream.readline()
            if not line:
                return answer
            answer.status = int(line.split()[1])
            answer.headers = {}
            while True:
                line = stream.readline()
                if line in {b'\r\n', b''}:
                    break
                name, _, text = line.decode('latin-1').partition(':')
                answer.headers[name.lower()] = text.strip()
        _read_body(stream, answer, on_body)
    return answer


def _read_body(stream, answer, on_body):
    if answer.status in {204, 304}:
        answer.is_whole = True
        return
    length = answer.headers.get('content-length')
    if length is not None:
        _read_octets(stream, int(length), answer, on_body)
        answer.is_whole = len(answer.body) == int(length)
        return
    if answer.headers.get('transfer-encoding') == 'chunked':
        while True:
            size = int(stream.readline().split(b';')[0], 16)
            if size:
                _read_octets(stream, size, answer, on_body)
            stream.readline()
            if not size:
                answer.is_whole = True
                return
    answer.body = stream.read()
    answer.is_whole = True


def _read_octets(stream, count, answer, on_body):
    while count:
        octets = stream.read1(min(count, 65536))
        if not octets:
            return
        answer.body += octets
        count -= len(octets)
        if on_body is not None:
            on_body(answer)


class Rig:
    """All parts of one run; everything that it started ends with it."""

    def __init__(self, folder, routes):
        self.record = Record(folder)
        self.folder = tempfile.TemporaryDirectory()
        self.store = Store(manifest(routes))
        self.machines = []
        self.platforms = []

    def add(self, name, service, behave, slots=9, memory_mb=300):
        """Add a machine with its target."""
        target = Target(f'target of {name}', service, slots, self.record, behave)
        machine = Machine(
            name, self.store, target, self.record, self.folder.name, memory_mb
        )
        self.machines.append(machine)
        return machine

    def start(self, warm_path, limit_s=20):
        """Start all nodes and wait until each serves a request to each path."""
        for machine in self.machines:
            machine.start()
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            if all(self._serves(one, warm_path) for one in self.machines):
                return
            time.sleep(0.2)
        raise RuntimeError('the nodes do not serve')

    def _serves(self, machine, paths):
        return machine.is_ready() and all(
            self.ask(machine, path).status == 200 for path in paths
        )

    def ask(self, machine, path):
        """Send one ordinary request on a connection of its own."""
        try:
            with socket.create_connection(machine.callers, 2) as sock:
                sock.settimeout(4)
                sock.sendall(request_bytes(new_id(), 'GET', path))
                return read_answer(sock.makefile('rb'))
        except OSError:
            return Answer()

    def watch_memory(self, memory_mb):
        """Watch the memory of all machines; return what watches each."""
        self.platforms = [
            Platform(machine, memory_mb, self.record)
            for machine in self.machines
        ]
        return self.platforms

    def wait_until_served(self, machine, path, limit_s=20):
        """Wait until a node serves a request; return whether it does."""
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            if self._serves(machine, (path,)):
                return True
            time.sleep(0.1)
        return False

    def end(self):
        """End all processes and remove the temporary folder."""
        for platform in self.platforms:
            platform.end()
        for machine in self.machines:
            machine.end()
        self.folder.cleanup()


def _stop(number, _frame):
    raise RuntimeError(f'stopped by {signal.Signals(number).name}')


def run(folder, routes, play):
    """Play a case and exit: 1 if the rule was broken, 0 if it held, else 2."""
    rig = None
    code = NOT_RUN
    # A caller such as nohup ignores it, which the nodes would inherit.
    signal.signal(signal.SIGHUP, signal.SIG_DFL)
    for number in (signal.SIGALRM, signal.SIGTERM, signal.SIGINT):
        signal.signal(number, _stop)
    signal.alarm(LIMIT_S)
    try:
        rig = Rig(folder, routes)
        code = BROKEN if play(rig) else HELD
    except Exception as error:
        print(f'the case could not run: {error!r}')
        if rig is not None:
            rig.record.add(f'the case could not run: {error!r}')
    finally:
        for number in (signal.SIGALRM, signal.SIGTERM, signal.SIGINT):
            signal.signal(number, signal.SIG_IGN)
        if rig is not None:
            rig.end()
    print({HELD: 'held', BROKEN: 'BROKEN', NOT_RUN: 'not run'}[code])
    sys.stdout.flush()
    os._exit(code)
