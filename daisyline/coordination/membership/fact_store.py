"""Store of the facts that a node holds, with their expiry."""

from collections.abc import Iterable, Mapping

import attrs

from daisyline.coordination.membership.digest import Digest, bucket_of
from daisyline.coordination.membership.gossip_records import (
    FactRecord,
)
from daisyline.state.facts import Fact

EXPIRED_RETENTION_S = 60.0
_MS_PER_S = 1000


@attrs.define
class FactStore:
    """Facts, of which one supersedes another of the same key.

    A record carries the remaining lifetime, so that a fact expires on all
    nodes at nearly the same time. An expired fact is remembered for
    `EXPIRED_RETENTION_S`, so that a copy still in transit doesn't add it again.
    """

    _digest: Digest
    _facts: dict[tuple[str, str], Fact] = attrs.field(factory=dict)
    _expires_at: dict[tuple[str, str], float] = attrs.field(factory=dict)
    _expired: dict[tuple[str, str], tuple[Fact, float]] = attrs.field(
        factory=dict
    )
    _next_expiry_at: float = float('inf')
    _next_forgotten_at: float = float('inf')

    @property
    def facts(self) -> Mapping[tuple[str, str], Fact]:
        """Return the facts by kind and name."""
        return self._facts

    def next_at(self) -> float:
        """Return when the next fact may expire; infinity if there is none."""
        return self._next_expiry_at

    def merge(self, record: FactRecord, now: float) -> bool:
        """Merge a fact; return whether it is new or supersedes another."""
        fact = record.fact
        held = self._facts.get(fact.key)
        if record.remaining_ms <= 0 or (held and not fact.supersedes(held)):
            return False
        expired = self._expired.get(fact.key)
        if expired and not fact.supersedes(expired[0]):
            return False
        if held:
            self._toggle(held)
        self._facts[fact.key] = fact
        expires_at = now + record.remaining_ms / _MS_PER_S
        self._expires_at[fact.key] = expires_at
        self._next_expiry_at = min(self._next_expiry_at, expires_at)
        self._toggle(fact)
        return True

    def expire(self, now: float) -> None:
        """Remove facts whose lifetime is over, and forget old removals.

        It is called often, so the facts are looked through only if one is due.
        """
        if now >= self._next_expiry_at:
            self._remove_expired(now)
        if now >= self._next_forgotten_at:
            self._forget_expired(now)

    def records(
        self, buckets: Iterable[int], now: float
    ) -> tuple[FactRecord, ...]:
        """Return the records of the facts in the given buckets."""
        wanted = set(buckets)
        return tuple(
            self.record_of(fact, now)
            for fact in self._facts.values()
            if bucket_of(_entry_key(fact)) in wanted
        )

    def record_of(self, fact: Fact, now: float) -> FactRecord:
        """Return the record of a held fact with its remaining lifetime."""
        remaining_s = self._expires_at[fact.key] - now
        return FactRecord(fact, int(remaining_s * _MS_PER_S))

    def _remove_expired(self, now: float) -> None:
        for key, expires_at in tuple(self._expires_at.items()):
            if expires_at <= now:
                fact = self._facts.pop(key)
                self._toggle(fact)
                self._expires_at.pop(key)
                forget_at = now + EXPIRED_RETENTION_S
                self._expired[key] = (fact, forget_at)
                self._next_forgotten_at = min(
                    self._next_forgotten_at, forget_at
                )
        self._next_expiry_at = min(
            self._expires_at.values(), default=float('inf')
        )

    def _forget_expired(self, now: float) -> None:
        for key, (_fact, forget_at) in tuple(self._expired.items()):
            if forget_at <= now:
                self._expired.pop(key)
        self._next_forgotten_at = min(
            (removal[1] for removal in self._expired.values()),
            default=float('inf'),
        )

    def _toggle(self, fact: Fact) -> None:
        self._digest.toggle(_entry_key(fact), f'{fact.rank}/{fact.payload}')


def _entry_key(fact: Fact) -> str:
    return f'{fact.kind}\n{fact.name}'
