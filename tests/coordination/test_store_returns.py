"""A node learns the era of the store and reads a copy again."""

import random
from collections.abc import Iterator
from typing import Any

from daisyline.coordination import events as log
from daisyline.coordination import node_handlers
from daisyline.coordination.calls import call_events as ev
from daisyline.coordination.effects import (
    DropPlatformCalls,
    PlatformList,
    PlatformReply,
)
from daisyline.coordination.membership.gossip_messages import RecordUpdates
from daisyline.coordination.membership.gossip_records import FactRecord
from daisyline.coordination.node_core import NodeCore
from daisyline.coordination.settings.platform_reading import (
    PlatformReadConfig,
    StoreClock,
)
from daisyline.state.members import Member
from daisyline.state.orders import Orders, zone_out_order
from daisyline.state.store_time import StoreTime, era_fact
from tests.support import fixture, function_tests

load_tests = function_tests(__name__)

KINDS = ('settings', 'zones', 'rollout-orders')


@fixture
def lone_core() -> Iterator[NodeCore]:
    """Provide a node that is the only one of its fleet."""
    member = Member('n', '10.0.0.1', 1, 'ghent-a', 'be', 1)
    yield NodeCore.from_config(
        member,
        'c',
        (),
        random.Random(1),
        0,
        PlatformReadConfig(KINDS, lists_are_current=True),
    )


def _list_settings(core: NodeCore, now: float) -> str:
    """Return the token of the list of the settings that is due."""
    effects = node_handlers.tick(core, now)
    lists = [each for each in effects if isinstance(each, PlatformList)]
    return next(each.token for each in lists if each.kind == 'settings')


def _answer(
    core: NodeCore, token: str, version: int, era: int | None, now: float
) -> list[Any]:
    listed = [('tree', version, {'tree': {'cluster': 'c'}})]
    reply = PlatformReply(token, 200, version, listed, era)
    return node_handlers.handle(reply, core, now)


def _returns(core: NodeCore) -> list[tuple[int, int]]:
    return [
        (event.before, event.era)
        for event in core.events.events_without_call()
        if isinstance(event, log.StoreReturned)
    ]


def test_the_first_era_that_a_node_learns_is_no_return(
    lone_core: NodeCore,
) -> None:
    effects = _answer(lone_core, _list_settings(lone_core, 0), 9, 4, 0)
    assert DropPlatformCalls() not in effects
    assert lone_core.store_clock.era == 4
    assert not _returns(lone_core)


def test_any_answer_of_a_later_era_drops_calls_and_reads_again(
    lone_core: NodeCore,
) -> None:
    _answer(lone_core, _list_settings(lone_core, 0), 9, 1, 0)
    for number, status in enumerate((404, 409, 410, 503), 2):
        reply = PlatformReply('any', status, era=number)
        effects = node_handlers.handle(reply, lone_core, number)
        assert DropPlatformCalls() in effects
        assert lone_core.store_clock.era == number
        assert _list_settings(lone_core, number + 0.1)
    assert _returns(lone_core) == [(1, 2), (2, 3), (3, 4), (4, 5)]


def test_a_list_that_tells_of_the_return_withdraws_nothing(
    lone_core: NodeCore,
) -> None:
    # Guards against a list that was under way as the store came back.
    _answer(lone_core, _list_settings(lone_core, 0), 9, 1, 0)
    effects = node_handlers.tick(lone_core, 1)
    listing = next(
        each
        for each in effects
        if isinstance(each, PlatformList) and each.kind == 'zones'
    )
    order = zone_out_order('ghent-a', StoreTime(1, 8).rank).to_fact()
    told = RecordUpdates((), (FactRecord(order, order.ttl_ms),))
    node_handlers.handle(ev.CallMessageReceived('other', told), lone_core, 1)
    assert Orders.from_facts(lone_core.fleet.facts).zones_out == {'ghent-a'}
    empty = PlatformReply(listing.token, 200, 3, [], 2)
    assert DropPlatformCalls() in node_handlers.handle(empty, lone_core, 30)
    assert Orders.from_facts(lone_core.fleet.facts).zones_out == {'ghent-a'}


def test_an_era_that_another_node_tells_of_counts_as_much(
    lone_core: NodeCore,
) -> None:
    _answer(lone_core, _list_settings(lone_core, 0), 9, 1, 0)
    updates = RecordUpdates((), (FactRecord(era_fact(2), 60_000),))
    event = ev.CallMessageReceived('other', updates)
    assert DropPlatformCalls() in node_handlers.handle(event, lone_core, 1)
    assert _returns(lone_core) == [(1, 2)]


def test_an_answer_of_an_older_era_that_comes_late_changes_nothing() -> None:
    clock = StoreClock()
    clock.learn(2)
    late = PlatformReply('t', 200, 57, [], 1)
    assert clock.date(late) == PlatformReply('t', 0, era=2)
    assert clock.late_answers == 1
    assert not clock.learn(1)
    assert clock.era == 2
    current = PlatformReply('t', 200, 17, [], 2)
    assert clock.date(current) == current


def test_a_store_that_states_no_era_stays_in_the_first() -> None:
    clock = StoreClock()
    assert not clock.learn(None)
    assert clock.date(PlatformReply('t', 200, 7)).time == StoreTime(0, 7)
