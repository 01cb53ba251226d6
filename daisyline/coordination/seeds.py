"""Find a few other nodes through hints and the platform's `seeds` objects."""

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
from daisyline.state.members import Member

SEEDS_KIND = 'seeds'
SEEDS_NEEDED = 3
SEEDS_LISTED = 8
CONTACT_COUNT = 4
ANSWER_WAIT_S = 2.0
REPLY_WAIT_S = 10.0
RETRY_MIN_S = 1.0
RETRY_MAX_S = 8.0
FIRST_WRITE_S = 0.1
ALONE_MIN_S = 0.5
MOST_DOUBLINGS = 8
REVIEW_S_PER_MEMBER = 10.0
REVIEW_MIN_S = 60.0
AGAIN_S = 5.0
MOST_DOUBLINGS = 20
_OK = 200
_TOKEN = 'fleet-seeds-'

Address = tuple[str, int]


def addresses_in(value: Any) -> list[Address]:
    """Return the addresses in a `seeds` object; what isn't one is left out."""
    listed = value.get('addresses') if isinstance(value, dict) else None
    if not isinstance(listed, (list, tuple)):
        return []
    return [
        (entry[0], entry[1])
        for entry in listed
        if isinstance(entry, (list, tuple))
        and len(entry) == 2
        and isinstance(entry[0], str)
        and isinstance(entry[1], int)
    ]


@attrs.define
class Seeds:
    """One node's dealings with hints and `seeds` objects.

    Writes are conditional and may race or get lost: each review looks anew
    and writes only if the zone lacks live seeds.
    """

    _me: Member
    _peers: tuple[Address, ...]
    _rng: random.Random
    _next_review_at: float
    _write_at: float = float('inf')
    _version: int = 0
    _of_zone: tuple[Address, ...] = ()
    _token: str = ''
    _token_until: float = float('inf')
    _failures: int = 0
    _review_count: int = 0
    _hinted: bool = False
    _looks_alone: int = 0

    def next_at(self) -> float:
        """Return when `tick` must be called next."""
        if self._token:
            return self._token_until
        return min(self._next_review_at, self._write_at)

    def tick(
        self, members: Iterable[Member], now: float
    ) -> tuple[list[Address], list[Any]]:
        """Return addresses to contact, and effects, that are due."""
        live = tuple(members)
        contacts: list[Address] = []
        if not self._hinted or (len(live) == 1 and now >= self._next_review_at):
            contacts = [
                peer
                for peer in self._peers
                if peer != (self._me.host, self._me.port)
            ]
            self._hinted = True
        if self._token and now >= self._token_until:
            self._failed(len(live), now)
        if self._token:
            return contacts, []
        if now >= self._write_at:
            self._write_at = float('inf')
            writes = self._write(live, now)
            if writes:
                return contacts, writes
        if now >= self._next_review_at:
            return contacts, [PlatformList(self._new_token(now), SEEDS_KIND)]
        return contacts, []

    def replied(
        self, reply: PlatformReply, members: Iterable[Member], now: float
    ) -> list[Address]:
        """Take the platform's answer; return addresses to contact."""
        if reply.token != self._token:
            return []
        live = tuple(members)
        if reply.status != _OK:
            self._failed(len(live), now)
            return []
        self._token = ''
        self._failures = 0
        if isinstance(reply.content, (list, tuple)):
            self._next_review_at = now + self._review_pause(len(live))
            return self._take_listed(reply.content, live, now)
        # Nodes that started together could not see each other before.
        pause = FIRST_WRITE_S if len(live) == 1 else AGAIN_S
        self._next_review_at = now + jittered(self._rng, pause)
        return []

    def _review_pause(self, live_count: int) -> float:
        """Return the time to the next review.

        A node that is alone or has just started looks more often, as others
        may have started together with it. The pause grows with the fleet, so
        that all nodes together look no more often in a larger one.
        """
        if live_count == 1:
            self._looks_alone = min(self._looks_alone + 1, MOST_DOUBLINGS)
            wait = ALONE_MIN_S * 2**self._looks_alone
            return jittered(self._rng, min(RETRY_MAX_S, wait))
        self._looks_alone = 0
        growth = 2 ** min(self._review_count, MOST_DOUBLINGS)
        self._review_count += 1
        share = min(REVIEW_S_PER_MEMBER, growth)
        least = min(REVIEW_MIN_S, AGAIN_S * growth)
        return jittered(self._rng, max(live_count * share, least))

    def _take_listed(
        self, listed: Iterable[Any], live: tuple[Member, ...], now: float
    ) -> list[Address]:
        self._version = 0
        self._of_zone = ()
        far: list[Address] = []
        for name, version, value in listed:
            if name == self._me.zone:
                self._version = version
                self._of_zone = tuple(addresses_in(value))
            else:
                far.extend(addresses_in(value))
        self._write_at = now + self._write_pause(far)
        near = self._some_unknown(self._of_zone, live, CONTACT_COUNT // 2)
        rest = CONTACT_COUNT - len(near)
        return near + self._some_unknown(far, live, rest)

    def _write_pause(self, far: list[Address]) -> float:
        """Return how long seeds have to answer; with none there is no wait."""
        if far or self._of_zone:
            return ANSWER_WAIT_S + jittered(self._rng, ANSWER_WAIT_S)
        return jittered(self._rng, FIRST_WRITE_S)

    def _some_unknown(
        self, listed: Iterable[Address], live: tuple[Member, ...], count: int
    ) -> list[Address]:
        """Pick addresses at random that aren't those of live members."""
        known = {(member.host, member.port) for member in live}
        unknown = [address for address in listed if address not in known]
        self._rng.shuffle(unknown)
        return unknown[:count]

    def _write(self, live: tuple[Member, ...], now: float) -> list[Any]:
        """Add this node to its zone's seeds, if too few of them are live."""
        mine = (self._me.host, self._me.port)
        known = {
            (member.host, member.port)
            for member in live
            if member.zone == self._me.zone
        }
        usable = [entry for entry in self._of_zone if entry in known]
        if mine in usable or len(usable) >= SEEDS_NEEDED:
            return []
        kept = [mine, *usable]
        spare = sorted(known.difference(kept))
        added = self._rng.sample(
            spare, min(len(spare), SEEDS_LISTED - len(kept))
        )
        listed = [list(entry) for entry in (*kept, *added)]
        return [
            PlatformWrite(
                self._new_token(now),
                SEEDS_KIND,
                self._me.zone,
                self._version,
                {'addresses': listed[:SEEDS_LISTED]},
            )
        ]

    def _new_token(self, now: float) -> str:
        nonce = new_nonce(self._rng)
        self._token = f'{_TOKEN}{nonce}'
        self._token_until = now + REPLY_WAIT_S
        return self._token

    def _failed(self, live_count: int, now: float) -> None:
        """Look again later; an outcome that is unknown is looked up."""
        self._token = ''
        self._failures += 1
        if live_count > 1:
            self._next_review_at = now + self._review_pause(live_count)
            return
        wait = min(
            RETRY_MAX_S, RETRY_MIN_S * 2 ** min(self._failures, MOST_DOUBLINGS)
        )
        self._next_review_at = now + jittered(self._rng, wait)
