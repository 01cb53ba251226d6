"""Slopes of a node's memory and decisions by the size of its tables."""

import functools
import tracemalloc
from collections.abc import Callable, Iterator
from typing import Any

from bench.capacity_core import SERVICE, CoreRig, make_answer, minimum_us
from bench.capacity_fit import Series, TargetSize
from daisyline.coordination.calls.answer_records import (
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
UPSTREAMS_PER_SERVICE = 19
CALL_COUNT = 200
# Longer than the time for which the entry node caches its computed weights.
PAUSE_S = 0.2
KIB = 1024
RECORD_UNTIL_S = 30.0


def measure_memory() -> list[Series]:
    """Return the memory of a node's tables by entries, in KiB."""
    upstreams = TargetSize().upstreams
    return [
        _measure_series(
            'members known, KiB', MEMBER_COUNTS, upstreams, _build_members
        ),
        _measure_series(
            'answer records, KiB', RECORD_COUNTS, MAX_RECORDS, _build_records
        ),
        _measure_series(
            'histograms, KiB', HISTOGRAM_COUNTS, MAX_SERIES, _build_histograms
        ),
        _measure_series(
            'record of decisions, KiB',
            EVENT_COUNTS,
            MAX_CALL_EVENTS,
            _build_events,
        ),
    ]


def measure_decisions() -> list[Series]:
    """Return the processor time of a call's decisions, in microseconds."""
    upstreams = TargetSize().upstreams
    fleets = [
        (count, CoreRig.from_members(count, UPSTREAMS_PER_SERVICE))
        for count in MEMBER_COUNTS
    ]
    services = [
        (count, CoreRig.from_members(upstreams, count))
        for count in SERVICE_COUNTS
    ]
    return [
        *_measure_call_times(fleets, 'members, 19 of the service', upstreams),
        *_measure_call_times(services, 'members of the service', upstreams),
    ]


def _measure_call_times(
    rigs: list[tuple[int, CoreRig]], axis: str, target: float
) -> Iterator[Series]:
    for title, operation in (
        ('entry, decisions of a call, us', CoreRig.run_as_entry),
        ('the same, first call in 0.1 s, us', _run_after_pause),
        ('next_at, us', _next_at),
        ('tick with nothing due, us', CoreRig.tick),
    ):
        points = tuple(
            (count, minimum_us(functools.partial(operation, rig), CALL_COUNT))
            for count, rig in rigs
        )
        yield Series(title, axis, points, target)


def _run_after_pause(rig: CoreRig) -> None:
    """Process a call after the cached weights have expired."""
    rig.now += PAUSE_S
    rig.run_as_entry()


def _next_at(rig: CoreRig) -> None:
    rig.core.next_at()


def _measure_series(
    title: str,
    counts: tuple[int, ...],
    target: float,
    build: Callable[[int], Any],
) -> Series:
    points = tuple((count, _measure_kib(build, count)) for count in counts)
    return Series(title, 'count', points, target)


def _measure_kib(build: Callable[[int], Any], count: int) -> float:
    """Return the memory of the object that a function builds, in KiB."""
    tracemalloc.start()
    built = build(count)
    kib = tracemalloc.get_traced_memory()[0] / KIB
    tracemalloc.stop()
    assert built is not None
    return kib


def _build_members(count: int) -> CoreRig:
    return CoreRig.from_members(count, UPSTREAMS_PER_SERVICE)


def _build_records(count: int) -> AnswerRecords:
    records = AnswerRecords()
    for number in range(count):
        call = f'n0-18d2f3a4b5c6d-{number}'
        records.put(call, Record(make_answer(call), RECORD_UNTIL_S), 0)
    return records


def _build_histograms(count: int) -> Latencies:
    latencies = Latencies.from_config()
    for number in range(count):
        latencies.record(SERVICE, f'tenant-{number}', number)
    return latencies


def _build_events(count: int) -> EventLog:
    log = EventLog.from_config()
    for number in range(count):
        call = f'n0-18d2f3a4b5c6d-{number}'
        log.add(Picked(float(number), call, SERVICE, 'docs-1', 'zone-1'))
    return log
