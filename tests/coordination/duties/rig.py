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

START = 1_767_000_000.0
SETTINGS = Settings.from_tree(
    1, {'tenants': {'acme': {'keys': ['h']}, 'globex': {'keys': ['i']}}}
)
CONFIG = DutyConfig(window_s=5, late_s=10, lease_s=3, calls_per_s=50)
NEVER = float('inf')
SUSPECT_S = 1.0
REMOVAL_S = 4.0
SYNC_S = 1.0
STORE_TIMEOUT_S = 3.0
API_TIMEOUT_S = 2.0
ROUNDING_S = 1e-6


@attrs.define
class FakeStore:
    """The object of the duty, with conditional writes."""

    revision: int = 0
    version: int = 0
    content: Any = None
    writes: int = 0
    reads: int = 0

    def apply(self, effect: Any) -> PlatformReply:
        """Execute a read or a write."""
        if isinstance(effect, PlatformRead):
            self.reads += 1
            status = 200 if self.version else 404
            return PlatformReply(
                effect.token, status, self.version, self.content
            )
        self.writes += 1
        if effect.version != self.version:
            return PlatformReply(effect.token, 409, self.version)
        self.revision += 1
        self.version = self.revision
        self.content = effect.content
        return PlatformReply(effect.token, 200, self.version)


@attrs.define
class FakeApi:
    """Executes reports and checks what must never occur.

    Attributes:
        reports: The accepted counts, by window.
        accepted: Time, holder, token and window of each accepted call.
    """

    is_fenced: bool = True
    highest: int = 0
    reports: dict[int, dict[str, int]] = attrs.field(factory=dict)
    accepted: list[tuple[float, str, int, int]] = attrs.field(factory=list)
    _holders: dict[int, str] = attrs.field(factory=dict)
    _refused: set[tuple[str, int]] = attrs.field(factory=set)

    def execute(self, call: ReportUsage, now: float) -> int:
        """Execute a call and return the status."""
        owner = self._holders.setdefault(call.token, call.holder)
        assert owner == call.holder, 'two holders have the same token'
        if self.is_fenced and call.token < self.highest:
            return 409
        assert call.token >= self.highest, 'a lower token than was seen'
        self.highest = call.token
        counts = self.reports.setdefault(call.window, dict(call.counts))
        assert counts == call.counts, 'two reports of a window differ'
        self._check_order(call.holder, now)
        self.accepted.append((now, call.holder, call.token, call.window))
        return 200

    def record_refusal(self, call: ReportUsage) -> None:
        """Record that a holder knows that its token was refused."""
        self._refused.add((call.holder, call.token))

    def check_sent(self, call: ReportUsage) -> None:
        """Check a call that a node sends now."""
        key = (call.holder, call.token)
        assert key not in self._refused, 'a refused token is used again'

    def _check_order(self, holder: str, now: float) -> None:
        """Check that holders do not act in the order A, B, A in a lease."""
        has_other = False
        for at, earlier, _token, _window in reversed(self.accepted):
            if at <= now - CONFIG.lease_s:
                return
            has_other = has_other or earlier != holder
            assert earlier != holder or not has_other, 'holders act A, B, A'


@attrs.define(eq=False)
class SimulatedNode:
    """One process of a node; its clock does not count suspensions."""

    member: Member
    duties: Duties
    suspended_s: float = 0
    suspended_at: float = 0
    is_running: bool = True
    is_suspended: bool = False
    is_cut: bool = False
    lost_at: float = NEVER
    facts: dict[Any, Fact] = attrs.field(factory=dict)
    pending: list[Callable[[], None]] = attrs.field(factory=list)
    drops: int = 0

    def update_lost(self, now: float) -> None:
        """Record since when other nodes get no answer from this one."""
        is_lost = self.is_cut or self.is_suspended or not self.is_running
        self.lost_at = min(self.lost_at, now) if is_lost else NEVER

    def merge(self, fact: Fact) -> bool:
        """Keep a fact unless it is known; return whether it was kept."""
        held = self.facts.get(fact.key)
        if held is not None and not fact.supersedes(held):
            return False
        self.facts[fact.key] = fact
        return True

    def reaches(self, other: 'SimulatedNode') -> bool:
        """Return whether messages pass between two nodes."""
        return self is other or not (self.is_cut or other.is_cut)


