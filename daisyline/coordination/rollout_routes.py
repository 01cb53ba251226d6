"""What both versions did on one route, cut into blocks to compare."""

import types
from collections import Counter
from collections.abc import Iterator

import attrs

from daisyline.coordination.evidence_messages import EvidenceRow
from daisyline.coordination.rollout_rates import Block, Group, Rate
from daisyline.coordination.sequential_test import Counts

# Old calls that must be known before latency can be compared.
MIN_REFERENCE_CALLS = 50
# What is known of the old version loses this part with each block.
_FADING = 0.01
# A new version may be one bucket, 19%, slower.
_ALLOWED_BUCKETS = 1
# What is taken for the old version's failures before any was counted.
_PRIOR_CALLS = 100
_PRIOR_HITS = 0.1
# The part of the old version's calls that takes longer than the threshold.
_SLOW_FRACTIONS = types.MappingProxyType(
    {Rate.SLOW_MEDIAN: 0.5, Rate.SLOW_TAIL: 0.1}
)


@attrs.define
class Pending:
    """Rows that wait to be compared, of the old version or one group."""

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
        """Return how many of the timed calls took longer than a bucket."""
        return Counts(
            self.buckets.total(),
            sum(count for at, count in self.buckets.items() if at > bucket),
        )


@attrs.define
class Reference:
    """What earlier blocks say of the old version; it fades."""

    calls: float = _PRIOR_CALLS
    failed: float = _PRIOR_HITS
    buckets: dict[int, float] = attrs.field(factory=dict)

    @property
    def failure_rate(self) -> float:
        """Return the part of calls that failed."""
        return self.failed / self.calls

    def add(self, old: Pending) -> None:
        """Add a block of the old version."""
        kept = 1 - _FADING
        self.calls = self.calls * kept + old.calls
        self.failed = self.failed * kept + old.failed
        self.buckets = {
            bucket: self.buckets.get(bucket, 0) * kept + old.buckets[bucket]
            for bucket in self.buckets.keys() | old.buckets.keys()
        }

    def threshold(self, part: float) -> tuple[int, float] | None:
        """Return a bucket exceeded by at most a part, and the part that is.

        None means that too few calls are known.
        """
        total = sum(self.buckets.values())
        if total < MIN_REFERENCE_CALLS:
            return None
        above: float = 0
        for bucket in sorted(self.buckets, reverse=True):
            if above + self.buckets[bucket] > part * total:
                return (bucket, (above + 1) / (total + 2))
            above += self.buckets[bucket]
        raise AssertionError('the buckets hold all calls')


@attrs.define
class RouteCounts:
    """Counts of one route that wait to be compared."""

    _old: Pending = attrs.field(factory=Pending)
    _new: dict[Group, Pending] = attrs.field(factory=dict)
    _reference: Reference = attrs.field(factory=Reference)

    def add_old(self, row: EvidenceRow) -> None:
        """Take in what an old target did."""
        self._old.add(row)

    def add_new(self, group: Group, row: EvidenceRow) -> None:
        """Take in what a new target did."""
        self._new.setdefault(group, Pending()).add(row)

    def take_blocks(self) -> list[Block]:
        """Return what is pending, one block for each rate.

        Calls of the new version wait for calls of the old one, so that both
        are of the same time.
        """
        if not self._old.calls:
            return []
        blocks = [block for block in self._blocks() if block.old.calls]
        self._reference.add(self._old)
        self._old = Pending()
        self._new = {}
        return blocks

    def _blocks(self) -> Iterator[Block]:
        old = Counts(self._old.calls, self._old.failed)
        rate = self._reference.failure_rate
        warm = {
            group: Counts(part.calls, part.failed)
            for group, part in self._new.items()
        }
        yield Block(Rate.FAILED, old, warm, rate)
        cold = {
            group: Counts(part.cold_calls, part.cold_failed)
            for group, part in self._new.items()
        }
        yield Block(Rate.FAILED_COLD, old, cold, rate)
        yield from self._latency_blocks()

    def _latency_blocks(self) -> Iterator[Block]:
        for rate, part in _SLOW_FRACTIONS.items():
            threshold = self._reference.threshold(part)
            if threshold is None:
                continue
            bucket, old_rate = threshold
            slow = {
                group: pending.above(bucket + _ALLOWED_BUCKETS)
                for group, pending in self._new.items()
            }
            yield Block(rate, self._old.above(bucket), slow, old_rate)
