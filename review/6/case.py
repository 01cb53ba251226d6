"""A machine stands still for a second while it receives long bodies."""

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

BODY_BYTES = 3 * 2**19
STILL_S = 1.0
# From the time at which all clients of a group have sent their bodies to the
# nodes beside them, which send them on.
STILL_AFTER_S = 0.02
GROUP = 16
GROUPS = 2
ROUTES = [
    rig2.route('r-pages', '/pages/', 'safe', 'catalogue'),
    rig2.route('r-checks', '/checks/', 'safe', 'docs', timeout_s=4.0),
]


class Uploads:
    """The requests with long bodies that clients send."""

    def __init__(self, rig):
        self._rig = rig
        self._sent = threading.Condition()
        self._start = threading.Barrier(GROUP)
        self.bodies = {}
        self.sent = 0

    def upload(self, machine):
        """Send one request and read its answer."""
        request_id = rig2.new_id()
        body = os.urandom(BODY_BYTES)
        self.bodies[request_id] = body
        octets = rig2.request_bytes(
            request_id, 'POST', '/checks/list', body=body, limit_ms=8000
        )
        with socket.create_connection(machine.callers) as sock:
            sock.settimeout(8)
            self._start.wait()
            sock.sendall(octets)
            with self._sent:
                self.sent += 1
                self._sent.notify_all()
            self._rig.record.add(
                f'client has sent {request_id} to {machine.name}: POST'
                f' /checks/list with a body of {len(body)} bytes'
            )
            answer = rig2.read_answer(sock.makefile('rb'))
        self._rig.record.add(
            f'client has the answer to {request_id}: {answer.status}'
        )

    def wait(self, count):
        """Wait until so many requests are sent."""
        with self._sent:
            self._sent.wait_for(lambda: self.sent >= count, 5)


def play(rig):
    uploads = Uploads(rig)
    ran = []

    def run_check(target, sock, request):
        if request.method == 'POST':
            ran.append((request.id, request.body))
        return run_page(target, sock, request)

    for number in range(GROUP * GROUPS):
        rig.add(f'node-{number}', 'catalogue', run_page)
    docs = rig.add('node-docs', 'docs', run_check)
    wait_until_ready(rig, docs)
    for group in range(GROUPS):
        play_group(rig, uploads, group, docs)
    return any([not is_unchanged(rig, uploads, *one) for one in ran])


def run_page(target, sock, request):
    sock.sendall(target.head(request, 2) + b'ok')
    return True


def wait_until_ready(rig, docs):
    """Start the nodes; no request goes from one service to the other yet."""
    for machine in rig.machines:
        machine.start()
    until = time.monotonic() + 40
    asked = {
        machine: '/checks/warm' if machine is docs else '/pages/warm'
        for machine in rig.machines
    }
    while time.monotonic() < until:
        if all(rig.ask(*one).status == 200 for one in asked.items()):
            time.sleep(2)
            return
        time.sleep(0.2)
    raise RuntimeError('the nodes do not serve')


def play_group(rig, uploads, group, docs):
    machines = rig.machines[group * GROUP : (group + 1) * GROUP]
    threads = [
        threading.Thread(target=uploads.upload, args=(machine,))
        for machine in machines
    ]
    sent = uploads.sent
    for thread in threads:
        thread.start()
    uploads.wait(sent + GROUP)
    if rig2.has_trouble():
        time.sleep(STILL_AFTER_S)
        docs.signal(signal.SIGSTOP)
        time.sleep(STILL_S)
        docs.signal(signal.SIGCONT)
    for thread in threads:
        thread.join()
    time.sleep(2)


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
