"""Tracks for how long a node may rely on other nodes' reads of the platform."""

import math
import random

import attrs

# A reader confirms the settings once in each short watch. Together with a read
# by the node itself this has to stay below the 2 s after which a change must be
# in force.
LEASE_S = 1.4
# The number of nodes that may read by themselves doubles in each such interval
# after the lease, so that those that succeed spare most of the others the read.
_DOUBLING_S = 0.03


@attrs.define
class ConfirmationLease:
    """A node's lease on its settings, which reads of the platform renew.

    A reader numbers each of its reads with the next count that it knows, and
    passes the count on. The count identifies a confirmation, so that one that
    arrives twice doesn't renew the lease twice.
    """

    _rng: random.Random
    _confirmed_at: float
    _lapses_at: float
    _relies_until: float
    _count: int = 0
    _renewed_by: int = 0

    @classmethod
    def from_start(cls, rng: random.Random, now: float) -> 'ConfirmationLease':
        """Build the lease of a node that has just started."""
        until = now + LEASE_S
        return cls(rng, confirmed_at=now, lapses_at=until, relies_until=until)

    @property
    def count(self) -> int:
        """Return the newest known count of confirmations."""
        return self._count

    @property
    def read_at(self) -> float:
        """Return when the node has to read by itself; infinity if it has."""
        return self._lapses_at

    def age_s(self, now: float) -> float:
        """Return the time since the newest confirmation, in seconds."""
        return now - self._confirmed_at

    def relies_on_others(self, now: float) -> bool:
        """Return whether another node has confirmed within the lease."""
        return now < self._relies_until

    def record_read_start(self) -> None:
        """Record that the node reads by itself, once for each lapse."""
        self._lapses_at = math.inf

    def observe(self, count: int) -> None:
        """Record a count of unknown age, which doesn't renew the lease."""
        self._count = max(self._count, count)

    def confirm(self, member_count: int, now: float) -> None:
        """Renew the lease by a read of this node.

        Args:
            member_count: The number of live members.
            now: Monotonic seconds.
        """
        self._renew(self._count + 1, member_count, now)

    def renew(self, count: int, member_count: int, now: float) -> bool:
        """Renew the lease by a confirmation that was just passed on.

        Args:
            count: The count of the confirmation.
            member_count: The number of live members.
            now: Monotonic seconds.

        Returns:
            Whether the confirmation is new.
        """
        if count <= self._renewed_by:
            return False
        self._relies_until = now + LEASE_S
        self._renew(count, member_count, now)
        return True

    def _renew(self, count: int, member_count: int, now: float) -> None:
        self.observe(count)
        self._renewed_by = count
        self._confirmed_at = now
        rank = self._rng.random() * member_count
        self._lapses_at = now + LEASE_S + _DOUBLING_S * math.log2(1 + rank)
