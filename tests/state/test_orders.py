"""Orders outside the settings tree are in force until they are withdrawn."""

import types

from daisyline.coordination.settings.kind_reader import ReadObject, ReadResult
from daisyline.coordination.settings.order_reading import (
    MISSING_WAIT_S,
    REWRITE_WAIT_S,
    ROLLOUTS_KIND,
    ZONES_KIND,
    orders_in,
)
from daisyline.state.facts import Fact
from daisyline.state.orders import Orders, zone_out_order
from daisyline.state.rollout_state import RolloutState, Stage
from daisyline.state.settings import Settings
from tests.support import function_tests

load_tests = function_tests(__name__)

Facts = dict[tuple[str, str], Fact]
PLAN = types.MappingProxyType(
    {'id': 'v2.7', 'old': '', 'new': 'v2', 'finish_in_s': 12.0}
)


def _merge_read(
    facts: Facts, result: ReadResult, copy_age_s: float = 60
) -> Facts:
    """Return the facts after a read's orders were merged as nodes do it."""
    merged = dict(facts)
    for order in orders_in(result, facts, copy_age_s).orders:
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


def _listed(
    kind: str, era: int, revision: int, *listed: ReadObject
) -> ReadResult:
    return ReadResult(kind, revision, True, listed, era)


def _zones(facts: Facts) -> frozenset[str]:
    return Orders.from_facts(facts).zones_out


def _zone_out(revision: int) -> ReadObject:
    return ReadObject('ghent-a', revision, {'state': 'out'})


def _rollout(revision: int, version: str, created: int) -> ReadObject:
    fields = {'id': f'{version}.{created}', 'new': version}
    return ReadObject('docs', revision, dict(PLAN) | fields)


def _rollout_id(facts: Facts) -> str:
    return Orders.from_facts(facts).rollouts['docs'].id


def test_an_order_of_a_later_era_counts_at_a_lower_revision() -> None:
    # Guards against a zone or version whose order is taken for an older one.
    facts = _merge_read({}, _listed(ZONES_KIND, 1, 57, _zone_out(57)))
    taken_back = ReadObject('ghent-a', 60, None)
    facts = _merge_read(
        facts, ReadResult(ZONES_KIND, 60, False, (taken_back,), 1)
    )
    seen_by_watch = ReadResult(ZONES_KIND, 18, False, (_zone_out(18),), 2)
    facts = _merge_read(facts, seen_by_watch, 0.5)
    assert _zones(facts) == {'ghent-a'}
    taken_back = ReadObject('ghent-a', 20, None)
    facts = _merge_read(
        facts, ReadResult(ZONES_KIND, 20, False, (taken_back,), 2), 1
    )
    assert not _zones(facts)
    # An answer of the older era that comes late.
    late = ReadResult(ZONES_KIND, 61, False, (_zone_out(61),), 1)
    assert not _zones(_merge_read(facts, late))


def test_what_the_copy_lacks_is_not_withdrawn_on_sight() -> None:
    facts = _merge_read({}, _listed(ZONES_KIND, 1, 57, _zone_out(57)))
    empty = _listed(ZONES_KIND, 2, 20)
    assert _zones(_merge_read(facts, empty, 0.1)) == {'ghent-a'}
    assert orders_in(empty, facts, 0.1).decided_at_s == MISSING_WAIT_S
    assert not _zones(_merge_read(facts, empty, MISSING_WAIT_S))
    # Once it is written again, a list without it withdraws it at once.
    facts = _merge_read(facts, _listed(ZONES_KIND, 2, 22, _zone_out(21)), 1)
    assert not _zones(_merge_read(facts, _listed(ZONES_KIND, 2, 25), 1.5))


def test_what_only_the_copy_has_counts_if_it_stays() -> None:
    # A zone that was taken back since the copy was made.
    facts = _merge_read({}, _listed(ZONES_KIND, 1, 30, _zone_out(30)))
    facts = _merge_read(facts, _listed(ZONES_KIND, 1, 50))
    copied = _listed(ZONES_KIND, 2, 35, _zone_out(30))
    assert not _zones(_merge_read(facts, copied, 0.1))
    assert orders_in(copied, facts, 0.1).decided_at_s == REWRITE_WAIT_S
    assert _zones(_merge_read(facts, copied, REWRITE_WAIT_S)) == {'ghent-a'}
    # Beyond the held revision the order is new.
    new = _listed(ZONES_KIND, 2, 52, _zone_out(51))
    assert _zones(_merge_read(facts, new, 0.1)) == {'ghent-a'}


def test_an_id_given_out_again_does_not_take_another_rollouts_facts() -> None:
    facts = _merge_read(
        {}, _listed(ROLLOUTS_KIND, 1, 18, _rollout(18, 'v3', 18))
    )
    verdict = RolloutState(Stage.ROLLED_BACK).to_fact('docs/v3.18')
    facts = {**facts, verdict.key: verdict}
    facts = _merge_read(
        facts, _listed(ROLLOUTS_KIND, 1, 57, _rollout(57, 'v4', 57))
    )
    ordered = ReadResult(ROLLOUTS_KIND, 18, False, (_rollout(18, 'v3', 18),), 2)
    facts = _merge_read(facts, ordered, 1)
    assert _rollout_id(facts) == 'v3.18@2'
    # The same order, listed in each era, keeps its id and its facts.
    facts = _merge_read(
        {}, _listed(ROLLOUTS_KIND, 1, 18, _rollout(18, 'v3', 18))
    )
    facts = {**facts, verdict.key: verdict}
    again = _listed(ROLLOUTS_KIND, 2, 19, _rollout(18, 'v3', 18))
    assert _rollout_id(_merge_read(facts, again, 0.1)) == 'v3.18'
