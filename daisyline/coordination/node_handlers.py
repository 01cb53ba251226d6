"""Dispatches the events of a node to its parts and returns the effects.

Effects that concern the node itself are applied here; the others are returned
to the transport layer.
"""

import functools
import math
from collections import deque
from typing import Any

import attrs

from daisyline.coordination import events as log
from daisyline.coordination import (
    internal_effects,
    store_returns,
    target_crashes,
    target_notices,
)
from daisyline.coordination.calls import call_events as ev
from daisyline.coordination.calls import (
    entry_handlers,
    key_handover,
    target_side_handlers,
)
from daisyline.coordination.calls import messages as msg
from daisyline.coordination.departures.departure_events import DeparturesRead
from daisyline.coordination.duties import duty_handlers
from daisyline.coordination.effects import (
    PlatformReply,
    PresenceChecked,
    Send,
)
from daisyline.coordination.membership import fleet_events
from daisyline.coordination.membership.fact_events import FactChanged, PutFact
from daisyline.coordination.memory.body_refusal import refuse_body
from daisyline.coordination.node_core import Effects, NodeCore
from daisyline.coordination.rollouts.evidence_messages import Evidence
from daisyline.coordination.settings.settings_events import (
    member_events,
    reading_event,
    zone_events,
)
from daisyline.state.orders import ORDER_KINDS

_US_PER_S = 1_000_000
_MS_PER_S = 1000

_CALL_MESSAGES = (
    msg.RunCall,
    msg.AnswerHead,
    msg.AnswerPart,
    msg.CallRefused,
    msg.CancelCall,
    msg.BodyCredit,
    msg.QueryCall,
    msg.CallRunning,
    msg.Pong,
    msg.KeysUsed,
)


def handle(event: Any, core: NodeCore, now: float) -> Effects:
    """Handle an event and return the effects for the transport layer."""
    return _apply_all(_dispatch(event, core, now), core, now)


def tick(core: NodeCore, now: float) -> Effects:
    """Run overdue timers and return the effects for the transport layer."""
    effects: Effects = []
    if core.lease_ends_at <= now:
        core.lease_ends_at = math.inf
        effects += core.apply_announcement(None, now)
    if core.warm_at <= now:
        effects += core.mark_warm(now)
    if core.target_side.registration.start_hold.next_at() <= now:
        effects += target_notices.release_target(core, now)
    if core.target_side.next_at() <= now:
        effects += target_side_handlers.tick(core.target_side, now)
    for part in (core.entry, core.fleet, core.rollouts, core.duties):
        if part.next_at() <= now:
            effects += part.tick(now)
    return _apply_all(effects, core, now)


def leave(core: NodeCore, now: float) -> Effects:
    """Return the messages to other nodes before this node stops.

    They hand over the idempotency keys used here and announce the shutdown.
    """
    used = key_handover.used_keys_messages(
        core.name, core.target_side, core.entry, now
    )
    counts = core.duties.leave(now)
    return _apply_all([*used, *counts, *core.fleet.leave(now)], core, now)


def _apply_all(effects: Effects, core: NodeCore, now: float) -> Effects:
    """Apply the effects on this node itself and return the others."""
    outward: Effects = []
    pending = deque(effects)
    while pending:
        effect = pending.popleft()
        further = _apply(effect, core, now)
        if further is None:
            outward += key_handover.messages_before(
                effect, core.name, core.entry, now
            )
            outward.append(effect)
        else:
            pending.extend(further)
    return outward


@functools.singledispatch
def _dispatch(event: Any, core: NodeCore, now: float) -> Effects:
    """Pass an event to the parts of the node that it concerns."""
    return [
        *entry_handlers.handle(event, core.entry, now),
        *target_side_handlers.handle(event, core.target_side, now),
        *duty_handlers.handle(event, core.duties, now),
    ]


@_dispatch.register
def _(event: PresenceChecked, core: NodeCore, now: float) -> Effects:
    return list(core.crashes.apply_check(event, now))


@_dispatch.register
def _(event: ev.CallMessageReceived, core: NodeCore, now: float) -> Effects:
    if isinstance(event.message, _CALL_MESSAGES):
        claims = (
            core.crashes.claim_retrial(event.message, now)
            if isinstance(event.message, msg.RunCall)
            else ()
        )
        return [
            *claims,
            *entry_handlers.handle(event, core.entry, now),
            *target_side_handlers.handle(event, core.target_side, now),
        ]
    if isinstance(event.message, Evidence):
        return core.rollouts.handle(event.message, now)
    if duty_handlers.is_for_duties(event.message):
        return duty_handlers.handle(event, core.duties, now)
    received = fleet_events.GossipMessageReceived(event.node, event.message)
    return core.fleet.handle(received, now)


_dispatch.register(ev.CallBodyRefused, refuse_body)


@_dispatch.register
def _(event: ev.RequestUnroutable, core: NodeCore, now: float) -> Effects:
    age_ms = int(core.fleet.settings_age_s(now) * _MS_PER_S)
    version = core.fleet.settings.version
    detail = f'settings {version} confirmed {age_ms} ms ago'
    core.entry.record_refusal(
        event.call, '', attrs.evolve(event.failure, detail=detail), now
    )
    return [ev.RefuseCaller(event.call, event.failure)]


_dispatch.register(ev.TargetAnnounced, target_notices.apply_announcement)
_dispatch.register(ev.TargetLeaving, target_notices.apply_leave)


