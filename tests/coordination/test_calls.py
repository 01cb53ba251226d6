"""Calls between an entry and two targets' nodes, under lost streams."""

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
from daisyline.coordination import entry_events, owner_events
from daisyline.coordination import messages as msg
from daisyline.coordination.effects import Send
from daisyline.coordination.entry import Entry
from daisyline.coordination.events import EventLog
from daisyline.coordination.owner import Owner
from daisyline.state.failures import Outcome
from daisyline.state.members import Member
from daisyline.state.settings import Settings
from daisyline.state.targets import Target
from tests.support import function_tests

load_tests = function_tests(__name__)

SLOTS = 2
TREE = {
    'defaults': {'slots_per_upstream': SLOTS, 'deadline_ms': 3000},
    'services': {'docs': {}},
}
NODES = ('a', 'b')


@attrs.define
class Link:
    """One stream from the entry to a node, with what is on its way."""

    there: deque[Any] = attrs.field(factory=deque)
    back: deque[Any] = attrs.field(factory=deque)
    lost: bool = False


class Calls(RuleBasedStateMachine):
    """Delivers messages in order on streams that break at any moment."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.settings = Settings.from_tree(1, TREE)
        self.entry = Entry.from_config(
            'e', random.Random(1), EventLog.from_config()
        )
        self.entry.use_settings(self.settings, self.now)
        self.owners = {name: self._owner(name) for name in NODES}
        self.entry.table.use_members(map(_member, NODES), self.now)
        self.links = {name: [Link()] for name in NODES}
        self.started: dict[str, list[str]] = {}
        self.at_target: dict[str, str] = {}
        self.ends: dict[str, Any] = {}
        self.repeatable: dict[str, bool] = {}

    def _owner(self, name: str) -> Owner:
        owner = Owner.from_config(name, 'z', EventLog.from_config())
        owner.use_settings(self.settings, self.now)
        owner.use_target(_target(name), self.now)
        return owner

    def _to_entry(self, event: Any) -> None:
        for effect in entry_events.handle(event, self.entry, self.now):
            if isinstance(effect, Send):
                self.links[effect.node][-1].there.append(effect.message)
            elif isinstance(effect, ev.AnswerCaller):
                assert effect.body == effect.call.encode()
                self._end(effect.call, effect)
            elif isinstance(effect, (ev.RefuseCaller, ev.CutCaller)):
                self._end(effect.call, effect)

    def _to_owner(self, name: str, event: Any) -> None:
        owner = self.owners[name]
        self._carry_out(name, owner_events.handle(event, owner, self.now))

    def _carry_out(self, name: str, effects: list[Any]) -> None:
        for effect in effects:
            if isinstance(effect, ev.Reply):
                self.links[name][-1].back.append(effect.message)
            elif isinstance(effect, ev.StartTarget):
                self.started.setdefault(effect.call, []).append(name)
                self.at_target[effect.call] = name

    def _end(self, call: str, effect: Any) -> None:
        assert call not in self.ends, 'one end for each call'
        self.ends[call] = effect

    @rule(method=st.sampled_from((b'GET', b'POST')))
    def arrive(self, method: bytes) -> None:
        call = f'c{len(self.repeatable)}'
        self.repeatable[call] = method == b'GET'
        self._to_entry(
            ev.Arrived(
                call, 'docs', 't', method, b'/x', (), b'', '', self.now + 3
            )
        )

    @rule(name=st.sampled_from(NODES), newest_first=st.booleans())
    def deliver(self, name: str, newest_first: bool) -> None:
        """Deliver what waits on a node's streams; between them in any order."""
        for link in self.links[name][:: -1 if newest_first else 1]:
            while link.there:
                received = ev.FromNode('e', link.there.popleft())
                self._to_owner(name, received)

    @rule(name=st.sampled_from(NODES))
    def deliver_one(self, name: str) -> None:
        link = self.links[name][-1]
        if link.there:
            self._to_owner(name, ev.FromNode('e', link.there.popleft()))

    @rule(name=st.sampled_from(NODES))
    def deliver_back(self, name: str) -> None:
        link = self.links[name][-1]
        while link.back:
            self._to_entry(ev.FromNode(name, link.back.popleft()))

    @rule()
    def settle(self) -> None:
        """Deliver all there is, as a network without faults does."""
        while any(link[-1].there or link[-1].back for link in self._links):
            for name in NODES:
                self.deliver(name, newest_first=False)
                self.deliver_back(name)

    @property
    def _links(self) -> list[list[Link]]:
        return list(self.links.values())

    @rule(data=st.data())
    def answer(self, data: Any) -> None:
        if self.at_target:
            call = data.draw(st.sampled_from(sorted(self.at_target)))
            name = self.at_target.pop(call)
            head = ev.TargetHead(call, 200, (), call.encode(), last=True)
            self._to_owner(name, head)

    @rule(data=st.data(), sent=st.booleans())
    def fail(self, data: Any, sent: bool) -> None:
        if self.at_target:
            call = data.draw(st.sampled_from(sorted(self.at_target)))
            name = self.at_target.pop(call)
            if not sent:
                self.started[call].remove(name)
            self._to_owner(name, ev.TargetFailed(call, sent, sent, ''))

    @rule(name=st.sampled_from(NODES), noticed=st.booleans())
    def lose_stream(self, name: str, noticed: bool) -> None:
        """Break a stream; unless its node notices, old bytes still arrive."""
        old = self.links[name][-1]
        old.back.clear()
        self.links[name].append(Link())
        if noticed:
            old.there.clear()
            self._to_owner(name, ev.PeerLost('e'))
        self._to_entry(ev.StreamLost(name))

    @rule(method=st.sampled_from((b'GET', b'POST')))
    def arrive_as_streams_break(self, method: bytes) -> None:
        self.arrive(method)
        for name in NODES:
            self.lose_stream(name, noticed=False)
            self.deliver(name, newest_first=True)

    @rule(name=st.sampled_from(NODES))
    def freeze(self, name: str) -> None:
        self._to_owner(name, ev.Paused(1))

    @rule(name=st.sampled_from(NODES))
    def pong(self, name: str) -> None:
        owner = self.owners[name]
        nonce = owner.stale_peers.get('e')
        if nonce is not None:
            self._to_owner(name, ev.FromNode('e', msg.Pong(nonce, 0)))

    @rule(seconds=st.sampled_from((0.05, 0.6, 4.0)))
    def wait(self, seconds: float) -> None:
        self.now += seconds
        for name, owner in self.owners.items():
            self._carry_out(name, owner.tick(self.now))
        for effect in self.entry.tick(self.now):
            if isinstance(effect, Send):
                self.links[effect.node][-1].there.append(effect.message)
            elif isinstance(effect, (ev.RefuseCaller, ev.CutCaller)):
                self._end(effect.call, effect)

    @invariant()
    def runs_at_most_once(self) -> None:
        for call, nodes in self.started.items():
            assert self.repeatable[call] or len(nodes) <= 1, call

    @invariant()
    def not_run_is_true(self) -> None:
        for call, end in self.ends.items():
            if isinstance(end, ev.RefuseCaller):
                if end.failure.outcome == Outcome.NOT_RUN:
                    assert not self.started.get(call), call

    @invariant()
    def slots_hold(self) -> None:
        for name in NODES:
            held = [one for one in self.at_target.values() if one == name]
            assert len(held) <= SLOTS

    def teardown(self) -> None:
        self.wait(4.0)
        assert set(self.ends) == set(self.repeatable), 'an end for each call'


def _target(name: str) -> Target:
    return Target('docs', 'v1', f'{name}-1', '127.0.0.1', 1)


def _member(name: str) -> Member:
    return Member(name, '127.0.0.1', 1, 'z', 'r', 1, 0, _target(name))


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
