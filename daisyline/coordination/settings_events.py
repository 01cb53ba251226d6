"""Events for the record that follow from new settings and members."""

from collections.abc import Mapping

from daisyline.coordination.events import Event, MemberChanged, ZoneChanged
from daisyline.state.members import Member
from daisyline.state.settings import Settings

STATE_IN = 'in'
STATE_OUT = 'out'
JOINED = 'joined'
CHANGED = 'changed'
GONE = 'gone'


def zone_events(old: Settings, new: Settings, now: float) -> list[Event]:
    """Return an event for each zone that was taken out or brought back.

    Args:
        old: The settings that were in force.
        new: Those that are now.
        now: Monotonic seconds.
    """
    zones = sorted({*_zones_of(old), *_zones_of(new)})
    return [
        ZoneChanged(now, zone=zone, state=_state(new, zone))
        for zone in zones
        if old.zone_is_out(zone) != new.zone_is_out(zone)
    ]


def member_events(
    old: Mapping[str, Member], new: Mapping[str, Member], now: float
) -> list[Event]:
    """Return an event for each member that joined, changed or is gone.

    Args:
        old: The members that were known, by name.
        new: Those that are known now.
        now: Monotonic seconds.
    """
    events: list[Event] = []
    for name in sorted({*old, *new}):
        before, after = old.get(name), new.get(name)
        known = after or before
        if before != after and known is not None:
            state = _change(before, after)
            events.append(
                MemberChanged(now, node=name, zone=known.zone, state=state)
            )
    return events


def _zones_of(settings: Settings) -> set[str]:
    return {*settings.tree.get('zones', {}), *settings.zones_out}


def _state(settings: Settings, zone: str) -> str:
    return STATE_OUT if settings.zone_is_out(zone) else STATE_IN


def _change(before: Member | None, after: Member | None) -> str:
    if before is None:
        return JOINED
    return GONE if after is None else CHANGED
