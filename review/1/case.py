"""TWICE: an entry node that was frozen asks a restarted node for a call."""

import asyncio
import pathlib
import signal
import sys
import time
from collections import Counter

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import harness  # noqa: E402

ROUNDS = 8
CALLS_PER_ROUND = 6
# As `order-place` of the large deployment: route 5 s, client 10 s.
ROUTE_TIMEOUT_S = 5.0
CLIENT_LIMIT_MS = 10_000
WORK_S = 0.9
FREEZE_S = 2.0


async def place_order(place, record, answers):
    """Send one request that may run once, and record its answer."""
    attempt = harness.new_id()
    record.line('send', node=place.name, id=attempt)
    reader, writer = await asyncio.open_connection(
        place.ip, place.deployment.outbound_port
    )
    writer.write(
        harness.request_bytes(
            'POST', '/order/1', attempt, CLIENT_LIMIT_MS, b'one crate'
        )
    )
    try:
        async with asyncio.timeout(CLIENT_LIMIT_MS / 1000):
            answer = await harness.read_message(reader, True)
        said = 'closed' if answer is None else answer.status
    except (harness.Truncated, TimeoutError) as error:
        said = type(error).__name__
    writer.close()
    answers[attempt] = said
    record.line('answer', id=attempt, status=said)


async def case(deployment, trouble):
    record = deployment.record
    entry, *others = deployment.places
    for place in others:
        place.upstream.plan = lambda run: (WORK_S, b'placed ' + run.id.encode())
    await deployment.start(
        [harness.route('order', 'unsafe', 'catalogue', ROUTE_TIMEOUT_S)]
    )
    answers = {}
    for number in range(ROUNDS):
        killed = others[number % len(others)]
        before = len(killed.upstream.runs)
        clients = [
            asyncio.ensure_future(place_order(entry, record, answers))
            for _ in range(CALLS_PER_ROUND)
        ]
        until = time.monotonic() + 2
        while len(killed.upstream.runs) == before and time.monotonic() < until:
            await asyncio.sleep(0.005)
        await asyncio.sleep(0.1)
        if trouble:
            frozen_at = time.monotonic()
            entry.signal(signal.SIGSTOP)
            killed.signal(signal.SIGKILL)
            killed.process.wait()
            killed.start_node()
            await killed.wait_ready()
            await asyncio.sleep(max(0, frozen_at + FREEZE_S - time.monotonic()))
            entry.signal(signal.SIGCONT)
        await asyncio.gather(*clients)
        # Until all nodes are in touch again and know all upstreams.
        await asyncio.sleep(6 if trouble else 0.5)
    runs = Counter(run.id for place in others for run in place.upstream.runs)
    twice = {attempt: count for attempt, count in runs.items() if count > 1}
    for attempt, count in twice.items():
        record.line('twice', id=attempt, runs=count, answer=answers.get(attempt))
    record.line('sum', sent=len(answers), ran=len(runs), twice=len(twice))
    statuses = Counter(answers.values())
    print(f'{len(answers)} sent, {len(runs)} ran, {len(twice)} ran twice', statuses)
    if not trouble and statuses != {200: len(answers)}:
        raise harness.CannotRun(f'without the trouble: {statuses}')
    return bool(twice)


harness.main(str(HERE), ['docs', 'catalogue', 'catalogue'], case)
