"""Measure the slopes extrapolated in docs/CAPACITY.md: `make capacity`."""

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
from bench.capacity_budget import Budget, BudgetInputs
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
    """Prints results as they are measured and stores series for the budget.

    Attributes:
        series: The measured series by name.
    """

    series: dict[str, Series] = attrs.field(factory=dict)

    def write_lines(self, lines: Iterable[str]) -> None:
        """Print lines and flush."""
        for line in lines:
            sys.stdout.write(f'{line}\n')
        sys.stdout.flush()

    def write_section(self, title: str, measured: list[Series]) -> None:
        """Print the table of a group of series and store them."""
        for one in measured:
            self.series.setdefault(one.name, one)
        self.write_lines((f'\n### {title}\n', *format_series_table(measured)))

    def write_parts(self, measured: list[capacity_parts.Part]) -> None:
        """Print the table of the parts of a call."""
        rows = [one.cells() for one in measured]
        self.write_lines(('\n### Parts of a call\n',))
        self.write_lines(markdown_table(capacity_parts.HEADER, rows))


def measure_in_process(report: Report) -> None:
    """Run the measurements that need no node processes."""
    report.write_section('Memory of a node', capacity_members.measure_memory())
    report.write_section('Decisions', capacity_members.measure_decisions())
    report.write_parts(capacity_parts.measure_parts())
    report.write_section(
        'Evidence and judging', capacity_evidence.measure_evidence()
    )
    report.write_section('Gossip and settings', capacity_gossip.measure())


def main() -> int:
    """Run all measurements and print them with the budget.

    Returns:
        The exit code: 0 if the nodes served and every call was answered.
    """
    began = time.monotonic()
    report = Report()
    report.write_lines((describe_machine(),))
    calls = capacity_calls.CallFigures()
    if not Rig.measure(calls.steps):
        sys.stderr.write('the node processes did not serve\n')
        return 1
    report.write_section('Real processes', calls.all_series())
    measure_in_process(report)
    rollout_calls = capacity_evidence.measure_rollout_calls()[0]
    measured = BudgetInputs(calls.idle_us_s, calls.base_mib, rollout_calls)
    budget = Budget(report.series, measured)
    took_s = format_short(time.monotonic() - began)
    report.write_lines(('\n### At the target\n', *budget.lines()))
    report.write_lines(
        (f'\n{describe_machine()}; {took_s} s, {calls.unanswered} calls lost',)
    )
    return 1 if calls.unanswered else 0


if __name__ == '__main__':
    sys.exit(main())
