"""Facts that a node holds, each until its lifetime is over everywhere."""

from collections.abc import Iterable, Mapping

import attrs

from daisyline.coordination.digest import Digest, bucket_of
from daisyline.coordination.gossip_records import (
    FactRecord,
)
from daisyline.state.facts import Fact

EXPIRED_KEPT_S = 60.0
_MS_PER_S = 1000


@attrs.define
class FactStore:
    """Facts merged by `Fact.supersedes`, with their times of expiry.

    A record carries the time that is left, so that a fact expires everywhere
    at nearly one time. A fact that has expired is remembered a little longer,
    so that a copy still on its way doesn't bring it back.
    """

    _digest: Digest
    _facts: dict[tuple[str, str], Fact] = attrs.field(factory=dict)
    _until: dict[tuple[str, str], float] = attrs.field(factory=dict)
    _expired: dict[tuple[str, str], tuple[Fact, float]] = attrs.field(
        factory=dict
    )

    @property
    def held(self) -> Mapping[tuple[str, str], Fact]:
        """Return the facts by kind and name."""
        return self._facts

    def next_at(self) -> float:
        """Return when the next fact expires."""
        return min(self._until.values(), default=float('inf'))

    def merge(self, record: FactRecord, now: float) -> bool:
        """Merge a fact; return whether it is news."""
        fact = record.fact
        held = self._facts.get(fact.key)
        if record.left_ms <= 0 or (held and not fact.supersedes(held)):
            return False
        expired = self._expired.get(fact.key)
        if expired and not fact.supersedes(expired[0]):
            return False
        if held:
            self._toggle(held)
        self._facts[fact.key] = fact
        self._until[fact.key] = now + record.left_ms / _MS_PER_S
        self._toggle(fact)
        return True

    def expire(self, now: float) -> None:
        """Drop the facts whose time is over."""
        for key, until in tuple(self._until.items()):
            if until <= now:
                fact = self._facts.pop(key)
                self._toggle(fact)
                self._until.pop(key)
                self._expired[key] = (fact, now + EXPIRED_KEPT_S)
        for old, (_fact, dropped_at) in tuple(self._expired.items()):
            if dropped_at <= now:
                self._expired.pop(old)

    def records(
        self, buckets: Iterable[int], now: float
    ) -> tuple[FactRecord, ...]:
        """Return the facts in some buckets."""
        wanted = set(buckets)
        return tuple(
            self.record_of(fact, now)
            for fact in self._facts.values()
            if bucket_of(_entry_key(fact)) in wanted
        )

    def record_of(self, fact: Fact, now: float) -> FactRecord:
        """Return a held fact with the time it has left."""
        left_s = self._until[fact.key] - now
        return FactRecord(fact, int(left_s * _MS_PER_S))

    def _toggle(self, fact: Fact) -> None:
        self._digest.toggle(_entry_key(fact), f'{fact.rank}/{fact.payload}')


def _entry_key(fact: Fact) -> str:
    return f'{fact.kind}\n{fact.name}'
