"""Schedules one node's reads of the platform on behalf of the fleet."""

import math
import random
from collections.abc import Iterable, Mapping
from typing import Any

import attrs

from daisyline.coordination.effects import PlatformReply
from daisyline.coordination.membership.fleet_events import (
    PlatformReadabilityChanged,
    ReaderRoleChanged,
)
from daisyline.coordination.settings.confirmation_lease import (
    LEASE_S,
    ConfirmationLease,
)
from daisyline.coordination.settings.kind_reader import (
    RETRY_MAX_S,
    WATCH_MS,
    KindReader,
    ReadResult,
)
from daisyline.coordination.settings.reader_selection import select_readers
from daisyline.state.members import Member

SETTINGS_KIND = 'settings'
SETTINGS_NAME = 'tree'
# Settings have to be in force within 2 s, also if a watch fails silently.
SETTINGS_WATCH_MS = 1_000
# How long a reader continues after another node has replaced it.
HANDOVER_OVERLAP_S = 3.0
# A node that has just started only lists. Its first watch is delayed, so that
# it can first discover the other members, which may be readers in its place.
FIRST_WATCH_DELAY_S = 1.0
# How many of a region's readers watch the settings with the short watch.
SHORT_WATCH_READERS = 2
# How long a node that had to read by itself goes on after it was the only one.
STAND_IN_S = 5.0
# The longest interval between failed reads of a node that isn't a reader grows
# with the fleet, so that a long outage of the platform brings few calls.
RETRY_S_PER_MEMBER = 2.0

_Traits = tuple[str, str, bool]


def _traits_of(member: Member) -> _Traits:
    """Return what decides whether a member is a reader."""
    return (member.region, member.zone, member.platform_unreadable)


def _watch_ms(*, is_short: bool) -> int:
    return SETTINGS_WATCH_MS if is_short else WATCH_MS


