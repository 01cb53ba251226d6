"""Orders beside the tree hold until they are withdrawn."""

import types

from daisyline.coordination.kind_reader import ReadObject, ReadResult
from daisyline.coordination.order_reading import (
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


def _taken(facts: Facts, result: ReadResult) -> Facts:
    """Return the facts after a read, merged as nodes merge them."""
    merged = dict(facts)
    for order in orders_in(result, facts):
        fact = order.to_fact()
        if fact.key not in merged or fact.supersedes(merged[fact.key]):
            merged[fact.key] = fact
    return merged


def test_a_zone_is_out_from_its_order_to_its_withdrawal() -> None:
    out = ReadObject('ghent-a', 5, {'state': 'out'})
    facts = _taken({}, ReadResult(ZONES_KIND, 6, True, (out,)))
    assert Orders.from_facts(facts).zones_out == {'ghent-a'}
    gone = ReadResult(ZONES_KIND, 9, False, (ReadObject('ghent-a', 9, None),))
    assert not Orders.from_facts(_taken(facts, gone)).zones_out
    listed = ReadResult(ZONES_KIND, 9, True)
    assert not Orders.from_facts(_taken(facts, listed)).zones_out


def test_a_list_that_is_older_than_an_order_doesnt_withdraw_it() -> None:
    fact = zone_out_order('ghent-a', 8).to_fact()
    facts = {fact.key: fact}
    old = ReadResult(ZONES_KIND, 7, True)
    assert Orders.from_facts(_taken(facts, old)).zones_out == {'ghent-a'}


def test_what_is_no_rollout_orders_nothing() -> None:
    read = ReadResult(
        ROLLOUTS_KIND,
        9,
        True,
        (
            ReadObject('docs', 7, dict(PLAN)),
            ReadObject('shop', 8, 'unreadable'),
        ),
    )
    rollouts = Orders.from_facts(_taken({}, read)).rollouts
    assert list(rollouts) == ['docs']
    assert rollouts['docs'].is_old_version('v1')
    assert not rollouts['docs'].is_old_version('v2')


def test_orders_go_beside_the_zones_of_the_tree() -> None:
    tree = {'zones': {'ghent-b': {'region': 'f', 'state': 'out'}}}
    orders = Orders(zones_out=frozenset(('ghent-a',)))
    held = Settings(1, tree, orders)
    assert held.zones_out == {'ghent-a', 'ghent-b'}
    assert not held.zone_is_out('antwerp-c')
