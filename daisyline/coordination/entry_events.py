"""What the entry's side does about each kind of event."""

import functools
from typing import Any

from daisyline.coordination import call_events as ev
from daisyline.coordination import events as log
from daisyline.coordination import inward
from daisyline.coordination import messages as msg
from daisyline.coordination.effects import Send
from daisyline.coordination.entry import Effects, Entry
from daisyline.coordination.entry_call import EntryCall, mark_parent
from daisyline.coordination.retries import settle
from daisyline.state.failures import Failure, Outcome, Reason
from daisyline.state.targets import LoadReport


@functools.singledispatch
def handle(event: Any, entry: Entry, now: float) -> Effects:
    """Return what the entry's side does about an event."""
    return []


@handle.register
def _(event: ev.Arrived, entry: Entry, now: float) -> Effects:
    return entry.begin(event, now)


@handle.register
def _(event: ev.Unroutable, entry: Entry, now: float) -> Effects:
    entry.note_refusal(event.call, '', event.failure, now)
    return [ev.RefuseCaller(event.call, event.failure)]


@handle.register
def _(event: ev.FromNode, entry: Entry, now: float) -> Effects:
    call = entry.calls.get(getattr(event.message, 'call', ''))
    # A message about an attempt that is over must not touch the next one.
    if call is None or call.node != event.node:
        return []
    return _take(event.message, entry, call, now)


@handle.register
def _(event: ev.StreamLost, entry: Entry, now: float) -> Effects:
    return [
        effect
        for call in entry.on_node(event.node)
        for effect in _lost(entry, call, now)
    ]


@handle.register
def _(event: ev.Undelivered, entry: Entry, now: float) -> Effects:
    call = entry.calls.get(getattr(event.message, 'call', ''))
    if call is None or call.node != event.node:
        return []
    if isinstance(event.message, msg.Run):
        outcome = Outcome.NOT_RUN
    elif isinstance(event.message, msg.Ask):
        outcome = Outcome.UNKNOWN
    else:
        return []
    entry.report(call, None, refused=True, now=now)
    failure = Failure(Reason.NODE_LOST, outcome, 'its node is not reached')
    return entry.fail(call, failure, now)


@handle.register
def _(event: ev.CallerLost, entry: Entry, now: float) -> Effects:
    call = entry.calls.get(event.call)
    return [] if call is None else entry.cancel(call, now)


@handle.register
def _(event: ev.CallerTook, entry: Entry, now: float) -> Effects:
    call = entry.calls.get(event.call)
    if call is None:
        return []
    return [Send(call.node, msg.Credit(event.call, event.octets))]


@handle.register
def _(event: ev.ParentEnded, entry: Entry, now: float) -> Effects:
    effects: Effects = []
    for call in entry.children(event.parent):
        effects += entry.cancel(call, now)
        failure = Failure(Reason.CANCELLED, Outcome.UNKNOWN)
        effects.append(ev.RefuseCaller(call.arrived.call, failure))
    return effects


def _lost(entry: Entry, call: EntryCall, now: float) -> Effects:
    """Go on after a stream was lost with a call on it.

    A call that may run again does so. Of one that may not, the node is asked
    on a new stream, once, what became of it.
    """
    if call.begun or entry.repeatable(call) or call.asking:
        entry.report(call, None, refused=False, now=now)
        failure = Failure(Reason.NODE_LOST, Outcome.UNKNOWN)
        cancel = Send(call.node, msg.Cancel(call.arrived.call))
        return [cancel, *entry.fail(call, failure, now)]
    call.asking = True
    return [Send(call.node, msg.Ask(call.arrived.call))]


@functools.singledispatch
def _take(message: Any, entry: Entry, call: EntryCall, now: float) -> Effects:
    """Return what a message from a call's node leads to."""
    return []


@_take.register
def _(
    message: msg.Answer, entry: Entry, call: EntryCall, now: float
) -> Effects:
    assert not call.begun, 'an answer has one head'
    entry.report(call, _load(message), refused=False, now=now)
    spent = _came_up(entry, call, message.retried, now)
    call.begun = True
    entry.events.add(
        log.Answered(
            at=now,
            call=message.call,
            target=call.node,
            status=message.status,
        )
    )
    answer = ev.AnswerCaller(
        message.call,
        message.status,
        message.headers,
        message.body,
        message.last,
    )
    ended = _served(entry, call, now) if message.last else []
    return [answer, *spent, *ended]


@_take.register
def _(
    message: msg.AnswerPart, entry: Entry, call: EntryCall, now: float
) -> Effects:
    assert call.begun, 'a part follows a head'
    part = ev.AnswerCallerPart(message.call, message.body, message.last)
    return [part, *(_served(entry, call, now) if message.last else ())]


@_take.register
def _(
    message: msg.Refused, entry: Entry, call: EntryCall, now: float
) -> Effects:
    entry.report(call, _load(message), refused=True, now=now)
    spent = _came_up(entry, call, message.retried, now)
    failure = _failure_of(message)
    return [*spent, *entry.fail(call, failure, now)]


@_take.register
def _(
    message: msg.Running, entry: Entry, call: EntryCall, now: float
) -> Effects:
    # Its answer comes on the new stream; should that break, ask again.
    call.asking = False
    return []


def _served(entry: Entry, call: EntryCall, now: float) -> Effects:
    """Drop a call whose answer is whole."""
    entry.forget(call)
    arrived = call.arrived
    took_s = now - call.arrived_at
    return [inward.Served(arrived.service, arrived.tenant, took_s)]


def _came_up(entry: Entry, call: EntryCall, mark: bool, now: float) -> Effects:
    """Follow the retry mark that an answer or a refusal brought up."""
    spent = mark and not call.retried
    settle(call.retried, mark, entry.budget(call.arrived.service), now)
    call.retried = call.retried or mark
    return mark_parent(call, spent)


def _failure_of(message: msg.Refused) -> Failure:
    """Return a refusal; a newer node may name what this one doesn't know."""
    try:
        return Failure(
            Reason(message.reason),
            Outcome(message.outcome),
            reached_target=message.reached_target,
        )
    except ValueError:
        return Failure(Reason.NODE_LOST, Outcome.UNKNOWN, message.reason)


def _load(message: msg.Answer | msg.Refused) -> LoadReport:
    return LoadReport(
        message.running,
        message.waiting,
        message.limit,
        message.service_us,
        message.pace_percent,
    )
