"""Whether the budget adds up and says what is over its limit."""

from bench.capacity_budget import Item
from tests.support import function_tests

load_tests = function_tests(__name__)


def test_parts_are_added_and_held_against_the_limit() -> None:
    within = Item('memory, MiB', (('base', 40), ('members', 2)), 64)
    assert within.total == 42
    assert within.verdict == 'holds'
    over = Item('memory, MiB', (('base', 40), ('members', 25)), 64)
    assert over.verdict == 'OVER'
    assert 'base 40 + members 25' in over.cells()[1]


def test_an_item_without_a_limit_has_no_verdict() -> None:
    assert not Item('probes/s', (('none', 0),)).verdict
