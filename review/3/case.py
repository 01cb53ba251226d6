"""LOST: a node that is stopped exits before its last answers are sent."""

import asyncio
import contextlib
import pathlib
import signal
import socket
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import harness  # noqa: E402

ROUNDS = 5
DOWNLOADS = 8
# The largest answer of `sheet-download`.
SHEET_BYTES = 540_000
# Eight of these share a link of 10 Mbit/s, as machines of the grown sites have.
READ_BYTES_PER_S = 156_000
READ_EVERY_S = 0.02
# The segment size of Ethernet; loopback would use 64 KB.
SEGMENT_BYTES = 1_460
RECEIVE_BUFFER_BYTES = 8_192
LIMIT_MS = 10_000
# All start within a second of SIGTERM, before readiness was missed twice.
START_EVERY_S = 0.11


async def download(place, record, results):
    """Download one sheet over a slow link; record how it ended."""
    loop = asyncio.get_running_loop()
    attempt = harness.new_id()
    sock = socket.socket()
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    received = bytearray()
    how = 'closed'
    with contextlib.closing(sock):
        await loop.sock_connect(sock, (place.ip, place.deployment.outbound_port))
        await loop.sock_sendall(
            sock, harness.request_bytes('GET', '/sheet/1', attempt, LIMIT_MS)
        )
        sent_at = time.monotonic()
        record.line('send', node=place.name, id=attempt)
        while time.monotonic() < sent_at + LIMIT_MS / 1000:
            size = int(READ_BYTES_PER_S * READ_EVERY_S)
            try:
                octets = await asyncio.wait_for(loop.sock_recv(sock, size), 3.0)
            except (OSError, TimeoutError) as error:
                how = repr(error).replace(' ', '')
                break
            received += octets
            if not octets or is_whole(received):
                break
            await asyncio.sleep(READ_EVERY_S)
    head, _, body = bytes(received).partition(b'\r\n\r\n')
    status = head.split(b' ')[1].decode() if head else 'none'
    whole = is_whole(received)
    took_s = time.monotonic() - sent_at
    results.append((attempt, status, whole))
    record.line(
        'end', id=attempt, status=status, whole=whole, body_bytes=len(body),
        how='complete' if whole else how, took_s=f'{took_s:.2f}',
    )


def is_whole(received):
    """Return whether an answer with a length has all of its body."""
    head, mark, body = bytes(received).partition(b'\r\n\r\n')
    if not mark:
        return False
    for line in head.split(b'\r\n')[1:]:
        name, _, value = line.partition(b':')
        if name.lower() == b'content-length':
            return len(body) == int(value)
    return False


async def case(deployment, trouble):
    record = deployment.record
    entry, docs = deployment.places
    docs.upstream.plan = lambda run: (0.1, b's' * SHEET_BYTES)
    await deployment.start(
        [harness.route('sheet', 'download', 'docs', LIMIT_MS / 1000)]
    )
    results = []
    for _ in range(ROUNDS):
        if trouble:
            entry.signal(signal.SIGTERM)
        stopped_at = time.monotonic()
        clients = []
        for _ in range(DOWNLOADS):
            await asyncio.sleep(START_EVERY_S)
            clients.append(
                asyncio.ensure_future(download(entry, record, results))
            )
        if trouble:
            while entry.process.poll() is None:
                await asyncio.sleep(0.01)
            took_s = time.monotonic() - stopped_at
            record.line('exit', node=entry.name, after_s=f'{took_s:.2f}')
        await asyncio.gather(*clients)
        if trouble:
            entry.start_node()
            await entry.wait_ready()
            await asyncio.sleep(2 * harness.STABLE_WINDOW_S)
    ran = {run.id: run for run in docs.upstream.runs}
    lost = [
        attempt
        for attempt, status, whole in results
        if not whole and attempt in ran and ran[attempt].ended == 'answered'
    ]
    print(f'{len(results)} downloads, {len(lost)} cut short by the stop')
    record.line('sum', downloads=len(results), lost=len(lost))
    if not trouble and any(one[1:] != ('200', True) for one in results):
        raise harness.CannotRun('an answer is missing without the trouble')
    return bool(lost)


harness.main(str(HERE), ['web', 'docs'], case)
