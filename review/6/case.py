"""A machine turns slow while several others send it long bodies."""

import hashlib
import os
import signal
import socket
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

import rig2  # noqa: E402

BODY_BYTES = 3 * 2**20
CLIENTS = 24
MEMORY_MB = 200
# The share of a core that a machine of the site has, and how many times slower
# it gets. Its process runs for that share of each tenth of a second.
CORE_SHARE = 0.43
TIMES_SLOWER = 5.9
SLOW_S = 4.5
TURN_S = 0.1
# How often the machine turns slow at the most; without the trouble it is played
# to the end.
ROUNDS = 5
CALM_ROUNDS = 2
ROUTES = [
    rig2.route('r-pages', '/pages/', 'safe', 'catalogue'),
    rig2.route('r-checks', '/checks/', 'safe', 'docs', timeout_s=4.0),
]


class Uploads:
    """The requests with long bodies that clients send at the same time."""

    def __init__(self, rig):
        self._rig = rig
        self._start = threading.Barrier(CLIENTS)
        self.bodies = {}

    def upload(self, machine):
        """Send one request and read its answer."""
        request_id = rig2.new_id()
        body = os.urandom(BODY_BYTES)
        self.bodies[request_id] = body
        octets = rig2.request_bytes(
            request_id, 'POST', '/checks/list', body=body, limit_ms=8000
        )
        with socket.create_connection(machine.callers) as sock:
            sock.settimeout(9)
            self._start.wait()
            sock.sendall(octets)
            self._rig.record.add(
                f'client has sent {request_id} to {machine.name}: POST'
                f' /checks/list with a body of {len(body)} bytes'
            )
            answer = rig2.read_answer(sock.makefile('rb'))
        self._rig.record.add(
            f'client has the answer to {request_id}: {answer.status}'
        )


def run_page(target, sock, request):
    sock.sendall(target.head(request, 2) + b'ok')
    return True


def play(rig):
    ran = []

    def run_check(target, sock, request):
        if request.method == 'POST':
            ran.append((request.id, request.body))
        return run_page(target, sock, request)

    for number in range(CLIENTS):
        rig.add(f'node-{number}', 'catalogue', run_page, memory_mb=MEMORY_MB)
    docs = rig.add('node-docs', 'docs', run_check, memory_mb=MEMORY_MB)
    # Each node has sent requests to both services before.
    rig.start(('/pages/warm', '/checks/warm'), limit_s=40)
    time.sleep(1)
    uploads = Uploads(rig)
    for _ in range(ROUNDS if rig2.has_trouble() else CALM_ROUNDS):
        play_round(rig, uploads, docs)
        if any([not is_unchanged(rig, uploads, *one) for one in ran]):
            return True
        ran.clear()
    return False


def play_round(rig, uploads, docs):
    """Let the machine turn slow once, and send it a body from each other."""
    share = CORE_SHARE / (TIMES_SLOWER if rig2.has_trouble() else 1)
    rig.record.add(f'node-docs has a share of {share:.3f} of a core from now on')
    threads = [threading.Thread(target=slow_down, args=(docs, share))]
    threads += [
        threading.Thread(target=uploads.upload, args=(machine,))
        for machine in rig.machines
        if machine is not docs
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    rig.record.add('node-docs has a whole core again')
    time.sleep(4)


def slow_down(machine, share):
    """Let a process run for a share of the time only."""
    until = time.monotonic() + SLOW_S
    while time.monotonic() < until:
        machine.process.send_signal(signal.SIGSTOP)
        time.sleep(TURN_S * (1 - share))
        machine.process.send_signal(signal.SIGCONT)
        time.sleep(TURN_S * share)


def is_unchanged(rig, uploads, request_id, body):
    """Return whether a target has run a request with the body that was sent."""
    sent = uploads.bodies.get(request_id, b'')
    if sent == body:
        return True
    is_end = sent.endswith(body)
    digest = hashlib.sha256(body).hexdigest()[:16]
    rig.record.add(
        f'{request_id} has run with another body: {len(body)} of {len(sent)}'
        f' bytes, digest {digest}; the last bytes of what was sent: {is_end}'
    )
    return False


if __name__ == '__main__':
    rig2.run(FOLDER, ROUTES, play)
