"""A few nodes with their duties, a store and the API for reports, simulated.

All of them may be slow, fail or lose messages. The API checks what must never
occur when it executes a call, which may be seconds after the call was sent.
"""

import functools
import heapq
import itertools
import random
from collections.abc import Callable, Iterator
from typing import Any

import attrs

from daisyline.coordination.calls import call_events as ev
from daisyline.coordination.duties import duty_handlers
from daisyline.coordination.duties.duties import Duties
from daisyline.coordination.duties.duty_config import DutyConfig
from daisyline.coordination.duties.duty_events import (
    DropUnsentReports,
    ReportUsage,
    UsageReply,
)
from daisyline.coordination.duties.duty_stages import HolderChanged
from daisyline.coordination.effects import (
    PlatformRead,
    PlatformReply,
    PlatformWrite,
    Send,
)
from daisyline.coordination.events import Event, EventLog
from daisyline.coordination.membership.fact_events import FactChanged, PutFact
from daisyline.state.facts import Fact
from daisyline.state.members import Member
from daisyline.state.settings import Settings
from tests.coordination.duties.fakes import (
    CONFIG,
    NEVER,
    FakeApi,
    FakeStore,
    SimulatedNode,
)

START = 1_767_000_000.0
SETTINGS = Settings.from_tree(
    1, {'tenants': {'acme': {'keys': ['h']}, 'globex': {'keys': ['i']}}}
)
SUSPECT_S = 1.0
REMOVAL_S = 4.0
SYNC_S = 1.0
STORE_TIMEOUT_S = 3.0
API_TIMEOUT_S = 2.0
ROUNDING_S = 1e-6


