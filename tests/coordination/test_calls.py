"""Calls between an entry and two targets' nodes, under lost streams."""

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

from daisyline.coordination import call_events as ev
from daisyline.coordination import entry_handlers, owner_events
from daisyline.coordination import messages as msg
from daisyline.coordination.effects import Send
from daisyline.coordination.entry import Entry
from daisyline.coordination.events import EventLog
from daisyline.coordination.owner import Owner
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
    """One stream from the entry to a node, with what is on its way."""

    there: deque[Any] = attrs.field(factory=deque)
    back: deque[Any] = attrs.field(factory=deque)
    lost: bool = False


class World:
    """An entry, two targets' nodes, and what is on its way between them."""

    def __init__(self) -> None:
        """Start with warm streams and no calls."""
        self.now = 100.0
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
        self.owners = {name: _owner(self, name) for name in NODES}
        self.entry.table.use_members(map(_member, NODES), self.now)
        self.links = {name: [Link()] for name in NODES}
        self.started: dict[str, list[str]] = {}
        self.at_target: dict[str, str] = {}
        self.ends: dict[str, Any] = {}
        self.repeatable: dict[str, bool] = {}

    @property
    def is_moving(self) -> bool:
        """Return whether a message is on its way on a stream that holds."""
        newest = [streams[-1] for streams in self.links.values()]
        return any(stream.there or stream.back for stream in newest)

    def to_entry(self, event: Any) -> None:
        self.from_entry(entry_handlers.handle(event, self.entry, self.now))

    def from_entry(self, effects: list[Any]) -> None:
        for effect in effects:
            if isinstance(effect, Send):
                self.links[effect.node][-1].there.append(effect.message)
            elif isinstance(effect, ev.AnswerCaller):
                assert effect.body == effect.call.encode()
                self.end(effect.call, effect)
            elif isinstance(effect, (ev.RefuseCaller, ev.AbortCaller)):
                self.end(effect.call, effect)

    def to_owner(self, name: str, event: Any) -> None:
        owner = self.owners[name]
        self.carry_out(name, owner_events.handle(event, owner, self.now))

    def carry_out(self, name: str, effects: list[Any]) -> None:
        for effect in effects:
            if isinstance(effect, ev.SendReply):
                self.links[name][-1].back.append(effect.message)
            elif isinstance(effect, ev.StartTargetCall):
                self.started.setdefault(effect.call, []).append(name)
                self.at_target[effect.call] = name

    def end(self, call: str, effect: Any) -> None:
        assert call not in self.ends, 'one end for each call'
        self.ends[call] = effect


