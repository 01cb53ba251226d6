"""The target's side of calls: what a re-send under a key gets."""

import random
from collections.abc import Iterator
from typing import Any

import attrs

from daisyline.coordination import call_events as ev
from daisyline.coordination import (
    entry_events,
    key_handover,
    target_side_handlers,
)
from daisyline.coordination import messages as msg
from daisyline.coordination.effects import Send
from daisyline.coordination.entry import Entry
from daisyline.coordination.events import EventLog
from daisyline.coordination.target_side import TargetSide
from daisyline.state.members import Member
from daisyline.state.settings import Settings
from daisyline.state.targets import Target
from tests.builders import run_message
from tests.support import fixture, function_tests

load_tests = function_tests(__name__)


@fixture
def ready_side() -> Iterator[TargetSide]:
    """A node beside a target that is ready."""
    made = TargetSide.from_config('n', 'z', EventLog.from_config())
    made.use_settings(Settings.from_tree(1, {'services': {'docs': {}}}), 0)
    made.use_target(Target('docs', 'v1', 'i', '127.0.0.1', 1), 0)
    yield made


def _only(effects: list[Any]) -> Any:
    assert len(effects) == 1
    return effects[0]


def _order(call: str, body: bytes) -> ev.FromNode:
    run = run_message(
        call,
        repeatable=False,
        key='k',
        method=b'POST',
        path=b'/order',
        body=body,
    )
    return ev.FromNode('e', run)


def test_a_key_used_again_for_another_request_gets_no_answer_of_the_first(
    ready_side: TargetSide,
) -> None:
    started = _only(
        target_side_handlers.handle(_order('c1', b'goggles'), ready_side, 1)
    )
    assert isinstance(started, ev.StartTarget)
    head = ev.TargetHead('c1', 200, (), b'sold', last=True)
    target_side_handlers.handle(head, ready_side, 2)
    again = _only(
        target_side_handlers.handle(_order('c2', b'goggles'), ready_side, 3)
    )
    assert again.message.body == b'sold'
    other = _only(
        target_side_handlers.handle(_order('c3', b'gloves'), ready_side, 3)
    )
    assert isinstance(other.message, msg.Refused)
    assert other.message.outcome == 'not-run'


def test_a_re_send_while_the_first_runs_does_not_run(
    ready_side: TargetSide,
) -> None:
    target_side_handlers.handle(_order('c1', b''), ready_side, 1)
    refusal = _only(
        target_side_handlers.handle(_order('c2', b''), ready_side, 2)
    )
    assert (refusal.message.reason, refusal.message.outcome) == (
        'duplicate',
        'unknown',
    )


def test_an_order_under_a_key_runs_once_while_a_zone_leaves_and_returns() -> (
    None
):
    desk = Desk.from_names('a', 'b', 'c')
    first = desk.order('c1')
    ran = desk.ran[0]
    desk.out = frozenset((ran,))
    assert desk.order('c2') == first
    desk.out = frozenset()
    assert desk.order('c3') == first
    assert desk.ran == [ran]


def test_an_order_sent_on_from_a_closed_zone_runs_once_also_afterwards() -> (
    None
):
    first = Desk.from_names('a', 'b', 'c')
    first.order('c1')
    desk = Desk.from_names('a', 'b', 'c')
    desk.out = frozenset(first.ran)
    answer = desk.order('c1')
    assert answer == desk.order('c2')
    desk.out = frozenset()
    refused = desk.order('c3')
    assert refused.failure.outcome == 'unknown'
    assert len(desk.ran) == 1
    assert desk.ran != first.ran