@attrs.define
class ReaderRole:
    """Schedules one node's reads of the platform on behalf of the fleet.

    A node that isn't a reader reads once at its start, and again when its
    lease on the settings lapses. If that succeeds, it stands in for the
    readers, whoever they are, until another node confirms the settings.

    Attributes:
        lease: The lease on the settings.
        copy_since: When this node learned that the store came back from a copy,
            or started, in monotonic seconds.
    """

    _region: str
    _name: str
    _rng: random.Random
    _kind_readers: tuple[KindReader, ...]
    lease: ConfirmationLease
    _first_watch_at: float
    copy_since: float
    _member_count: int = 1
    _reading: bool = False
    _read_at: float = -math.inf
    _has_read: bool = False
    _has_peers: bool = False
    _reading_until: float = 0
    _unreadable: set[str] = attrs.field(factory=set)
    _role_changes: list[ReaderRoleChanged] = attrs.field(factory=list)
    _traits: dict[str, _Traits] = attrs.field(factory=dict)

    @classmethod
    def from_kinds(
        cls,
        own_member: Member,
        kinds: Iterable[str],
        rng: random.Random,
        now: float,
    ) -> 'ReaderRole':
        """Build the schedule of a node that has just started."""
        first_watch_at = now + FIRST_WATCH_DELAY_S
        # Only the settings are read at once: orders arrive as facts from the
        # other nodes, if there are any.
        kind_readers = tuple(
            KindReader(
                kind, rng, now if kind == SETTINGS_KIND else first_watch_at
            )
            for kind in kinds
        )
        return cls(
            own_member.region,
            own_member.name,
            rng,
            kind_readers,
            ConfirmationLease.from_start(rng, now),
            first_watch_at,
            now,
        )

    @property
    def platform_confirmations(self) -> int:
        """Return the newest known count of confirmations.

        A reader raises the count each time it has read the settings.
        """
        return self.lease.count

    @property
    def is_platform_unreadable(self) -> bool:
        """Return whether the last read of a kind that it reads failed."""
        return any(
            reader.failures
            for reader in self._kind_readers
            if self._reading or reader.kind == SETTINGS_KIND
        )

    def next_at(self) -> float:
        """Return when `tick` must be called next, in monotonic seconds."""
        next_read_at = min(
            self.lease.read_at,
            *(reader.next_at() for reader in self._kind_readers),
        )
        if self._reading or not math.isinf(self._reading_until):
            return next_read_at
        return min(next_read_at, self._first_watch_at)

    def record_confirmation(self, confirmations: int) -> None:
        """Record a count of confirmations that another node holds."""
        self._has_peers = True
        self.lease.observe(confirmations)

    def renew(self, confirmations: int, now: float) -> bool:
        """Apply a confirmation that another node has just passed on.

        Returns:
            Whether it is new and has to be passed on.
        """
        self._has_peers = True
        return self.lease.renew(confirmations, self._member_count, now)

    def confirm(self, now: float) -> bool:
        """Confirm the settings by a read of this node.

        Returns:
            Whether it has to be passed on, which the reads of nodes that have
            just started do not.
        """
        self._read_at = now
        self._has_read = True
        self._resume_reading(now)
        is_chosen = math.isinf(self._reading_until)
        if not is_chosen and not self.lease.relies_on_others(now):
            self._stand_in(now)
        self.lease.confirm(self._member_count, now)
        return self._reading

    def update_role(
        self,
        members: Mapping[str, Member],
        changed: Iterable[str],
        removed: Iterable[str],
        now: float,
    ) -> None:
        """Start or stop being a reader after a change of the members.

        Args:
            members: The live members, by name.
            changed: The names of the members that are new or have changed.
            removed: The names of the members that were removed.
            now: Monotonic seconds.
        """
        traits = {name: _traits_of(members[name]) for name in changed}
        is_same = all(
            self._traits.get(name) == new for name, new in traits.items()
        )
        self._traits.update(traits)
        for name in removed:
            is_same = False
            self._traits.pop(name, None)
        # Targets change often, which is no reason to choose anew.
        if is_same:
            return
        chosen = select_readers(members.values(), self._region)
        was_chosen = math.isinf(self._reading_until)
        if was_chosen != (self._name in chosen):
            self._role_changes.append(
                ReaderRoleChanged(
                    state='replaced' if was_chosen else 'chosen',
                    age_s=self.lease.age_s(now),
                    members=len(members),
                    readers=tuple(chosen),
                    unreadable=sum(
                        member.platform_unreadable
                        for member in members.values()
                    ),
                )
            )
        if self._name in chosen:
            self._reading_until = math.inf
            is_short = self._name in chosen[:SHORT_WATCH_READERS]
            self._settings_reader.watch_ms = _watch_ms(is_short=is_short)
        elif was_chosen:
            # A node that has just started is the only member it knows, so it
            # is chosen until it meets the others. Neither it nor a node that
            # can't read has anything to hand over.
            can_hand_over = self._reading and self._can_read
            self._reading_until = now
            if can_hand_over:
                self._reading_until += HANDOVER_OVERLAP_S
        self._update_reading(now)

    def tick(self, member_count: int, now: float) -> list[Any]:
        """Return the effects that start the reads that are due."""
        effects: list[Any] = []
        self._member_count = member_count
        self._update_reading(now)
        if now >= self.lease.read_at:
            self.lease.record_read_start()
            self._settings_reader.list_now(now)
        for reader in self._kind_readers:
            reader.expire(now)
            if now < reader.next_read_at:
                continue
            if self._should_read(reader):
                effects += reader.tick(now, watch=self._reading)
            else:
                reader.next_read_at = math.inf
        return effects

    def handle_reply(
        self, reply: PlatformReply, now: float
    ) -> ReadResult | None:
        """Process the platform's answer; return the objects read, if any."""
        for reader in self._kind_readers:
            result = reader.handle_reply(reply, now)
            if result is not None:
                return result
        return None

    def restart(self, now: float) -> None:
        """List what this node reads again, as the store is an older copy."""
        self.copy_since = now
        for reader in self._kind_readers:
            reader.restart(now)

    def list_again(self, kind: str, at: float) -> None:
        """List a kind again at a time, while this node is a reader."""
        for reader in self._kind_readers:
            if reader.kind == kind:
                reader.list_again(at)

    def take_changes(self) -> list[Any]:
        """Return the changes of role and readability since the last call."""
        changes: list[Any] = list(self._role_changes)
        self._role_changes.clear()
        for reader in self._kind_readers:
            readable = not reader.failures
            if readable == (reader.kind in self._unreadable):
                self._unreadable ^= {reader.kind}
                status = reader.last_status
                changes.append(
                    PlatformReadabilityChanged(reader.kind, readable, status)
                )
        return changes

    def _stand_in(self, now: float) -> None:
        if not self._reading:
            self._role_changes.append(
                ReaderRoleChanged(
                    state='stand-in',
                    age_s=self.lease.age_s(now),
                    members=self._member_count,
                )
            )
        self._reading_until = max(self._reading_until, now + STAND_IN_S)
        self._settings_reader.watch_ms = _watch_ms(is_short=True)
        self._update_reading(now)

    @property
    def _settings_reader(self) -> KindReader:
        return next(
            reader
            for reader in self._kind_readers
            if reader.kind == SETTINGS_KIND
        )

    def _update_reading(self, now: float) -> None:
        """Start or stop reading as a reader, according to the time."""
        reading = self._first_watch_at <= now < self._reading_until
        retry_max_s = max(RETRY_MAX_S, RETRY_S_PER_MEMBER * self._member_count)
        for reader in self._kind_readers:
            reader.retry_max_s = RETRY_MAX_S if reading else retry_max_s
        if reading and not self._reading:
            self._reading = True
            self._begin_reading(now)
        self._reading = reading

    def _begin_reading(self, now: float) -> None:
        """Read the settings first; the other kinds follow if that succeeds."""
        self._has_read = now < self._read_at + LEASE_S
        self._resume_reading(now)
        if not self._has_read:
            self._settings_reader.list_soon(now)

    @property
    def _can_read(self) -> bool:
        """Return whether the node has read the settings since it is a reader.

        A node that can't read them can't read the other kinds either.
        """
        return self._has_read and not self._settings_reader.failures

    def _resume_reading(self, now: float) -> None:
        """Read the kinds again that waited for a read of the settings."""
        for reader in self._kind_readers:
            if self._reading and math.isinf(reader.next_read_at):
                reader.watch_soon(now)

    def _should_read(self, reader: KindReader) -> bool:
        if self._reading:
            return reader.kind == SETTINGS_KIND or self._can_read
        if reader.is_untried:
            return reader.kind == SETTINGS_KIND or not self._has_peers
        # A failed read is repeated, to notice when the platform recovers.
        return reader.kind == SETTINGS_KIND and reader.failures > 0
