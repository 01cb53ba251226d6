"""Choose the nodes that read the platform, and read on one of them."""

import functools
import heapq
import random
from collections.abc import Iterable
from typing import Any

import attrs

from daisyline.coordination.effects import (
    PlatformList,
    PlatformReply,
    PlatformWatch,
)
from daisyline.coordination.jitter import jittered, new_nonce
from daisyline.coordination.overlay import stable_hash
from daisyline.state.members import Member

SETTINGS_KIND = 'settings'
SETTINGS_NAME = 'tree'
READERS_PER_REGION = 2
WATCH_MS = 30_000
REPLY_GRACE_S = 10.0
RETRY_MIN_S = 0.5
RETRY_MAX_S = 5.0
CONFIRMED_BOUND_S = 90.0
UNCONFIRMED_READ_S_PER_MEMBER = 0.5
_OK = 200
_CACHED_NAMES = 4096
_TOKEN = 'fleet-settings-'


def readers_of(members: Iterable[Member], region: str) -> list[str]:
    """Return the names of the members that read for a region."""
    names = [member.name for member in members if member.region == region]
    return heapq.nsmallest(READERS_PER_REGION, names, key=_rank)


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
    _next_read_at: float
    _confirmed_at: float
    _confirmed: int = 0
    _revision: int = 0
    _listed: bool = False
    _reading: bool = False
    _token: str = ''
    _token_until: float = float('inf')
    _failures: int = 0

    @property
    def confirmed(self) -> int:
        """Return the newest confirmation heard of."""
        return self._confirmed

    def next_at(self) -> float:
        """Return when `tick` must be called next."""
        return self._token_until if self._token else self._next_read_at

    def hear(self, confirmed: int, now: float) -> None:
        """Note a confirmation that another node passed on."""
        if confirmed > self._confirmed:
            self._confirmed = confirmed
            self._confirmed_at = now

    def choose(self, members: Iterable[Member], now: float) -> None:
        """Become a reader, or cease to be one, as the members changed."""
        chosen = self._name in readers_of(members, self._region)
        if chosen and not self._reading:
            soon = now + jittered(self._rng, RETRY_MIN_S)
            self._next_read_at = min(self._next_read_at, soon)
            self._listed = False
        self._reading = chosen

    def tick(self, member_count: int, now: float) -> list[Any]:
        """Return the read that is due."""
        if self._token and now >= self._token_until:
            self._failed(member_count, now)
        if self._token or now < self._next_read_at:
            return []
        if not self._reading and not self._is_overdue(now):
            self._wait_for_confirmation()
            return []
        nonce = new_nonce(self._rng)
        self._token = f'{_TOKEN}{nonce}'
        if self._reading and self._listed:
            self._token_until = now + WATCH_MS / 1000 + REPLY_GRACE_S
            watch = PlatformWatch(
                self._token, SETTINGS_KIND, self._revision, WATCH_MS
            )
            return [watch]
        self._token_until = now + REPLY_GRACE_S
        return [PlatformList(self._token, SETTINGS_KIND)]

    def replied(
        self, reply: PlatformReply, member_count: int, now: float
    ) -> list[tuple[int, Any]]:
        """Take the platform's answer.

        Returns:
            Versions and values of the settings that it brought.
        """
        if reply.token != self._token:
            return []
        if reply.status != _OK:
            self._failed(member_count, now)
            return []
        self._token = ''
        self._failures = 0
        self._listed = True
        self._revision = max(self._revision, reply.version)
        self._confirmed += 1
        self._confirmed_at = now
        self._next_read_at = now
        if not self._reading:
            self._wait_for_confirmation()
        return [
            (version, value)
            for name, version, value in reply.content or ()
            if name == SETTINGS_NAME and value is not None
        ]

    def _is_overdue(self, now: float) -> bool:
        if not self._listed and self._failures == 0:
            return True
        return now >= self._confirmed_at + CONFIRMED_BOUND_S

    def _wait_for_confirmation(self) -> None:
        wait = CONFIRMED_BOUND_S + jittered(self._rng, CONFIRMED_BOUND_S)
        self._next_read_at = self._confirmed_at + wait

    def _failed(self, member_count: int, now: float) -> None:
        """Try again later; nodes that aren't readers much later."""
        self._token = ''
        self._listed = False
        self._failures += 1
        wait = min(RETRY_MAX_S, RETRY_MIN_S * 2 ** min(self._failures, 8))
        if not self._reading:
            wait = max(wait, member_count * UNCONFIRMED_READ_S_PER_MEMBER)
        self._next_read_at = now + jittered(self._rng, wait)
