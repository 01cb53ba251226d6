"""New settings and members leave events in the record."""

import attrs

from daisyline.coordination.events import MemberChanged, ZoneChanged
from daisyline.coordination.settings_events import member_events, zone_events
from daisyline.state.members import Member
from daisyline.state.settings import Settings
from tests.support import function_tests

load_tests = function_tests(__name__)


def _zones(**states: str) -> Settings:
    zones = {name: {'state': state} for name, state in states.items()}
    return Settings.from_tree(1, {'zones': zones})


def test_each_zone_that_changed_has_one_event() -> None:
    old = _zones(a='in', b='out', c='out')
    new = _zones(a='out', b='in')
    assert zone_events(old, new, 5) == [
        ZoneChanged(5, zone='a', state='out'),
        ZoneChanged(5, zone='b', state='in'),
        ZoneChanged(5, zone='c', state='in'),
    ]
    assert zone_events(Settings(), _zones(a='in'), 5) == []


def test_each_member_that_changed_has_one_event() -> None:
    stays = Member('stays', '10.0.0.1', 1, 'ghent-a', 'flanders', 1)
    gone = attrs.evolve(stays, name='gone', zone='ghent-b')
    moved = attrs.evolve(stays, name='moved')
    old = {one.name: one for one in (stays, gone, moved)}
    new = {
        'stays': stays,
        'moved': attrs.evolve(moved, revision=1),
        'late': attrs.evolve(stays, name='late'),
    }
    assert member_events(old, new, 5) == [
        MemberChanged(5, node='gone', zone='ghent-b', state='gone'),
        MemberChanged(5, node='late', zone='ghent-a', state='joined'),
        MemberChanged(5, node='moved', zone='ghent-a', state='changed'),
    ]