@attrs.define
class Desk:
    """An entry and three targets' nodes, each in a zone of its own."""

    entry: Entry
    target_sides: dict[str, TargetSide]
    ran: list[str] = attrs.field(factory=list)
    _version: int = 0

    @classmethod
    def from_names(cls, *names: str) -> 'Desk':
        """Build a desk with all zones in."""
        log = EventLog.from_config()
        target_sides = {
            name: TargetSide.from_config(name, name, log) for name in names
        }
        desk = cls(Entry.from_config('e', random.Random(1), log), target_sides)
        for name, target_side in target_sides.items():
            target_side.use_target(_target(name), 0)
        desk.entry.table.use_members(map(_member, names), 0)
        desk.out = frozenset()
        return desk

    @property
    def out(self) -> frozenset[str]:
        """Return nothing; the zones that are out are only set."""
        raise AttributeError

    @out.setter
    def out(self, zones: frozenset[str]) -> None:
        self._version += 1
        states = {
            name: {'state': 'out' if name in zones else 'in'}
            for name in self.target_sides
        }
        tree = {'services': {'docs': {}}, 'zones': states}
        settings = Settings.from_tree(self._version, tree)
        self.entry.use_settings(settings, 0)
        for target_side in self.target_sides.values():
            target_side.use_settings(settings, 0)

    def order(self, call: str) -> Any:
        """Send an order under one key and return its end without its id."""
        arrived = ev.Arrived(
            call, 'docs', 't', b'POST', b'/order', (), b'', 'k', 5
        )
        waiting = entry_events.handle(arrived, self.entry, 1)
        while True:
            effect = waiting.pop(0)
            if not isinstance(effect, Send):
                return attrs.evolve(effect, call='')
            for message in self._carry(effect):
                reply = ev.FromNode(effect.node, message)
                waiting += entry_events.handle(reply, self.entry, 1)

    def _carry(self, effect: Send) -> list[Any]:
        """Deliver a message to its node and return what comes back."""
        target_side = self.target_sides[effect.node]
        came = ev.FromNode('e', effect.message)
        effects = target_side_handlers.handle(came, target_side, 1)
        if isinstance(effects[0], ev.StartTarget):
            self.ran.append(effect.node)
            body = effect.node.encode()
            head = ev.TargetHead(effect.message.call, 200, (), body, last=True)
            effects = target_side_handlers.handle(head, target_side, 1)
        return [one.message for one in effects if isinstance(one, ev.Reply)]


def _target(name: str) -> Target:
    return Target('docs', 'v1', f'{name}-1', '127.0.0.1', 1)


def _member(name: str) -> Member:
    return Member(name, '127.0.0.1', 1, name, 'r', 1, 0, _target(name))


def test_a_key_used_at_a_node_that_stops_does_not_run_elsewhere(
    ready_side: TargetSide,
) -> None:
    ended, running = b'goggles', b'gloves'
    target_side_handlers.handle(_order('c1', ended), ready_side, 1)
    head = ev.TargetHead('c1', 200, (), b'sold', last=True)
    target_side_handlers.handle(head, ready_side, 2)
    second = attrs.evolve(_order('c2', running).message, key='k2')
    target_side_handlers.handle(ev.FromNode('e', second), ready_side, 2)
    entry = Entry.from_config('n', random.Random(1), EventLog.from_config())
    entry.table.use_members(map(_member, ('n', 'other')), 0)
    told = key_handover.used_keys_messages('n', ready_side, entry, 3)
    heir = TargetSide.from_config('other', 'z', EventLog.from_config())
    heir.use_settings(Settings.from_tree(1, {'services': {'docs': {}}}), 0)
    heir.use_target(Target('docs', 'v1', 'j', '127.0.0.1', 2), 0)
    assert {effect.node for effect in told} == {'other'}
    for effect in told:
        target_side_handlers.handle(ev.FromNode('n', effect.message), heir, 3)
    for call in (_order('c3', ended).message, attrs.evolve(second, call='c4')):
        reply = _only(
            target_side_handlers.handle(ev.FromNode('e', call), heir, 4)
        )
        assert reply.message.outcome == 'unknown'
        assert reply.message.reason == 'duplicate'
