"""The overlay connects all members in few steps."""

from daisyline.coordination.membership.overlay import FANOUT, Overlay
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
            reached_next.update(Overlay(name, rings=rings._rings).neighbours())
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


def zone_of(name: str) -> str:
    number = int(name.removeprefix('n'))
    return 'abcde'[number % 5]


def zoned_overlay(name: str, names: list[str]) -> Overlay:
    overlay = Overlay(name, zone_of(name))
    for other in names:
        overlay.add(other, zone_of(other))
    return overlay


def test_updates_reach_all_members_and_few_cross_zones() -> None:
    for size in (12, 195):
        names = [f'n{number}' for number in range(size)]
        recipients = {
            name: zoned_overlay(name, names).recipients() for name in names
        }
        reached = {'n0'}
        for _ in range(MAX_STEPS + 1):
            reached.update(*(recipients[name] for name in reached))
        assert reached == set(names)
        assert max(map(len, recipients.values())) <= FANOUT + 2
    crossing = sum(
        zone_of(name) != zone_of(other)
        for name in names
        for other in recipients[name]
    )
    assert crossing / size <= 2


def test_a_member_that_moves_to_another_zone_is_no_zone_neighbour() -> None:
    overlay = Overlay('n0', 'z0')
    overlay.add('n0', 'z0')
    overlay.add('n1', 'z0')
    overlay.remove('n1', 'z0')
    overlay.add('n1', 'z1')
    assert overlay.recipients() == ['n1']
    overlay.remove('n1', 'z1')
    assert not overlay.recipients()
