"""Selects the members that read the platform on behalf of the fleet."""

import functools
import heapq
from collections.abc import Iterable

from daisyline.coordination.membership.overlay import stable_hash
from daisyline.state.members import Member

# With one reader in each zone, the loss of a zone never removes all readers.
READERS_PER_ZONE = 1
MIN_READERS_PER_REGION = 2
_MAX_CACHED_RANKS = 4096


def select_readers(members: Iterable[Member], region: str) -> list[str]:
    """Return the names of the members that read the platform for a region.

    Members that can't read the platform are skipped, unless no member can. The
    order is the same on every node that knows the same members.
    """
    ranked = sorted(
        (member for member in members if member.region == region),
        key=lambda member: _rank(member.name),
    )
    served = [member for member in ranked if not member.platform_unreadable]
    ranked = served or ranked
    zones: dict[str, int] = {}
    chosen = []
    for member in ranked:
        taken = zones.get(member.zone, 0)
        if taken < READERS_PER_ZONE:
            zones[member.zone] = taken + 1
            chosen.append(member.name)
    missing = max(0, MIN_READERS_PER_REGION - len(chosen))
    spare = (one.name for one in ranked if one.name not in chosen)
    return chosen + heapq.nsmallest(missing, spare, key=_rank)


@functools.lru_cache(maxsize=_MAX_CACHED_RANKS)
def _rank(name: str) -> int:
    return stable_hash(f'reader/{name}')
