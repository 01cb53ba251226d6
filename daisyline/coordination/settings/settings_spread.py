"""Propagation of settings between nodes; the largest version wins.

Nodes exchange versions, and send the content only to a peer that requests it.
"""

import json
import zlib
from collections import deque
from collections.abc import Iterable, Mapping
from typing import Any

import attrs

from daisyline.coordination.effects import Send
from daisyline.coordination.membership.fleet_events import (
    SettingsChanged,
    SettingsRefused,
)
from daisyline.coordination.membership.gossip_messages import (
    SettingsContent,
    SettingsRequest,
    SettingsVersionNotice,
)
from daisyline.state.orders import Orders
from daisyline.state.settings import Settings
from daisyline.state.settings_history import EDITION
from daisyline.state.store_time import StoreTime

MAX_CONTENT_BYTES = 2 * 1024 * 1024
REQUEST_TIMEOUT_S = 1.0
START_WAIT_S = 5.0
# Rejected versions that are remembered, so that they are not read again.
_MAX_REJECTED_VERSIONS = 16
OTHER_ANSWERS_WAIT_S = 0.5
# A node that has read customers' keys after its start waits so long for an answer
# of another node; a node that is alone has to become ready, too. On idle machines
# others answer within some 0.1 s, on machines with far too much load within
# seconds.
PEERS_WAIT_S = 3.0


def pack_value(value: Any) -> bytes:
    """Return a value as compressed JSON."""
    text = json.dumps(value, separators=(',', ':'), sort_keys=True)
    return zlib.compress(text.encode())


def unpack_value(content: bytes) -> Any:
    """Return the value of compressed JSON.

    Raises:
        ValueError: If the bytes aren't compressed JSON, or the text is longer
            than `MAX_CONTENT_BYTES`.
    """
    unpacker = zlib.decompressobj()
    try:
        text = unpacker.decompress(content, MAX_CONTENT_BYTES)
    except zlib.error as error:
        raise ValueError('settings are not valid zlib data') from error
    if not unpacker.eof:
        raise ValueError('settings are truncated or too long')
    try:
        return json.loads(text)
    except RecursionError as error:
        raise ValueError('settings are nested too deeply') from error


def _value_for_peers(settings: Settings) -> dict[str, Any]:
    """Return the value that other nodes need, without its history."""
    edition = {EDITION: settings.edition} if settings.edition else {}
    return {'tree': settings.tree, **edition}


