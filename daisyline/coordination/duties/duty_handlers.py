"""Handlers of the duties for each kind of event."""

import functools
from typing import Any

from daisyline.coordination import events as log
from daisyline.coordination.calls import call_events as ev
from daisyline.coordination.duties import duty_steps
from daisyline.coordination.duties.duties import Duties
from daisyline.coordination.duties.duty_events import (
    DropUnsentReports,
    UsageReply,
)
from daisyline.coordination.duties.duty_record import USAGE_DUTY, DutyNotice
from daisyline.coordination.duties.duty_stages import HolderChanged
from daisyline.coordination.duties.report_calls import is_conflict
from daisyline.coordination.duties.usage_messages import UsageCounts
from daisyline.coordination.effects import PlatformReply
from daisyline.coordination.membership.fact_events import FactChanged
from daisyline.coordination.membership.fleet_events import StoreReturned

Effects = list[Any]


def is_for_duties(message: Any) -> bool:
    """Return whether a message between nodes concerns the duties."""
    return isinstance(message, UsageCounts)


@functools.singledispatch
def handle(event: Any, duties: Duties, now: float) -> Effects:
    """Apply an event to the duties and return the effects."""
    return []


@handle.register
def _(event: PlatformReply, duties: Duties, now: float) -> Effects:
    usage = duties.usage
    if usage is None or not usage.holder.store.is_busy:
        return []
    at = duties.moment(now)
    token = usage.holder.known.token
    was_holding = usage.holder.holding is not None
    effects = duty_steps.handle_reply(usage.holder, event, at)
    usage.follow(token, at, was_holding=was_holding)
    duties.schedule(now)
    return effects


@handle.register
def _(event: StoreReturned, duties: Duties, now: float) -> Effects:
    usage = duties.usage
    if usage is None:
        return []
    duties.schedule(now)
    return [*usage.holder.handle_return(now), DropUnsentReports()]


@handle.register
def _(event: UsageReply, duties: Duties, now: float) -> Effects:
    usage = duties.usage
    if usage is None:
        return []
    window = usage.reports.handle_reply(event, now)
    held = usage.holder.holding
    if window is None or held is None:
        return []
    counts = held.record.reports.get(window, {})
    duties.events.add(
        log.UsageReported(
            now,
            window=window,
            token=held.record.token,
            status=event.status,
            customers=len(counts),
            calls=sum(counts.values()),
        )
    )
    duties.schedule(now)
    return usage.holder.reject(now) if is_conflict(event) else []


@handle.register
def _(event: FactChanged, duties: Duties, now: float) -> Effects:
    notice = DutyNotice.from_fact(event.fact)
    if duties.usage is None or notice is None:
        return []
    duties.schedule(now)
    return duties.usage.learn(notice, now)


@handle.register
def _(event: ev.CallMessageReceived, duties: Duties, now: float) -> Effects:
    usage = duties.usage
    if usage is not None and usage.accept_counts(event.node, event.message):
        duties.schedule_batch(now)
    return []


@handle.register
def _(event: ev.TargetCallFailed, duties: Duties, now: float) -> Effects:
    if event.declined or not event.sent:
        duties.record_declined(event.call)
    return []


@handle.register
def _(event: ev.ProcessPaused, duties: Duties, now: float) -> Effects:
    if duties.usage is None:
        return []
    duties.usage.holder.interrupt()
    duties.schedule(now)
    return [DropUnsentReports()]


@functools.singledispatch
def apply(effect: Any, duties: Duties, now: float) -> Effects | None:
    """Apply an effect on the duties; return None if it is for the transport."""


@apply.register
def _(effect: ev.StartTargetCall, duties: Duties, now: float) -> None:
    """Count a call that the transport passes to the target."""
    duties.record_start(effect.call, effect.run.tenant, now)


@apply.register
def _(effect: HolderChanged, duties: Duties, now: float) -> Effects:
    """Record that this node has become the holder or has ceased to be."""
    duties.events.add(
        log.DutyChanged(
            now,
            duty=USAGE_DUTY,
            state=effect.state,
            token=effect.notice.token,
            window=effect.notice.newest,
            why=effect.why,
        )
    )
    return []
