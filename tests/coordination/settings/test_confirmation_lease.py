"""A lease is renewed by new confirmations only, and lapses at spread times."""

import random

from daisyline.coordination.settings.confirmation_lease import (
    LEASE_S,
    ConfirmationLease,
)
from tests.support import function_tests

load_tests = function_tests(__name__)

FLEET_SIZE = 1_100
# A change is in force within this time, of which a read by the node itself and
# the way of its result to the other nodes need a part.
IN_FORCE_S = 2.0


def _lease(seed: int = 1) -> ConfirmationLease:
    return ConfirmationLease.from_start(random.Random(seed), now=0)


def test_a_confirmation_that_arrives_twice_renews_the_lease_once() -> None:
    lease = _lease()
    assert lease.renew(5, 9, now=1)
    assert not lease.renew(5, 9, now=2)
    assert not lease.renew(4, 9, now=2)
    assert lease.age_s(now=2) == 1


def test_a_count_of_unknown_age_does_not_renew_the_lease() -> None:
    lease = _lease()
    lease.observe(7)
    assert lease.age_s(now=1) == 1
    lease.confirm(9, now=1)
    assert lease.count == 8


def test_few_nodes_of_a_large_fleet_read_first_and_all_in_time() -> None:
    lapses = []
    for seed in range(FLEET_SIZE):
        lease = _lease(seed)
        lease.renew(1, FLEET_SIZE, now=0)
        lapses.append(lease.read_at)
    first_s = min(lapses)
    assert first_s >= LEASE_S
    assert sum(lapse < first_s + 0.1 for lapse in lapses) < FLEET_SIZE / 20
    assert max(lapses) < IN_FORCE_S - 0.2


def test_a_node_reads_once_for_each_lapse() -> None:
    lease = _lease()
    lease.record_read_start()
    assert lease.read_at == float('inf')
    assert not lease.relies_on_others(now=LEASE_S)
    lease.confirm(1, now=LEASE_S)
    assert not lease.relies_on_others(now=LEASE_S)
    assert lease.read_at >= 2 * LEASE_S
