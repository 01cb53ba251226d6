"""Announcements that arrive late or twice change nothing."""

import attrs

from daisyline.coordination.registration import Announcement, Registration
from daisyline.state.targets import Phase, Target
from tests.support import function_tests

load_tests = function_tests(__name__)

FIRST = Target('docs', 'v1', 'i-1', '10.0.0.1', 80, Phase.READY, 1000, 9)
LEAVING = attrs.evolve(FIRST, phase=Phase.LEAVING)


def test_an_older_announcement_of_one_start_is_passed_over() -> None:
    registration = Registration()
    assert registration.accept(Announcement(FIRST, sequence=4))
    assert not registration.accept(Announcement(FIRST, sequence=3))
    assert not registration.accept(Announcement(FIRST, sequence=4))
    assert registration.accept(Announcement(FIRST, sequence=5))


def test_one_that_leaves_never_comes_back() -> None:
    registration = Registration()
    registration.accept(Announcement(FIRST, sequence=4))
    assert registration.accept(Announcement(LEAVING, sequence=5))
    assert not registration.accept(Announcement(FIRST, sequence=6))


def test_a_newer_start_counts_anew_also_under_the_same_name() -> None:
    registration = Registration()
    registration.accept(Announcement(LEAVING, sequence=40))
    again = attrs.evolve(FIRST, started_ms=2000)
    assert registration.accept(Announcement(again, sequence=1))
    assert not registration.accept(Announcement(FIRST, sequence=41))


def test_a_farewell_holds_for_its_own_start_only() -> None:
    registration = Registration()
    again = attrs.evolve(FIRST, started_ms=2000)
    registration.accept(Announcement(again, sequence=1))
    assert registration.mark_leaving('i-0', 0) is None
    assert registration.mark_leaving('i-1', 1000) is None
    said = registration.mark_leaving('i-1', 2000)
    assert said is not None
    assert said.target.phase == Phase.LEAVING
