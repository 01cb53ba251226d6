"""The account of the bytes that a node holds on behalf of others.

Its limit is a share of the memory of the machine. At the limit it decides who
loses what it holds: first the largest holder without progress, then the
largest of a client that holds more than its share, then the slowest one.
"""

import enum
from collections import Counter
from collections.abc import Callable, Iterable

import attrs

from daisyline.coordination.memory.costly_bodies import CostlyBodies

_BYTES_PER_MB = 1_000_000
# The memory of a machine whose settings state none, in megabytes.
DEFAULT_MEMORY_MB = 512
# The rest is for the process itself (some 45 MB), for bytes that the kernel
# has received and that are not read yet, and for unused parts of the heap.
# A body of 64 MiB fits into the account of a machine of 200 MB.
LIMIT_SHARE = 0.42
# This part of the limit is available only to holders of few bytes, so that
# bodies never take the memory that ordinary requests need.
RESERVED_SHARE = 0.125
# A holder of up to so many bytes may use the reserved part.
ORDINARY_BYTES = 65_536
# The largest part of the limit that one client may hold while another one
# waits.
CLIENT_SHARE = 0.5
# A holder without progress for this time has stalled.
STALL_S = 1.0
# Below this rate a body makes no progress; the longest body within the limits,
# 64 MiB, would take more than an hour.
MIN_BYTES_PER_S = 16_384
# The rate counts only after this time, as it is not known sooner.
RATE_AFTER_S = 2.0
# A shortage has ended when less than this part of the limit is held.
_SHORTAGE_END_SHARE = 0.75


class Kind(enum.StrEnum):
    """What the held bytes are, as named in the metrics."""

    REQUESTS = 'requests'
    ANSWERS = 'answers'
    PEERS_IN = 'peers_in'
    PEERS_OUT = 'peers_out'


# Holders of these kinds make progress when they receive bytes, the others when
# they deliver them.
_RECEIVING = frozenset((Kind.REQUESTS, Kind.PEERS_IN))


class Cause(enum.StrEnum):
    """Why a holder lost what it held, as named in the metrics."""

    STALLED = 'stalled'
    CLIENT_SHARE = 'client_share'
    SLOWEST = 'slowest'
    FULL = 'full'


@attrs.define(eq=False)
class Holder:
    """One owner of held bytes, e.g. a connection with an unfinished body.

    Attributes:
        kind: What it holds.
        client: The address or name of the other end; empty if unknown.
        revoke: Called by the transport to carry out `Revoke`.
        held_bytes: How many bytes it holds.
        is_revocable: Whether it may lose them, as nothing was started yet
            that needs them.
        moved_bytes: How many bytes it received or delivered so far.
        started_at: When it began to hold bytes, in monotonic seconds.
        progress_at: When it last made progress, in monotonic seconds.
        is_revoked: Whether it lost what it held. It holds nothing more.
    """

    kind: Kind
    client: str = ''
    revoke: Callable[[Cause], None] = attrs.field(default=bool)
    held_bytes: int = 0
    is_revocable: bool = True
    moved_bytes: int = 0
    started_at: float = 0
    progress_at: float = 0
    is_revoked: bool = False

    def is_stalled(self, now: float) -> bool:
        """Return whether it makes no progress, or too little."""
        if now - self.progress_at >= STALL_S:
            return True
        took_s = now - self.started_at
        return took_s >= RATE_AFTER_S and self.rate(now) < MIN_BYTES_PER_S

    def rate(self, now: float) -> float:
        """Return its mean progress, in bytes per second."""
        return self.moved_bytes / max(now - self.started_at, STALL_S)


@attrs.frozen
class Revoke:
    """Make a holder release what it holds."""

    holder: Holder
    cause: Cause


@attrs.frozen
class ShortageChanged:
    """The account has reached its limit, or the shortage has ended.

    Attributes:
        is_short: Whether memory is short now.
        held_bytes: The bytes that are held.
        limit_bytes: The limit.
    """

    is_short: bool
    held_bytes: int
    limit_bytes: int


MemoryEffects = list[Revoke | ShortageChanged]


