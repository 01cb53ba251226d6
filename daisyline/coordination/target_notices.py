"""Applies the notices of the target beside a node, and tells of its departure.

All nodes are told that a target leaves before the target is acknowledged. If
the node restarts while the target still runs, an announcement that was sent
before the departure may arrive at its new process, which the others tell.
"""

from typing import Any

from daisyline.coordination.calls import call_events as ev
from daisyline.coordination.calls.registration import Announcement
from daisyline.coordination.membership.fact_events import PutFact
from daisyline.coordination.node_core import NodeCore
from daisyline.state.departures import (
    Incarnation,
    departed_incarnation,
    departure_fact,
)
from daisyline.state.facts import Fact
from daisyline.state.targets import Phase

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
    effects = core.apply_announcement(latest.target, now, latest.cold_s)
    if latest.target.phase == Phase.LEAVING:
        effects.append(_departure_effect(latest.target.incarnation))
    return effects


def apply_leave(event: ev.TargetLeaving, core: NodeCore, now: float) -> Effects:
    """Apply a target's notice that it leaves, also if it is not registered."""
    departed = (event.instance, event.started_ms)
    leaving = core.target_side.registration.mark_leaving(*departed)
    if leaving is None:
        return [_departure_effect(departed)]
    return [
        *core.apply_announcement(leaving.target, now),
        _departure_effect(leaving.target.incarnation),
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
    return core.apply_announcement(leaving.target, now)


def _departure_effect(departed: Incarnation) -> PutFact:
    """Return the effect that tells all nodes that a target start leaves."""
    return PutFact(departure_fact(departed), is_urgent=True)
