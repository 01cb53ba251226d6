"""An upstream truncates the last of several pipelined answers."""

import os
import socket
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

import rig2  # noqa: E402

SHEET = bytes(range(97, 123)) * 9000
FAULTY_BYTES = 150_000
SOUND_REQUESTS = 14
CONNECTIONS = 4
# The first answer takes longest, so that the others wait for their turn.
FIRST_WORK_S = 0.5
WORK_S = 0.1
ROUTES = [
    rig2.route('r-sheets', '/sheets/', 'download', 'docs'),
    rig2.route('r-prices', '/prices/', 'download', 'catalogue', attempts=1),
]


def send_sheet(target, sock, request):
    """Send a whole answer."""
    time.sleep(FIRST_WORK_S if request.path.endswith('/0') else WORK_S)
    sock.sendall(target.head(request, len(SHEET)) + SHEET)
    return True


def send_prices(target, sock, request):
    """Send an answer; truncate it if the target is faulty."""
    if request.path.endswith('/warm'):
        sock.sendall(target.head(request, 2) + b'ok')
        return True
    time.sleep(WORK_S)
    sent = FAULTY_BYTES // 2 if rig2.has_trouble() else FAULTY_BYTES
    sock.sendall(target.head(request, FAULTY_BYTES) + b'p' * sent)
    return not rig2.has_trouble()


def play(rig):
    rig.add('node-a', 'docs', send_sheet)
    rig.add('node-b', 'docs', send_sheet)
    rig.add('node-c', 'catalogue', send_prices)
    rig.start(('/sheets/warm', '/prices/warm'))
    lost = sum(play_once(rig, number) for number in range(CONNECTIONS))
    rig.record.add(
        f'{lost} requests were run by sound upstreams, and their connections'
        ' ended without their answers'
    )
    return lost > 3


def play_once(rig, number):
    """Return how many requests to sound upstreams got no whole answer."""
    time.sleep(0.5)
    sound = [rig2.new_id() for _ in range(SOUND_REQUESTS)]
    faulty = rig2.new_id()
    sock = socket.create_connection(rig.machines[0].callers)
    sock.settimeout(4)
    # Answered once before, so that the connection is a kept one.
    sock.sendall(rig2.request_bytes(rig2.new_id(), 'GET', '/sheets/warm'))
    stream = sock.makefile('rb')
    kept = rig2.read_answer(stream)
    rig.record.add(f'connection {number}: the first answer is {kept.status}')
    pipelined = [
        rig2.request_bytes(one, 'GET', f'/sheets/{position}')
        for position, one in enumerate(sound)
    ]
    pipelined.append(rig2.request_bytes(faulty, 'GET', '/prices/list'))
    sock.sendall(b''.join(pipelined))
    rig.record.add(
        f'client sends {", ".join(sound)} to /sheets/ and {faulty} to /prices/'
    )
    lost = 0
    for one in (*sound, faulty):
        answer = rig2.read_answer(stream)
        rig.record.add(
            f'client has the answer to {one}: {answer.status},'
            f' {len(answer.body)} bytes, whole: {answer.is_whole}'
        )
        ran = any(one in machine.target.ran for machine in rig.machines)
        lost += one != faulty and ran and not answer.is_whole
    sock.close()
    return lost


if __name__ == '__main__':
    rig2.run(FOLDER, ROUTES, play)
