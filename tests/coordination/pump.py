"""A message pump that simulates a network of nodes with a virtual clock."""

import functools
import heapq
import itertools
import random
from collections.abc import Callable, Iterable, Iterator
from typing import Any

import attrs

from daisyline.coordination.effects import (
    PlatformList,
    PlatformReply,
    PlatformWatch,
    PlatformWrite,
    Send,
)
from daisyline.coordination.membership.fleet import Fleet
from daisyline.coordination.membership.fleet_events import (
    GossipMessageReceived,
    ReaderRoleChanged,
    SendToAddress,
    SettingsChanged,
    SettingsRefused,
)
from daisyline.coordination.settings.platform_reading import PlatformReadConfig
from daisyline.state.members import Member
from tests.support import fixture

PORT = 7000
ZONES = (
    ('ghent-a', 'flanders'),
    ('ghent-b', 'flanders'),
    ('antwerp-c', 'flanders'),
    ('recife', 'nordeste'),
)

_RECORDED_EFFECTS = (ReaderRoleChanged, SettingsChanged, SettingsRefused)

_Key = tuple[str, str]
_ListedObject = tuple[str, int, Any]
_VersionedContent = tuple[int, Any]
_Write = tuple[int, str, str, Any]
_ScheduledAction = tuple[float, int, Callable[[], None]]


def settings_value(**sections: Any) -> dict[str, Any]:
    """Return the platform's value of valid settings."""
    return {'tree': {'cluster': 'test', **sections}, 'changes': []}


@attrs.define
class FakePlatform:
    """Versioned objects and the faults of a real platform.

    Attributes:
        rng: The source of random numbers.
        up: Whether the platform replies without an error.
        lost_reply_share: The share of replies that are lost.
        stale_read_share: The share of lists that are some writes old.
        revision: The number of writes.
        calls: The number of requests received.
        stored: The version and content of each object.
        log: All writes, oldest first.
    """

    rng: random.Random
    up: bool = True
    lost_reply_share: float = 0
    stale_read_share: float = 0
    revision: int = 0
    calls: int = 0
    stored: dict[_Key, _VersionedContent] = attrs.field(factory=dict)
    log: list[_Write] = attrs.field(factory=list)

    def put(self, kind: str, name: str, content: Any) -> int:
        """Write without a condition and return the new version."""
        self.revision += 1
        self.log.append((self.revision, kind, name, content))
        if content is None:
            self.stored.pop((kind, name), None)
        else:
            self.stored[kind, name] = (self.revision, content)
        return self.revision

    def write(self, effect: PlatformWrite) -> tuple[int, int]:
        """Write if the version matches; return the status and the version."""
        current, _ = self.stored.get((effect.kind, effect.name), (0, None))
        if current != effect.version:
            return 409, current
        return 200, self.put(effect.kind, effect.name, effect.content)

    def list_kind(
        self, kind: str, *, may_be_stale: bool = False
    ) -> tuple[int, list[_ListedObject]]:
        """List the objects of a kind; a share of the lists is stale."""
        until = self.revision
        if may_be_stale or self.rng.random() < self.stale_read_share:
            until = self.rng.randint(max(0, until - 3), until)
        latest: dict[str, _ListedObject] = {}
        for revision, of_kind, name, content in self.log:
            if of_kind == kind and revision <= until:
                latest[name] = (name, revision, content)
        return until, [item for item in latest.values() if item[2] is not None]

    def go_back(self, revision: int) -> None:
        """Come back as the platform was at a revision."""
        self.log = [write for write in self.log if write[0] <= revision]
        self.revision = revision
        self.stored.clear()
        for version, kind, name, content in self.log:
            if content is None:
                self.stored.pop((kind, name), None)
            else:
                self.stored[kind, name] = (version, content)

    def changes_since(self, kind: str, revision: int) -> list[_ListedObject]:
        """Return the writes of a kind after a revision."""
        return [
            (name, version, content)
            for version, of_kind, name, content in self.log
            if of_kind == kind and version > revision
        ]


@attrs.define
class Node:
    """A simulated node.

    Attributes:
        fleet: The decisions of the node.
        frozen: Whether its process is suspended.
        stopped: Whether its process has ended.
        next_tick_at: The time of its next tick, in virtual seconds.
        deferred_events: Events that arrived while it was suspended.
        effects: The changes of settings and of the reader role on the node.
        settings_version: The version of the settings that it has applied.
    """

    fleet: Fleet
    frozen: bool = False
    stopped: bool = False
    next_tick_at: float = float('inf')
    deferred_events: list[Any] = attrs.field(factory=list)
    effects: list[Any] = attrs.field(factory=list)
    settings_version: int = 0


