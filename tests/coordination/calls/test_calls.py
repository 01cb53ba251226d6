"""Calls between an entry node and two target nodes while streams are lost."""

import functools
import random
from collections import deque
from typing import Any

import attrs
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from daisyline.coordination.calls import call_events as ev
from daisyline.coordination.calls import entry_handlers, target_side_handlers
from daisyline.coordination.calls import messages as msg
from daisyline.coordination.calls.entry import Entry
from daisyline.coordination.calls.target_side import TargetSide
from daisyline.coordination.effects import Send
from daisyline.coordination.events import EventLog
from daisyline.state.failures import Outcome, Reason
from daisyline.state.members import Member
from daisyline.state.settings import Settings
from daisyline.state.targets import Target
from tests.support import function_tests

load_tests = function_tests(__name__)

SLOTS = 2
NODES = ('a', 'b')


@attrs.define
class Link:
    """A stream to a target node with the messages in flight."""

    incarnation: int = 1
    outbound: deque[Any] = attrs.field(factory=deque)
    inbound: deque[Any] = attrs.field(factory=deque)
    lost: bool = False


class CallNetwork:
    """An entry node, two target nodes and the messages between them."""

    def __init__(self) -> None:
        """Start with open streams and no calls."""
        self.now = 100.0
        self.incarnations = dict.fromkeys(NODES, 1)
        self.settings = Settings.from_tree(
            1,
            {
                'defaults': {'slots_per_upstream': SLOTS, 'deadline_ms': 3000},
                'services': {'docs': {}},
            },
        )
        self.entry = Entry.from_config(
            'e', random.Random(1), EventLog.from_config()
        )
        self.entry.use_settings(self.settings, self.now)
        self.target_sides = {name: _target_side(self, name) for name in NODES}
        self.entry.table.use_members(map(_member, NODES), self.now)
        self.links = {name: [Link()] for name in NODES}
        self.started: dict[str, list[str]] = {}
        self.running_at: dict[str, str] = {}
        self.results: dict[str, Any] = {}
        self.repeatable: dict[str, bool] = {}

    @property
    def has_messages_in_flight(self) -> bool:
        """Return whether a message is in flight on an intact stream."""
        newest = [streams[-1] for streams in self.links.values()]
        return any(stream.outbound or stream.inbound for stream in newest)

    def handle_at_entry(self, event: Any) -> None:
        self.apply_entry_effects(
            entry_handlers.handle(event, self.entry, self.now)
        )

    def apply_entry_effects(self, effects: list[Any]) -> None:
        for effect in effects:
            if isinstance(effect, Send):
                self.links[effect.node][-1].outbound.append(effect.message)
            elif isinstance(effect, ev.AnswerCaller):
                assert effect.body == effect.call.encode()
                self.record_result(effect.call, effect)
            elif isinstance(effect, (ev.RefuseCaller, ev.AbortCaller)):
                self.record_result(effect.call, effect)

    def handle_at_target(self, name: str, event: Any) -> None:
        target_side = self.target_sides[name]
        self.apply_target_effects(
            name, target_side_handlers.handle(event, target_side, self.now)
        )

    def apply_target_effects(self, name: str, effects: list[Any]) -> None:
        for effect in effects:
            if isinstance(effect, ev.SendReply):
                self.links[name][-1].inbound.append(effect.message)
            elif isinstance(effect, ev.StartTargetCall):
                self.started.setdefault(effect.call, []).append(name)
                self.running_at[effect.call] = name

    def restart(self, name: str) -> None:
        """Kill a target node and start it again before the entry notices."""
        lost_in = self.incarnations[name]
        self.incarnations[name] += 1
        self.target_sides[name] = _target_side(self, name)
        for call, node in tuple(self.running_at.items()):
            if node == name:
                self.running_at.pop(call)
        self.links[name] = [Link(self.incarnations[name])]
        self.handle_at_entry(ev.StreamLost(name, lost_in))

    def record_result(self, call: str, effect: Any) -> None:
        assert call not in self.results, 'second result of one call'
        self.results[call] = effect


