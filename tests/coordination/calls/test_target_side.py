"""The target side of a node: replies to requests sent again with a key."""

import random
from collections.abc import Iterator
from typing import Any

import attrs

from daisyline.coordination.calls import call_events as ev
from daisyline.coordination.calls import (
    entry_handlers,
    key_handover,
    target_side_handlers,
)
from daisyline.coordination.calls import messages as msg
from daisyline.coordination.calls.answer_records import (
    MAX_RECORD_BYTES,
    MAX_TOTAL_BYTES,
    RECORD_TTL_S,
)
from daisyline.coordination.calls.entry import Entry
from daisyline.coordination.calls.target_side import TargetSide
from daisyline.coordination.effects import Send
from daisyline.coordination.events import EventLog
from daisyline.state.failures import Outcome
from daisyline.state.members import Member
from daisyline.state.settings import Settings
from daisyline.state.targets import Target
from tests.builders import run_message
from tests.support import fixture, function_tests

load_tests = function_tests(__name__)

# Until the limit of concurrency has grown to the number of slots.
WARM_CALLS = 200


@fixture
def ready_target_side() -> Iterator[TargetSide]:
    """Give the target side of a node whose target is ready."""
    side = TargetSide.from_config('n', 'z', EventLog.from_config())
    side.use_settings(Settings.from_tree(1, {'services': {'docs': {}}}), 0)
    side.use_target(Target('docs', 'v1', 'i', '127.0.0.1', 1), 0)
    yield side


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


def _run_order(call: str, body: bytes, side: TargetSide, now: float) -> None:
    """Run an order without a key and answer it with a body."""
    order = run_message(call, repeatable=False, method=b'POST')
    target_side_handlers.handle(ev.CallMessageReceived('e', order), side, now)
    head = ev.TargetAnswerHead(call, 200, (), body, last=True)
    target_side_handlers.handle(head, side, now)


def _ask(query: msg.QueryCall, side: TargetSide, now: float) -> Any:
    """Return the reply to a question about a call."""
    asked = ev.CallMessageReceived('e', query)
    return _only(target_side_handlers.handle(asked, side, now)).message


