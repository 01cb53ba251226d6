"""The membership view of one node, merged from the records of all nodes."""

import enum
from collections.abc import Mapping
from typing import Any

import attrs

from daisyline.coordination.membership.digest import Digest
from daisyline.coordination.membership.gossip_records import (
    MemberRecord,
    MemberState,
)
from daisyline.coordination.membership.overlay import Overlay
from daisyline.state.members import Member

SUSPICION_TIMEOUT_S = 3.0
TOMBSTONE_RETENTION_S = 14_400.0
TOMBSTONE_OVERRIDE_AGE_S = 30.0


class MergeResult(enum.Enum):
    """The outcome of merging a record.

    Attributes:
        NEWS: The record was newer and is now held; it has to be spread.
        REFUTED: The record was about this node and was wrong; this node's
            own record is now newer and has to be spread.
        DISPUTED: The record is of a member that this node removed; the
            sender has to be sent the tombstone's record.
        OLD: The record was not newer than the one held.
    """

    NEWS = 'news'
    REFUTED = 'refuted'
    DISPUTED = 'disputed'
    OLD = 'old'


@attrs.frozen
class Tombstone:
    """A member that was removed.

    Attributes:
        record: The last record; its state is `SUSPECT` or `LEFT`.
        removed_at: When the member was removed, in monotonic seconds.
    """

    record: MemberRecord
    removed_at: float

    def can_be_overridden(self, now: float) -> bool:
        """Return whether a trusted peer's record overrides this tombstone.

        A tombstone of a member that left is never overridden. Nor is a recent
        one: a peer that lists the member as live may not have received the
        suspicion yet.
        """
        failed = self.record.state is MemberState.SUSPECT
        return failed and now >= self.removed_at + TOMBSTONE_OVERRIDE_AGE_S


