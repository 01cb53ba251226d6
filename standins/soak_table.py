"""The table that a soak run prints."""

import collections
from collections.abc import Iterator

from standins.soak_checks import Violation
from standins.soak_injector import FaultLog
from standins.soak_records import Journal
from standins.tally import Ending

SHOWN = (
    Ending.ANSWERED,
    Ending.FAILED,
    Ending.NOT_RUN,
    Ending.UNKNOWN,
    Ending.CUT,
    Ending.WRONG,
)
MAX_SHOWN = 20


def lines_of(
    journal: Journal, log: FaultLog, violations: list[Violation]
) -> Iterator[str]:
    """Return the calls, the faults and the violations, line by line."""
    yield from _call_lines(journal)
    yield from _fault_lines(log)
    yield from _violation_lines(violations)


def _call_lines(journal: Journal) -> Iterator[str]:
    yield _row('calls', ['sent', *map(str, SHOWN)])
    endings = collections.Counter(
        (_kind_of(attempt.call_id), attempt.ending)
        for attempt in journal.attempts
    )
    for kind in sorted({kind for kind, _ in endings}):
        counts = [endings[kind, ending] for ending in SHOWN]
        yield _row(kind, map(str, [sum(counts), *counts]))
    yield _row('starts', [str(len(journal.starts))])
    limits = collections.Counter(one.limit for one in journal.broken)
    for limit, broken in sorted(limits.items()):
        yield _row(f'limit {limit}', [str(broken)])


def _fault_lines(log: FaultLog) -> Iterator[str]:
    yield _row('faults', ['done', 'passed'])
    for kind in sorted({*log.done, *log.passed}):
        yield _row(kind, [str(log.done[kind]), str(log.passed[kind])])


def _violation_lines(violations: list[Violation]) -> Iterator[str]:
    yield f'violations: {len(violations)}'
    counts = collections.Counter(one.check for one in violations)
    for check, count in sorted(counts.items()):
        yield _row(check, [str(count)])
        shown = [one.detail for one in violations if one.check == check]
        yield from (f'  {detail}' for detail in shown[:MAX_SHOWN])


def _row(first: str, cells: Iterator[str] | list[str]) -> str:
    aligned = ' '.join(f'{cell:>8}' for cell in cells)
    return f'{first:<15} {aligned}'


def _kind_of(call_id: str) -> str:
    return call_id.rpartition('-')[0]