@_dispatch.register
def _(event: ev.StreamLost, core: NodeCore, now: float) -> Effects:
    lost = fleet_events.StreamLost(event.node)
    return [
        *entry_handlers.handle(event, core.entry, now),
        *core.fleet.handle(lost, now),
    ]


@_dispatch.register
def _(event: ev.MessageUndelivered, core: NodeCore, now: float) -> Effects:
    unreachable = fleet_events.NodeUnreachable(event.node)
    return [
        *entry_handlers.handle(event, core.entry, now),
        *core.fleet.handle(unreachable, now),
    ]


@_dispatch.register
def _(event: PlatformReply, core: NodeCore, now: float) -> Effects:
    learned = core.store_clock.learn(event.era)
    if any(isinstance(one, fleet_events.StoreReturned) for one in learned):
        # All parts read anew, as they do for calls that are dropped.
        return learned
    reply = core.store_clock.date(event)
    return [
        *learned,
        *core.fleet.handle(reply, now),
        *core.rollouts.handle(reply, now),
        *duty_handlers.handle(reply, core.duties, now),
    ]


@functools.singledispatch
def _apply(effect: Any, core: NodeCore, now: float) -> Effects | None:
    """Apply an effect on this node; return None if it is for the transport."""
    return duty_handlers.apply(effect, core.duties, now)


@_apply.register(Send)
@_apply.register(ev.SendReply)
def _(effect: Any, core: NodeCore, now: float) -> Effects | None:
    return _deliver_to_self(effect.node, effect.message, core, now)


def _deliver_to_self(
    node: str, message: Any, core: NodeCore, now: float
) -> Effects | None:
    """Handle a message to this node at once; return None for other nodes."""
    if node == core.name:
        if isinstance(message, msg.Ping):
            # A node has no stream to itself that would answer the ping, and
            # its messages to itself are never delayed.
            message = msg.Pong(message.nonce, message.revision)
        return _dispatch(ev.CallMessageReceived(node, message), core, now)
    return None


@_apply.register
def _(effect: PutFact, core: NodeCore, now: float) -> Effects:
    return core.fleet.put_fact(effect.fact, now, is_urgent=effect.is_urgent)


@_apply.register
def _(effect: FactChanged, core: NodeCore, now: float) -> Effects:
    # A later era is known before what is read in it comes into force.
    effects = store_returns.learn_from_fact(effect.fact, core)
    effects += core.crashes.apply_fact(effect, now)
    effects += core.rollouts.handle(effect, now)
    effects += duty_handlers.handle(effect, core.duties, now)
    effects += target_notices.apply_departure(effect.fact, core, now)
    if effect.fact.kind in ORDER_KINDS:
        effects += core.fleet.apply_orders(now)
    return effects


_apply.register(fleet_events.StoreReturned, store_returns.apply_return)


@_apply.register(fleet_events.FactsReceived)
@_apply.register(DeparturesRead)
def _(effect: Any, core: NodeCore, now: float) -> Effects:
    return target_notices.apply_told(effect, core, now)


@_apply.register
def _(
    effect: fleet_events.MembersChanged, core: NodeCore, now: float
) -> Effects:
    known, live = core.entry.table.members, core.fleet.members
    changed = [live[name] for name in effect.changed if name in live]
    has_joined = any(name not in known for name in effect.changed)
    names = (*effect.changed, *effect.removed)
    for event in member_events(names, known, live, now):
        core.events.add(event)
    core.entry.update_members(changed, effect.removed, now)
    core.duties.change_members(now)
    if has_joined or effect.removed:
        core.rollouts.replace_members(tuple(live))
    return []


@_apply.register
def _(
    effect: fleet_events.SettingsChanged, core: NodeCore, now: float
) -> Effects:
    settings = effect.settings
    core.events.add(log.SettingsChanged(at=now, version=settings.version))
    for event in zone_events(core.entry.table.settings, settings, now):
        core.events.add(event)
    core.entry.use_settings(settings, now)
    core.duties.use_settings(settings, now)
    plans = map(settings.rollout_of, settings.services)
    return [
        *core.target_side.use_settings(settings, now),
        *core.rollouts.replace_plans(
            {plan.service: plan for plan in plans if plan is not None}, now
        ),
    ]


@_apply.register(fleet_events.PlatformReadabilityChanged)
@_apply.register(fleet_events.ReaderRoleChanged)
def _(effect: Any, core: NodeCore, now: float) -> Effects:
    core.events.add(reading_event(effect, now))
    return []


@_apply.register
def _(
    effect: internal_effects.RetrySpent, core: NodeCore, now: float
) -> Effects:
    call = core.target_side.calls.get(effect.parent)
    if call is not None:
        call.retry_spent = True
    return []


@_apply.register
def _(effect: ev.ParentCallEnded, core: NodeCore, now: float) -> Effects:
    return entry_handlers.handle(effect, core.entry, now)


@_apply.register
def _(
    effect: internal_effects.TargetCallEnded, core: NodeCore, now: float
) -> Effects:
    core.duties.record_end(effect.run.call)
    return core.record_observation(effect, now)


@_apply.register
def _(
    effect: internal_effects.CallServed, core: NodeCore, now: float
) -> Effects:
    took_us = int(effect.took_s * _US_PER_S)
    core.latencies.record(effect.service, effect.tenant, took_us)
    if effect.lost_request is None:
        return []
    request = target_crashes.request_fingerprint(effect.lost_request)
    return core.quarantine.record_late_answer(request, now)
