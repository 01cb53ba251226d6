"""Changed settings and members lead to recorded events."""

import attrs

from daisyline.coordination.events import (
    MemberChanged,
    ReaderChanged,
    ZoneChanged,
)
from daisyline.coordination.membership.fleet_events import ReaderRoleChanged
from daisyline.coordination.settings.settings_events import (
    member_events,
    reading_event,
    zone_events,
)
from daisyline.state.members import Member
from daisyline.state.settings import Settings
from tests.support import function_tests

load_tests = function_tests(__name__)


def _settings_with_zones(**states: str) -> Settings:
    zones = {name: {'state': state} for name, state in states.items()}
    return Settings.from_tree(1, {'zones': zones})


def test_each_zone_that_changed_has_one_event() -> None:
    old = _settings_with_zones(a='in', b='out', c='out')
    new = _settings_with_zones(a='out', b='in')
    assert zone_events(old, new, 5) == [
        ZoneChanged(5, zone='a', state='out'),
        ZoneChanged(5, zone='b', state='in'),
        ZoneChanged(5, zone='c', state='in'),
    ]
    assert zone_events(Settings(), _settings_with_zones(a='in'), 5) == []


def test_each_member_that_changed_has_one_event() -> None:
    unchanged = Member('stays', '10.0.0.1', 1, 'ghent-a', 'flanders', 1)
    removed = attrs.evolve(unchanged, name='gone', zone='ghent-b')
    changed = attrs.evolve(unchanged, name='moved')
    old = {member.name: member for member in (unchanged, removed, changed)}
    new = {
        'stays': unchanged,
        'moved': attrs.evolve(changed, revision=1),
        'late': attrs.evolve(unchanged, name='late'),
    }
    assert member_events({*old, *new}, old, new, 5) == [
        MemberChanged(5, node='gone', zone='ghent-b', state='gone'),
        MemberChanged(5, node='late', zone='ghent-a', state='joined'),
        MemberChanged(5, node='moved', zone='ghent-a', state='changed'),
    ]


def test_a_change_of_reader_names_the_readers_and_the_age_of_the_settings() -> (
    None
):
    change = ReaderRoleChanged('chosen', 1.25, 9, ('n1', 'n2'), 3)
    assert reading_event(change, 5) == ReaderChanged(
        5,
        state='chosen',
        age_ms=1250,
        readers='n1 n2',
        unreadable=3,
        members=9,
    )