def test_a_call_whose_record_was_evicted_is_not_reported_as_not_run(
    ready_target_side: TargetSide,
) -> None:
    # Guards against a second run of an order whose record had to make room
    # for the answers of later orders.
    body = b'x' * MAX_RECORD_BYTES
    for number in range(MAX_TOTAL_BYTES // MAX_RECORD_BYTES + 1):
        _run_order(f'c{number}', body, ready_target_side, 1)
    assert _ask(msg.QueryCall('c1'), ready_target_side, 2).body == body
    reply = _ask(msg.QueryCall('c0'), ready_target_side, 2)
    assert reply.outcome == Outcome.UNKNOWN
    later = 2 + RECORD_TTL_S
    reply = _ask(msg.QueryCall('later'), ready_target_side, later)
    assert reply.outcome == Outcome.NOT_RUN


def test_a_call_older_than_the_records_is_not_reported_as_not_run(
    ready_target_side: TargetSide,
) -> None:
    # Guards against a second run of an order that is asked for after its
    # record has expired.
    _run_order('c', b'sold', ready_target_side, 1)
    now = 2 + RECORD_TTL_S
    old = msg.QueryCall('c', age_ms=RECORD_TTL_S * 1000 + 1000)
    assert _ask(old, ready_target_side, now).outcome == Outcome.UNKNOWN
    recent = msg.QueryCall('unseen', age_ms=500)
    assert _ask(recent, ready_target_side, now).outcome == Outcome.NOT_RUN


def test_a_key_reused_for_another_request_does_not_get_the_first_answer(
    ready_target_side: TargetSide,
) -> None:
    started = _only(
        target_side_handlers.handle(
            _order('c1', b'goggles'), ready_target_side, 1
        )
    )
    assert isinstance(started, ev.StartTargetCall)
    head = ev.TargetAnswerHead('c1', 200, (), b'sold', last=True)
    target_side_handlers.handle(head, ready_target_side, 2)
    again = _only(
        target_side_handlers.handle(
            _order('c2', b'goggles'), ready_target_side, 3
        )
    )
    assert again.message.body == b'sold'
    other = _only(
        target_side_handlers.handle(
            _order('c3', b'gloves'), ready_target_side, 3
        )
    )
    assert isinstance(other.message, msg.CallRefused)
    assert other.message.outcome == 'not-run'


def test_a_resend_while_the_first_call_runs_does_not_run(
    ready_target_side: TargetSide,
) -> None:
    target_side_handlers.handle(_order('c1', b''), ready_target_side, 1)
    refusal = _only(
        target_side_handlers.handle(_order('c2', b''), ready_target_side, 2)
    )
    assert (refusal.message.reason, refusal.message.outcome) == (
        'duplicate',
        'unknown',
    )


def test_an_order_under_a_key_runs_once_while_a_zone_leaves_and_returns() -> (
    None
):
    nodes = EntryWithTargets.from_names('a', 'b', 'c')
    first = nodes.order('c1')
    ran_on = nodes.ran_on[0]
    nodes.zones_out = frozenset((ran_on,))
    assert nodes.order('c2') == first
    nodes.zones_out = frozenset()
    assert nodes.order('c3') == first
    assert nodes.ran_on == [ran_on]


def test_an_order_rerouted_from_a_zone_that_is_out_runs_once() -> None:
    first = EntryWithTargets.from_names('a', 'b', 'c')
    first.order('c1')
    nodes = EntryWithTargets.from_names('a', 'b', 'c')
    nodes.zones_out = frozenset(first.ran_on)
    answer = nodes.order('c1')
    assert answer == nodes.order('c2')
    nodes.zones_out = frozenset()
    refused = nodes.order('c3')
    assert refused.failure.outcome == 'unknown'
    assert len(nodes.ran_on) == 1
    assert nodes.ran_on != first.ran_on


@attrs.define
class EntryWithTargets:
    """An entry and the nodes of some targets, each in its own zone."""

    entry: Entry
    target_sides: dict[str, TargetSide]
    ran_on: list[str] = attrs.field(factory=list)
    _version: int = 0

    @classmethod
    def from_names(cls, *names: str) -> 'EntryWithTargets':
        """Build the nodes with all zones in service."""
        log = EventLog.from_config()
        target_sides = {
            name: TargetSide.from_config(name, name, log) for name in names
        }
        nodes = cls(Entry.from_config('e', random.Random(1), log), target_sides)
        for name, target_side in target_sides.items():
            target_side.use_target(_target(name), 0)
        nodes.entry.table.use_members(map(_member, names), 0)
        nodes.zones_out = frozenset()
        return nodes

    @property
    def zones_out(self) -> frozenset[str]:
        """Raise an error; the property can only be set."""
        raise AttributeError

    @zones_out.setter
    def zones_out(self, zones: frozenset[str]) -> None:
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
        """Send an order with one key; return its result without the call id."""
        arrived = ev.RequestReceived(
            call, 'docs', 't', b'POST', b'/order', (), b'', 'k', 5
        )
        waiting = entry_handlers.handle(arrived, self.entry, 1)
        while True:
            effect = waiting.pop(0)
            if not isinstance(effect, Send):
                return attrs.evolve(effect, call='')
            for message in self._deliver(effect):
                reply = ev.CallMessageReceived(effect.node, message)
                waiting += entry_handlers.handle(reply, self.entry, 1)

    def _deliver(self, effect: Send) -> list[Any]:
        """Deliver a message to its node and return the replies."""
        target_side = self.target_sides[effect.node]
        received = ev.CallMessageReceived('e', effect.message)
        effects = target_side_handlers.handle(received, target_side, 1)
        if isinstance(effects[0], ev.StartTargetCall):
            self.ran_on.append(effect.node)
            body = effect.node.encode()
            head = ev.TargetAnswerHead(
                effect.message.call, 200, (), body, last=True
            )
            effects = target_side_handlers.handle(head, target_side, 1)
        return [one.message for one in effects if isinstance(one, ev.SendReply)]


def _target(name: str) -> Target:
    return Target('docs', 'v1', f'{name}-1', '127.0.0.1', 1)


def _member(name: str) -> Member:
    return Member(name, '127.0.0.1', 1, name, 'r', 1, 0, _target(name))


def test_a_key_used_at_a_node_that_stops_does_not_run_elsewhere(
    ready_target_side: TargetSide,
) -> None:
    ended, running = b'goggles', b'gloves'
    target_side_handlers.handle(_order('c1', ended), ready_target_side, 1)
    head = ev.TargetAnswerHead('c1', 200, (), b'sold', last=True)
    target_side_handlers.handle(head, ready_target_side, 2)
    second = attrs.evolve(_order('c2', running).message, key='k2')
    target_side_handlers.handle(
        ev.CallMessageReceived('e', second), ready_target_side, 2
    )
    entry = Entry.from_config('n', random.Random(1), EventLog.from_config())
    entry.table.use_members(map(_member, ('n', 'other')), 0)
    messages = key_handover.used_keys_messages('n', ready_target_side, entry, 3)
    successor = TargetSide.from_config('other', 'z', EventLog.from_config())
    successor.use_settings(Settings.from_tree(1, {'services': {'docs': {}}}), 0)
    successor.use_target(Target('docs', 'v1', 'j', '127.0.0.1', 2), 0)
    assert {effect.node for effect in messages} == {'other'}
    for effect in messages:
        target_side_handlers.handle(
            ev.CallMessageReceived('n', effect.message), successor, 3
        )
    for call in (_order('c3', ended).message, attrs.evolve(second, call='c4')):
        reply = _only(
            target_side_handlers.handle(
                ev.CallMessageReceived('e', call), successor, 4
            )
        )
        assert reply.message.outcome == 'unknown'
        assert reply.message.reason == 'duplicate'


def test_an_answer_without_a_length_ends_soon_after_its_deadline(
    ready_target_side: TargetSide,
) -> None:
    length = ((b'Content-Length', b'90000'),)
    for call, headers, has_end in (('c1', length, False), ('c2', (), True)):
        run = run_message(call, budget_ms=1000)
        received = ev.CallMessageReceived('e', run)
        target_side_handlers.handle(received, ready_target_side, 1)
        head = ev.TargetAnswerHead(call, 200, headers, b'a', last=False)
        target_side_handlers.handle(head, ready_target_side, 1)
        effects = _send_parts(ready_target_side, call, until_s=20)
        ended = [
            effect
            for effect in effects
            if isinstance(effect, ev.AbortTargetCall)
        ]
        assert bool(ended) is has_end
        end = ev.TargetAnswerPart(call, b'a', last=True)
        target_side_handlers.handle(end, ready_target_side, 20)


def _send_parts(side: TargetSide, call: str, until_s: int) -> list[Any]:
    """Send a part of an answer each second and return all effects."""
    effects: list[Any] = []
    for now in range(2, until_s):
        part = ev.TargetAnswerPart(call, b'a', last=False)
        effects += target_side_handlers.handle(part, side, now)
        effects += target_side_handlers.tick(side, now)
    return effects


def test_a_call_whose_deadline_passed_in_a_pause_does_not_start() -> None:
    for pause_s in (1, 3, 10, 60):
        side = TargetSide.from_config('n', 'z', EventLog.from_config())
        limits = {'services': {'docs': {'slots_per_upstream': 1}}}
        side.use_settings(Settings.from_tree(1, limits), 0)
        side.use_target(Target('docs', 'v1', 'i', '127.0.0.1', 1), 0)
        for call in ('running', 'waiting'):
            run = run_message(call, budget_ms=900)
            received = ev.CallMessageReceived('e', run)
            target_side_handlers.handle(received, side, 0)
        now = float(pause_s)
        effects = [
            *target_side_handlers.handle(ev.ProcessPaused(now), side, now),
            # The answer lay in the socket of the target's connection.
            *target_side_handlers.handle(
                ev.TargetAnswerHead('running', 200, (), b'', last=True),
                side,
                now,
            ),
            *target_side_handlers.tick(side, now),
        ]
        started = [
            effect.call
            for effect in effects
            if isinstance(effect, ev.StartTargetCall)
        ]
        refused = [
            effect.message.call
            for effect in effects
            if isinstance(effect, ev.SendReply)
            and isinstance(effect.message, msg.CallRefused)
        ]
        assert not started, pause_s
        assert refused == ['waiting'], pause_s


def _announce(slots: int, side: TargetSide, now: float) -> list[Any]:
    target = Target('docs', 'v1', 'i', '127.0.0.1', 1, slots=slots)
    announced = ev.TargetAnnounced(target)
    return side.use_target(announced.target, now)


def _started(effects: list[Any]) -> list[str]:
    return [
        effect.call
        for effect in effects
        if isinstance(effect, ev.StartTargetCall)
    ]


def _offer(calls: list[str], side: TargetSide, now: float) -> list[Any]:
    """Offer calls and return the effects."""
    return [
        effect
        for call in calls
        for effect in target_side_handlers.handle(
            ev.CallMessageReceived('e', run_message(call)), side, now
        )
    ]


def _end(calls: list[str], side: TargetSide, now: float) -> list[Any]:
    """Answer calls and return the effects."""
    return [
        effect
        for call in calls
        for effect in target_side_handlers.handle(
            ev.TargetAnswerHead(call, 200, (), b'', last=True), side, now
        )
    ]


def test_another_number_of_slots_is_in_force_at_once(
    ready_target_side: TargetSide,
) -> None:
    # Guards against a node that refuses all calls after its target came back
    # with fewer slots than calls were running.
    side = ready_target_side
    _announce(9, side, 0)
    for number in range(WARM_CALLS):
        _offer([f'warm-{number}'], side, 0.1)
        _end([f'warm-{number}'], side, 0.1)
    names = [f'c{place}' for place in range(16)]
    running = _started(_offer(names[:9], side, 1))
    assert running == names[:9]
    _announce(4, side, 1)
    assert not _started(_offer([names[9]], side, 1))
    started = _started(_end(running, side, 1))
    started += _started(_offer(names[10:], side, 1))
    assert len(started) == 4
    assert len(_started(_announce(6, side, 1))) == 2
    assert side.load.running == 6


def test_a_call_whose_entry_node_has_no_settings_is_refused_if_keys_are_needed(
    ready_target_side: TargetSide,
) -> None:
    # Guards against calls whose key no node has checked.
    side = ready_target_side
    tree = {'services': {'docs': {}}, 'tenants': {'acme': {'keys': []}}}
    side.use_settings(Settings.from_tree(2, tree), 0)
    for version, kind in ((0, ev.SendReply), (1, ev.StartTargetCall)):
        run = run_message(f'c{version}', settings_version=version)
        received = ev.CallMessageReceived('e', run)
        effect = _only(target_side_handlers.handle(received, side, 1))
        assert isinstance(effect, kind)
        if version == 0:
            assert effect.message.reason == 'no-settings'
