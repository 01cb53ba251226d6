"""DRAIN: a restarted node uses an upstream that has left, as a check-in is late."""

import asyncio
import contextlib
import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import harness  # noqa: E402

LIMIT_MS = 2_500
LATE_S = 2.5
# The upstream goes on for so long after its leave was acknowledged.
SERVES_ON_S = 9.0
REQUEST_EVERY_S = 0.05


async def ask(place, record, sent):
    """Send one safe request and record its answer."""
    attempt = harness.new_id()
    sent[attempt] = (time.monotonic(), place)
    said = 'closed'
    try:
        async with asyncio.timeout(LIMIT_MS / 1000):
            reader, writer = await asyncio.open_connection(
                place.ip, place.deployment.outbound_port
            )
            with contextlib.closing(writer):
                writer.write(
                    harness.request_bytes('GET', '/price/1', attempt, LIMIT_MS)
                )
                answer = await harness.read_message(reader, True)
                said = 'closed' if answer is None else answer.status
    except (harness.Truncated, OSError, TimeoutError) as error:
        said = type(error).__name__
    record.line('asked', node=place.name, id=attempt, status=said)


async def traffic(places, record, sent, until):
    """Send requests to the machines in turn."""
    tasks = []
    while time.monotonic() < until():
        for place in places:
            tasks.append(asyncio.ensure_future(ask(place, record, sent)))
            await asyncio.sleep(REQUEST_EVERY_S / len(places))
    await asyncio.gather(*tasks)


async def case(deployment, trouble):
    record = deployment.record
    first, *others = deployment.places
    for place in deployment.places:
        place.upstream.plan = lambda run: (0.04, b'a price')
    await deployment.start([harness.route('price', 'safe', 'docs', LIMIT_MS / 1000)])
    upstream = first.upstream
    sent = {}
    ends_at = time.monotonic() + 60
    playing = asyncio.ensure_future(
        traffic(deployment.places, record, sent, lambda: ends_at)
    )
    await asyncio.sleep(1.0)
    # A check-in sets out, and arrives late.
    upstream.stop_beating()
    notice = upstream.next_notice()
    late_at = time.monotonic() + LATE_S
    record.line('check-in sets out', of=upstream.instance, sequence=upstream.sequence)
    if not trouble:
        await upstream.send_notice(*notice)
    await asyncio.sleep(0.1)
    if not await upstream.leave():
        raise harness.CannotRun('the leave was not acknowledged')
    left_at = time.monotonic()
    ends_at = left_at + SERVES_ON_S
    started_at = 0.0
    if trouble:
        await asyncio.sleep(0.2)
        first.signal(signal.SIGKILL)
        first.process.wait()
        first.start_node()
        started_at = time.monotonic()
        await first.wait_ready()
        await asyncio.sleep(max(0, late_at - time.monotonic()))
        await upstream.send_notice(*notice)
    await playing
    late = []
    for run in upstream.runs:
        sent_at, place = sent[run.id]
        in_touch_at = 0.0
        if place is first and trouble:
            in_touch_at = started_at + harness.STABLE_WINDOW_S + 1.0
        if run.at > left_at + harness.DRAIN_S and sent_at > in_touch_at:
            late.append(run)
            record.line(
                'late', id=run.id, by=place.name,
                after_ack_s=f'{run.at - left_at:.2f}',
            )
    print(f'{len(sent)} asked, {len(late)} ran too late at the upstream that left')
    record.line('sum', asked=len(sent), late=len(late))
    return bool(late)


harness.main(str(HERE), ['docs', 'docs', 'docs'], case)
