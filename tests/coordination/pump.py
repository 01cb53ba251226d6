"""An in-memory message pump with a virtual clock, for tests and measurements."""

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
from daisyline.coordination.fleet import Fleet
from daisyline.coordination.fleet_events import (
    GossipMessageReceived,
    SendToAddress,
    SettingsChanged,
    SettingsRefused,
)
from daisyline.state.members import Member
from tests.support import fixture

PORT = 7000
ZONES = (
    ('ghent-a', 'flanders'),
    ('ghent-b', 'flanders'),
    ('antwerp-c', 'flanders'),
    ('recife', 'nordeste'),
)

_Key = tuple[str, str]
_Listed = tuple[str, int, Any]
_Version = tuple[int, Any]
_Write = tuple[int, str, str, Any]
_Timed = tuple[float, int, Callable[[], None]]


def settings_value(**sections: Any) -> dict[str, Any]:
    """Return what the platform holds for a valid tree."""
    return {'tree': {'cluster': 'test', **sections}, 'changes': []}


@attrs.define
class FakePlatform:
    """Objects with versions, with the faults of a real store."""

    rng: random.Random
    up: bool = True
    lost_reply_share: float = 0
    stale_read_share: float = 0
    revision: int = 0
    calls: int = 0
    stored: dict[_Key, _Version] = attrs.field(factory=dict)
    log: list[_Write] = attrs.field(factory=list)

    def put(self, kind: str, name: str, content: Any) -> int:
        """Write without a condition, as an operator who has won a race."""
        self.revision += 1
        self.log.append((self.revision, kind, name, content))
        if content is None:
            self.stored.pop((kind, name), None)
        else:
            self.stored[kind, name] = (self.revision, content)
        return self.revision

    def write(self, effect: PlatformWrite) -> tuple[int, int]:
        """Write if the version is the expected one; return status, version."""
        held, _ = self.stored.get((effect.kind, effect.name), (0, None))
        if held != effect.version:
            return 409, held
        return 200, self.put(effect.kind, effect.name, effect.content)

    def listed(self, kind: str) -> tuple[int, list[_Listed]]:
        """List a kind, at times as it was some writes ago."""
        until = self.revision
        if self.rng.random() < self.stale_read_share:
            until = self.rng.randint(max(0, until - 3), until)
        latest: dict[str, _Listed] = {}
        for revision, of_kind, name, content in self.log:
            if of_kind == kind and revision <= until:
                latest[name] = (name, revision, content)
        return until, [item for item in latest.values() if item[2] is not None]

    def since(self, kind: str, revision: int) -> list[_Listed]:
        """Return what changed after a revision."""
        return [
            (name, version, content)
            for version, of_kind, name, content in self.log
            if of_kind == kind and version > revision
        ]


@attrs.define
class Node:
    """A node of the pump and its state as a process."""

    fleet: Fleet
    frozen: bool = False
    stopped: bool = False
    due: float = float('inf')
    held_back: list[Any] = attrs.field(factory=list)
    effects: list[Any] = attrs.field(factory=list)
    in_force: int = 0


def _never(_from: str, _to: str) -> bool:
    return False


def _ignored(*_of_effect: Any) -> None:
    """Measure nothing."""


