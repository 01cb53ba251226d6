"""Decides when a node calls members that were removed.

A member that left or failed often starts again at its address, and it may
start when it can't find other nodes by itself. Its neighbours on the overlay
call it often for a short time. All nodes go on calling one removed member at
a time, which also joins the parts of a partitioned fleet.
"""

import random
from collections.abc import Iterable, Iterator

import attrs

from daisyline.coordination.jitter import jittered
from daisyline.coordination.membership.gossip_records import MemberState
from daisyline.coordination.membership.membership import Membership, Tombstone
from daisyline.state.members import Member

INTERVAL_S_PER_MEMBER = 0.5
INTERVAL_MIN_S = 1.0
# A node that left usually starts again at its address within this time.
LEFT_WINDOW_S = 60.0
RECENT_INTERVAL_S = 1.0
# A planned restart waits for the calls in progress before the process ends.
RECENT_WINDOW_S = 15.0
_NEVER = float('inf')


@attrs.define
class RejoinCalls:
    """The times at which a node calls members that were removed.

    The rate of calls of the whole fleet doesn't grow with its size: the
    interval between calls of any removed member is proportional to the number
    of members, and only the neighbours of a recently removed member call it
    more often.
    """

    _members: Membership
    _rng: random.Random
    _any_at: float
    _recent: dict[str, float] = attrs.field(factory=dict)

    def next_at(self) -> float:
        """Return when `due` must be called next, in monotonic seconds."""
        return min(self._any_at, min(self._recent.values(), default=_NEVER))

    def record_removal(self, name: str, now: float) -> None:
        """Call a member that was removed soon, if it was a neighbour."""
        if self._members.overlay.is_neighbour(name):
            self._recent[name] = now + jittered(self._rng, RECENT_INTERVAL_S)

    def due(self, now: float) -> list[Member]:
        """Return the removed members that are to be called now."""
        called = list(self._recent_due(now))
        if now >= self._any_at:
            interval_s = len(self._members.live) * INTERVAL_S_PER_MEMBER
            self._any_at = now + jittered(
                self._rng, max(INTERVAL_MIN_S, interval_s)
            )
            candidates = list(self._removed_members(now))
            if candidates:
                called.append(self._rng.choice(candidates))
        return called

    def _recent_due(self, now: float) -> Iterator[Member]:
        """Yield the former neighbours that are due, and plan their next call."""
        due = [name for name, at in self._recent.items() if at <= now]
        for name in due:
            tombstone = self._members.tombstones.get(name)
            if (
                tombstone is None
                or now > tombstone.removed_at + RECENT_WINDOW_S
            ):
                self._recent.pop(name)
                continue
            self._recent[name] = now + jittered(self._rng, RECENT_INTERVAL_S)
            yield tombstone.record.member

    def _removed_members(self, now: float) -> Iterable[Member]:
        return (
            tombstone.record.member
            for tombstone in self._members.tombstones.values()
            if _may_return(tombstone, now)
        )


def _may_return(tombstone: Tombstone, now: float) -> bool:
    """Return whether a removed member may be reachable again.

    A member that failed may be on the other side of a partition, for however
    long that lasts.
    """
    return (
        tombstone.record.state is MemberState.SUSPECT
        or now < tombstone.removed_at + LEFT_WINDOW_S
    )
