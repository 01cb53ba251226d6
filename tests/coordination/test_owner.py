"""The target's side of calls: what a re-send under a key gets."""

import random
from collections.abc import Iterator
from typing import Any

import attrs

from daisyline.coordination import call_events as ev
from daisyline.coordination import entry_handlers, key_handover, owner_events
from daisyline.coordination import messages as msg
from daisyline.coordination.effects import Send
from daisyline.coordination.entry import Entry
from daisyline.coordination.events import EventLog
from daisyline.coordination.owner import Owner
from daisyline.state.members import Member
from daisyline.state.settings import Settings
from daisyline.state.targets import Target
from tests.builders import run_message
from tests.support import fixture, function_tests

load_tests = function_tests(__name__)


@fixture
def ready_owner() -> Iterator[Owner]:
    """A node beside a target that is ready."""
    made = Owner.from_config('n', 'z', EventLog.from_config())
    made.use_settings(Settings.from_tree(1, {'services': {'docs': {}}}), 0)
    made.use_target(Target('docs', 'v1', 'i', '127.0.0.1', 1), 0)
    yield made


def _only(effects: list[Any]) -> Any:
    assert len(effects) == 1
    return effects[0]


def _order(call: str, body: bytes) -> ev.CallMessageReceived:
    run = run_message(
        call,
        repeatable=False,
        key='k',
        method=b'POST',
        path=b'/order',
        body=body,
    )
    return ev.CallMessageReceived('e', run)


def test_a_key_used_again_for_another_request_gets_no_answer_of_the_first(
    ready_owner: Owner,
) -> None:
    started = _only(
        owner_events.handle(_order('c1', b'goggles'), ready_owner, 1)
    )
    assert isinstance(started, ev.StartTargetCall)
    head = ev.TargetAnswerHead('c1', 200, (), b'sold', last=True)
    owner_events.handle(head, ready_owner, 2)
    again = _only(owner_events.handle(_order('c2', b'goggles'), ready_owner, 3))
    assert again.message.body == b'sold'
    other = _only(owner_events.handle(_order('c3', b'gloves'), ready_owner, 3))
    assert isinstance(other.message, msg.CallRefused)
    assert other.message.outcome == 'not-run'


def test_a_re_send_while_the_first_runs_does_not_run(
    ready_owner: Owner,
) -> None:
    owner_events.handle(_order('c1', b''), ready_owner, 1)
    refusal = _only(owner_events.handle(_order('c2', b''), ready_owner, 2))
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
    owners: dict[str, Owner]
    ran: list[str] = attrs.field(factory=list)
    _version: int = 0

    @classmethod
    def from_names(cls, *names: str) -> 'Desk':
        """Build a desk with all zones in."""
        log = EventLog.from_config()
        owners = {name: Owner.from_config(name, name, log) for name in names}
        desk = cls(Entry.from_config('e', random.Random(1), log), owners)
        for name, owner in owners.items():
            owner.use_target(_target(name), 0)
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
            for name in self.owners
        }
        tree = {'services': {'docs': {}}, 'zones': states}
        settings = Settings.from_tree(self._version, tree)
        self.entry.use_settings(settings, 0)
        for owner in self.owners.values():
            owner.use_settings(settings, 0)

    def order(self, call: str) -> Any:
        """Send an order under one key and return its end without its id."""
        arrived = ev.RequestReceived(
            call, 'docs', 't', b'POST', b'/order', (), b'', 'k', 5
        )
        waiting = entry_handlers.handle(arrived, self.entry, 1)
        while True:
            effect = waiting.pop(0)
            if not isinstance(effect, Send):
                return attrs.evolve(effect, call='')
            for message in self._carry(effect):
                reply = ev.CallMessageReceived(effect.node, message)
                waiting += entry_handlers.handle(reply, self.entry, 1)

    def _carry(self, effect: Send) -> list[Any]:
        """Deliver a message to its node and return what comes back."""
        owner = self.owners[effect.node]
        came = ev.CallMessageReceived('e', effect.message)
        effects = owner_events.handle(came, owner, 1)
        if isinstance(effects[0], ev.StartTargetCall):
            self.ran.append(effect.node)
            body = effect.node.encode()
            head = ev.TargetAnswerHead(
                effect.message.call, 200, (), body, last=True
            )
            effects = owner_events.handle(head, owner, 1)
        return [one.message for one in effects if isinstance(one, ev.SendReply)]


def _target(name: str) -> Target:
    return Target('docs', 'v1', f'{name}-1', '127.0.0.1', 1)


def _member(name: str) -> Member:
    return Member(name, '127.0.0.1', 1, name, 'r', 1, 0, _target(name))


def test_a_key_used_at_a_node_that_stops_does_not_run_elsewhere(
    ready_owner: Owner,
) -> None:
    ended, running = b'goggles', b'gloves'
    owner_events.handle(_order('c1', ended), ready_owner, 1)
    head = ev.TargetAnswerHead('c1', 200, (), b'sold', last=True)
    owner_events.handle(head, ready_owner, 2)
    second = attrs.evolve(_order('c2', running).message, key='k2')
    owner_events.handle(ev.CallMessageReceived('e', second), ready_owner, 2)
    entry = Entry.from_config('n', random.Random(1), EventLog.from_config())
    entry.table.use_members(map(_member, ('n', 'other')), 0)
    told = key_handover.hand_over('n', ready_owner, entry, 3)
    heir = Owner.from_config('other', 'z', EventLog.from_config())
    heir.use_settings(Settings.from_tree(1, {'services': {'docs': {}}}), 0)
    heir.use_target(Target('docs', 'v1', 'j', '127.0.0.1', 2), 0)
    assert {effect.node for effect in told} == {'other'}
    for effect in told:
        owner_events.handle(
            ev.CallMessageReceived('n', effect.message), heir, 3
        )
    for call in (_order('c3', ended).message, attrs.evolve(second, call='c4')):
        reply = _only(
            owner_events.handle(ev.CallMessageReceived('e', call), heir, 4)
        )
        assert reply.message.outcome == 'unknown'
        assert reply.message.reason == 'duplicate'
