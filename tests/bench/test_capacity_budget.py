"""Tests of the sums and verdicts of the capacity budget."""

from bench.capacity_budget import BudgetItem
from tests.support import function_tests

load_tests = function_tests(__name__)


def test_terms_are_added_and_compared_with_the_limit() -> None:
    within = BudgetItem('memory, MiB', (('base', 40), ('members', 2)), 64)
    assert within.total == 42
    assert within.verdict == 'holds'
    over = BudgetItem('memory, MiB', (('base', 40), ('members', 25)), 64)
    assert over.verdict == 'OVER'
    assert 'base 40 + members 25' in over.cells()[1]


def test_an_item_without_a_limit_has_no_verdict() -> None:
    assert not BudgetItem('probes/s', (('none', 0),)).verdict
