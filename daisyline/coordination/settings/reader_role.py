"""Schedules one node's reads of the platform on behalf of the fleet."""

import math
import random
from collections.abc import Iterable, Mapping
from typing import Any

import attrs

from daisyline.coordination.effects import PlatformReply
from daisyline.coordination.jitter import jittered
from daisyline.coordination.membership.fleet_events import (
    PlatformReadabilityChanged,
    ReaderRoleChanged,
)
from daisyline.coordination.settings.kind_reader import (
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
# Without a confirmation by a reader for this long, any node reads by itself.
CONFIRMATION_TIMEOUT_S = 5.0
RETRY_S_PER_MEMBER = 1.0

_Traits = tuple[str, str, bool]


def _traits_of(member: Member) -> _Traits:
    """Return what decides whether a member is a reader."""
    return (member.region, member.zone, member.platform_unreadable)


@attrs.define
class ReaderRole:
    """Schedules one node's reads of the platform on behalf of the fleet.

    A node that isn't a reader reads once at its start, and again when no
    confirmation by a reader has reached it for `CONFIRMATION_TIMEOUT_S`.
    """

    _region: str
    _name: str
    _rng: random.Random
    _kind_readers: tuple[KindReader, ...]
    _confirmed_at: float
    _first_watch_at: float
    _platform_confirmations: int = 0
    _reading: bool = False
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
            now,
            first_watch_at,
        )

    @property
    def platform_confirmations(self) -> int:
        """Return the newest known count of confirmations.

        A reader raises the count each time it has read the settings.
        """
        return self._platform_confirmations

    @property
    def is_platform_unreadable(self) -> bool:
        """Return whether the last read of at least one kind failed."""
        return any(reader.failures for reader in self._kind_readers)

    def confirmation_age_s(self, now: float) -> float:
        """Return the time since the settings were last confirmed."""
        return now - self._confirmed_at

    def next_at(self) -> float:
        """Return when `tick` must be called next, in monotonic seconds."""
        next_read_at = min(reader.next_at() for reader in self._kind_readers)
        if self._reading or not math.isinf(self._reading_until):
            return next_read_at
        return min(next_read_at, self._first_watch_at)

    def record_confirmation(self, confirmations: int, now: float) -> None:
        """Record a confirmation that another node has forwarded.

        Args:
            confirmations: The count of confirmations; larger is newer.
            now: Monotonic seconds.
        """
        self._has_peers = True
        if confirmations > self._platform_confirmations:
            self._platform_confirmations = confirmations
            self._confirmed_at = now

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
                    age_s=self.confirmation_age_s(now),
                    readers=tuple(chosen),
                    unreadable=sum(
                        member.platform_unreadable
                        for member in members.values()
                    ),
                    members=len(members),
                )
            )
        if self._name in chosen:
            self._reading_until = math.inf
            self._set_watch_length(
                short=self._name in chosen[:SHORT_WATCH_READERS]
            )
        elif was_chosen:
            # A node that has just started is the only member it knows, so it
            # is chosen until it meets the others. It has nothing to hand over.
            overlap_s = HANDOVER_OVERLAP_S if self._reading else 0
            self._reading_until = now + overlap_s
        self._update_reading(now)

    def tick(self, member_count: int, now: float) -> list[Any]:
        """Return the effects that start the reads that are due."""
        effects: list[Any] = []
        self._update_reading(now)
        for reader in self._kind_readers:
            if reader.expire(now):
                self._delay_retry(reader, member_count, now)
            if now < reader.next_read_at:
                continue
            if self._should_read(reader, now):
                effects += reader.tick(now, watch=self._reading)
            else:
                self._wait_for_confirmation(reader)
        return effects

    def handle_reply(
        self, reply: PlatformReply, member_count: int, now: float
    ) -> ReadResult | None:
        """Process the platform's answer; return the objects read, if any."""
        for reader in self._kind_readers:
            failures_before = reader.failures
            result = reader.handle_reply(reply, now)
            if result is not None:
                self._record_read(reader, now)
                return result
            if reader.failures > failures_before:
                self._delay_retry(reader, member_count, now)
        return None

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

    def _record_read(self, reader: KindReader, now: float) -> None:
        if reader.kind == SETTINGS_KIND:
            self._platform_confirmations += 1
            self._confirmed_at = now
        if not self._reading:
            self._wait_for_confirmation(reader)

    def _delay_retry(
        self, reader: KindReader, member_count: int, now: float
    ) -> None:
        """Delay the next try of a node that isn't a reader.

        The delay grows with the fleet, so that an outage of the platform
        doesn't make all nodes read it often.
        """
        if not self._reading:
            wait_s = member_count * RETRY_S_PER_MEMBER
            later = now + jittered(self._rng, wait_s)
            reader.next_read_at = max(reader.next_read_at, later)

    def _set_watch_length(self, *, short: bool) -> None:
        for reader in self._kind_readers:
            if reader.kind == SETTINGS_KIND:
                reader.watch_ms = SETTINGS_WATCH_MS if short else WATCH_MS

    def _update_reading(self, now: float) -> None:
        """Start or stop reading as a reader, according to the time."""
        reading = self._first_watch_at <= now < self._reading_until
        if reading and not self._reading:
            for reader in self._kind_readers:
                reader.watch_soon(now)
        self._reading = reading

    def _should_read(self, reader: KindReader, now: float) -> bool:
        if self._reading or self._is_overdue(now):
            return True
        if reader.is_untried:
            return reader.kind == SETTINGS_KIND or not self._has_peers
        # A failed read is repeated, to notice when the platform recovers.
        return reader.failures > 0

    def _is_overdue(self, now: float) -> bool:
        return now >= self._confirmed_at + CONFIRMATION_TIMEOUT_S

    def _wait_for_confirmation(self, reader: KindReader) -> None:
        wait_s = CONFIRMATION_TIMEOUT_S + jittered(
            self._rng, CONFIRMATION_TIMEOUT_S
        )
        reader.next_read_at = self._confirmed_at + wait_s
