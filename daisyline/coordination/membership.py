"""Which members are live, merged from what other nodes say of them."""

import enum
from collections.abc import Mapping
from typing import Any

import attrs

from daisyline.coordination.digest import Digest
from daisyline.coordination.gossip_records import (
    MemberRecord,
    Standing,
)
from daisyline.coordination.overlay import Overlay
from daisyline.state.members import Member

SUSPICION_S = 3.0
TOMBSTONE_S = 14_400.0
CERTAIN_S = 30.0


class Merge(enum.Enum):
    """What came of a record that was merged."""

    NEWS = 'news'
    REFUTED = 'refuted'
    DISPUTED = 'disputed'
    OLD = 'old'


@attrs.frozen
class Tombstone:
    """A member that was removed.

    Attributes:
        record: The last record; its standing is `SUSPECT` or `LEFT`.
        removed_at: When it was removed.
    """

    record: MemberRecord
    removed_at: float

    def yields(self, now: float) -> bool:
        """Return whether a view of more of the fleet goes before this.

        A young tombstone doesn't yield: a peer that holds the member as live
        may only not have heard of its failure yet.
        """
        failed = self.record.standing is Standing.SUSPECT
        return failed and now >= self.removed_at + CERTAIN_S


@attrs.define
class Membership:
    """The members as one node sees them, itself included.

    Suspicion spreads and death doesn't: each node removes a suspect by itself
    if no newer record refutes the suspicion in time. A tombstone keeps a
    removed member from coming back by an old record.
    """

    _me: Member
    _overlay: Overlay
    _digest: Digest
    _live: dict[str, Member] = attrs.field(factory=dict)
    _suspects: dict[str, float] = attrs.field(factory=dict)
    _tombstones: dict[str, Tombstone] = attrs.field(factory=dict)
    _changed: dict[str, None] = attrs.field(factory=dict)
    _removed: dict[str, None] = attrs.field(factory=dict)

    @classmethod
    def from_member(cls, me: Member, digest: Digest) -> 'Membership':
        """Make the view of a node that knows nobody else."""
        membership = cls(me=me, overlay=Overlay(me.name), digest=digest)
        membership.put_live(me)
        return membership

    @property
    def me(self) -> Member:
        """Return this node's own newest record."""
        return self._me

    @property
    def live(self) -> Mapping[str, Member]:
        """Return the live members by name; suspects count as live."""
        return self._live

    @property
    def suspects(self) -> Mapping[str, float]:
        """Return the suspects with the times at which they are removed."""
        return self._suspects

    @property
    def tombstones(self) -> Mapping[str, Tombstone]:
        """Return the members that were removed."""
        return self._tombstones

    @property
    def overlay(self) -> Overlay:
        """Return the rings of live members."""
        return self._overlay

    def next_at(self) -> float:
        """Return when a suspect may have to be removed."""
        return min(self._suspects.values(), default=float('inf'))

    def record_of(self, name: str) -> MemberRecord | None:
        """Return what is known of a member, live or not."""
        member = self._live.get(name)
        if member is None:
            tombstone = self._tombstones.get(name)
            return tombstone.record if tombstone else None
        suspect = name in self._suspects
        return MemberRecord(
            member, Standing.SUSPECT if suspect else Standing.ALIVE
        )

    def take_changes(self) -> tuple[tuple[str, ...], tuple[str, ...]]:
        """Return the names changed and removed since the last call."""
        taken = (tuple(self._changed), tuple(self._removed))
        self._changed.clear()
        self._removed.clear()
        return taken

    def renew(self, **changes: Any) -> MemberRecord:
        """Say something new of this node itself.

        Args:
            changes: Fields of `Member` with what they are from now on.
        """
        revision = self._me.revision + 1
        self._me = attrs.evolve(self._me, revision=revision, **changes)
        self.put_live(self._me)
        return MemberRecord(self._me)

    def merge(
        self, record: MemberRecord, now: float, *, trusted: bool = False
    ) -> Merge:
        """Merge what another node says of a member.

        Args:
            record: What it says.
            now: The time in seconds.
            trusted: Whether the other node's view goes before this node's
                tombstones, as it sees more of the fleet.
        """
        name = record.member.name
        if name == self._me.name:
            return self._merge_own(record)
        tombstone = self._tombstones.get(name)
        if tombstone is not None:
            return self._merge_removed(record, tombstone, now, trusted=trusted)
        held = self.record_of(name)
        if held is not None and _order(record) <= _order(held):
            return Merge.OLD
        self._apply(record, now)
        return Merge.NEWS

    def suspect(self, name: str, now: float) -> MemberRecord | None:
        """Suspect a live member; return the news, if it is any."""
        if name == self._me.name or name in self._suspects:
            return None
        if name not in self._live:
            return None
        record = MemberRecord(self._live[name], Standing.SUSPECT)
        self._apply(record, now)
        return record

    def expire(self, now: float) -> bool:
        """Remove suspects whose time is over, and old tombstones.

        Returns:
            Whether a suspect was removed.
        """
        over = [name for name, at in self._suspects.items() if at <= now]
        for name in over:
            record = MemberRecord(self._live[name], Standing.SUSPECT)
            self._bury(record, now)
        for name, tombstone in tuple(self._tombstones.items()):
            if tombstone.removed_at + TOMBSTONE_S > now:
                break
            self._tombstones.pop(name)
        return bool(over)

    def postpone(self, seconds: float) -> None:
        """Give suspects more time, as this node was paused that long."""
        for name in self._suspects:
            self._suspects[name] += seconds

    def put_live(self, member: Member) -> None:
        """Hold a member as live in place of what was held."""
        held = self._live.get(member.name)
        if held is None:
            self._overlay.add(member.name)
        else:
            self._toggle(held)
        self._live[member.name] = member
        self._toggle(member)
        self._changed[member.name] = None
        self._removed.pop(member.name, None)

    def _merge_own(self, record: MemberRecord) -> Merge:
        """Refute what others say of this node, if it isn't so."""
        newer = record.member.stamp > self._me.stamp
        if not newer and _order(record) <= _order(MemberRecord(self._me)):
            return Merge.OLD
        incarnation, revision = record.member.stamp
        if incarnation == self._me.incarnation:
            self._me = attrs.evolve(self._me, revision=revision + 1)
        else:
            self._me = attrs.evolve(self._me, incarnation=incarnation + 1)
        self.put_live(self._me)
        return Merge.REFUTED

    def _merge_removed(
        self,
        record: MemberRecord,
        tombstone: Tombstone,
        now: float,
        *,
        trusted: bool,
    ) -> Merge:
        held = tombstone.record
        same = record.member.stamp == held.member.stamp
        newer = record.member.stamp > held.member.stamp
        believed = same and trusted and tombstone.yields(now)
        if record.standing is Standing.LEFT:
            if _order(record) <= _order(held):
                return Merge.OLD
        elif not (newer or believed):
            alive = record.standing is Standing.ALIVE
            return Merge.DISPUTED if alive else Merge.OLD
        self._tombstones.pop(record.member.name)
        self._apply(record, now)
        return Merge.NEWS

    def _apply(self, record: MemberRecord, now: float) -> None:
        """Hold a record that is newer than what was held."""
        name = record.member.name
        assert name != self._me.name
        if record.standing is Standing.LEFT:
            self._bury(record, now)
            return
        if self._live.get(name) != record.member:
            self.put_live(record.member)
            for other in _displaced(self._live, record.member):
                self._bury(MemberRecord(other, Standing.LEFT), now)
        if record.standing is Standing.SUSPECT:
            self._suspects[name] = now + SUSPICION_S
        else:
            self._suspects.pop(name, None)

    def _bury(self, record: MemberRecord, now: float) -> None:
        name = record.member.name
        held = self._live.pop(name, None)
        if held is not None:
            self._toggle(held)
            self._overlay.remove(name)
            self._changed.pop(name, None)
            self._removed[name] = None
        self._suspects.pop(name, None)
        self._tombstones[name] = Tombstone(record, now)

    def _toggle(self, member: Member) -> None:
        self._digest.toggle(member.name, str(member.stamp))


def _order(record: MemberRecord) -> tuple[int, int, int]:
    return (*record.member.stamp, record.standing)


def _displaced(live: Mapping[str, Member], newer: Member) -> tuple[Member, ...]:
    """Return the members that stood at the address of a newer one."""
    place = (newer.host, newer.port)
    return tuple(
        other
        for other in live.values()
        if (other.host, other.port) == place
        and other.incarnation < newer.incarnation
        and other.name != newer.name
    )
