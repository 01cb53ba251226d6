"""Announcements that arrive late or twice are ignored."""

import attrs

from daisyline.coordination.calls.registration import Announcement, Registration
from daisyline.state.targets import Phase, Target
from tests.support import function_tests

load_tests = function_tests(__name__)

FIRST = Target('docs', 'v1', 'i-1', '10.0.0.1', 80, Phase.READY, 1000, 9)
LEAVING = attrs.evolve(FIRST, phase=Phase.LEAVING)


def test_an_older_announcement_of_one_start_is_ignored() -> None:
    registration = Registration()
    assert registration.accept(Announcement(FIRST, sequence=4), 0)
    assert not registration.accept(Announcement(FIRST, sequence=3), 0)
    assert not registration.accept(Announcement(FIRST, sequence=4), 0)
    assert registration.accept(Announcement(FIRST, sequence=5), 0)


def test_a_leaving_start_is_never_registered_again() -> None:
    registration = Registration()
    registration.accept(Announcement(FIRST, sequence=4), 0)
    assert registration.accept(Announcement(LEAVING, sequence=5), 0)
    assert not registration.accept(Announcement(FIRST, sequence=6), 0)


def test_a_newer_start_replaces_one_with_the_same_name() -> None:
    registration = Registration()
    registration.accept(Announcement(LEAVING, sequence=40), 0)
    again = attrs.evolve(FIRST, started_ms=2000)
    assert registration.accept(Announcement(again, sequence=1), 0)
    assert not registration.accept(Announcement(FIRST, sequence=41), 0)


def test_a_leave_notice_applies_only_to_its_own_start() -> None:
    registration = Registration()
    again = attrs.evolve(FIRST, started_ms=2000)
    registration.accept(Announcement(again, sequence=1), 0)
    assert registration.mark_leaving('i-0', 0) is None
    assert registration.mark_leaving('i-1', 1000) is None
    announcement = registration.mark_leaving('i-1', 2000)
    assert announcement is not None
    assert announcement.target.phase == Phase.LEAVING


def test_a_start_after_a_clock_was_set_back_replaces_a_silent_one() -> None:
    registration = Registration()
    registration.accept(Announcement(FIRST, sequence=40), 0)
    restarted = attrs.evolve(FIRST, instance='i-2', started_ms=500)
    heard = [
        (at, registration.accept(Announcement(restarted, sequence=number), at))
        for number, at in enumerate((1.5, 2.9, 3.1, 4.6), 1)
    ]
    assert heard == [(1.5, False), (2.9, False), (3.1, False), (4.6, True)]
    assert registration.accept(Announcement(restarted, sequence=5), 6)


def test_delayed_announcements_of_an_older_start_replace_none() -> None:
    registration = Registration()
    registration.accept(Announcement(FIRST, sequence=40), 0)
    older = attrs.evolve(FIRST, instance='i-0', started_ms=500)
    for number in (7, 8, 9):
        late = Announcement(older, sequence=number)
        assert not registration.accept(late, 10 + number / 100)
    assert not registration.accept(Announcement(older, sequence=9), 12)
    assert registration.accept(Announcement(FIRST, sequence=41), 13)
    assert not registration.accept(Announcement(older, sequence=10), 13.5)


def test_a_replaced_start_does_not_return_when_its_successor_is_silent() -> (
    None
):
    registration = Registration()
    registration.accept(Announcement(FIRST, sequence=40), 0)
    newer = attrs.evolve(FIRST, instance='i-2', started_ms=2000)
    assert registration.accept(Announcement(newer, sequence=1), 1)
    for number, at in ((41, 10), (42, 12), (43, 14)):
        assert not registration.accept(Announcement(FIRST, sequence=number), at)