@attrs.define
class DutyFleet:
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
    now: float = START
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
    _queue: list[Any] = attrs.field(factory=list)
    _order: Iterator[int] = attrs.field(factory=itertools.count)

    def start(self, name: str) -> None:
        """Start a node, or a new process of one that was killed."""
        start = int(self.now * 1_000_000)
        member = Member(name, '10.0.0.1', 1, 'ghent-a', 'flanders', start)
        event_log = EventLog.from_config()
        event_log.add_sink(lambda event: self.events.append((name, event)))
        node = SimulatedNode(member, Duties(member, event_log, self.config))
        node.duties.wall_clock = lambda: self.now
        node.duties.members = lambda: self._seen_by(node, REMOVAL_S)
        node.duties.suspects = lambda: {
            other: 0
            for other in self._seen_by(node, REMOVAL_S)
            if other not in self._seen_by(node, SUSPECT_S)
        }
        node.duties.facts = lambda: node.facts
        self.nodes[name] = node
        node.duties.use_settings(SETTINGS, self.clock(node))
        self._sync(node)
        for other in self.nodes.values():
            other.duties.change_members(self.clock(other))
            self._tick_later(other)

    def clock(self, node: SimulatedNode) -> float:
        """Return the monotonic clock of a node."""
        return self.now - START - node.suspended_s

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

    def run(self, seconds: float) -> None:
        """Let time pass."""
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            at, _, action = heapq.heappop(self._queue)
            self.now = max(self.now, at)
            action()
        self.now = end

    @property
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

    def _carry_out(self, node: SimulatedNode, effects: list[Any]) -> None:
        for effect in effects:
            self._perform(effect, node)
        self._tick_later(node)

    @functools.singledispatchmethod
    def _perform(self, effect: Any, node: SimulatedNode) -> None:
        raise TypeError(f'{effect!r} is not simulated')

    @_perform.register
    def _(self, effect: HolderChanged, node: SimulatedNode) -> None:
        duty_handlers.apply(effect, node.duties, self.clock(node))

    @_perform.register
    def _(self, effect: DropUnsentReports, node: SimulatedNode) -> None:
        node.drops += 1

    @_perform.register
    def _(self, effect: Send, node: SimulatedNode) -> None:
        other = self.nodes[effect.node]
        received = ev.CallMessageReceived(node.member.name, effect.message)
        if node.reaches(other):
            self._after(0.1, lambda: self.deliver(other, received))

    @_perform.register(PlatformRead)
    @_perform.register(PlatformWrite)
    def _call_store(self, effect: Any, node: SimulatedNode) -> None:
        no_reply = PlatformReply(effect.token, 0)
        self._after(STORE_TIMEOUT_S, lambda: self.deliver(node, no_reply))
        if node.member.name in self.refused:
            return
        self.pending_writes += isinstance(effect, PlatformWrite)

        def execute() -> None:
            self.pending_writes -= isinstance(effect, PlatformWrite)
            reply = self.store.apply(effect)
            if self.rng.random() >= self.lost_replies:
                self.deliver(node, reply)

        self._after(self.rng.uniform(0, self.store_delay_s), execute)

    @_perform.register
    def _(self, call: ReportUsage, node: SimulatedNode) -> None:
        drops = node.drops

        def send() -> None:
            if node.is_suspended:
                node.pending.append(send)
                return
            is_valid = self.clock(node) < call.expires_at
            is_valid = is_valid and self.now < call.expires_wall
            if node.is_running and is_valid and node.drops == drops:
                self.api.check_sent(call)
                self._after(self.rng.uniform(0, self.api_delay_s), execute)

        def execute() -> None:
            status = self.api.execute(call, self.now)
            if self.rng.random() >= self.lost_answers:
                self.deliver(node, UsageReply(call.call, status))
                if status == 409 and not node.is_suspended:
                    self.api.record_refusal(call)

        self._after(self.rng.uniform(0, self.api_delay_s), send)
        no_answer = UsageReply(call.call, 0)
        self._after(API_TIMEOUT_S, lambda: self.deliver(node, no_answer))

    @_perform.register
    def _(self, effect: PutFact, node: SimulatedNode) -> None:
        self._receive_fact(node, effect.fact)
        for other in self.nodes.values():
            if node.reaches(other):
                receive = functools.partial(
                    self._receive_fact, other, effect.fact
                )
                self._after(self.rng.uniform(0.01, 0.3), receive)

    def _receive_fact(self, node: SimulatedNode, fact: Fact) -> None:
        if node.is_suspended:
            node.pending.append(lambda: self._receive_fact(node, fact))
        elif node.is_running and node.merge(fact):
            self.deliver(node, FactChanged(fact))

    def _sync(self, node: SimulatedNode) -> None:
        """Compare facts with the other nodes, now and at intervals."""
        for other in self.nodes.values():
            if other.lost_at == NEVER and node.reaches(other):
                for fact in tuple(other.facts.values()):
                    self._receive_fact(node, fact)
        if node.is_running:
            self._after(SYNC_S, lambda: self._sync(node))

    def _seen_by(self, node: SimulatedNode, within_s: float) -> Any:
        """Return the members that have answered a node within a time."""
        own_lost_at = node.lost_at if node.is_cut else NEVER
        since = self.now - within_s
        return {
            name: other.member
            for name, other in self.nodes.items()
            if other is node or min(other.lost_at, own_lost_at) > since
        }

    def _tick_later(self, node: SimulatedNode) -> None:
        due_s = node.duties.next_at() - self.clock(node)
        if due_s < NEVER:
            self._after(max(due_s, 0), lambda: self._tick_if_due(node))

    def _tick_if_due(self, node: SimulatedNode) -> None:
        # Rounding may make the clock of a node stand just before the time.
        if node.duties.next_at() <= self.clock(node) + ROUNDING_S:
            self._tick(node)

    def _tick(self, node: SimulatedNode) -> None:
        if node.is_running and not node.is_suspended:
            self._carry_out(node, node.duties.tick(self.clock(node)))

    def _after(self, delay_s: float, action: Callable[[], None]) -> None:
        entry = (self.now + delay_s, next(self._order), action)
        heapq.heappush(self._queue, entry)