class Calls(RuleBasedStateMachine):
    """Delivers messages in order on streams that may break at any time."""

    def __init__(self) -> None:
        super().__init__()
        self.network = CallNetwork()

    @rule(method=st.sampled_from((b'GET', b'POST')))
    def arrive(self, method: bytes) -> None:
        call = f'c{len(self.network.repeatable)}'
        self.network.repeatable[call] = method == b'GET'
        self.network.handle_at_entry(_request(call, method, self.network.now))

    @rule(name=st.sampled_from(NODES), newest_first=st.booleans())
    def deliver(self, name: str, newest_first: bool) -> None:
        """Deliver all messages to a node; the streams in either order."""
        for link in self.network.links[name][:: -1 if newest_first else 1]:
            while link.outbound:
                received = ev.CallMessageReceived('e', link.outbound.popleft())
                self.network.handle_at_target(name, received)

    @rule(name=st.sampled_from(NODES))
    def deliver_one(self, name: str) -> None:
        link = self.network.links[name][-1]
        if link.outbound:
            self.network.handle_at_target(
                name, ev.CallMessageReceived('e', link.outbound.popleft())
            )

    @rule(name=st.sampled_from(NODES))
    def deliver_to_entry(self, name: str) -> None:
        link = self.network.links[name][-1]
        while link.inbound:
            self.network.handle_at_entry(
                ev.CallMessageReceived(name, link.inbound.popleft())
            )

    @rule()
    def deliver_all(self) -> None:
        """Deliver all messages, as a network without faults does."""
        while self.network.has_messages_in_flight:
            for name in NODES:
                self.deliver(name, newest_first=False)
                self.deliver_to_entry(name)

    @rule(draw=st.data())
    def answer(self, draw: Any) -> None:
        if self.network.running_at:
            call = draw.draw(st.sampled_from(sorted(self.network.running_at)))
            name = self.network.running_at.pop(call)
            head = ev.TargetAnswerHead(call, 200, (), call.encode(), last=True)
            self.network.handle_at_target(name, head)

    @rule(draw=st.data(), sent=st.booleans())
    def fail(self, draw: Any, sent: bool) -> None:
        if self.network.running_at:
            call = draw.draw(st.sampled_from(sorted(self.network.running_at)))
            name = self.network.running_at.pop(call)
            if not sent:
                self.network.started[call].remove(name)
            self.network.handle_at_target(
                name, ev.TargetCallFailed(call, sent, sent, '')
            )

    @rule(name=st.sampled_from(NODES), notified=st.booleans())
    def lose_stream(self, name: str, notified: bool) -> None:
        """Break a stream; without notice, old messages still arrive."""
        old = self.network.links[name][-1]
        old.inbound.clear()
        incarnation = self.network.incarnations[name]
        self.network.links[name].append(Link(incarnation))
        if notified:
            old.outbound.clear()
            self.network.handle_at_target(name, ev.InboundStreamLost('e'))
        self.network.handle_at_entry(ev.StreamLost(name, old.incarnation))

    @rule(name=st.sampled_from(NODES))
    def restart(self, name: str) -> None:
        self.network.restart(name)

    @rule(method=st.sampled_from((b'GET', b'POST')))
    def arrive_as_streams_break(self, method: bytes) -> None:
        self.arrive(method)
        for name in NODES:
            self.lose_stream(name, notified=False)
            self.deliver(name, newest_first=True)

    @rule(name=st.sampled_from(NODES))
    def freeze(self, name: str) -> None:
        self.network.handle_at_target(name, ev.ProcessPaused(1))

    @rule(name=st.sampled_from(NODES))
    def answer_ping(self, name: str) -> None:
        target_side = self.network.target_sides[name]
        nonce = target_side.unconfirmed_peers.get('e')
        if nonce is not None:
            self.network.handle_at_target(
                name, ev.CallMessageReceived('e', msg.Pong(nonce, 0))
            )

    @rule(seconds=st.sampled_from((0.05, 0.6, 4.0)))
    def wait(self, seconds: float) -> None:
        self.network.now += seconds
        for name, target_side in self.network.target_sides.items():
            self.network.apply_target_effects(
                name, target_side.tick(self.network.now)
            )
        self.network.apply_entry_effects(
            self.network.entry.tick(self.network.now)
        )

    @invariant()
    def runs_at_most_once(self) -> None:
        for call, nodes in self.network.started.items():
            assert self.network.repeatable[call] or len(nodes) <= 1, call

    @invariant()
    def not_run_calls_never_started(self) -> None:
        for call, effect in self.network.results.items():
            if isinstance(effect, ev.RefuseCaller):
                if effect.failure.outcome == Outcome.NOT_RUN:
                    assert not self.network.started.get(call), call

    @invariant()
    def slots_are_not_exceeded(self) -> None:
        for name in NODES:
            held = [
                one for one in self.network.running_at.values() if one == name
            ]
            assert len(held) <= SLOTS

    def teardown(self) -> None:
        self.wait(4.0)
        assert set(self.network.results) == set(self.network.repeatable), (
            'not each call has a result'
        )


