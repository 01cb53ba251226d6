"""Applies the notices of the target beside a node, and tells of its departure.

A target that was started before this process is used only after its hold.

All nodes are told that a target leaves before the target is acknowledged. If
the node restarts while the target still runs, an announcement that was sent
before the departure may arrive at its new process, which the others tell.
"""

import functools
from typing import Any

import attrs

from daisyline.coordination import events as log
from daisyline.coordination.calls import call_events as ev
from daisyline.coordination.calls.registration import Announcement
from daisyline.coordination.departures.departure_events import DeparturesRead
from daisyline.coordination.membership.fact_events import PutFact
from daisyline.coordination.membership.fleet_events import FactsReceived
from daisyline.coordination.node_core import NodeCore
from daisyline.state.departures import (
    Incarnation,
    departed_incarnation,
    departure_fact,
)
from daisyline.state.facts import Fact
from daisyline.state.targets import Phase, Target

Effects = list[Any]


def apply_announcement(
    event: ev.TargetAnnounced, core: NodeCore, now: float
) -> Effects:
    """Apply an announcement, or the end of its lease, unless it is outdated."""
    if event.target is None:
        return core.apply_announcement(None, now)
    announcement = Announcement(event.target, event.sequence, event.cold_s)
    registration = core.target_side.registration
    if not registration.accept(announcement, now):
        return []
    incarnation = event.target.incarnation
    is_told = departure_fact(incarnation).key in core.fleet.facts
    if is_told or registration.has_left(event.target, core.started_ms):
        registration.mark_leaving(*incarnation)
    latest = registration.latest
    assert latest is not None
    if latest.target.phase == Phase.LEAVING:
        return [
            *core.apply_announcement(latest.target, now, latest.cold_s),
            *_departure_effects(latest.target.incarnation, core, now),
        ]
    hold = registration.start_hold
    was_holding = hold.is_holding
    if hold.holds(latest.target, now):
        return [] if was_holding else _begin_hold(latest.target, core, now)
    return core.apply_announcement(latest.target, now, latest.cold_s)


def release_target(core: NodeCore, now: float) -> Effects:
    """Use the target that was held back, unless it has left meanwhile."""
    registration = core.target_side.registration
    registration.start_hold.end()
    latest, used = registration.latest, core.target_side.target
    if latest is None or latest.target.phase == Phase.LEAVING:
        return []
    if used is not None and used.incarnation == latest.target.incarnation:
        return []
    return _use_earlier(latest, now - registration.latest_at, core, now)


@functools.singledispatch
def apply_told(effect: Any, core: NodeCore, now: float) -> Effects:
    """Apply what others have told this process of the time before its start.

    Raises:
        TypeError: If no handler is registered for the effect.
    """
    raise TypeError(f'no handler is registered for {effect!r}')


@apply_told.register
def _(effect: FactsReceived, core: NodeCore, now: float) -> Effects:
    hold = core.target_side.registration.start_hold
    hold.record_join(effect.peer_started_ms, now)
    return []


@apply_told.register
def _(effect: DeparturesRead, core: NodeCore, now: float) -> Effects:
    registration = core.target_side.registration
    registration.start_hold.record_answer(now)
    for departure in effect.departures:
        registration.record_left(departure.incarnation, departure.left_ms)
    latest = registration.latest
    if latest is None or latest.target.phase == Phase.LEAVING:
        return []
    if not registration.has_left(latest.target, core.started_ms):
        return []
    leaving = registration.mark_leaving(*latest.target.incarnation)
    assert leaving is not None
    return [
        *core.apply_announcement(leaving.target, now),
        *_departure_effects(leaving.target.incarnation, core, now),
    ]


def apply_leave(event: ev.TargetLeaving, core: NodeCore, now: float) -> Effects:
    """Apply a target's notice that it leaves, also if it is not registered."""
    departed = (event.instance, event.started_ms)
    leaving = core.target_side.registration.mark_leaving(*departed)
    if leaving is None:
        return _departure_effects(departed, core, now)
    return [
        *core.apply_announcement(leaving.target, now),
        *_departure_effects(leaving.target.incarnation, core, now),
    ]


def apply_departure(fact: Fact, core: NodeCore, now: float) -> Effects:
    """Apply a fact that came from any node, if it is a departure."""
    departed = departed_incarnation(fact)
    if departed is None:
        return []
    core.entry.table.record_left(departed)
    registration = core.target_side.registration
    latest = registration.latest
    if latest is None or latest.target.incarnation != departed:
        return []
    leaving = registration.mark_leaving(*departed)
    assert leaving is not None
    return [
        *core.apply_announcement(leaving.target, now),
        *core.fleet.departures.add(departed, now),
    ]


def _use_earlier(
    announcement: Announcement, age_s: float, core: NodeCore, now: float
) -> Effects:
    """Apply an announcement that came some time ago, if it still holds."""
    target = announcement.target
    if age_s >= core.lease_of(target):
        return []
    cold_s = max(0, announcement.cold_s - age_s)
    if announcement.cold_s and not cold_s:
        target = attrs.evolve(target, phase=Phase.READY)
    effects = core.apply_announcement(target, now, cold_s)
    core.lease_ends_at -= age_s
    return effects


def _begin_hold(target: Target, core: NodeCore, now: float) -> Effects:
    core.events.add(
        log.TargetChanged(
            now,
            target=target.instance,
            version=target.version,
            phase='held',
            slots=target.slots,
        )
    )
    return core.fleet.departures.read(now)


def _departure_effects(
    departed: Incarnation, core: NodeCore, now: float
) -> Effects:
    """Return the effects that tell all nodes of a departure and store it."""
    return [
        PutFact(departure_fact(departed), is_urgent=True),
        *core.fleet.departures.add(departed, now),
    ]