@attrs.define
class Timeline:
    """A virtual clock and the actions that wait for their time.

    Attributes:
        now: The true time, in seconds since 1970.
    """

    now: float = START
    _queue: list[Any] = attrs.field(factory=list)
    _order: Iterator[int] = attrs.field(factory=itertools.count)

    def run(self, seconds: float) -> None:
        """Let time pass."""
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            at, _, action = heapq.heappop(self._queue)
            self.now = max(self.now, at)
            action()
        self.now = end

    def call_later(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedule an action."""
        entry = (self.now + delay_s, next(self._order), action)
        heapq.heappush(self._queue, entry)

    def clock(self, node: SimulatedNode) -> float:
        """Return the monotonic clock of a node."""
        return self.now - START - node.suspended_s


@attrs.define(kw_only=True)
class DutyFleet(Timeline):
    """Nodes, the store, the API and the messages in flight.

    Attributes:
        store_delay_s: How long until the store executes a call, at most.
        lost_replies: The share of the store's replies that are lost.
        refused: Nodes that the store rejects.
        api_delay_s: How long until a call is sent, and then executed, at most.
        lost_answers: The share of the API's answers that are lost.
    """

    rng: random.Random
    config: DutyConfig = CONFIG
    store: FakeStore = attrs.field(factory=FakeStore)
    api: FakeApi = attrs.field(factory=FakeApi)
    store_delay_s: float = 0.02
    lost_replies: float = 0
    refused: set[str] = attrs.field(factory=set)
    api_delay_s: float = 0.02
    lost_answers: float = 0
    nodes: dict[str, SimulatedNode] = attrs.field(factory=dict)
    events: list[tuple[str, Event]] = attrs.field(factory=list)
    pending_writes: int = 0
    ticks: dict[str, int] = attrs.field(factory=dict)

    def start(self, name: str) -> None:
        """Start a node, or a new process of one that was killed."""
        start = int(self.now * 1_000_000)
        member = Member(name, '10.0.0.1', 1, 'ghent-a', 'flanders', start)
        event_log = EventLog.from_config()
        event_log.add_sink(lambda event: self.events.append((name, event)))
        node = SimulatedNode(member, Duties(member, event_log, self.config))
        node.duties.wall_clock = lambda: self.now
        node.duties.members = lambda: _seen_by(self, node, REMOVAL_S)
        node.duties.suspects = lambda: {
            other: 0
            for other in _seen_by(self, node, REMOVAL_S)
            if other not in _seen_by(self, node, SUSPECT_S)
        }
        node.duties.facts = lambda: node.facts
        self.nodes[name] = node
        node.duties.use_settings(SETTINGS, self.clock(node))
        _sync(self, node)
        for other in self.nodes.values():
            other.duties.change_members(self.clock(other))
            self._tick_later(other)

    def kill(self, name: str) -> None:
        """Kill the process of a node."""
        self.nodes[name].is_running = False
        self.nodes[name].update_lost(self.now)

    def cut(self, name: str, *, is_cut: bool = True) -> None:
        """Cut a node off from the others, not from the platform; or end it."""
        self.nodes[name].is_cut = is_cut
        self.nodes[name].update_lost(self.now)

    def suspend(self, name: str) -> None:
        """Suspend the process of a node."""
        node = self.nodes[name]
        if not node.is_suspended:
            node.is_suspended = True
            node.suspended_at = self.now
            node.update_lost(self.now)

    def resume(
        self, name: str, *, is_reported: bool = True, ticks_first: bool = False
    ) -> None:
        """Let a process go on.

        Args:
            name: The node.
            is_reported: Whether it notices that it was suspended.
            ticks_first: Whether its timers come before events that waited.
        """
        node = self.nodes[name]
        if not node.is_suspended:
            return
        node.is_suspended = False
        node.update_lost(self.now)
        gap_s = self.now - node.suspended_at
        node.suspended_s += gap_s
        if is_reported:
            self.deliver(node, ev.ProcessPaused(gap_s))
        if ticks_first:
            self._tick(node)
        pending = tuple(node.pending)
        node.pending.clear()
        for action in pending:
            action()
        self._tick(node)

    def count(self, name: str, calls: int = 1) -> None:
        """Start calls of a customer at the target beside a node."""
        node = self.nodes[name]
        if node.is_running and not node.is_suspended:
            for _ in range(calls):
                call = f'c{next(self._order)}'
                node.duties.record_start(call, 'acme', self.clock(node))
                node.duties.record_end(call)
            self._tick_later(node)

    def holders(self) -> list[str]:
        """Return the live nodes that regard themselves as holders."""
        return [
            name
            for name, node in self.nodes.items()
            if node.is_running and node.duties.gauges().get('duty_held')
        ]

    def deliver(self, node: SimulatedNode, event: Any) -> None:
        """Pass an event to a node once it runs."""
        if node.is_suspended:
            node.pending.append(lambda: self.deliver(node, event))
        elif node.is_running:
            now = self.clock(node)
            self._carry_out(node, duty_handlers.handle(event, node.duties, now))

    def receive_fact(self, node: SimulatedNode, fact: Fact) -> None:
        """Let a node learn a fact once it runs."""
        if node.is_suspended:
            node.pending.append(lambda: self.receive_fact(node, fact))
        elif node.is_running and node.merge(fact):
            self.deliver(node, FactChanged(fact))

    def _carry_out(self, node: SimulatedNode, effects: list[Any]) -> None:
        for effect in effects:
            self._perform(effect, node)
        self._tick_later(node)

    @functools.singledispatchmethod
    def _perform(self, effect: Any, node: SimulatedNode) -> None:
        raise TypeError(f'{effect!r} is not simulated')

    @_perform.register
    def _record_change(
        self, effect: HolderChanged, node: SimulatedNode
    ) -> None:
        duty_handlers.apply(effect, node.duties, self.clock(node))

    @_perform.register
    def _drop_reports(
        self, effect: DropUnsentReports, node: SimulatedNode
    ) -> None:
        node.drops += 1

    @_perform.register
    def _send(self, effect: Send, node: SimulatedNode) -> None:
        other = self.nodes[effect.node]
        received = ev.CallMessageReceived(node.member.name, effect.message)
        if node.reaches(other):
            self.call_later(0.1, lambda: self.deliver(other, received))

    @_perform.register(PlatformRead)
    @_perform.register(PlatformWrite)
    def _call_store(self, effect: Any, node: SimulatedNode) -> None:
        no_reply = PlatformReply(effect.token, 0)
        self.call_later(STORE_TIMEOUT_S, lambda: self.deliver(node, no_reply))
        if node.member.name in self.refused:
            return
        self.pending_writes += isinstance(effect, PlatformWrite)

        def execute() -> None:
            self.pending_writes -= isinstance(effect, PlatformWrite)
            reply = self.store.apply(effect)
            if self.rng.random() >= self.lost_replies:
                self.deliver(node, reply)

        self.call_later(self.rng.uniform(0, self.store_delay_s), execute)

    @_perform.register
    def _report(self, call: ReportUsage, node: SimulatedNode) -> None:
        drops = node.drops

        def send() -> None:
            if node.is_suspended:
                node.pending.append(send)
                return
            is_valid = self.clock(node) < call.expires_at
            is_valid = is_valid and self.now < call.expires_wall
            if node.is_running and is_valid and node.drops == drops:
                self.api.check_sent(call)
                self.call_later(self.rng.uniform(0, self.api_delay_s), execute)

        def execute() -> None:
            status = self.api.execute(call, self.now)
            if self.rng.random() >= self.lost_answers:
                self.deliver(node, UsageReply(call.call, status))
                self.api.record_answer(call, status, node.is_suspended)

        self.call_later(self.rng.uniform(0, self.api_delay_s), send)
        no_answer = UsageReply(call.call, 0)
        self.call_later(API_TIMEOUT_S, lambda: self.deliver(node, no_answer))

    @_perform.register
    def _put_fact(self, effect: PutFact, node: SimulatedNode) -> None:
        self.receive_fact(node, effect.fact)
        for other in self.nodes.values():
            if node.reaches(other):
                receive = functools.partial(
                    self.receive_fact, other, effect.fact
                )
                self.call_later(self.rng.uniform(0.01, 0.3), receive)

    def _tick_later(self, node: SimulatedNode) -> None:
        due_s = node.duties.next_at() - self.clock(node)
        if due_s < NEVER:
            self.call_later(max(due_s, 0), lambda: self._tick_if_due(node))

    def _tick_if_due(self, node: SimulatedNode) -> None:
        # Rounding may make the clock of a node stand just before the time.
        if node.duties.next_at() <= self.clock(node) + ROUNDING_S:
            self._tick(node)

    def _tick(self, node: SimulatedNode) -> None:
        if node.is_running and not node.is_suspended:
            name = node.member.name
            self.ticks[name] = self.ticks.get(name, 0) + 1
            self._carry_out(node, node.duties.tick(self.clock(node)))


def _seen_by(fleet: DutyFleet, node: SimulatedNode, within_s: float) -> Any:
    """Return the members that have answered a node within a time."""
    own_lost_at = node.lost_at if node.is_cut else NEVER
    since = fleet.now - within_s
    return {
        name: other.member
        for name, other in fleet.nodes.items()
        if other is node or min(other.lost_at, own_lost_at) > since
    }


def _sync(fleet: DutyFleet, node: SimulatedNode) -> None:
    """Compare facts with the other nodes, now and at intervals."""
    for other in fleet.nodes.values():
        if other.lost_at == NEVER and node.reaches(other):
            for fact in tuple(other.facts.values()):
                fleet.receive_fact(node, fact)
    if node.is_running:
        fleet.call_later(SYNC_S, lambda: _sync(fleet, node))
