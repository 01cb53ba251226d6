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
GROUPS = 4
# Evidence is held with all groups, and without each one.
LEFT_OUT: tuple[Group | None, ...] = (None, *range(GROUPS))


class Rate(enum.Enum):
    """A rate that is compared, with its name for people."""

    FAILED = 'failed'
    FAILED_COLD = 'failed while cold'
    SLOW_MEDIAN = "over the old version's median"
    SLOW_TAIL = "over the old version's 90th percentile"


# Rises of a rate that are no fault.
_FAILURES_ALLOWED = 0.002
_SLOW_ALLOWED = 0.02
# A cold target may shed or fail half of what it gets.
_COLD_FAILURES_ALLOWED = 0.5

# The weights sum to 1, so that the sum of all evidence keeps the bound.
_WEIGHTS = types.MappingProxyType(
    {
        Rate.FAILED: 0.4,
        Rate.FAILED_COLD: 0.2,
        Rate.SLOW_MEDIAN: 0.2,
        Rate.SLOW_TAIL: 0.2,
    }
)
_ALTERNATIVES = types.MappingProxyType(
    {
        Rate.FAILED: Alternatives(_FAILURES_ALLOWED, (0.01, 0.05, 0.2, 0.8)),
        Rate.FAILED_COLD: Alternatives(_COLD_FAILURES_ALLOWED, (0.5, 0.9)),
        Rate.SLOW_MEDIAN: Alternatives(_SLOW_ALLOWED, (0.1, 0.3, 0.8)),
        Rate.SLOW_TAIL: Alternatives(_SLOW_ALLOWED, (0.05, 0.2, 0.8)),
    }
)
_EXCEEDED = types.MappingProxyType({Rate.SLOW_MEDIAN: 0.5, Rate.SLOW_TAIL: 0.1})


@attrs.define
class Recent:
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
        self.old = _halved(self.old).plus(old.calls, old.hits)
        self.new = _halved(self.new).plus(new.calls, new.hits)


_RECENT_CALLS = 2000


def _halved(counts: Counts) -> Counts:
    if counts.calls < _RECENT_CALLS:
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
        return self._without(None)

    def log_gains(self, left_out: Group | None) -> tuple[float, ...] | None:
        """Return each bet's gain without one group; None if none is left."""
        new = self._without(left_out)
        if not new.calls:
            return None
        return _ALTERNATIVES[self.rate].log_gains(self.old, new, self.old_rate)

    def _without(self, left_out: Group | None) -> Counts:
        total = Counts()
        for group, part in self.new.items():
            if group != left_out:
                total = total.plus(part.calls, part.hits)
        return total


Gains = dict[tuple[Rate, Group | None], tuple[float, ...]]


def gains_of(block: Block) -> Gains:
    """Return the gains of a block, for each group left out."""
    found = {
        (block.rate, left_out): block.log_gains(left_out)
        for left_out in LEFT_OUT
    }
    return {key: gains for key, gains in found.items() if gains is not None}


def product_of(parts: Sequence[Gains]) -> Gains:
    """Return the gains of blocks of different routes taken together.

    Calls of different routes are independent given what was known before,
    so the product of their gains has an expectation of at most 1 too.
    """
    total: Gains = {}
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
    _recent: dict[Rate, Recent]

    @classmethod
    def from_config(cls, weight: float, restarts: int) -> 'RateTests':
        """Build comparisons that hold a part of the false alarms."""
        return cls(
            weight,
            {
                (rate, left_out): Comparison.from_config(restarts)
                for rate in Rate
                for left_out in LEFT_OUT
            },
            {rate: Recent(rate) for rate in Rate},
        )

    def add(self, gains: Gains) -> None:
        """Multiply the evidence by the gains of one block."""
        for key, log_gains in gains.items():
            self._comparisons[key].add_block(log_gains)

    def note(self, block: Block) -> None:
        """Keep the numbers of a block for people."""
        self._recent[block.rate].add(block.old, block.new_total)

    def evidence(self, left_out: Group | None) -> float:
        """Return the weighted evidence without one group."""
        return sum(self._weighted(rate, left_out) for rate in Rate)

    def worst(self) -> tuple[float, str]:
        """Return the weightiest evidence and its numbers."""
        rate = max(Rate, key=lambda one: self._weighted(one, None))
        return (self._weighted(rate, None), str(self._recent[rate]))

    def _weighted(self, rate: Rate, left_out: Group | None) -> float:
        evidence = self._comparisons[rate, left_out].evidence
        return self._weight * _WEIGHTS[rate] * evidence
