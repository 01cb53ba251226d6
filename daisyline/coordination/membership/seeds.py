"""Finds other nodes through peer addresses and the platform's `seeds`."""

import heapq
import random
from collections.abc import Iterable
from typing import Any

import attrs

from daisyline.coordination.effects import (
    PlatformList,
    PlatformReply,
    PlatformWrite,
)
from daisyline.coordination.jitter import jittered, new_nonce
from daisyline.coordination.membership.overlay import stable_hash
from daisyline.coordination.membership.seed_addresses import (
    Address,
    addresses_in,
)
from daisyline.state.members import Member

SEEDS_KIND = 'seeds'
MIN_LIVE_SEEDS = 3
MAX_LISTED_SEEDS = 8
MAX_CONTACTS = 4
CONTACT_TIMEOUT_S = 2.0
REPLY_TIMEOUT_S = 10.0
RETRY_MIN_S = 1.0
RETRY_MAX_S = 8.0
FIRST_WRITE_DELAY_S = 0.1
ALONE_REVIEW_MIN_S = 0.5
REVIEW_S_PER_MEMBER = 10.0
REVIEW_MIN_S = 60.0
FIRST_REVIEW_MIN_S = 5.0
MAX_DOUBLINGS = 20
# Of the members of a zone that can reach the platform, so many write its seeds.
WRITERS_PER_ZONE = 2
_OK = 200
_CONFLICT = 409
_TOKEN_PREFIX = 'fleet-seeds-'


def _rank(name: str) -> int:
    return stable_hash(f'seeds/{name}')


