"""Measure the slopes that docs/CAPACITY.md extrapolates: `make capacity`."""

import sys
import time
from collections.abc import Iterable

import attrs

from bench import (
    capacity_calls,
    capacity_evidence,
    capacity_gossip,
    capacity_members,
    capacity_parts,
)
from bench.capacity_budget import Budget, Measured
from bench.capacity_fit import (
    Series,
    format_series_table,
    format_short,
    markdown_table,
)
from bench.capacity_machine import describe_machine
from bench.capacity_rig import Rig


@attrs.define
class Report:
    """Prints as it goes, and keeps the series for the arithmetic."""

    series: dict[str, Series] = attrs.field(factory=dict)

    def lines(self, lines: Iterable[str]) -> None:
        """Print lines at once."""
        for line in lines:
            sys.stdout.write(f'{line}\n')
        sys.stdout.flush()

    def section(self, title: str, measured: list[Series]) -> None:
        """Print the table of some series."""
        for one in measured:
            self.series.setdefault(one.name, one)
        self.lines((f'\n### {title}\n', *format_series_table(measured)))

    def parts(self, measured: list[capacity_parts.Part]) -> None:
        """Print the parts of a call."""
        rows = [one.cells() for one in measured]
        self.lines(('\n### Parts of a call\n',))
        self.lines(markdown_table(capacity_parts.HEADER, rows))


def measure_in_process(report: Report) -> None:
    """Measure what needs no other process."""
    report.section('Memory of a node', capacity_members.memory())
    report.section('Decisions', capacity_members.decisions())
    report.parts(capacity_parts.measure_parts())
    report.section('Evidence and judging', capacity_evidence.slopes())
    report.section('Gossip and settings', capacity_gossip.measure())


def main() -> int:
    """Measure everything and print it.

    Returns:
        The exit code: 0 if every measurement could be taken.
    """
    began = time.monotonic()
    report = Report()
    report.lines((describe_machine(),))
    calls = capacity_calls.CallFigures()
    if not Rig.measure(calls.steps):
        sys.stderr.write('the node processes did not serve\n')
        return 1
    report.section('Real processes', calls.tables())
    measure_in_process(report)
    rollout_calls = capacity_evidence.rollout_calls()[0]
    measured = Measured(calls.idle_us_s, calls.base_mib, rollout_calls)
    budget = Budget(report.series, measured)
    took_s = format_short(time.monotonic() - began)
    report.lines(('\n### At the target\n', *budget.lines()))
    report.lines(
        (f'\n{describe_machine()}; {took_s} s, {calls.lost} calls lost',)
    )
    return 1 if calls.lost else 0


if __name__ == '__main__':
    sys.exit(main())