def _never(_from: str, _to: str) -> bool:
    return False


def _ignore(*_of_effect: Any) -> None:
    """Ignore an effect."""


@attrs.define
class Pump:
    """Nodes, the messages in flight between them, and a platform.

    Attributes:
        rng: The source of random numbers.
        platform: The platform.
        now: The virtual time, in seconds.
        loss: The share of messages that are lost.
        duplicates: The share of messages that are delivered twice.
        delay_s: The shortest and longest delay of a message, in seconds.
        is_cut: Returns whether messages from a sender to a receiver are lost.
        on_send: Called with each sender and message.
        on_platform: Called with each platform request.
        refused_nodes: Nodes that get an error from the platform.
        unanswered_nodes: Nodes that get no reply from the platform.
        read_config: What nodes read from the platform.
        nodes: The nodes, by name.
    """

    rng: random.Random
    platform: FakePlatform
    now: float = 1000.0
    loss: float = 0
    duplicates: float = 0
    delay_s: tuple[float, float] = (0.001, 0.003)
    is_cut: Callable[[str, str], bool] = _never
    on_send: Callable[[str, Any], None] = _ignore
    on_platform: Callable[[Any], None] = _ignore
    refused_nodes: frozenset[str] = frozenset()
    unanswered_nodes: frozenset[str] = frozenset()
    read_config: PlatformReadConfig = attrs.field(factory=PlatformReadConfig)
    nodes: dict[str, Node] = attrs.field(factory=dict)
    _by_address: dict[tuple[str, int], str] = attrs.field(factory=dict)
    _queue: list[_ScheduledAction] = attrs.field(factory=list)
    _order: Iterator[int] = attrs.field(factory=itertools.count)

    def start(self, number: int, peers: Iterable[int] = ()) -> Fleet:
        """Start a node, or restart it with a newer incarnation."""
        zone, region = ZONES[number % len(ZONES)]
        me = Member(
            name=f'n{number}',
            host=f'10.0.0.{number}',
            port=PORT,
            zone=zone,
            region=region,
            incarnation=int(self.now * 1_000_000),
        )
        addresses = tuple((f'10.0.0.{peer}', PORT) for peer in peers)
        fleet = Fleet.from_config(
            me,
            'test',
            addresses,
            random.Random(self.rng.random()),
            self.now,
            self.read_config,
        )
        if me.name in self.nodes:
            self.stop(me.name)
        self.nodes[me.name] = Node(fleet)
        self._by_address[me.host, me.port] = me.name
        self._schedule(me.name, self.nodes[me.name])
        return fleet

    def stop(self, name: str) -> None:
        """Kill a node; other nodes are not notified."""
        self.nodes[name].stopped = True

    def freeze(self, name: str) -> None:
        """Suspend a node's process; events for it wait."""
        self.nodes[name].frozen = True

    def thaw(self, name: str) -> None:
        """Resume a suspended process and deliver the waiting events."""
        node = self.nodes[name]
        node.frozen = False
        node.next_tick_at = float('inf')
        events = list(node.deferred_events)
        node.deferred_events.clear()
        for event in events:
            self.deliver(name, event)
        self._schedule(name, node)

    def live(self) -> dict[str, Fleet]:
        """Return the nodes that are neither stopped nor suspended."""
        return {
            name: node.fleet
            for name, node in self.nodes.items()
            if not node.stopped and not node.frozen
        }

    def run(self, seconds: float) -> None:
        """Advance the virtual time and run all actions until then."""
        until = self.now + seconds
        while self._queue and self._queue[0][0] <= until:
            when, _, action = heapq.heappop(self._queue)
            self.now = when
            action()
        self.now = until

    def run_until(self, holds: Callable[[], bool], limit_s: float) -> float:
        """Advance the time until a condition holds; return the seconds."""
        started_at = self.now
        while not holds():
            assert self.now - started_at < limit_s, f'not within {limit_s} s'
            self.run(0.1)
        return self.now - started_at

    def deliver(self, name: str, event: Any) -> None:
        """Deliver an event to a node."""
        node = self.nodes[name]
        if node.frozen:
            node.deferred_events.append(event)
        elif not node.stopped:
            self.carry_out(name, node.fleet.handle(event, self.now))

    def carry_out(self, name: str, effects: Iterable[Any]) -> None:
        """Apply the effects of a node's decisions."""
        node = self.nodes[name]
        for effect in effects:
            self._apply_effect(name, node, effect)
        version = node.fleet.settings.version
        assert version >= node.settings_version, 'settings version decreased'
        node.settings_version = version
        self._schedule(name, node)

    def _apply_effect(self, name: str, node: Node, effect: Any) -> None:
        if isinstance(effect, Send):
            self._transmit(name, effect.node, effect.message)
        elif isinstance(effect, SendToAddress):
            receiver = self._by_address.get((effect.host, effect.port), '')
            self._transmit(name, receiver, effect.message)
        elif isinstance(effect, (PlatformList, PlatformWatch, PlatformWrite)):
            self.platform.calls += 1
            self.on_platform(effect)
            self._after(lambda: self._ask_platform(name, effect, self.now))
        elif isinstance(effect, _RECORDED_EFFECTS):
            node.effects.append(effect)

    def _transmit(self, sender: str, receiver: str, message: Any) -> None:
        self.on_send(sender, message)
        copies = 2 if self.rng.random() < self.duplicates else 1
        for _ in range(copies):
            if receiver not in self.nodes or self.rng.random() < self.loss:
                continue
            if not self.is_cut(sender, receiver):
                event = GossipMessageReceived(sender, message)
                self._after(functools.partial(self.deliver, receiver, event))

    def _ask_platform(self, name: str, effect: Any, started_at: float) -> None:
        if name in self.unanswered_nodes:
            return
        if not self.platform.up or name in self.refused_nodes:
            self.deliver(name, PlatformReply(effect.token, 503))
            return
        reply = self._platform_reply(effect, started_at)
        if reply is None:
            self._after(
                lambda: self._ask_platform(name, effect, started_at), 0.05
            )
        elif self.rng.random() < self.platform.lost_reply_share:
            self._after(
                lambda: self.deliver(name, PlatformReply(effect.token, 0)), 2
            )
        else:
            self._after(lambda: self.deliver(name, reply))

    def _platform_reply(
        self, effect: Any, started_at: float
    ) -> PlatformReply | None:
        """Return the reply, or None while a watch waits."""
        if isinstance(effect, PlatformWrite):
            return PlatformReply(effect.token, *self.platform.write(effect))
        if isinstance(effect, PlatformList):
            return PlatformReply(
                effect.token,
                200,
                *self.platform.list_kind(
                    effect.kind, may_be_stale=effect.may_be_stale
                ),
            )
        changes = self.platform.changes_since(effect.kind, effect.since)
        if not changes and self.now < started_at + effect.wait_ms / 1000:
            return None
        revision = self.platform.revision
        return PlatformReply(effect.token, 200, revision, changes)

    def _schedule(self, name: str, node: Node) -> None:
        next_tick_at = max(self.now, node.fleet.next_at())
        if next_tick_at < node.next_tick_at:
            node.next_tick_at = next_tick_at
            self._at(next_tick_at, lambda: self._tick(name, node, next_tick_at))

    def _tick(self, name: str, node: Node, next_tick_at: float) -> None:
        if node.next_tick_at != next_tick_at or node.stopped or node.frozen:
            return
        node.next_tick_at = float('inf')
        if self.nodes[name] is node:
            self.carry_out(name, node.fleet.tick(self.now))

    def _after(self, action: Callable[[], None], seconds: float = 0) -> None:
        self._at(
            self.now + (seconds or self.rng.uniform(*self.delay_s)), action
        )

    def _at(self, when: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (when, next(self._order), action))


def readers_of(pump: Pump) -> list[str]:
    """Return the names of the live nodes that read the platform for others."""
    return [
        name
        for name, fleet in pump.live().items()
        if fleet._gossip.reader_role._reading
    ]


def make_pump(seed: int) -> Pump:
    """Return a pump without nodes."""
    rng = random.Random(seed)
    return Pump(rng, FakePlatform(rng))


@fixture
def pump() -> Iterator[Pump]:
    """Yield a pump without nodes."""
    yield make_pump(1)


@fixture
def twelve_nodes(pump: Pump) -> Iterator[Pump]:
    """Yield twelve nodes that know each other and the settings."""
    pump.platform.put('settings', 'tree', settings_value())
    for number in range(12):
        pump.start(number)
    pump.run(20)
    yield pump