@attrs.define
class SeedDiscovery:
    """Discovers other nodes and keeps the zone's `seeds` object up to date.

    Writes are conditional and may lose a race or their answer. Each review
    therefore lists the objects again, and writes only if the zone has fewer
    than `MIN_LIVE_SEEDS` live seeds.
    """

    _own_member: Member
    _peers: tuple[Address, ...]
    _rng: random.Random
    _next_review_at: float
    _write_at: float = float('inf')
    _version: int = 0
    _zone_seeds: tuple[Address, ...] = ()
    _token: str = ''
    _timeout_at: float = float('inf')
    _failures: int = 0
    _review_count: int = 0
    _peers_contacted: bool = False
    _lone_review_count: int = 0
    _conflicts: int = 0
    _needs_current_list: bool = False
    _is_list_stale: bool = False

    def next_at(self) -> float:
        """Return when `tick` must be called next, in monotonic seconds."""
        if self._token:
            return self._timeout_at
        return min(self._next_review_at, self._write_at)

    def tick(
        self, members: Iterable[Member], now: float
    ) -> tuple[list[Address], list[Any]]:
        """Return the addresses to contact and the effects that are due."""
        live = tuple(members)
        contacts: list[Address] = []
        if not self._peers_contacted or (
            len(live) == 1 and now >= self._next_review_at
        ):
            contacts = [
                peer
                for peer in self._peers
                if peer != (self._own_member.host, self._own_member.port)
            ]
            self._peers_contacted = True
        if self._token and now >= self._timeout_at:
            self._schedule_retry(len(live), now)
        if self._token:
            return contacts, []
        if now >= self._write_at:
            self._write_at = float('inf')
            writes = self._write_if_needed(live, now)
            if writes:
                return contacts, writes
        if now >= self._next_review_at:
            return contacts, [self._list(now)]
        return contacts, []

    def handle_reply(
        self, reply: PlatformReply, members: Iterable[Member], now: float
    ) -> list[Address]:
        """Process the platform's answer; return the addresses to contact."""
        if reply.token != self._token:
            return []
        live = tuple(members)
        if reply.status == _CONFLICT:
            self._conflicts = min(self._conflicts + 1, MAX_DOUBLINGS)
            self._review_currently(now)
            return []
        if reply.status != _OK:
            self._schedule_retry(len(live), now)
            return []
        self._token = ''
        self._failures = 0
        if isinstance(reply.content, (list, tuple)):
            self._next_review_at = now + self._review_pause(len(live))
            return self._process_list(reply.content, live, now)
        self._conflicts = 0
        # Nodes that started together were not in the list yet, so the next
        # review comes soon.
        pause_s = FIRST_WRITE_DELAY_S if len(live) == 1 else FIRST_REVIEW_MIN_S
        self._next_review_at = now + jittered(self._rng, pause_s)
        return []

    def handle_return(self, members: Iterable[Member], now: float) -> None:
        """Review the seeds soon, as the store is an older copy.

        What was listed before is no base for a write, and the zone's writers
        list again.
        """
        self._token = ''
        self._write_at = float('inf')
        if self._writes_seeds(members):
            self._needs_current_list = True
            review_at = now + jittered(self._rng, RETRY_MIN_S)
            self._next_review_at = min(self._next_review_at, review_at)

    def _review_pause(self, live_count: int) -> float:
        """Return the time until the next review, in seconds.

        A node that is alone or has just started reviews more often, because
        others may have started together with it. The pause grows with the
        fleet, so that the rate of all nodes together doesn't.
        """
        if live_count == 1:
            self._lone_review_count = min(
                self._lone_review_count + 1, MAX_DOUBLINGS
            )
            pause_s = ALONE_REVIEW_MIN_S * 2**self._lone_review_count
            return jittered(self._rng, min(RETRY_MAX_S, pause_s))
        self._lone_review_count = 0
        factor = 2 ** min(self._review_count, MAX_DOUBLINGS)
        self._review_count += 1
        pause_s_per_member = min(REVIEW_S_PER_MEMBER, factor)
        min_pause_s = min(REVIEW_MIN_S, FIRST_REVIEW_MIN_S * factor)
        return jittered(
            self._rng, max(live_count * pause_s_per_member, min_pause_s)
        )

    def _process_list(
        self, listed: Iterable[Any], live: tuple[Member, ...], now: float
    ) -> list[Address]:
        self._version = 0
        self._zone_seeds = ()
        other_seeds: list[Address] = []
        for name, version, value in listed:
            if name == self._own_member.zone:
                self._version = version
                self._zone_seeds = tuple(addresses_in(value))
            else:
                other_seeds.extend(addresses_in(value))
        if self._is_list_stale and not (other_seeds or self._zone_seeds):
            # The seeds may be newer than this list.
            self._review_currently(now)
            return []
        self._write_at = now + self._write_pause(other_seeds)
        zone_contacts = self._sample_unknown(
            self._zone_seeds, live, MAX_CONTACTS // 2
        )
        rest = MAX_CONTACTS - len(zone_contacts)
        return zone_contacts + self._sample_unknown(other_seeds, live, rest)

    def _write_pause(self, other_seeds: list[Address]) -> float:
        """Return the delay before a write to the seeds, in seconds.

        Seeds that were found get time to answer, as they may make the write
        unnecessary; without any the node writes almost at once.
        """
        if other_seeds or self._zone_seeds:
            return CONTACT_TIMEOUT_S + jittered(self._rng, CONTACT_TIMEOUT_S)
        return jittered(self._rng, FIRST_WRITE_DELAY_S)

    def _sample_unknown(
        self, listed: Iterable[Address], live: tuple[Member, ...], count: int
    ) -> list[Address]:
        """Return a random sample of addresses that no live member has."""
        known = {(member.host, member.port) for member in live}
        unknown = [address for address in listed if address not in known]
        self._rng.shuffle(unknown)
        return unknown[:count]

    def _write_if_needed(
        self, live: tuple[Member, ...], now: float
    ) -> list[Any]:
        """Return a write that makes the zone list enough seeds, all of them live.

        There is none if that is so, or if it can't be.
        """
        if not self._writes_seeds(live):
            return []
        known = {
            (member.host, member.port)
            for member in live
            if member.zone == self._own_member.zone
        }
        live_seeds = [entry for entry in self._zone_seeds if entry in known]
        lacking = known.difference(live_seeds)
        if len(live_seeds) >= MIN_LIVE_SEEDS:
            # An entry can stay from a write that came before its failure was
            # noticed. No later write would replace it, as enough are live.
            if len(live_seeds) == len(self._zone_seeds):
                return []
            entries = live_seeds
        elif lacking:
            entries = self._extended(live_seeds, known)
        else:
            return []
        listed = [list(entry) for entry in entries]
        return [
            PlatformWrite(
                self._new_token(now),
                SEEDS_KIND,
                self._own_member.zone,
                self._version,
                {'addresses': listed[:MAX_LISTED_SEEDS]},
            )
        ]

    def _extended(
        self, live_seeds: list[Address], known: set[Address]
    ) -> list[Address]:
        """Return live seeds with others of the zone, this node first of all."""
        own = (self._own_member.host, self._own_member.port)
        is_listed = own in live_seeds or own not in known
        kept = live_seeds if is_listed else [own, *live_seeds]
        spare = sorted(known.difference(kept))
        added = self._rng.sample(
            spare, min(len(spare), MAX_LISTED_SEEDS - len(kept))
        )
        return [*kept, *added]

    def _writes_seeds(self, live: Iterable[Member]) -> bool:
        """Return whether this node is one of the zone's writers.

        A node that knows no other node of its zone is.
        """
        names = [
            member.name
            for member in live
            if member.zone == self._own_member.zone
            and not member.platform_unreadable
        ]
        writers = heapq.nsmallest(WRITERS_PER_ZONE, names, key=_rank)
        return self._own_member.name in writers

    def _list(self, now: float) -> PlatformList:
        """Return a list of the seeds, which is stale unless that misleads."""
        self._is_list_stale = not self._needs_current_list
        self._needs_current_list = False
        return PlatformList(
            self._new_token(now), SEEDS_KIND, may_be_stale=self._is_list_stale
        )

    def _review_currently(self, now: float) -> None:
        """Schedule a list of the present seeds.

        It comes soon after a race that was lost, and later the more writes in a
        row met a conflict.
        """
        self._token = ''
        self._failures = 0
        self._needs_current_list = True
        pause_s = min(RETRY_MAX_S, FIRST_WRITE_DELAY_S * 2**self._conflicts)
        self._next_review_at = now + jittered(self._rng, pause_s)

    def _new_token(self, now: float) -> str:
        nonce = new_nonce(self._rng)
        self._token = f'{_TOKEN_PREFIX}{nonce}'
        self._timeout_at = now + REPLY_TIMEOUT_S
        return self._token

    def _schedule_retry(self, live_count: int, now: float) -> None:
        """Schedule a new review, which also resolves an unknown outcome."""
        self._token = ''
        self._failures += 1
        if live_count > 1:
            self._next_review_at = now + self._review_pause(live_count)
            return
        pause_s = min(
            RETRY_MAX_S, RETRY_MIN_S * 2 ** min(self._failures, MAX_DOUBLINGS)
        )
        self._next_review_at = now + jittered(self._rng, pause_s)