@attrs.define
class MemoryAccount:
    """The bytes that are held, by holder and kind, and their limit.

    Attributes:
        limit_bytes: The limit.
        held_bytes: The bytes that are held.
        by_kind: The bytes that are held, by kind.
        revocations: How many holders lost what they held, by cause.
        refusals: How many requests were refused before they were complete, by
            the value of their `Reason`.
        costly_bodies: The bodies whose chunks carry little payload.
        is_short: Whether the limit was reached and the shortage has not ended.
    """

    limit_bytes: int
    held_bytes: int = 0
    by_kind: Counter[Kind] = attrs.field(factory=Counter)
    revocations: Counter[Cause] = attrs.field(factory=Counter)
    refusals: Counter[str] = attrs.field(factory=Counter)
    costly_bodies: CostlyBodies = attrs.field(factory=CostlyBodies)
    is_short: bool = False
    _holders: set[Holder] = attrs.field(factory=set)

    @classmethod
    def from_config(cls, memory_mb: float | None) -> 'MemoryAccount':
        """Return an empty account for a machine.

        Args:
            memory_mb: The memory of the machine, in megabytes; None if it is
                not known.
        """
        return cls(limit_of(memory_mb))

    @property
    def body_limit_bytes(self) -> int:
        """Return how much may be held before the reserved part begins."""
        return int(self.limit_bytes * (1 - RESERVED_SHARE))

    def hold(self, holder: Holder, octets: int, now: float) -> MemoryEffects:
        """Record how many bytes a holder holds now.

        Args:
            holder: The holder.
            octets: All bytes that it holds.
            now: Monotonic seconds.

        Returns:
            The holders that lose what they hold, which may include this one,
            and whether the shortage began or ended. The account no longer
            counts the bytes of a holder that loses them.
        """
        added = octets - holder.held_bytes
        if not added or holder.is_revoked:
            return []
        self._count(holder, added, now)
        if not octets:
            self._holders.discard(holder)
        if added < 0:
            return self._end_shortage()
        if self.held_bytes <= self._allowed_bytes(holder):
            return []
        return self._relieve(holder, now)

    def release(self, holder: Holder, now: float) -> MemoryEffects:
        """Record that a holder holds nothing more."""
        return self.hold(holder, 0, now)

    def _count(self, holder: Holder, added: int, now: float) -> None:
        if not holder.held_bytes:
            self._holders.add(holder)
            holder.started_at = now
            holder.progress_at = now
            holder.moved_bytes = 0
        holder.held_bytes += added
        if (added > 0) == (holder.kind in _RECEIVING):
            holder.moved_bytes += abs(added)
            holder.progress_at = now
        self.held_bytes += added
        self.by_kind[holder.kind] += added

    def _allowed_bytes(self, holder: Holder) -> int:
        if holder.held_bytes <= ORDINARY_BYTES:
            return self.limit_bytes
        return self.body_limit_bytes

    def _relieve(self, holder: Holder, now: float) -> MemoryEffects:
        """Take bytes from holders until those of the holder fit."""
        effects: MemoryEffects = []
        if not self.is_short:
            self.is_short = True
            effects.append(
                ShortageChanged(True, self.held_bytes, self.limit_bytes)
            )
        while self.held_bytes > self._allowed_bytes(holder):
            loser, cause = self._choose(holder, now)
            effects.append(self._revoke(loser, cause))
            if loser is holder:
                break
        return effects

    def _choose(self, holder: Holder, now: float) -> tuple[Holder, Cause]:
        """Choose who loses what it holds, so that others get room."""
        losers = [other for other in self._holders if other.is_revocable]
        stalled = [other for other in losers if other.is_stalled(now)]
        if stalled:
            return _largest(stalled), Cause.STALLED
        clients = self._greedy_clients()
        greedy = [other for other in losers if other.client in clients]
        if greedy:
            return _largest(greedy), Cause.CLIENT_SHARE
        bodies = [
            other for other in losers if other.held_bytes > ORDINARY_BYTES
        ]
        if bodies:
            slowest = min(bodies, key=lambda other: other.rate(now))
            return slowest, Cause.SLOWEST
        return holder, Cause.FULL

    def _greedy_clients(self) -> set[str]:
        """Return the clients that hold too much while others wait."""
        by_client: Counter[str] = Counter()
        for holder in self._holders:
            by_client[holder.client] += holder.held_bytes
        share_bytes = self.limit_bytes * CLIENT_SHARE
        return {
            client
            for client, octets in by_client.items()
            if octets > share_bytes and len(by_client) > 1
        }

    def _revoke(self, holder: Holder, cause: Cause) -> Revoke:
        self.held_bytes -= holder.held_bytes
        self.by_kind[holder.kind] -= holder.held_bytes
        holder.held_bytes = 0
        holder.is_revoked = True
        self._holders.discard(holder)
        self.revocations[cause] += 1
        return Revoke(holder, cause)

    def _end_shortage(self) -> MemoryEffects:
        ends_at = self.limit_bytes * _SHORTAGE_END_SHARE
        if not self.is_short or self.held_bytes > ends_at:
            return []
        self.is_short = False
        return [ShortageChanged(False, self.held_bytes, self.limit_bytes)]


def limit_of(memory_mb: float | None) -> int:
    """Return the limit of the account of a machine, in bytes.

    Args:
        memory_mb: The memory of the machine, in megabytes; None if it is not
            known.
    """
    megabytes = DEFAULT_MEMORY_MB if memory_mb is None else memory_mb
    return int(megabytes * _BYTES_PER_MB * LIMIT_SHARE)


def _largest(holders: Iterable[Holder]) -> Holder:
    return max(holders, key=lambda holder: holder.held_bytes)
