"""Slopes of a node's memory and decisions against what it knows."""

import functools
import tracemalloc
from collections.abc import Callable, Iterator
from typing import Any

from bench.capacity_core import SERVICE, CoreRig, answer, timed_us
from bench.capacity_fit import Series, TargetSize
from daisyline.coordination.answer_records import (
    MAX_RECORDS,
    AnswerRecords,
    Record,
)
from daisyline.coordination.events import MAX_CALL_EVENTS, EventLog, Picked
from daisyline.state.histograms import MAX_SERIES, Latencies

MEMBER_COUNTS = (50, 200, 500, 1100)
SERVICE_COUNTS = (19, 100, 400, 1099)
RECORD_COUNTS = (100, 500, 1000, 2000)
HISTOGRAM_COUNTS = (5, 10, 20, 40)
EVENT_COUNTS = (1000, 2000, 5000, 10_000)
OF_SERVICE = 19
CALLS = 200
# Longer than the entry keeps the weights it has worked out, in seconds.
PAUSE_S = 0.2
KIB = 1024
RECORD_UNTIL_S = 30.0


def memory() -> list[Series]:
    """Return what a node's tables take, in KiB."""
    upstreams = TargetSize().upstreams
    return [
        _memory('members known, KiB', MEMBER_COUNTS, upstreams, _members),
        _memory('answer records, KiB', RECORD_COUNTS, MAX_RECORDS, _records),
        _memory('histograms, KiB', HISTOGRAM_COUNTS, MAX_SERIES, _histograms),
        _memory(
            'record of decisions, KiB', EVENT_COUNTS, MAX_CALL_EVENTS, _events
        ),
    ]


def decisions() -> list[Series]:
    """Return what a call's decisions take, in microseconds."""
    upstreams = TargetSize().upstreams
    fleets = [
        (count, CoreRig.from_members(count, OF_SERVICE))
        for count in MEMBER_COUNTS
    ]
    services = [
        (count, CoreRig.from_members(upstreams, count))
        for count in SERVICE_COUNTS
    ]
    return [
        *_timed(fleets, 'members, 19 of the service', upstreams),
        *_timed(services, 'members of the service', upstreams),
    ]


def _timed(
    rigs: list[tuple[int, CoreRig]], axis: str, target: float
) -> Iterator[Series]:
    for title, once in (
        ('entry, decisions of a call, us', CoreRig.as_entry),
        ('the same, first call in 0.1 s, us', _after_pause),
        ('next_at, us', _next_at),
        ('tick with nothing due, us', CoreRig.tick),
    ):
        points = tuple(
            (count, timed_us(functools.partial(once, rig), CALLS))
            for count, rig in rigs
        )
        yield Series(title, axis, points, target)


def _after_pause(rig: CoreRig) -> None:
    """Take a call for which the weights must be worked out anew."""
    rig.now += PAUSE_S
    rig.as_entry()


def _next_at(rig: CoreRig) -> None:
    rig.core.next_at()


def _memory(
    title: str,
    counts: tuple[int, ...],
    target: float,
    build: Callable[[int], Any],
) -> Series:
    points = tuple((count, _kib(build, count)) for count in counts)
    return Series(title, 'count', points, target)


def _kib(build: Callable[[int], Any], count: int) -> float:
    """Return the memory of what a function builds."""
    tracemalloc.start()
    held = build(count)
    kib = tracemalloc.get_traced_memory()[0] / KIB
    tracemalloc.stop()
    assert held is not None
    return kib


def _members(count: int) -> CoreRig:
    return CoreRig.from_members(count, OF_SERVICE)


def _records(count: int) -> AnswerRecords:
    records = AnswerRecords()
    for number in range(count):
        call = f'n0-18d2f3a4b5c6d-{number}'
        records.put(call, Record(answer(call), RECORD_UNTIL_S), 0)
    return records


def _histograms(count: int) -> Latencies:
    latencies = Latencies.from_config()
    for number in range(count):
        latencies.record(SERVICE, f'tenant-{number}', number)
    return latencies


def _events(count: int) -> EventLog:
    log = EventLog.from_config()
    for number in range(count):
        call = f'n0-18d2f3a4b5c6d-{number}'
        log.add(Picked(float(number), call, SERVICE, 'docs-1', 'zone-1'))
    return log