@attrs.define
class Membership:
    """One node's view of the members, itself included.

    Suspicions are spread, removals of failed members are not: each node
    removes a suspect on its own unless a newer record refutes the suspicion
    before `SUSPICION_TIMEOUT_S` has passed. A tombstone keeps an old record
    from adding a removed member again.
    """

    _own_member: Member
    _overlay: Overlay
    _digest: Digest
    _live: dict[str, Member] = attrs.field(factory=dict)
    _suspects: dict[str, float] = attrs.field(factory=dict)
    _tombstones: dict[str, Tombstone] = attrs.field(factory=dict)
    _changed: dict[str, None] = attrs.field(factory=dict)
    _removed: dict[str, None] = attrs.field(factory=dict)

    @classmethod
    def from_member(cls, own_member: Member, digest: Digest) -> 'Membership':
        """Create the view of a node that knows no other node."""
        membership = cls(
            own_member=own_member,
            overlay=Overlay(own_member.name, own_member.zone),
            digest=digest,
        )
        membership.upsert_live(own_member)
        return membership

    @property
    def own_member(self) -> Member:
        """Return this node's own newest entry."""
        return self._own_member

    @property
    def live(self) -> Mapping[str, Member]:
        """Return the live members by name; suspects are included."""
        return self._live

    @property
    def suspects(self) -> Mapping[str, float]:
        """Return the suspects with their times of removal in seconds."""
        return self._suspects

    @property
    def tombstones(self) -> Mapping[str, Tombstone]:
        """Return the tombstones of removed members by name."""
        return self._tombstones

    @property
    def overlay(self) -> Overlay:
        """Return the overlay of the live members."""
        return self._overlay

    def next_at(self) -> float:
        """Return when the next suspect is removed; infinity if none is."""
        return min(self._suspects.values(), default=float('inf'))

    def record_of(self, name: str) -> MemberRecord | None:
        """Return the record of a live or removed member, None if unknown."""
        member = self._live.get(name)
        if member is None:
            tombstone = self._tombstones.get(name)
            return tombstone.record if tombstone else None
        suspect = name in self._suspects
        return MemberRecord(
            member, MemberState.SUSPECT if suspect else MemberState.ALIVE
        )

    def take_changes(self) -> tuple[tuple[str, ...], tuple[str, ...]]:
        """Return the names changed and those removed since the last call."""
        changes = (tuple(self._changed), tuple(self._removed))
        self._changed.clear()
        self._removed.clear()
        return changes

    def update_own_member(self, **changes: Any) -> MemberRecord:
        """Change this node's own entry and return its new record.

        Args:
            changes: Fields of `Member` with their new values.
        """
        revision = self._own_member.revision + 1
        self._own_member = attrs.evolve(
            self._own_member, revision=revision, **changes
        )
        self.upsert_live(self._own_member)
        return MemberRecord(self._own_member)

    def merge(
        self, record: MemberRecord, now: float, *, trusted: bool = False
    ) -> MergeResult:
        """Merge another node's record of a member.

        Args:
            record: The record.
            now: Monotonic seconds.
            trusted: Whether the sender's view overrides this node's
                tombstones, because it contains more of the fleet.
        """
        name = record.member.name
        if name == self._own_member.name:
            return self._merge_own(record)
        tombstone = self._tombstones.get(name)
        if tombstone is not None:
            return self._merge_removed(record, tombstone, now, trusted=trusted)
        held = self.record_of(name)
        if held is not None and _precedence(record) <= _precedence(held):
            return MergeResult.OLD
        self._apply(record, now)
        return MergeResult.NEWS

    def suspect(self, name: str, now: float) -> MemberRecord | None:
        """Suspect a live member; return the record if this is new."""
        if name == self._own_member.name or name in self._suspects:
            return None
        if name not in self._live:
            return None
        record = MemberRecord(self._live[name], MemberState.SUSPECT)
        self._apply(record, now)
        return record

    def expire(self, now: float) -> bool:
        """Remove suspects and tombstones whose time is over.

        Returns:
            Whether a suspect was removed.
        """
        expired = [name for name, at in self._suspects.items() if at <= now]
        for name in expired:
            record = MemberRecord(self._live[name], MemberState.SUSPECT)
            self._add_tombstone(record, now)
        for name, tombstone in tuple(self._tombstones.items()):
            if tombstone.removed_at + TOMBSTONE_RETENTION_S > now:
                break
            self._tombstones.pop(name)
        return bool(expired)

    def extend_suspicions(self, seconds: float) -> None:
        """Postpone removals by the seconds for which this node was paused."""
        for name in self._suspects:
            self._suspects[name] += seconds

    def upsert_live(self, member: Member) -> None:
        """Add or replace a live member."""
        held = self._live.get(member.name)
        if held is not None:
            self._toggle(held)
        if held is None or held.zone != member.zone:
            if held is not None:
                self._overlay.remove(held.name, held.zone)
            self._overlay.add(member.name, member.zone)
        self._live[member.name] = member
        self._toggle(member)
        self._changed[member.name] = None
        self._removed.pop(member.name, None)

    def _merge_own(self, record: MemberRecord) -> MergeResult:
        """Refute a record of this node that takes precedence over its own."""
        newer = record.member.stamp > self._own_member.stamp
        if not newer and _precedence(record) <= _precedence(
            MemberRecord(self._own_member)
        ):
            return MergeResult.OLD
        incarnation, revision = record.member.stamp
        if incarnation == self._own_member.incarnation:
            self._own_member = attrs.evolve(
                self._own_member, revision=revision + 1
            )
        else:
            self._own_member = attrs.evolve(
                self._own_member, incarnation=incarnation + 1
            )
        self.upsert_live(self._own_member)
        return MergeResult.REFUTED

    def _merge_removed(
        self,
        record: MemberRecord,
        tombstone: Tombstone,
        now: float,
        *,
        trusted: bool,
    ) -> MergeResult:
        held = tombstone.record
        same = record.member.stamp == held.member.stamp
        newer = record.member.stamp > held.member.stamp
        overrides = same and trusted and tombstone.can_be_overridden(now)
        if record.state is MemberState.LEFT:
            if _precedence(record) <= _precedence(held):
                return MergeResult.OLD
        elif not (newer or overrides):
            alive = record.state is MemberState.ALIVE
            return MergeResult.DISPUTED if alive else MergeResult.OLD
        self._tombstones.pop(record.member.name)
        self._apply(record, now)
        return MergeResult.NEWS

    def _apply(self, record: MemberRecord, now: float) -> None:
        """Store a record that is newer than the one held."""
        name = record.member.name
        assert name != self._own_member.name
        if record.state is MemberState.LEFT:
            self._add_tombstone(record, now)
            return
        if self._live.get(name) != record.member:
            self.upsert_live(record.member)
            for other in _replaced_members(self._live, record.member):
                self._add_tombstone(MemberRecord(other, MemberState.LEFT), now)
        if record.state is MemberState.SUSPECT:
            self._suspects[name] = now + SUSPICION_TIMEOUT_S
        else:
            self._suspects.pop(name, None)

    def _add_tombstone(self, record: MemberRecord, now: float) -> None:
        name = record.member.name
        held = self._live.pop(name, None)
        if held is not None:
            self._toggle(held)
            self._overlay.remove(name, held.zone)
            self._changed.pop(name, None)
            self._removed[name] = None
        self._suspects.pop(name, None)
        self._tombstones[name] = Tombstone(record, now)

    def _toggle(self, member: Member) -> None:
        self._digest.toggle(member.name, str(member.stamp))


def _precedence(record: MemberRecord) -> tuple[int, int, int]:
    return (*record.member.stamp, record.state)


def _replaced_members(
    live: Mapping[str, Member], newer: Member
) -> tuple[Member, ...]:
    """Return the members whose address a newer member has taken over."""
    address = (newer.host, newer.port)
    return tuple(
        other
        for other in live.values()
        if (other.host, other.port) == address
        and other.incarnation < newer.incarnation
        and other.name != newer.name
    )
