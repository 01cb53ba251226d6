"""Facts merge to the same view in any order, and expire on all nodes."""

from hypothesis import given, settings
from hypothesis import strategies as st

from daisyline.coordination.membership.digest import Digest
from daisyline.coordination.membership.fact_store import FactStore
from daisyline.coordination.membership.gossip_records import FactRecord
from daisyline.state.facts import Fact
from tests.support import function_tests

load_tests = function_tests(__name__)

FACTS = st.builds(
    Fact,
    st.sampled_from(['verdict', 'quarantine']),
    st.sampled_from(['docs', 'sessions']),
    st.integers(0, 2),
    st.tuples(st.integers(0, 2)),
)


@settings(derandomize=True, max_examples=200)
@given(st.lists(FACTS, max_size=8), st.randoms(use_true_random=False))
def test_facts_merge_to_the_same_view_in_any_order(
    facts: list[Fact], rng
) -> None:
    shuffled = rng.sample(facts, len(facts))
    digests = [Digest(), Digest()]
    stores = [FactStore(digest) for digest in digests]
    for store, order in zip(stores, (facts, shuffled), strict=True):
        for fact in order:
            store.merge(FactRecord(fact, 1000), 0)
    assert stores[0].facts == stores[1].facts
    assert digests[0].hashes == digests[1].hashes


def test_a_late_copy_does_not_restore_an_expired_fact() -> None:
    store = FactStore(Digest())
    fact = Fact('verdict', 'docs', 1)
    store.merge(FactRecord(fact, 1000), 0)
    late = store.record_of(fact, 0.9)
    assert late.remaining_ms <= 100
    store.expire(1)
    assert not store.merge(late, 1)
    assert not store.facts
    assert store.merge(FactRecord(Fact('verdict', 'docs', 2), 1000), 1)
