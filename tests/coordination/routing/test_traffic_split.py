"""Calls of a route are spread over its services by weight."""

import collections
import random

from hypothesis import given, settings
from hypothesis import strategies as st

from daisyline.coordination.routing.traffic_split import (
    MAX_ROUTES,
    TrafficSplit,
)
from daisyline.state.routes import Route
from tests.support import function_tests

load_tests = function_tests(__name__)

# The contract's bound on the difference between a share and its weight.
MAX_DIFFERENCE = 0.2
FEW_CALLS = 20
NODES = 400


def _route(name: str, *weights: int) -> Route:
    services = tuple(
        (f's{number}', weight) for number, weight in enumerate(weights)
    )
    return Route(name, 'h', '/', services)


def _counts(
    splits: list[TrafficSplit], route: Route, calls: int
) -> 'collections.Counter[str]':
    """Return the calls of each service, if each node has a number of them."""
    return collections.Counter(
        split.service_for(route) for split in splits for _ in range(calls)
    )


@settings(derandomize=True, max_examples=200)
@given(
    weights=st.lists(st.integers(0, 1_000_000), min_size=1, max_size=6).filter(
        any
    ),
    seed=st.integers(0, 1000),
)
def test_shares_hold_for_few_calls_of_one_node(
    weights: list[int], seed: int
) -> None:
    split = TrafficSplit(random.Random(seed))
    counts = _counts([split], _route('r', *weights), FEW_CALLS)
    for number, weight in enumerate(weights):
        share = counts[f's{number}'] / FEW_CALLS
        assert abs(share - weight / sum(weights)) <= MAX_DIFFERENCE
        assert weight or not share


def test_shares_hold_for_one_call_of_each_of_many_nodes() -> None:
    splits = [TrafficSplit(random.Random(seed)) for seed in range(NODES)]
    counts = _counts(splits, _route('r', 90, 10), 1)
    assert 0.05 * NODES < counts['s1'] < 0.15 * NODES


def test_changed_weights_hold_from_the_next_call_on() -> None:
    split = TrafficSplit(random.Random(1))
    _counts([split], _route('r', 9, 1), 50)
    counts = _counts([split], _route('r', 1, 9), FEW_CALLS)
    assert counts['s1'] >= 0.8 * FEW_CALLS


def test_a_call_sent_again_with_its_key_goes_to_the_same_service() -> None:
    route = _route('r', 50, 50)
    picked = set()
    for number in range(40):
        key = f'k{number}'.encode()
        services = {
            TrafficSplit(random.Random(seed)).service_for(route, key)
            for seed in range(5)
        }
        assert len(services) == 1
        picked |= services
    assert picked == {'s0', 's1'}


def test_the_number_of_routes_that_are_remembered_is_bounded() -> None:
    split = TrafficSplit(random.Random(1))
    for number in range(MAX_ROUTES + 5):
        split.service_for(_route(f'r{number}', 1, 1))
    assert len(split._positions) <= MAX_ROUTES
