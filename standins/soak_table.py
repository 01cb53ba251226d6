"""The results of a soak run as a table of text."""

import collections
from collections.abc import Iterator

from standins.soak_checks import Violation
from standins.soak_injector import FaultLog
from standins.soak_records import Journal
from standins.tally import Ending

SHOWN_ENDINGS = (
    Ending.ANSWERED,
    Ending.FAILED,
    Ending.NOT_RUN,
    Ending.UNKNOWN,
    Ending.CUT,
    Ending.WRONG,
)
MAX_DETAILS_PER_CHECK = 20


def table_lines(
    journal: Journal, fault_log: FaultLog, violations: list[Violation]
) -> Iterator[str]:
    """Yield the lines for calls, faults and violations."""
    yield from _call_lines(journal)
    yield from _fault_lines(fault_log)
    yield from _violation_lines(violations)


def _call_lines(journal: Journal) -> Iterator[str]:
    yield _row('calls', ['sent', *map(str, SHOWN_ENDINGS)])
    endings = collections.Counter(
        (_kind_of(attempt.call_id), attempt.ending)
        for attempt in journal.attempts
    )
    for kind in sorted({kind for kind, _ in endings}):
        counts = [endings[kind, ending] for ending in SHOWN_ENDINGS]
        yield _row(kind, map(str, [sum(counts), *counts]))
    yield _row('starts', [str(len(journal.starts))])
    limits = collections.Counter(
        violation.limit for violation in journal.limit_violations
    )
    for limit, count in sorted(limits.items()):
        yield _row(f'limit {limit}', [str(count)])


def _fault_lines(fault_log: FaultLog) -> Iterator[str]:
    yield _row('faults', ['done', 'passed'])
    for kind in sorted({*fault_log.injected, *fault_log.skipped}):
        yield _row(
            kind, [str(fault_log.injected[kind]), str(fault_log.skipped[kind])]
        )


def _violation_lines(violations: list[Violation]) -> Iterator[str]:
    yield f'violations: {len(violations)}'
    counts = collections.Counter(violation.check for violation in violations)
    for check, count in sorted(counts.items()):
        yield _row(check, [str(count)])
        details = [
            violation.detail
            for violation in violations
            if violation.check == check
        ]
        yield from (f'  {detail}' for detail in details[:MAX_DETAILS_PER_CHECK])


def _row(label: str, cells: Iterator[str] | list[str]) -> str:
    aligned = ' '.join(f'{cell:>8}' for cell in cells)
    return f'{label:<15} {aligned}'


def _kind_of(call_id: str) -> str:
    return call_id.rpartition('-')[0]
