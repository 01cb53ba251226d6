"""Orders outside the settings tree are in force until they are withdrawn."""

import types

from daisyline.coordination.settings.kind_reader import ReadObject, ReadResult
from daisyline.coordination.settings.order_reading import (
    ROLLOUTS_KIND,
    ZONES_KIND,
    orders_in,
)
from daisyline.state.facts import Fact
from daisyline.state.orders import Orders, zone_out_order
from daisyline.state.settings import Settings
from tests.support import function_tests

load_tests = function_tests(__name__)

Facts = dict[tuple[str, str], Fact]
PLAN = types.MappingProxyType(
    {'id': 'v2.7', 'old': '', 'new': 'v2', 'finish_in_s': 12.0}
)


def _merge_read(facts: Facts, result: ReadResult) -> Facts:
    """Return the facts after a read's orders were merged as nodes do it."""
    merged = dict(facts)
    for order in orders_in(result, facts):
        fact = order.to_fact()
        if fact.key not in merged or fact.supersedes(merged[fact.key]):
            merged[fact.key] = fact
    return merged


def test_a_zone_is_out_from_its_order_to_its_withdrawal() -> None:
    order_object = ReadObject('ghent-a', 5, {'state': 'out'})
    facts = _merge_read({}, ReadResult(ZONES_KIND, 6, True, (order_object,)))
    assert Orders.from_facts(facts).zones_out == {'ghent-a'}
    deletion = ReadResult(
        ZONES_KIND, 9, False, (ReadObject('ghent-a', 9, None),)
    )
    assert not Orders.from_facts(_merge_read(facts, deletion)).zones_out
    empty_list = ReadResult(ZONES_KIND, 9, True)
    assert not Orders.from_facts(_merge_read(facts, empty_list)).zones_out


def test_a_list_older_than_an_order_does_not_withdraw_it() -> None:
    fact = zone_out_order('ghent-a', 8).to_fact()
    facts = {fact.key: fact}
    older_list = ReadResult(ZONES_KIND, 7, True)
    assert Orders.from_facts(_merge_read(facts, older_list)).zones_out == {
        'ghent-a'
    }


def test_a_malformed_rollout_is_ignored() -> None:
    listing = ReadResult(
        ROLLOUTS_KIND,
        9,
        True,
        (
            ReadObject('docs', 7, dict(PLAN)),
            ReadObject('shop', 8, 'unreadable'),
        ),
    )
    rollouts = Orders.from_facts(_merge_read({}, listing)).rollouts
    assert list(rollouts) == ['docs']
    assert rollouts['docs'].is_old_version('v1')
    assert not rollouts['docs'].is_old_version('v2')


def test_zones_of_orders_and_of_the_tree_are_both_out() -> None:
    tree = {'zones': {'ghent-b': {'region': 'f', 'state': 'out'}}}
    orders = Orders(zones_out=frozenset(('ghent-a',)))
    settings = Settings(1, tree, orders)
    assert settings.zones_out == {'ghent-a', 'ghent-b'}
    assert not settings.zone_is_out('antwerp-c')