class Calls(RuleBasedStateMachine):
    """Delivers messages in order on streams that break at any moment."""

    def __init__(self) -> None:
        super().__init__()
        self.world = World()

    @rule(method=st.sampled_from((b'GET', b'POST')))
    def arrive(self, method: bytes) -> None:
        call = f'c{len(self.world.repeatable)}'
        self.world.repeatable[call] = method == b'GET'
        self.world.to_entry(_arrived(call, method, self.world.now))

    @rule(name=st.sampled_from(NODES), newest_first=st.booleans())
    def deliver(self, name: str, newest_first: bool) -> None:
        """Deliver what waits on a node's streams; between them in any order."""
        for link in self.world.links[name][:: -1 if newest_first else 1]:
            while link.there:
                received = ev.CallMessageReceived('e', link.there.popleft())
                self.world.to_owner(name, received)

    @rule(name=st.sampled_from(NODES))
    def deliver_one(self, name: str) -> None:
        link = self.world.links[name][-1]
        if link.there:
            self.world.to_owner(
                name, ev.CallMessageReceived('e', link.there.popleft())
            )

    @rule(name=st.sampled_from(NODES))
    def deliver_back(self, name: str) -> None:
        link = self.world.links[name][-1]
        while link.back:
            self.world.to_entry(
                ev.CallMessageReceived(name, link.back.popleft())
            )

    @rule()
    def settle(self) -> None:
        """Deliver all there is, as a network without faults does."""
        while self.world.is_moving:
            for name in NODES:
                self.deliver(name, newest_first=False)
                self.deliver_back(name)

    @rule(draw=st.data())
    def answer(self, draw: Any) -> None:
        if self.world.at_target:
            call = draw.draw(st.sampled_from(sorted(self.world.at_target)))
            name = self.world.at_target.pop(call)
            head = ev.TargetAnswerHead(call, 200, (), call.encode(), last=True)
            self.world.to_owner(name, head)

    @rule(draw=st.data(), sent=st.booleans())
    def fail(self, draw: Any, sent: bool) -> None:
        if self.world.at_target:
            call = draw.draw(st.sampled_from(sorted(self.world.at_target)))
            name = self.world.at_target.pop(call)
            if not sent:
                self.world.started[call].remove(name)
            self.world.to_owner(name, ev.TargetCallFailed(call, sent, sent, ''))

    @rule(name=st.sampled_from(NODES), noticed=st.booleans())
    def lose_stream(self, name: str, noticed: bool) -> None:
        """Break a stream; unless its node notices, old bytes still arrive."""
        old = self.world.links[name][-1]
        old.back.clear()
        self.world.links[name].append(Link())
        if noticed:
            old.there.clear()
            self.world.to_owner(name, ev.InboundStreamLost('e'))
        self.world.to_entry(ev.StreamLost(name))

    @rule(method=st.sampled_from((b'GET', b'POST')))
    def arrive_as_streams_break(self, method: bytes) -> None:
        self.arrive(method)
        for name in NODES:
            self.lose_stream(name, noticed=False)
            self.deliver(name, newest_first=True)

    @rule(name=st.sampled_from(NODES))
    def freeze(self, name: str) -> None:
        self.world.to_owner(name, ev.ProcessPaused(1))

    @rule(name=st.sampled_from(NODES))
    def pong(self, name: str) -> None:
        owner = self.world.owners[name]
        nonce = owner.stale_peers.get('e')
        if nonce is not None:
            self.world.to_owner(
                name, ev.CallMessageReceived('e', msg.Pong(nonce, 0))
            )

    @rule(seconds=st.sampled_from((0.05, 0.6, 4.0)))
    def wait(self, seconds: float) -> None:
        self.world.now += seconds
        for name, owner in self.world.owners.items():
            self.world.carry_out(name, owner.tick(self.world.now))
        self.world.from_entry(self.world.entry.tick(self.world.now))

    @invariant()
    def runs_at_most_once(self) -> None:
        for call, nodes in self.world.started.items():
            assert self.world.repeatable[call] or len(nodes) <= 1, call

    @invariant()
    def not_run_is_true(self) -> None:
        for call, end in self.world.ends.items():
            if isinstance(end, ev.RefuseCaller):
                if end.failure.outcome == Outcome.NOT_RUN:
                    assert not self.world.started.get(call), call

    @invariant()
    def slots_hold(self) -> None:
        for name in NODES:
            held = [one for one in self.world.at_target.values() if one == name]
            assert len(held) <= SLOTS

    def teardown(self) -> None:
        self.wait(4.0)
        assert set(self.world.ends) == set(self.world.repeatable), (
            'an end for each call'
        )


def _owner(world: World, name: str) -> Owner:
    owner = Owner.from_config(name, 'z', EventLog.from_config())
    owner.use_settings(world.settings, world.now)
    owner.use_target(_target(name), world.now)
    return owner


def _target(name: str) -> Target:
    return Target('docs', 'v1', f'{name}-1', '127.0.0.1', 1)


def _member(name: str) -> Member:
    return Member(name, '127.0.0.1', 1, 'z', 'r', 1, 0, _target(name))


def test_a_lost_suspect_is_not_sent_on_to_crash_another_target() -> None:
    for suspected, sendings in ((False, 2), (True, 1)):
        world = World()
        world.entry.is_suspect = functools.partial(_answer, suspected)
        world.to_entry(_arrived('c', b'GET', world.now))
        first = next(name for name in NODES if world.links[name][-1].there)
        lost = msg.CallRefused('c', Reason.TARGET_LOST, Outcome.UNKNOWN)
        world.to_entry(ev.CallMessageReceived(first, lost))
        there = [len(world.links[name][-1].there) for name in NODES]
        assert sum(there) == sendings
        ends = [end.failure.outcome for end in world.ends.values()]
        assert ends == [Outcome.UNKNOWN][: 2 - sendings]


def _answer(suspected: bool, _arrived: ev.RequestReceived) -> bool:
    return suspected


def _arrived(call: str, method: bytes, now: float) -> ev.RequestReceived:
    return ev.RequestReceived(
        call, 'docs', 't', method, b'/x', (), b'', '', now + 3
    )


def test_calls_run_at_most_once_and_refusals_are_true() -> None:
    run_state_machine_as_test(
        Calls,
        settings=settings(
            max_examples=400,
            stateful_step_count=50,
            deadline=None,
            derandomize=True,
        ),
    )
