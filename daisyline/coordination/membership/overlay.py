"""The overlay network: the few members that a node exchanges gossip with.

The live members are arranged on several rings, each ordered by its own hash of
the names. A node pings its successor on each ring. The union of a few random
rings is an expander graph, so each member is watched by a few others anywhere.

Updates go to both neighbours on one of these rings, and on rings that have only
the members of the node's availability zone. An update then reaches all members
in few steps over streams that stay open, and few copies of it cross zones.
"""

import bisect
import functools
import hashlib
from collections.abc import Container, Iterable, Iterator

import attrs

RING_COUNT = 4
ZONE_RING_COUNT = 3
# A node sends updates to at least so many others, if there are as many.
FANOUT = 6
_HASH_BYTES = 8
_BOTH = (1, -1)

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


def _empty_rings(count: int) -> list[_Ring]:
    return [[] for _ in range(count)]


def _insert(rings: list[_Ring], name: str) -> None:
    for number, ring in enumerate(rings):
        bisect.insort(ring, _ring_entry(name, number))


def _delete(rings: list[_Ring], name: str) -> None:
    for number, ring in enumerate(rings):
        index = bisect.bisect_left(ring, _ring_entry(name, number))
        assert ring[index][1] == name
        ring.pop(index)


def _walk(ring: _Ring, own: _RingEntry, step: int) -> Iterator[str]:
    """Yield the other members along a ring in steps of 1 or -1."""
    start = bisect.bisect_left(ring, own)
    for offset in range(len(ring) - 1):
        yield ring[(start + step * (offset + 1)) % len(ring)][1]


def _first_of(walk: Iterator[str], skipped: Container[str]) -> str:
    return next((name for name in walk if name not in skipped), '')


def _distinct(names: Iterable[str]) -> list[str]:
    return list(dict.fromkeys(name for name in names if name))


@attrs.define
class Overlay:
    """The rings of the live members that one node knows."""

    _own_name: str
    _own_zone: str = ''
    _rings: list[_Ring] = attrs.field(
        factory=functools.partial(_empty_rings, RING_COUNT)
    )
    _zone_rings: list[_Ring] = attrs.field(
        factory=functools.partial(_empty_rings, ZONE_RING_COUNT)
    )
    _generation: int = 0

    @property
    def generation(self) -> int:
        """Return a counter of the members added and removed."""
        return self._generation

    def add(self, name: str, zone: str = '') -> None:
        """Add a member, which must not be on the rings yet."""
        self._generation += 1
        _insert(self._rings, name)
        if zone == self._own_zone:
            _insert(self._zone_rings, name)

    def remove(self, name: str, zone: str = '') -> None:
        """Remove a member, which must be on the rings of its zone."""
        self._generation += 1
        _delete(self._rings, name)
        if zone == self._own_zone:
            _delete(self._zone_rings, name)

    def successors(self, skipped: Container[str] = ()) -> list[str]:
        """Return the next member on each ring, without repeats.

        Args:
            skipped: Members to leave out, such as suspects.
        """
        return _distinct(self._nearest(self._rings, (1,), skipped))

    def neighbours(self, skipped: Container[str] = ()) -> list[str]:
        """Return both neighbours on each ring, without repeats.

        Args:
            skipped: Members to leave out, such as suspects.
        """
        return _distinct(self._nearest(self._rings, _BOTH, skipped))

    def recipients(self, skipped: Container[str] = ()) -> list[str]:
        """Return the members that updates are sent to, without repeats.

        They are the neighbours in the zone and those on one ring of all
        members, or on more rings if the zone is small.

        Args:
            skipped: Members to leave out, such as suspects.
        """
        found = _distinct(self._nearest(self._zone_rings, _BOTH, skipped))
        for number, ring in enumerate(self._rings):
            if number and len(found) >= FANOUT:
                break
            own = _ring_entry(self._own_name, number)
            sides = (
                _first_of(_walk(ring, own, step), skipped) for step in _BOTH
            )
            found = _distinct((*found, *sides))
        return found

    def is_neighbour(self, name: str) -> bool:
        """Return whether a member that was removed was a neighbour.

        Args:
            name: A name that is not on the rings.
        """
        return any(
            self._own_name in _adjacent(ring, _ring_entry(name, number))
            for number, ring in enumerate(self._rings)
        )

    def _nearest(
        self,
        rings: list[_Ring],
        steps: tuple[int, ...],
        skipped: Container[str],
    ) -> Iterator[str]:
        """Yield the first members along rings; an empty name if there is none.

        Args:
            rings: The rings.
            steps: The directions, 1 or -1.
            skipped: Members to leave out.
        """
        for number, ring in enumerate(rings):
            own = _ring_entry(self._own_name, number)
            for step in steps:
                yield _first_of(_walk(ring, own, step), skipped)
