"""Choose the nodes that read the platform, and read on one of them."""

import functools
import heapq
import math
import random
from collections.abc import Iterable
from typing import Any

import attrs

from daisyline.coordination.effects import PlatformReply
from daisyline.coordination.fleet_events import PlatformReadabilityChanged
from daisyline.coordination.jitter import jittered
from daisyline.coordination.overlay import stable_hash
from daisyline.coordination.reader import WATCH_MS, Finding, Reader
from daisyline.state.members import Member

SETTINGS_KIND = 'settings'
SETTINGS_NAME = 'tree'
# Settings are in force in 2 s, also if a watch has fallen silent.
SETTINGS_WATCH_MS = 1_000
# With more nodes of a region cut off from the store than this, it is the store
# that is away, and others would fare no better.
MOST_CUT_OFF = 8
# A reader reads on for so long after another has taken its place, in seconds.
OVERLAP_S = 3.0
# A node that has just started lists once, and watches only when it has had the
# time to meet those that may read in its place, in seconds.
SETTLE_S = 1.0
# So many of a region's readers watch the settings closely.
CLOSE_WATCHERS = 2
# With one in each zone, no loss of a zone takes all of them.
READERS_PER_ZONE = 1
LEAST_READERS_PER_REGION = 2
# Without a word of a reader for so long, any node reads by itself.
CONFIRMED_BOUND_S = 5.0
UNCONFIRMED_READ_S_PER_MEMBER = 1.0
_CACHED_NAMES = 4096


def readers_of(members: Iterable[Member], region: str) -> list[str]:
    """Return the names of the members that read for a region.

    Those that the store turns away are passed over.
    """
    ranked = sorted(
        (member for member in members if member.region == region),
        key=lambda member: _rank(member.name),
    )
    served = [member for member in ranked if not member.store_lost]
    if served and len(ranked) - len(served) <= MOST_CUT_OFF:
        ranked = served
    zones: dict[str, int] = {}
    chosen = []
    for member in ranked:
        taken = zones.get(member.zone, 0)
        if taken < READERS_PER_ZONE:
            zones[member.zone] = taken + 1
            chosen.append(member.name)
    lacking = max(0, LEAST_READERS_PER_REGION - len(chosen))
    spare = (one.name for one in ranked if one.name not in chosen)
    return chosen + heapq.nsmallest(lacking, spare, key=_rank)


@functools.lru_cache(maxsize=_CACHED_NAMES)
def _rank(name: str) -> int:
    return stable_hash(f'reader/{name}')


@attrs.define
class Readers:
    """One node's part in reading the platform for all.

    A node that isn't a reader reads once at its start, and when no reader's
    confirmation has reached it for long.
    """

    _region: str
    _name: str
    _rng: random.Random
    _kinds: tuple[Reader, ...]
    _confirmed_at: float
    _settled_at: float
    _confirmed: int = 0
    _reading: bool = False
    _has_peers: bool = False
    _reading_until: float = 0
    _unreadable: set[str] = attrs.field(factory=set)

    @classmethod
    def from_kinds(
        cls,
        me: Member,
        kinds: Iterable[str],
        rng: random.Random,
        now: float,
    ) -> 'Readers':
        """Build the part of a node that has just started."""
        settled_at = now + SETTLE_S
        # Orders come with the facts of other nodes, if there are any.
        readers = tuple(
            Reader(kind, rng, now if kind == SETTINGS_KIND else settled_at)
            for kind in kinds
        )
        return cls(me.region, me.name, rng, readers, now, settled_at)

    @property
    def confirmed(self) -> int:
        """Return the newest confirmation heard of."""
        return self._confirmed

    @property
    def is_cut_off(self) -> bool:
        """Return whether the last read of any kind has failed."""
        return any(reader.failures for reader in self._kinds)

    def next_at(self) -> float:
        """Return when `tick` must be called next."""
        first = min(reader.next_at() for reader in self._kinds)
        if self._reading or not math.isinf(self._reading_until):
            return first
        return min(first, self._settled_at)

    def hear(self, confirmed: int, now: float) -> None:
        """Note a confirmation that another node passed on."""
        self._has_peers = True
        if confirmed > self._confirmed:
            self._confirmed = confirmed
            self._confirmed_at = now

    def choose(self, members: Iterable[Member], now: float) -> None:
        """Become a reader, or cease to be one, as the members changed."""
        chosen = readers_of(members, self._region)
        was_chosen = math.isinf(self._reading_until)
        if self._name in chosen:
            self._reading_until = math.inf
            self._watch(close=self._name in chosen[:CLOSE_WATCHERS])
        elif was_chosen:
            self._reading_until = now + OVERLAP_S
        self._follow(now)

    def tick(self, member_count: int, now: float) -> list[Any]:
        """Return the reads that are due."""
        effects: list[Any] = []
        self._follow(now)
        for reader in self._kinds:
            if reader.expire(now):
                self._slow_down(reader, member_count, now)
            if now < reader.next_read_at:
                continue
            if self._must_read(reader, now):
                effects += reader.tick(now, watch=self._reading)
            else:
                self._wait_for_confirmation(reader)
        return effects

    def replied(
        self, reply: PlatformReply, member_count: int, now: float
    ) -> Finding | None:
        """Take the platform's answer; return what it has brought."""
        for reader in self._kinds:
            before = reader.failures
            finding = reader.replied(reply, now)
            if finding is not None:
                self._confirm(reader, now)
                return finding
            if reader.failures > before:
                self._slow_down(reader, member_count, now)
        return None

    def take_changes(self) -> list[PlatformReadabilityChanged]:
        """Return the kinds that became readable or unreadable since last."""
        changes = []
        for reader in self._kinds:
            readable = not reader.failures
            if readable == (reader.kind in self._unreadable):
                self._unreadable ^= {reader.kind}
                status = reader.last_status
                changes.append(
                    PlatformReadabilityChanged(reader.kind, readable, status)
                )
        return changes

    def _confirm(self, reader: Reader, now: float) -> None:
        if reader.kind == SETTINGS_KIND:
            self._confirmed += 1
            self._confirmed_at = now
        if not self._reading:
            self._wait_for_confirmation(reader)

    def _slow_down(self, reader: Reader, member_count: int, now: float) -> None:
        """Let the nodes that aren't readers try again much later."""
        if not self._reading:
            wait_s = member_count * UNCONFIRMED_READ_S_PER_MEMBER
            later = now + jittered(self._rng, wait_s)
            reader.next_read_at = max(reader.next_read_at, later)

    def _watch(self, *, close: bool) -> None:
        for reader in self._kinds:
            if reader.kind == SETTINGS_KIND:
                reader.watch_ms = SETTINGS_WATCH_MS if close else WATCH_MS

    def _follow(self, now: float) -> None:
        """Begin or cease to read when it is time to."""
        reading = self._settled_at <= now < self._reading_until
        if reading and not self._reading:
            for reader in self._kinds:
                reader.watch_soon(now)
        self._reading = reading

    def _must_read(self, reader: Reader, now: float) -> bool:
        if self._reading or self._is_overdue(now):
            return True
        if reader.is_fresh:
            return reader.kind == SETTINGS_KIND or not self._has_peers
        # One that failed is tried again, to find that the store is back.
        return reader.failures > 0

    def _is_overdue(self, now: float) -> bool:
        return now >= self._confirmed_at + CONFIRMED_BOUND_S

    def _wait_for_confirmation(self, reader: Reader) -> None:
        wait = CONFIRMED_BOUND_S + jittered(self._rng, CONFIRMED_BOUND_S)
        reader.next_read_at = self._confirmed_at + wait
