"""Announcements that arrive late or twice are ignored."""

import attrs

from daisyline.coordination.registration import Announcement, Registration
from daisyline.state.targets import Phase, Target
from tests.support import function_tests

load_tests = function_tests(__name__)

FIRST = Target('docs', 'v1', 'i-1', '10.0.0.1', 80, Phase.READY, 1000, 9)
LEAVING = attrs.evolve(FIRST, phase=Phase.LEAVING)


def test_an_older_announcement_of_one_start_is_ignored() -> None:
    registration = Registration()
    assert registration.accept(Announcement(FIRST, sequence=4))
    assert not registration.accept(Announcement(FIRST, sequence=3))
    assert not registration.accept(Announcement(FIRST, sequence=4))
    assert registration.accept(Announcement(FIRST, sequence=5))


def test_a_leaving_start_is_never_registered_again() -> None:
    registration = Registration()
    registration.accept(Announcement(FIRST, sequence=4))
    assert registration.accept(Announcement(LEAVING, sequence=5))
    assert not registration.accept(Announcement(FIRST, sequence=6))


def test_a_newer_start_replaces_one_with_the_same_name() -> None:
    registration = Registration()
    registration.accept(Announcement(LEAVING, sequence=40))
    again = attrs.evolve(FIRST, started_ms=2000)
    assert registration.accept(Announcement(again, sequence=1))
    assert not registration.accept(Announcement(FIRST, sequence=41))


def test_a_leave_notice_applies_only_to_its_own_start() -> None:
    registration = Registration()
    again = attrs.evolve(FIRST, started_ms=2000)
    registration.accept(Announcement(again, sequence=1))
    assert registration.mark_leaving('i-0', 0) is None
    assert registration.mark_leaving('i-1', 1000) is None
    announcement = registration.mark_leaving('i-1', 2000)
    assert announcement is not None
    assert announcement.target.phase == Phase.LEAVING
