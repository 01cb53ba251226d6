"""The rates that a rollout is judged by, and the evidence on each."""

import enum
import types
from collections.abc import Sequence

import attrs

from daisyline.coordination.sequential_test import (
    Alternatives,
    Comparison,
    Counts,
)

Group = int
GROUP_COUNT = 4
# Evidence is held with all groups, and without each one.
LEAVE_OUT_CHOICES: tuple[Group | None, ...] = (None, *range(GROUP_COUNT))


class Rate(enum.Enum):
    """A rate that is compared, with its name for people."""

    FAILED = 'failed'
    FAILED_COLD = 'failed while cold'
    SLOW_MEDIAN = "over the old version's median"
    SLOW_TAIL = "over the old version's 90th percentile"


# Rises of a rate that are no fault.
_ALLOWED_FAILURE_RISE = 0.002
_ALLOWED_SLOW_RISE = 0.02
# A cold target may shed or fail half of what it gets.
_ALLOWED_COLD_FAILURE_RISE = 0.5

# The weights sum to 1, so that the sum of all evidence keeps the bound.
_RATE_WEIGHTS = types.MappingProxyType(
    {
        Rate.FAILED: 0.4,
        Rate.FAILED_COLD: 0.2,
        Rate.SLOW_MEDIAN: 0.2,
        Rate.SLOW_TAIL: 0.2,
    }
)
_ALTERNATIVES = types.MappingProxyType(
    {
        Rate.FAILED: Alternatives(
            _ALLOWED_FAILURE_RISE, (0.01, 0.05, 0.2, 0.8)
        ),
        Rate.FAILED_COLD: Alternatives(_ALLOWED_COLD_FAILURE_RISE, (0.5, 0.9)),
        Rate.SLOW_MEDIAN: Alternatives(_ALLOWED_SLOW_RISE, (0.1, 0.3, 0.8)),
        Rate.SLOW_TAIL: Alternatives(_ALLOWED_SLOW_RISE, (0.05, 0.2, 0.8)),
    }
)
_SLOW_FRACTIONS = types.MappingProxyType(
    {Rate.SLOW_MEDIAN: 0.5, Rate.SLOW_TAIL: 0.1}
)


@attrs.define
class RecentCounts:
    """Rates of late, for people."""

    rate: Rate
    old: Counts = Counts()
    new: Counts = Counts()

    def __str__(self) -> str:
        """Return one clause with the numbers."""
        rate = self.rate.value
        return f'{rate}: new {self.new}, old {self.old}'

    def add(self, old: Counts, new: Counts) -> None:
        """Add a block; once large, older blocks count half."""
        self.old = _halved_if_large(self.old).plus(old.calls, old.hits)
        self.new = _halved_if_large(self.new).plus(new.calls, new.hits)


_HALVING_CALLS = 2000


def _halved_if_large(counts: Counts) -> Counts:
    if counts.calls < _HALVING_CALLS:
        return counts
    return Counts(counts.calls // 2, counts.hits // 2)


@attrs.frozen
class Block:
    """One rate of both versions in one block.

    Attributes:
        rate: The rate compared.
        old: Counts of the old version.
        new: Counts of the new version, by group.
        old_rate: The old version's rate as known before the block.
    """

    rate: Rate
    old: Counts
    new: dict[Group, Counts]
    old_rate: float

    @property
    def new_total(self) -> Counts:
        """Return the counts of all groups."""
        return self._total_without(None)

    def log_gains(self, left_out: Group | None) -> tuple[float, ...] | None:
        """Return each bet's gain without one group; None if none is left."""
        new = self._total_without(left_out)
        if not new.calls:
            return None
        return _ALTERNATIVES[self.rate].log_gains(self.old, new, self.old_rate)

    def _total_without(self, left_out: Group | None) -> Counts:
        total = Counts()
        for group, part in self.new.items():
            if group != left_out:
                total = total.plus(part.calls, part.hits)
        return total


LogGains = dict[tuple[Rate, Group | None], tuple[float, ...]]


def log_gains_of(block: Block) -> LogGains:
    """Return the gains of a block, for each group left out."""
    found = {
        (block.rate, left_out): block.log_gains(left_out)
        for left_out in LEAVE_OUT_CHOICES
    }
    return {key: gains for key, gains in found.items() if gains is not None}


def combine_log_gains(parts: Sequence[LogGains]) -> LogGains:
    """Return the gains of blocks of different routes taken together.

    Calls of different routes are independent given what was known before,
    so the product of their gains has an expectation of at most 1 too.
    """
    total: LogGains = {}
    for part in parts:
        for key, gains in part.items():
            held = total.get(key, (0,) * len(gains))
            total[key] = tuple(map(sum, zip(held, gains, strict=True)))
    return total


@attrs.define
class RateTests:
    """Comparisons of every rate, once for each group left out."""

    _weight: float
    _comparisons: dict[tuple[Rate, Group | None], Comparison]
    _recent_counts: dict[Rate, RecentCounts]

    @classmethod
    def from_config(cls, weight: float, restarts: int) -> 'RateTests':
        """Build comparisons that hold a part of the false alarms."""
        return cls(
            weight,
            {
                (rate, left_out): Comparison.from_config(restarts)
                for rate in Rate
                for left_out in LEAVE_OUT_CHOICES
            },
            {rate: RecentCounts(rate) for rate in Rate},
        )

    def add(self, gains: LogGains) -> None:
        """Multiply the evidence by the gains of one block."""
        for key, log_gains in gains.items():
            self._comparisons[key].add_block(log_gains)

    def add_counts(self, block: Block) -> None:
        """Keep the numbers of a block for people."""
        self._recent_counts[block.rate].add(block.old, block.new_total)

    def e_value(self, left_out: Group | None) -> float:
        """Return the weighted evidence without one group."""
        return sum(self._weighted_e_value(rate, left_out) for rate in Rate)

    def strongest(self) -> tuple[float, str]:
        """Return the weightiest evidence and its numbers."""
        rate = max(Rate, key=lambda one: self._weighted_e_value(one, None))
        return (
            self._weighted_e_value(rate, None),
            str(self._recent_counts[rate]),
        )

    def _weighted_e_value(self, rate: Rate, left_out: Group | None) -> float:
        e_value = self._comparisons[rate, left_out].e_value
        return self._weight * _RATE_WEIGHTS[rate] * e_value
