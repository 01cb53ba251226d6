"""The overlay joins all members in few steps."""

from daisyline.coordination.overlay import Overlay
from tests.support import function_tests

load_tests = function_tests(__name__)

SIZE = 1100
MOST_STEPS = 5


def overlay_of(name: str, names: list[str]) -> Overlay:
    overlay = Overlay(name)
    for other in names:
        overlay.add(other)
    return overlay


def test_news_reaches_the_target_size_in_few_steps() -> None:
    names = [f'n{number}' for number in range(SIZE)]
    reached = {'n0'}
    edge = reached
    rings = Overlay('n0')
    for name in names:
        rings.add(name)
    steps = 0
    while len(reached) < SIZE:
        found = set()
        for name in edge:
            found.update(Overlay(name, rings._rings).neighbours())
        edge = found - reached
        reached |= found
        steps += 1
    assert steps <= MOST_STEPS


def test_a_neighbour_is_a_neighbour_of_its_neighbour() -> None:
    names = [f'n{number}' for number in range(40)]
    for name in overlay_of('n0', names).neighbours():
        assert 'n0' in overlay_of(name, names).neighbours()


def test_members_passed_over_are_replaced_by_the_next() -> None:
    names = [f'n{number}' for number in range(40)]
    overlay = overlay_of('n0', names)
    first = overlay.successors()
    second = overlay.successors(first)
    assert len(second) >= len(first) - 1
    assert not set(first).intersection(second)