@attrs.define
class SettingsSpread:
    """The settings that a node holds, and those in force on it.

    After a start, the settings held come into force only when peers had time
    to send their versions, and while no member is known to hold a newer one.
    """

    _start_wait_until: float
    _in_force: Settings = attrs.field(factory=Settings)
    _held: Settings = attrs.field(factory=Settings)
    _content: bytes = b''
    _versions: dict[str, int] = attrs.field(factory=dict)
    _rejected_versions: deque[int] = attrs.field(
        factory=lambda: deque(maxlen=_MAX_REJECTED_VERSIONS)
    )
    _requested_from: str = ''
    _request_expires_at: float = 0
    _is_start_wait_over: bool = False
    _has_peer_answered: bool = False

    @property
    def in_force(self) -> Settings:
        """Return the settings in force on this node."""
        return self._in_force

    @property
    def version(self) -> int:
        """Return the version that this node holds."""
        return self._held.version

    @property
    def is_start_wait_over(self) -> bool:
        """Return whether settings held may come into force after the start."""
        return self._is_start_wait_over

    @property
    def versions(self) -> Mapping[str, int]:
        """Return the newest version known of each peer, by its name."""
        return self._versions

    def next_at(self) -> float:
        """Return when `tick` must be called next."""
        if self._requested_from:
            return self._request_expires_at
        return (
            float('inf') if self._is_start_wait_over else self._start_wait_until
        )

    def record_version(self, node: str, version: int) -> None:
        """Record that a member holds a version."""
        known = self._versions.get(node, 0)
        self._versions[node] = max(version, known)

    def handle_peer_version(
        self, node: str, version: int, now: float
    ) -> list[Any]:
        """Record a peer's version; request it, or announce a newer one."""
        if not self._has_peer_answered:
            self._has_peer_answered = True
            self._start_wait_until = now + OTHER_ANSWERS_WAIT_S
        self.record_version(node, version)
        effects: list[Any] = []
        if version < self.version:
            effects.append(Send(node, SettingsVersionNotice(self.version)))
        elif self._is_wanted(version):
            effects.extend(self._request_from(node, now))
        return effects + self._put_in_force(now)

    def handle_request(self, node: str, version: int, now: float) -> list[Any]:
        """Answer a peer that requests settings newer than its version."""
        self.record_version(node, version)
        if version >= self.version:
            return self.handle_peer_version(node, version, now)
        return self.content_for(node, version)

    def content_for(self, node: str, version: int) -> list[Any]:
        """Return the content held for a peer that holds an older version."""
        if version >= self.version:
            return []
        return [Send(node, SettingsContent(self.version, self._content))]

    def handle_content(
        self, message: SettingsContent, peers: Iterable[str], now: float
    ) -> list[Any]:
        """Adopt settings that a peer sent; damaged ones are ignored."""
        if not self._is_wanted(message.version):
            return []
        try:
            value = unpack_value(message.content)
        except ValueError:
            return []
        return self.adopt(message.version, value, peers, now)

    def adopt(
        self, version: int, value: Any, peers: Iterable[str], now: float
    ) -> list[Any]:
        """Adopt settings if they are newer than those held and rejected.

        Args:
            version: Their version.
            value: The value of the platform's object.
            peers: The nodes to notify unless they hold this version.
            now: Monotonic seconds.

        Returns:
            Effects; `SettingsRefused` if the settings aren't valid.
        """
        if not self._is_wanted(version):
            return []
        settings = Settings.from_object(version, value)
        if isinstance(settings, list):
            self._rejected_versions.append(version)
            return [SettingsRefused(version, tuple(settings))]
        if self._has_later_edition(settings):
            self._rejected_versions.append(version)
            return []
        self._held = attrs.evolve(settings, orders=self._held.orders)
        # Nodes need only the tree; operators read the history of changes from
        # the platform.
        self._content = pack_value(_value_for_peers(settings))
        self._requested_from = ''
        notice = SettingsVersionNotice(version)
        effects: list[Any] = [
            Send(peer, notice)
            for peer in peers
            if self._versions.get(peer, 0) < version
        ]
        return self._put_in_force(now) + effects

    def end_start_wait(self, now: float) -> list[Any]:
        """End the wait after a start, as the platform was just read.

        Settings with customers' keys still wait for other nodes, as a read that
        is older than what they hold would bring withdrawn keys back.
        """
        wait_s = PEERS_WAIT_S if self._held.customers.requires_keys else 0
        self._start_wait_until = min(self._start_wait_until, now + wait_s)
        return self._put_in_force(now)

    def apply_orders(self, orders: Orders) -> list[Any]:
        """Apply the orders that are kept apart from the settings tree."""
        self._held = attrs.evolve(self._held, orders=orders)
        if self._in_force.orders == orders:
            return []
        self._in_force = attrs.evolve(self._in_force, orders=orders)
        return [SettingsChanged(self._in_force)]

    def tick(self, live: Iterable[str], now: float) -> list[Any]:
        """Repeat an unanswered request to another peer; end the start wait."""
        effects = self._put_in_force(now)
        if now < self.next_at():
            return effects
        requested_from = self._requested_from
        self._requested_from = ''
        self._start_wait_until = max(
            self._start_wait_until, now + REQUEST_TIMEOUT_S
        )
        newer = [
            name
            for name in live
            if self._is_wanted(self._versions.get(name, 0))
        ]
        others = [name for name in newer if name != requested_from] or newer
        if others:
            effects.extend(self._request_from(others[0], now))
        return effects

    def forget_member(self, name: str, now: float) -> list[Any]:
        """Drop the version and request of a member that was removed."""
        self._versions.pop(name, None)
        if self._requested_from == name:
            self._requested_from = ''
            wait_until = now + OTHER_ANSWERS_WAIT_S
            self._start_wait_until = max(self._start_wait_until, wait_until)
        return self._put_in_force(now)

    def _has_later_edition(self, settings: Settings) -> bool:
        """Return whether the settings held are a later edition of others.

        An older copy of the store has earlier editions, at a later time than
        those held, until operators have written theirs again.
        """
        held = StoreTime.from_rank(self.version)
        is_later_era = StoreTime.from_rank(settings.version).era > held.era
        return is_later_era and 0 < settings.edition < self._held.edition

    def _is_wanted(self, version: int) -> bool:
        """Return whether a version is newer than the one held, and not rejected.

        Versions before a rejected one count: a node that starts while the
        platform holds malformed settings gets those before from other nodes.
        """
        return version > self.version and version not in self._rejected_versions

    def _request_from(self, node: str, now: float) -> list[Any]:
        if self._requested_from and now < self._request_expires_at:
            return []
        self._requested_from = node
        self._request_expires_at = now + REQUEST_TIMEOUT_S
        return [Send(node, SettingsRequest(self.version))]

    def _put_in_force(self, now: float) -> list[Any]:
        """Put the settings held in force, unless newer ones are known."""
        if not self._is_start_wait_over:
            behind = any(map(self._is_wanted, self._versions.values()))
            self._is_start_wait_over = (
                now >= self._start_wait_until and not behind
            )
        if (
            not self._is_start_wait_over
            or self._in_force.version >= self._held.version
        ):
            return []
        assert self._held.version > self._in_force.version
        self._in_force = self._held
        return [SettingsChanged(self._held)]
