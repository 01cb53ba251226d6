"""Builds the recorded events that changed settings and members lead to."""

import functools
from collections.abc import Iterable, Mapping
from typing import Any

from daisyline.coordination.events import (
    Event,
    MemberChanged,
    PlatformRead,
    ReaderChanged,
    ZoneChanged,
)
from daisyline.coordination.membership.fleet_events import (
    PlatformReadabilityChanged,
    ReaderRoleChanged,
)
from daisyline.state.members import Member
from daisyline.state.settings import Settings

ZONE_IN = 'in'
ZONE_OUT = 'out'
MEMBER_JOINED = 'joined'
MEMBER_CHANGED = 'changed'
MEMBER_REMOVED = 'gone'
_MS_PER_S = 1000


def zone_events(old: Settings, new: Settings, now: float) -> list[Event]:
    """Return an event for each zone that was taken out or brought back.

    Args:
        old: The settings that were in force before.
        new: The settings that are in force now.
        now: Monotonic seconds.
    """
    zones = sorted({*_zones_of(old), *_zones_of(new)})
    return [
        ZoneChanged(now, zone=zone, state=_zone_state(new, zone))
        for zone in zones
        if old.zone_is_out(zone) != new.zone_is_out(zone)
    ]


def member_events(
    names: Iterable[str],
    old: Mapping[str, Member],
    new: Mapping[str, Member],
    now: float,
) -> list[Event]:
    """Return an event for each member that joined, changed or was removed.

    Args:
        names: The names of the members that may have changed.
        old: The members known before, by name.
        new: The members known now, by name.
        now: Monotonic seconds.
    """
    events: list[Event] = []
    for name in sorted(set(names)):
        before, after = old.get(name), new.get(name)
        known = after or before
        if before != after and known is not None:
            state = _member_state(before, after)
            events.append(
                MemberChanged(now, node=name, zone=known.zone, state=state)
            )
    return events


@functools.singledispatch
def reading_event(effect: Any, now: float) -> Event:
    """Return the event for a change in how the platform is read.

    Args:
        effect: The change.
        now: Monotonic seconds.

    Raises:
        TypeError: If the effect is of another kind.
    """
    raise TypeError(f'{effect!r} is no change in how the platform is read')


@reading_event.register
def _(effect: PlatformReadabilityChanged, now: float) -> Event:
    state = 'regained' if effect.readable else 'lost'
    return PlatformRead(
        now, kind=effect.kind, state=state, status=effect.status
    )


@reading_event.register
def _(effect: ReaderRoleChanged, now: float) -> Event:
    return ReaderChanged(
        now,
        state=effect.state,
        age_ms=int(effect.age_s * _MS_PER_S),
        readers=' '.join(effect.readers),
        unreadable=effect.unreadable,
        members=effect.members,
    )


def _zones_of(settings: Settings) -> set[str]:
    return {*settings.tree.get('zones', {}), *settings.zones_out}


def _zone_state(settings: Settings, zone: str) -> str:
    return ZONE_OUT if settings.zone_is_out(zone) else ZONE_IN


def _member_state(before: Member | None, after: Member | None) -> str:
    if before is None:
        return MEMBER_JOINED
    return MEMBER_REMOVED if after is None else MEMBER_CHANGED
