"""A digest of what a node holds, updated incrementally."""

import functools
import itertools

import attrs

from daisyline.coordination.membership.overlay import stable_hash

BUCKET_COUNT = 64
_BUCKET_CACHE_SIZE = 4096


@functools.lru_cache(maxsize=_BUCKET_CACHE_SIZE)
def bucket_of(key: str) -> int:
    """Return the number of the bucket that contains a key."""
    return stable_hash(key) % BUCKET_COUNT


def _empty_hashes() -> list[int]:
    return list(itertools.repeat(0, BUCKET_COUNT))


@attrs.define
class Digest:
    """Hashes of buckets of entries; equal contents give equal hashes.

    A bucket's hash is the exclusive or of its entries' hashes, so that the
    same operation adds and removes an entry in constant time.
    """

    _hashes: list[int] = attrs.field(factory=_empty_hashes)
    _root: int = 0

    @property
    def root(self) -> int:
        """Return the hash over all entries."""
        return self._root

    @property
    def hashes(self) -> tuple[int, ...]:
        """Return the hashes of the buckets in order."""
        return tuple(self._hashes)

    def toggle(self, key: str, state: str) -> None:
        """Add an entry, or remove it if it is present."""
        entry_hash = stable_hash(f'{key}={state}')
        self._hashes[bucket_of(key)] ^= entry_hash
        self._root ^= entry_hash

    def differing_buckets(self, hashes: tuple[int, ...]) -> tuple[int, ...]:
        """Return the numbers of the buckets that differ."""
        pairs = zip(self._hashes, hashes, strict=True)
        return tuple(
            number
            for number, (mine, theirs) in enumerate(pairs)
            if mine != theirs
        )
