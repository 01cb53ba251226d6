"""Tally of the members that hold the newest settings, one bit per member.

While some bits are missing, nodes exchange a bit string with one bit for each
live member in the order of names. Bit strings for the same version and the
same names are merged with a bitwise or, so that every node knows all
holders after a few exchanges.
"""

import random
from typing import Any

import attrs

from daisyline.coordination.effects import Send
from daisyline.coordination.jitter import jittered
from daisyline.coordination.membership.gossip_messages import SettingsHolders
from daisyline.coordination.membership.membership import Membership
from daisyline.coordination.membership.overlay import stable_hash
from daisyline.coordination.settings.settings_spread import SettingsSpread

EXCHANGE_INTERVAL_S = 0.25
EXCHANGE_DURATION_S = 30.0
_BITS_PER_BYTE = 8
_NEVER = float('inf')


@attrs.define
class HolderTally:
    """The members that hold the same settings version as this node."""

    _members: Membership
    _settings: SettingsSpread
    _rng: random.Random
    _version: int = 0
    _generation: int = 0
    _names: tuple[str, ...] = ()
    _names_hash: int = 0
    _bits: int = 0
    _needs_refresh: bool = True
    _exchange_until: float = 0
    _next_at: float = _NEVER

    def next_at(self) -> float:
        """Return when `tick` must be called next."""
        return self._next_at

    def restart_if_changed(self, now: float) -> None:
        """Restart the exchange if the members or the version changed."""
        current = (self._settings.version, self._members.overlay.generation)
        if current == (self._version, self._generation):
            return
        self._needs_refresh = True
        self._version = self._settings.version
        self._generation = self._members.overlay.generation
        self._exchange_until = now + EXCHANGE_DURATION_S
        first_exchange_at = now + jittered(self._rng, EXCHANGE_INTERVAL_S)
        self._next_at = min(self._next_at, first_exchange_at)

    def tick(self, now: float) -> list[Any]:
        """Send the bits to one neighbour, if an exchange is due."""
        if now < self._next_at:
            return []
        self._next_at = _NEVER
        self._refresh()
        neighbours = self._members.overlay.recipients(self._members.suspects)
        if self._is_complete() or now >= self._exchange_until or not neighbours:
            return []
        self._next_at = now + jittered(self._rng, EXCHANGE_INTERVAL_S)
        return [Send(self._rng.choice(neighbours), self._message())]

    def merge(
        self, node: str, message: SettingsHolders, now: float
    ) -> list[Any]:
        """Merge a peer's bits; send ours if the peer lacks some."""
        self._refresh()
        expected = (self._version, self._names_hash)
        if (message.version, message.names_hash) != expected:
            return []
        theirs = int.from_bytes(message.bits, 'little')
        new_bits = theirs & ~self._bits
        self._bits |= new_bits
        for index, name in enumerate(self._names):
            if new_bits >> index & 1:
                self._settings.record_version(name, self._version)
        if self._bits & ~theirs:
            return [Send(node, self._message())]
        return []

    def _is_complete(self) -> bool:
        return self._bits == (1 << len(self._names)) - 1

    def _message(self) -> SettingsHolders:
        length = -(-len(self._names) // _BITS_PER_BYTE)
        bits = self._bits.to_bytes(length, 'little')
        return SettingsHolders(self._version, self._names_hash, bits)

    def _refresh(self) -> None:
        """Recompute names and bits after members or settings changed."""
        if not self._needs_refresh:
            return
        self._needs_refresh = False
        self._names = tuple(sorted(self._members.live))
        self._names_hash = stable_hash('\n'.join(self._names))
        versions = self._settings.versions
        self._bits = sum(
            1 << index
            for index, name in enumerate(self._names)
            if versions.get(name, 0) >= self._version
            or name == self._members.own_member.name
        )
