"""A key's use is known to the node that is asked next if its node is lost."""

import random
from typing import Any

from daisyline.coordination import node_handlers
from daisyline.coordination.calls import call_events as ev
from daisyline.coordination.calls import messages as msg
from daisyline.coordination.calls.entry_call import pick_node_for_key
from daisyline.coordination.effects import Send
from daisyline.coordination.membership.gossip_messages import RecordUpdates
from daisyline.coordination.membership.gossip_records import MemberRecord
from daisyline.coordination.node_core import NodeCore
from daisyline.state.failures import Outcome, Reason
from daisyline.state.members import Member
from daisyline.state.settings import Settings
from daisyline.state.targets import Phase, Target
from tests.builders import run_message
from tests.support import function_tests

load_tests = function_tests(__name__)

NAMES = ('n1', 'n2', 'n3')
NOW = 1.0


def _member(name: str) -> Member:
    target = Target('docs', 'v1', f'i-{name}', '127.0.0.1', 9000, Phase.READY)
    return Member(
        name, '127.0.0.1', 7400, 'ghent-a', 'flanders', 1, target=target
    )


def _core(name: str) -> NodeCore:
    """Return a node that knows its own target and those of the others."""
    member = _member(name)
    core = NodeCore.from_config(member, 'test', (), random.Random(1), 0)
    core.target_side.use_settings(Settings.from_tree(1, {'services': {}}), 0)
    node_handlers.handle(ev.TargetAnnounced(member.target), core, 0)
    for other in NAMES:
        if other != name:
            updates = RecordUpdates((MemberRecord(_member(other)),))
            node_handlers.handle(
                ev.CallMessageReceived(other, updates), core, 0
            )
    return core


def _offer(core: NodeCore, call: str, key: str) -> list[Any]:
    run = run_message(
        call, repeatable=False, method=b'POST', path=b'/order', key=key
    )
    event = ev.CallMessageReceived('entry', run)
    return node_handlers.handle(event, core, NOW)


def test_an_order_under_a_key_is_unknown_at_the_next_node_after_a_kill() -> (
    None
):
    first = _core('n1')
    effects = _offer(first, 'c1', 'k1')
    assert [type(effect) for effect in effects] == [Send, ev.StartTargetCall]
    announced = effects[0]
    targets = first.entry.table.candidates('docs', NOW)
    next_node = pick_node_for_key('k1', targets, None, frozenset(('n1',)))
    assert announced.node == next_node
    # The first node is killed here; the caller sends its order again.
    second = _core(announced.node)
    received = ev.CallMessageReceived('n1', announced.message)
    node_handlers.handle(received, second, NOW)
    reply = _offer(second, 'c2', 'k1')[0]
    assert isinstance(reply.message, msg.CallRefused)
    assert reply.message.reason == Reason.DUPLICATE.value
    assert reply.message.outcome == Outcome.UNKNOWN.value


def test_only_calls_with_a_key_are_announced() -> None:
    core = _core('n1')
    effects = _offer(core, 'c1', '')
    assert [type(effect) for effect in effects] == [ev.StartTargetCall]


def test_a_queued_call_is_announced_when_it_starts() -> None:
    core = _core('n1')
    running: list[str] = []
    waiting = ''
    for number in range(100):
        call = f'c{number}'
        effects = _offer(core, call, f'k{number}')
        if not effects:
            waiting = call
            break
        running.append(call)
    assert waiting
    head = ev.TargetAnswerHead(running[0], 200, (), b'', last=True)
    effects = node_handlers.handle(head, core, NOW)
    kinds = [type(effect) for effect in effects]
    assert kinds.index(Send) + 1 == kinds.index(ev.StartTargetCall)
