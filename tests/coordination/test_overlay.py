"""The overlay connects all members in few steps."""

from daisyline.coordination.overlay import Overlay
from tests.support import function_tests

load_tests = function_tests(__name__)

SIZE = 1100
MAX_STEPS = 5


def overlay_of(name: str, names: list[str]) -> Overlay:
    overlay = Overlay(name)
    for other in names:
        overlay.add(other)
    return overlay


def test_an_update_reaches_all_members_in_few_steps() -> None:
    names = [f'n{number}' for number in range(SIZE)]
    reached = {'n0'}
    frontier = reached
    rings = Overlay('n0')
    for name in names:
        rings.add(name)
    steps = 0
    while len(reached) < SIZE:
        reached_next = set()
        for name in frontier:
            reached_next.update(Overlay(name, rings._rings).neighbours())
        frontier = reached_next - reached
        reached |= reached_next
        steps += 1
    assert steps <= MAX_STEPS


def test_neighbours_are_mutual() -> None:
    names = [f'n{number}' for number in range(40)]
    for name in overlay_of('n0', names).neighbours():
        assert 'n0' in overlay_of(name, names).neighbours()


def test_skipped_members_are_replaced_by_the_next_ones() -> None:
    names = [f'n{number}' for number in range(40)]
    overlay = overlay_of('n0', names)
    first = overlay.successors()
    second = overlay.successors(first)
    assert len(second) >= len(first) - 1
    assert not set(first).intersection(second)
