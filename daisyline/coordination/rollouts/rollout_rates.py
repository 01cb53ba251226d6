"""The rates by which a rollout is judged, and the sequential tests of each."""

import enum
import types
from collections.abc import Sequence

import attrs

from daisyline.coordination.rollouts.sequential_test import (
    Alternatives,
    Comparison,
    Counts,
)

Group = int
GROUP_COUNT = 4
# Tests run on all groups together, and without each single group.
LEAVE_OUT_CHOICES: tuple[Group | None, ...] = (None, *range(GROUP_COUNT))


class Rate(enum.Enum):
    """A rate that is compared; its value is the name shown to operators."""

    FAILED = 'failed'
    FAILED_COLD = 'failed while cold'
    SLOW_MEDIAN = "over the old version's median"
    SLOW_TAIL = "over the old version's 90th percentile"


# Rises of a rate, 0 to 1, that aren't held against the new version.
_ALLOWED_FAILURE_RISE = 0.002
_ALLOWED_SLOW_RISE = 0.02
# A cold target may refuse or fail half of its calls.
_ALLOWED_COLD_FAILURE_RISE = 0.5

# The weights sum to 1, so that the weighted sum of e-values is an e-value too
# and keeps the bound on false alarms.
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
    """Recent counts of one rate, for the reason shown to operators."""

    rate: Rate
    old: Counts = Counts()
    new: Counts = Counts()

    def __str__(self) -> str:
        """Return the rate's name and the counts as one clause."""
        rate = self.rate.value
        return f'{rate}: new {self.new}, old {self.old}'

    def add(self, old: Counts, new: Counts) -> None:
        """Add the counts of a block; large earlier counts are halved first."""
        self.old = _halved_if_large(self.old).plus(old.calls, old.hits)
        self.new = _halved_if_large(self.new).plus(new.calls, new.hits)


# Counts of this many calls or more are halved when a block is added.
_HALVING_CALLS = 2000


def _halved_if_large(counts: Counts) -> Counts:
    if counts.calls < _HALVING_CALLS:
        return counts
    return Counts(counts.calls // 2, counts.hits // 2)


@attrs.frozen
class Block:
    """Counts for one rate of both versions in one interval of a route.

    Attributes:
        rate: The rate compared.
        old: Counts of the old version.
        new: Counts of the new version, by group.
        old_rate: The old version's rate, 0 to 1, estimated before the block.
    """

    rate: Rate
    old: Counts
    new: dict[Group, Counts]
    old_rate: float

    @property
    def new_total(self) -> Counts:
        """Return the sum of the counts of all groups."""
        return self._total_without(None)

    def log_gains(self, left_out: Group | None) -> tuple[float, ...] | None:
        """Return the log gain of each bet on the block without one group.

        Args:
            left_out: The group, or None to leave none out.

        Returns:
            The log gains, or None if no call of the new version remains.
        """
        remaining = self._total_without(left_out)
        if not remaining.calls:
            return None
        return _ALTERNATIVES[self.rate].log_gains(
            self.old, remaining, self.old_rate
        )

    def _total_without(self, left_out: Group | None) -> Counts:
        total = Counts()
        for group, part in self.new.items():
            if group != left_out:
                total = total.plus(part.calls, part.hits)
        return total


LogGains = dict[tuple[Rate, Group | None], tuple[float, ...]]


def log_gains_of(block: Block) -> LogGains:
    """Return the log gains of a block for each choice of a left-out group."""
    by_choice = {
        (block.rate, left_out): block.log_gains(left_out)
        for left_out in LEAVE_OUT_CHOICES
    }
    return {key: gains for key, gains in by_choice.items() if gains is not None}


def combine_log_gains(parts: Sequence[LogGains]) -> LogGains:
    """Return the log gains of blocks of different routes taken together.

    Calls of different routes are independent given what was known before the
    blocks, so the product of their gains has an expectation of at most 1 too.
    The product is a sum of logarithms.
    """
    total: LogGains = {}
    for part in parts:
        for key, gains in part.items():
            sums = total.get(key, (0,) * len(gains))
            total[key] = tuple(map(sum, zip(sums, gains, strict=True)))
    return total


@attrs.define
class RateTests:
    """Comparisons of every rate, one for each choice of a left-out group."""

    _weight: float
    _comparisons: dict[tuple[Rate, Group | None], Comparison]
    _recent_counts: dict[Rate, RecentCounts]

    @classmethod
    def from_config(cls, weight: float, restarts: int) -> 'RateTests':
        """Build comparisons without evidence.

        Args:
            weight: The fraction of the permitted false alarms that these
                comparisons may raise.
            restarts: See `Comparison.from_config`.
        """
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
        """Multiply the e-values by the gains of one block."""
        for key, log_gains in gains.items():
            self._comparisons[key].add_block(log_gains)

    def add_counts(self, block: Block) -> None:
        """Add a block to the recent counts shown to operators."""
        self._recent_counts[block.rate].add(block.old, block.new_total)

    def e_value(self, left_out: Group | None) -> float:
        """Return the weighted sum of e-values without one group."""
        return sum(self._weighted_e_value(rate, left_out) for rate in Rate)

    def strongest(self) -> tuple[float, str]:
        """Return the largest weighted e-value and the counts of its rate."""
        rate = max(Rate, key=lambda one: self._weighted_e_value(one, None))
        return (
            self._weighted_e_value(rate, None),
            str(self._recent_counts[rate]),
        )

    def _weighted_e_value(self, rate: Rate, left_out: Group | None) -> float:
        e_value = self._comparisons[rate, left_out].e_value
        return self._weight * _RATE_WEIGHTS[rate] * e_value
