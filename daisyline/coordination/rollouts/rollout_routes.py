"""Counts of both versions on one route, divided into blocks to compare."""

import types
from collections import Counter
from collections.abc import Iterator

import attrs

from daisyline.coordination.rollouts.evidence_messages import EvidenceRow
from daisyline.coordination.rollouts.rollout_rates import Block, Group, Rate
from daisyline.coordination.rollouts.sequential_test import Counts

# Calls of the old version needed as a baseline before latency is compared.
MIN_BASELINE_CALLS = 50
# The fraction by which the weight of earlier blocks falls with each new one.
_DECAY_PER_BLOCK = 0.01
# A new version may be slower by one bucket, which is 19%.
_ALLOWED_BUCKETS = 1
# The failures assumed of the old version before any call was counted.
_PRIOR_CALLS = 100
_PRIOR_FAILED = 0.1
# The fraction of the old version's calls that may exceed each threshold.
_SLOW_FRACTIONS = types.MappingProxyType(
    {Rate.SLOW_MEDIAN: 0.5, Rate.SLOW_TAIL: 0.1}
)


@attrs.define
class PendingCounts:
    """Counts to be compared, of the old version or of one group."""

    calls: int = 0
    failed: int = 0
    cold_calls: int = 0
    cold_failed: int = 0
    buckets: Counter[int] = attrs.field(factory=Counter)

    def add(self, row: EvidenceRow) -> None:
        """Add a row; a crash counts as one call that failed."""
        self.calls += row.calls + row.crashes
        self.failed += row.failed + row.crashes
        self.cold_calls += row.cold_calls
        self.cold_failed += row.cold_failed
        for bucket, count in row.buckets:
            self.buckets[bucket] += count

    def above(self, bucket: int) -> Counts:
        """Return the timed calls, with those above a bucket as hits."""
        return Counts(
            self.buckets.total(),
            sum(count for at, count in self.buckets.items() if at > bucket),
        )


@attrs.define
class Baseline:
    """Counts of the old version in earlier blocks, with exponential decay."""

    calls: float = _PRIOR_CALLS
    failed: float = _PRIOR_FAILED
    buckets: dict[int, float] = attrs.field(factory=dict)

    @property
    def failure_rate(self) -> float:
        """Return the fraction of calls that failed."""
        return self.failed / self.calls

    def add(self, old: PendingCounts) -> None:
        """Add a block of the old version after decaying the earlier ones."""
        retained = 1 - _DECAY_PER_BLOCK
        self.calls = self.calls * retained + old.calls
        self.failed = self.failed * retained + old.failed
        self.buckets = {
            bucket: self.buckets.get(bucket, 0) * retained + old.buckets[bucket]
            for bucket in self.buckets.keys() | old.buckets.keys()
        }

    def threshold(self, fraction: float) -> tuple[int, float] | None:
        """Return a bucket that at most a fraction of the calls exceed.

        Returns:
            The bucket and the estimated fraction that exceeds it, or None if
            fewer than `MIN_BASELINE_CALLS` are known.

        Raises:
            AssertionError: If the fraction is not below 1.
        """
        total = sum(self.buckets.values())
        if total < MIN_BASELINE_CALLS:
            return None
        above: float = 0
        for bucket in sorted(self.buckets, reverse=True):
            if above + self.buckets[bucket] > fraction * total:
                return (bucket, (above + 1) / (total + 2))
            above += self.buckets[bucket]
        raise AssertionError('the fraction must be below 1')


@attrs.define
class RouteCounts:
    """Counts of both versions on one route."""

    _old: PendingCounts = attrs.field(factory=PendingCounts)
    _new: dict[Group, PendingCounts] = attrs.field(factory=dict)
    _baseline: Baseline = attrs.field(factory=Baseline)

    def add_old(self, row: EvidenceRow) -> None:
        """Add a row from a target of the old version."""
        self._old.add(row)

    def add_new(self, group: Group, row: EvidenceRow) -> None:
        """Add a row from a target of the new version, in its group."""
        self._new.setdefault(group, PendingCounts()).add(row)

    def take_blocks(self) -> list[Block]:
        """Remove the pending counts and return a block for each rate.

        Rates without calls of the old version are left out. If it has no calls
        at all, nothing is removed, so that the calls compared are of the same
        time.
        """
        if not self._old.calls:
            return []
        blocks = [block for block in self._blocks() if block.old.calls]
        self._baseline.add(self._old)
        self._old = PendingCounts()
        self._new = {}
        return blocks

    def _blocks(self) -> Iterator[Block]:
        old = Counts(self._old.calls, self._old.failed)
        rate = self._baseline.failure_rate
        warm = {
            group: Counts(pending.calls, pending.failed)
            for group, pending in self._new.items()
        }
        yield Block(Rate.FAILED, old, warm, rate)
        cold = {
            group: Counts(pending.cold_calls, pending.cold_failed)
            for group, pending in self._new.items()
        }
        yield Block(Rate.FAILED_COLD, old, cold, rate)
        yield from self._latency_blocks()

    def _latency_blocks(self) -> Iterator[Block]:
        for rate, fraction in _SLOW_FRACTIONS.items():
            threshold = self._baseline.threshold(fraction)
            if threshold is None:
                continue
            bucket, old_rate = threshold
            slow = {
                group: pending.above(bucket + _ALLOWED_BUCKETS)
                for group, pending in self._new.items()
            }
            yield Block(rate, self._old.above(bucket), slow, old_rate)