@attrs.define
class Pump:
    """Nodes, the messages on their way between them, and a platform."""

    rng: random.Random
    platform: FakePlatform
    now: float = 1000.0
    loss: float = 0
    duplicates: float = 0
    delay_s: tuple[float, float] = (0.001, 0.003)
    is_cut: Callable[[str, str], bool] = _never
    on_send: Callable[[str, Any], None] = _ignored
    on_platform: Callable[[Any], None] = _ignored
    refused_nodes: frozenset[str] = frozenset()
    unanswered_nodes: frozenset[str] = frozenset()
    nodes: dict[str, Node] = attrs.field(factory=dict)
    _by_address: dict[tuple[str, int], str] = attrs.field(factory=dict)
    _queue: list[_Timed] = attrs.field(factory=list)
    _order: Iterator[int] = attrs.field(factory=itertools.count)

    def start(self, number: int, peers: Iterable[int] = ()) -> Fleet:
        """Start a node, or start it anew with a newer incarnation."""
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
            me, 'test', addresses, random.Random(self.rng.random()), self.now
        )
        if me.name in self.nodes:
            self.stop(me.name)
        self.nodes[me.name] = Node(fleet)
        self._by_address[me.host, me.port] = me.name
        self._schedule(me.name, self.nodes[me.name])
        return fleet

    def stop(self, name: str) -> None:
        """Kill a node without warning."""
        self.nodes[name].stopped = True

    def freeze(self, name: str) -> None:
        """Halt a node's process; what reaches it waits."""
        self.nodes[name].frozen = True

    def thaw(self, name: str) -> None:
        """Let a halted process run on."""
        node = self.nodes[name]
        node.frozen = False
        node.due = float('inf')
        events = list(node.held_back)
        node.held_back.clear()
        for event in events:
            self.deliver(name, event)
        self._schedule(name, node)

    def live(self) -> dict[str, Fleet]:
        """Return the nodes that run."""
        return {
            name: node.fleet
            for name, node in self.nodes.items()
            if not node.stopped and not node.frozen
        }

    def run(self, seconds: float) -> None:
        """Let time pass."""
        until = self.now + seconds
        while self._queue and self._queue[0][0] <= until:
            when, _, action = heapq.heappop(self._queue)
            self.now = when
            action()
        self.now = until

    def run_until(self, holds: Callable[[], bool], limit_s: float) -> float:
        """Let time pass until something holds; return how long it took."""
        began = self.now
        while not holds():
            assert self.now - began < limit_s, f'not within {limit_s} s'
            self.run(0.1)
        return self.now - began

    def deliver(self, name: str, event: Any) -> None:
        """Hand an event to a node."""
        node = self.nodes[name]
        if node.frozen:
            node.held_back.append(event)
        elif not node.stopped:
            self.carry_out(name, node.fleet.handle(event, self.now))

    def carry_out(self, name: str, effects: Iterable[Any]) -> None:
        """Do what a node's decisions ask for."""
        node = self.nodes[name]
        for effect in effects:
            self._carry_one(name, node, effect)
        version = node.fleet.settings.version
        assert version >= node.in_force, 'settings went back'
        node.in_force = version
        self._schedule(name, node)

    def _carry_one(self, name: str, node: Node, effect: Any) -> None:
        if isinstance(effect, Send):
            self._transmit(name, effect.node, effect.message)
        elif isinstance(effect, SendToAddress):
            known = self._by_address.get((effect.host, effect.port), '')
            self._transmit(name, known, effect.message)
        elif isinstance(effect, (PlatformList, PlatformWatch, PlatformWrite)):
            self.platform.calls += 1
            self.on_platform(effect)
            self._after(lambda: self._ask_platform(name, effect, self.now))
        elif isinstance(effect, (SettingsChanged, SettingsRefused)):
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

    def _ask_platform(self, name: str, effect: Any, began: float) -> None:
        if name in self.unanswered_nodes:
            return
        if not self.platform.up or name in self.refused_nodes:
            self.deliver(name, PlatformReply(effect.token, 503))
            return
        reply = self._platform_answer(effect, began)
        if reply is None:
            self._after(lambda: self._ask_platform(name, effect, began), 0.05)
        elif self.rng.random() < self.platform.lost_reply_share:
            self._after(
                lambda: self.deliver(name, PlatformReply(effect.token, 0)), 2
            )
        else:
            self._after(lambda: self.deliver(name, reply))

    def _platform_answer(
        self, effect: Any, began: float
    ) -> PlatformReply | None:
        """Return the answer, or None while a watch waits."""
        if isinstance(effect, PlatformWrite):
            return PlatformReply(effect.token, *self.platform.write(effect))
        if isinstance(effect, PlatformList):
            return PlatformReply(
                effect.token, 200, *self.platform.listed(effect.kind)
            )
        changes = self.platform.since(effect.kind, effect.since)
        if not changes and self.now < began + effect.wait_ms / 1000:
            return None
        revision = self.platform.revision
        return PlatformReply(effect.token, 200, revision, changes)

    def _schedule(self, name: str, node: Node) -> None:
        due = max(self.now, node.fleet.next_at())
        if due < node.due:
            node.due = due
            self._at(due, lambda: self._tick(name, node, due))

    def _tick(self, name: str, node: Node, due: float) -> None:
        if node.due != due or node.stopped or node.frozen:
            return
        node.due = float('inf')
        if self.nodes[name] is node:
            self.carry_out(name, node.fleet.tick(self.now))

    def _after(self, action: Callable[[], None], seconds: float = 0) -> None:
        self._at(
            self.now + (seconds or self.rng.uniform(*self.delay_s)), action
        )

    def _at(self, when: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (when, next(self._order), action))


def make_pump(seed: int) -> Pump:
    """Make an empty pump."""
    rng = random.Random(seed)
    return Pump(rng, FakePlatform(rng))


@fixture
def pump() -> Iterator[Pump]:
    """Give an empty pump."""
    yield make_pump(1)


@fixture
def twelve_nodes(pump: Pump) -> Iterator[Pump]:
    """Give twelve nodes that have found each other and settings."""
    pump.platform.put('settings', 'tree', settings_value())
    for number in range(12):
        pump.start(number)
    pump.run(20)
    yield pump
