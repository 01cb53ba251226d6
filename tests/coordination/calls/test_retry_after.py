"""Callers are asked to come back when there is room for them."""

import random
import types
from typing import Any

from daisyline.coordination import node_handlers
from daisyline.coordination.calls import call_events as ev
from daisyline.coordination.calls import messages as msg
from daisyline.coordination.effects import Send
from daisyline.coordination.membership.gossip_messages import RecordUpdates
from daisyline.coordination.membership.gossip_records import MemberRecord
from daisyline.coordination.node_core import NodeCore
from daisyline.protocol.refusals import headers_of
from daisyline.state.failures import Failure, Outcome, Reason
from daisyline.state.members import Member
from daisyline.state.routes import Route
from daisyline.state.settings import Settings
from daisyline.state.targets import Phase, Target
from tests.support import function_tests

load_tests = function_tests(__name__)

NODES = types.MappingProxyType(
    {'n1': '127.0.0.1', 'n2': '127.0.0.2', 'n3': '127.0.0.3'}
)
ROUTE = Route('r', 'h', '/', (('docs', 1),), targets=1)
OVERLOADED = Reason.OVERLOADED.value
US_PER_S = 1_000_000
NOT_RUN = Outcome.NOT_RUN.value


def _entry() -> NodeCore:
    """Return a node without a target that knows the targets of others."""
    me = Member('n0', '127.0.0.9', 7400, 'ghent-a', 'flanders', 1)
    core = NodeCore.from_config(me, 'test', (), random.Random(1), 0)
    core.entry.use_settings(
        Settings.from_tree(1, {'services': {'docs': {}}}), 0
    )
    for name, host in NODES.items():
        target = Target('docs', 'v1', f'i-{name}', host, 90, Phase.READY)
        member = Member(
            name, host, 7400, 'ghent-a', 'flanders', 1, target=target
        )
        updates = RecordUpdates((MemberRecord(member),))
        node_handlers.handle(ev.CallMessageReceived(name, updates), core, 0)
    return core


def _refusal(
    core: NodeCore, call: str, *, reached_target: bool, per_s: float = 0
) -> Failure:
    """Run a call that each target refuses; return what its caller gets."""
    request = ev.RequestReceived(
        call=call,
        service='docs',
        tenant='t',
        method=b'POST',
        path=b'/order',
        headers=(),
        body=b'',
        key='',
        deadline=5,
        route=ROUTE,
    )
    effects = node_handlers.handle(request, core, 1)
    while isinstance(effects[-1], Send):
        node = effects[-1].node
        effects = _refuse(core, node, call, reached_target, per_s)
    refusal = effects[-1]
    assert isinstance(refusal, ev.RefuseCaller)
    return refusal.failure


def _refuse(
    core: NodeCore, node: str, call: str, reached_target: bool, per_s: float = 0
) -> list[Any]:
    refused = msg.CallRefused(
        call,
        OVERLOADED,
        NOT_RUN,
        reached_target=reached_target,
        service_us=int(US_PER_S / per_s) if per_s else 0,
    )
    return node_handlers.handle(ev.CallMessageReceived(node, refused), core, 1)


def test_a_call_that_one_target_declined_may_come_back_at_once() -> None:
    failure = _refusal(_entry(), 'c1', reached_target=True)
    assert failure.outcome == Outcome.NOT_RUN
    assert failure.retry_after_s == 0
    assert (b'Retry-After', b'0') in headers_of(failure, 'c1')


def test_a_call_that_all_nodes_refused_comes_back_later() -> None:
    failure = _refusal(_entry(), 'c1', reached_target=False)
    assert failure.retry_after_s == 1


def test_declined_calls_come_back_later_once_most_targets_decline() -> None:
    core = _entry()
    waits = [
        _refusal(core, f'c{number}', reached_target=True).retry_after_s
        for number in range(40)
    ]
    assert waits[0] == 0
    assert waits[-1] == 1
    assert waits == sorted(waits)


def test_callers_come_back_when_targets_that_name_a_limit_have_room() -> None:
    # Three targets start a call in four seconds each.
    failure = _refusal(_entry(), 'c1', reached_target=False, per_s=0.25)
    assert failure.retry_after_s == 2
    failure = _refusal(_entry(), 'c1', reached_target=False, per_s=7)
    assert failure.retry_after_s == 1
