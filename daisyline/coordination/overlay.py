"""The overlay network: the few members that a node exchanges gossip with.

The live members are arranged on several rings, each ordered by its own hash of
the names. A node pings its successor on each ring and forwards updates to both
neighbours. The union of a few random rings is an expander graph, so an update
reaches all members in few steps over streams that stay open.
"""

import bisect
import hashlib
import itertools
from collections.abc import Container, Iterable, Iterator

import attrs

RING_COUNT = 4
_HASH_BYTES = 8

_RingEntry = tuple[int, str]
_Ring = list[_RingEntry]


def stable_hash(text: str) -> int:
    """Return a 64-bit hash that is the same in every process."""
    digest = hashlib.blake2b(text.encode(), digest_size=_HASH_BYTES)
    return int.from_bytes(digest.digest(), 'big')


def _ring_entry(name: str, ring: int) -> _RingEntry:
    return (stable_hash(f'{ring}/{name}'), name)


def _adjacent(ring: _Ring, entry: _RingEntry) -> tuple[str, str]:
    """Return the names on both sides of the place of an absent entry."""
    index = bisect.bisect_left(ring, entry)
    return ring[index - 1][1], ring[index % len(ring)][1]


def _empty_rings() -> list[_Ring]:
    return [[] for _ in range(RING_COUNT)]


@attrs.define
class Overlay:
    """The rings of the live members that one node knows."""

    _own_name: str
    _rings: list[_Ring] = attrs.field(factory=_empty_rings)
    _generation: int = 0

    @property
    def generation(self) -> int:
        """Return a counter of the members added and removed."""
        return self._generation

    def add(self, name: str) -> None:
        """Add a member, which must not be on the rings yet."""
        self._generation += 1
        for number, ring in enumerate(self._rings):
            bisect.insort(ring, _ring_entry(name, number))

    def remove(self, name: str) -> None:
        """Remove a member, which must be on the rings."""
        self._generation += 1
        for number, ring in enumerate(self._rings):
            index = bisect.bisect_left(ring, _ring_entry(name, number))
            assert ring[index][1] == name
            ring.pop(index)

    def successors(self, skipped: Container[str] = ()) -> list[str]:
        """Return the next member on each ring, without repeats.

        Args:
            skipped: Members to leave out, such as suspects.
        """
        return self._first_on_sides(
            itertools.product(range(RING_COUNT), (1,)), skipped
        )

    def neighbours(self, skipped: Container[str] = ()) -> list[str]:
        """Return both neighbours on each ring, without repeats.

        Args:
            skipped: Members to leave out, such as suspects.
        """
        sides = itertools.product(range(RING_COUNT), (1, -1))
        return self._first_on_sides(sides, skipped)

    def is_neighbour(self, name: str) -> bool:
        """Return whether a member that was removed was a neighbour.

        Args:
            name: A name that is not on the rings.
        """
        return any(
            self._own_name in _adjacent(ring, _ring_entry(name, number))
            for number, ring in enumerate(self._rings)
        )

    def _first_on_sides(
        self, sides: Iterable[tuple[int, int]], skipped: Container[str]
    ) -> list[str]:
        found = (
            next(
                (name for name in self._walk(*side) if name not in skipped), ''
            )
            for side in sides
        )
        return list(dict.fromkeys(name for name in found if name))

    def _walk(self, number: int, step: int) -> Iterator[str]:
        """Yield the other members along a ring in steps of 1 or -1."""
        ring = self._rings[number]
        start = bisect.bisect_left(ring, _ring_entry(self._own_name, number))
        for offset in range(len(ring) - 1):
            yield ring[(start + step * (offset + 1)) % len(ring)][1]