def _target_side(network: CallNetwork, name: str) -> TargetSide:
    target_side = TargetSide.from_config(
        name, 'z', EventLog.from_config(), network.incarnations[name]
    )
    target_side.use_settings(network.settings, network.now)
    target_side.use_target(_target(name), network.now)
    return target_side


def _target(name: str) -> Target:
    return Target('docs', 'v1', f'{name}-1', '127.0.0.1', 1)


def _member(name: str) -> Member:
    return Member(name, '127.0.0.1', 1, 'z', 'r', 1, 0, _target(name))


def test_a_call_of_an_earlier_incarnation_is_not_reported_as_not_run() -> None:
    # Guards against a second run of an order whose node restarted while the
    # entry node stood still: the new process can't know that it ran.
    network = CallNetwork()
    network.handle_at_entry(_request('c', b'POST', network.now))
    node = next(name for name in NODES if network.links[name][-1].outbound)
    run = network.links[node][-1].outbound.popleft()
    network.handle_at_target(node, ev.CallMessageReceived('e', run))
    network.restart(node)
    query = network.links[node][-1].outbound.popleft()
    network.handle_at_target(node, ev.CallMessageReceived('e', query))
    reply = network.links[node][-1].inbound.popleft()
    network.handle_at_entry(ev.CallMessageReceived(node, reply))
    assert network.results['c'].failure.outcome == Outcome.UNKNOWN
    assert network.started == {'c': [node]}


def test_a_suspect_call_whose_target_crashed_is_not_rerouted() -> None:
    for suspected, attempts in ((False, 2), (True, 1)):
        network = CallNetwork()
        network.entry.is_suspect = functools.partial(_return_flag, suspected)
        network.handle_at_entry(_request('c', b'GET', network.now))
        first = next(name for name in NODES if network.links[name][-1].outbound)
        lost = msg.CallRefused('c', Reason.TARGET_LOST, Outcome.UNKNOWN)
        network.handle_at_entry(ev.CallMessageReceived(first, lost))
        in_flight = [len(network.links[name][-1].outbound) for name in NODES]
        assert sum(in_flight) == attempts
        outcomes = [
            effect.failure.outcome for effect in network.results.values()
        ]
        assert outcomes == [Outcome.UNKNOWN][: 2 - attempts]


def _return_flag(flag: bool, _request: ev.RequestReceived) -> bool:
    return flag


def _request(call: str, method: bytes, now: float) -> ev.RequestReceived:
    return ev.RequestReceived(
        call, 'docs', 't', method, b'/x', (), b'', '', now + 3
    )


def test_calls_run_at_most_once_and_reported_outcomes_are_true() -> None:
    run_state_machine_as_test(
        Calls,
        settings=settings(
            max_examples=400,
            stateful_step_count=50,
            deadline=None,
            derandomize=True,
        ),
    )
