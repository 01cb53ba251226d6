"""Handlers of the events that concern calls at their entry node."""

import functools
from typing import Any

from daisyline.coordination import events as log
from daisyline.coordination import internal_effects
from daisyline.coordination.calls import call_events as ev
from daisyline.coordination.calls import messages as msg
from daisyline.coordination.calls.caller_events import (
    AnswerBroken,
    AnswerBytesDelivered,
    CallerDisconnected,
)
from daisyline.coordination.calls.customer_keys import RequestUnauthorized
from daisyline.coordination.calls.entry import Effects, Entry
from daisyline.coordination.calls.entry_call import (
    EntryCall,
    parent_retry_effects,
)
from daisyline.coordination.calls.retries import charge_downstream
from daisyline.coordination.effects import Send
from daisyline.state.failures import Failure, Outcome, Reason
from daisyline.state.targets import LoadReport

_MS_PER_S = 1000


@functools.singledispatch
def handle(event: Any, entry: Entry, now: float) -> Effects:
    """Handle an event at the entry side and return the effects."""
    return []


@handle.register
def _(event: ev.RequestReceived, entry: Entry, now: float) -> Effects:
    return entry.accept(event, now)


@handle.register
def _(event: RequestUnauthorized, entry: Entry, now: float) -> Effects:
    version = entry.table.settings.version
    line = entry.key_refusals.record(event, version, now)
    if line is not None:
        entry.events.add(line)
    cause = event.refusal.cause.value
    failure = Failure(Reason.UNAUTHORIZED, detail=f'the key is {cause}')
    return [ev.RefuseCaller(event.call, failure)]


@handle.register
def _(event: ev.CallMessageReceived, entry: Entry, now: float) -> Effects:
    call = entry.calls.get(getattr(event.message, 'call', ''))
    # A message about an attempt that has ended must not affect the next one.
    if call is None or call.node != event.node:
        return []
    return _handle_message(event.message, entry, call, now)


@handle.register
def _(event: ev.StreamLost, entry: Entry, now: float) -> Effects:
    return [
        effect
        for call in entry.calls_on_node(event.node)
        for effect in _handle_stream_loss(entry, call, event.incarnation, now)
    ]


@handle.register
def _(event: ev.MessageUndelivered, entry: Entry, now: float) -> Effects:
    call = entry.calls.get(getattr(event.message, 'call', ''))
    if call is None or call.node != event.node:
        return []
    if isinstance(event.message, msg.RunCall):
        outcome = Outcome.NOT_RUN
    elif isinstance(event.message, msg.QueryCall):
        outcome = Outcome.UNKNOWN
    else:
        return []
    entry.record_attempt_end(call, None, refused=True, now=now)
    failure = Failure(Reason.NODE_LOST, outcome, 'node is unreachable')
    return entry.handle_failure(call, failure, now)


@handle.register
def _(event: CallerDisconnected, entry: Entry, now: float) -> Effects:
    call = entry.calls.get(event.call)
    return [] if call is None else entry.cancel(call, now)


@handle.register
def _(event: AnswerBytesDelivered, entry: Entry, now: float) -> Effects:
    call = entry.calls.get(event.call)
    if call is None:
        return []
    return [Send(call.node, msg.BodyCredit(event.call, event.octets))]


@handle.register
def _(event: AnswerBroken, entry: Entry, now: float) -> Effects:
    entry.events.add(
        log.BrokenOff(
            at=now,
            call=event.call,
            reason=event.reason,
            state='refused' if event.is_refused else 'reset',
            answers_lost=event.answers_lost,
        )
    )
    return []


@handle.register
def _(event: ev.ParentCallEnded, entry: Entry, now: float) -> Effects:
    effects: Effects = []
    for call in entry.child_calls(event.parent):
        effects += entry.cancel(call, now)
        failure = Failure(Reason.CANCELLED, Outcome.UNKNOWN)
        effects.append(ev.RefuseCaller(call.request.call, failure))
    return effects


def _handle_stream_loss(
    entry: Entry, call: EntryCall, incarnation: int, now: float
) -> Effects:
    """Handle the loss of the stream that a call was sent on.

    A repeatable call fails over to another target. For any other call the
    node is asked once, on a new stream, for the state of the call.

    Args:
        entry: The calls of this node.
        call: The call.
        incarnation: The incarnation of the process that the stream led to.
        now: Monotonic seconds.
    """
    if call.head_sent or entry.is_repeatable(call) or call.awaiting_outcome:
        entry.record_attempt_end(call, None, refused=False, now=now)
        failure = Failure(Reason.NODE_LOST, Outcome.UNKNOWN)
        cancel = Send(call.node, msg.CancelCall(call.request.call))
        return [cancel, *entry.handle_failure(call, failure, now)]
    call.awaiting_outcome = True
    age_ms = int((now - call.received_at) * _MS_PER_S)
    query = msg.QueryCall(call.request.call, incarnation, age_ms)
    return [Send(call.node, query)]


@functools.singledispatch
def _handle_message(
    message: Any, entry: Entry, call: EntryCall, now: float
) -> Effects:
    """Handle a message from the node that a call was sent to."""
    return []


@_handle_message.register
def _(
    message: msg.AnswerHead, entry: Entry, call: EntryCall, now: float
) -> Effects:
    assert not call.head_sent, 'second head of one answer'
    entry.record_attempt_end(
        call, _load_report(message), refused=False, now=now
    )
    spent = _apply_retry_mark(entry, call, message.retried, now)
    call.head_sent = True
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
    ended = _finish_call(entry, call, now) if message.last else []
    return [answer, *spent, *ended]


@_handle_message.register
def _(
    message: msg.AnswerPart, entry: Entry, call: EntryCall, now: float
) -> Effects:
    assert call.head_sent, 'answer part without a head'
    part = ev.AnswerCallerPart(message.call, message.body, message.last)
    return [part, *(_finish_call(entry, call, now) if message.last else ())]


@_handle_message.register
def _(
    message: msg.CallRefused, entry: Entry, call: EntryCall, now: float
) -> Effects:
    entry.record_attempt_end(call, _load_report(message), refused=True, now=now)
    spent = _apply_retry_mark(entry, call, message.retried, now)
    failure = _failure_of(message)
    return [*spent, *entry.handle_failure(call, failure, now)]


@_handle_message.register
def _(
    message: msg.CallRunning, entry: Entry, call: EntryCall, now: float
) -> Effects:
    # The answer follows on the new stream; if that is lost too, ask again.
    call.awaiting_outcome = False
    return []


def _finish_call(entry: Entry, call: EntryCall, now: float) -> Effects:
    """Remove a call whose answer is complete and report its duration."""
    entry.remove(call)
    request = call.request
    took_s = now - call.received_at
    return [
        internal_effects.CallServed(
            request.service,
            request.tenant,
            took_s,
            request if call.has_lost_target else None,
        )
    ]


def _apply_retry_mark(
    entry: Entry, call: EntryCall, mark: bool, now: float
) -> Effects:
    """Apply the retry mark of an answer or a refusal to its call."""
    spent = mark and not call.retried
    charge_downstream(
        call.retried, mark, entry.budgets.of(call.request.service), now
    )
    call.retried = call.retried or mark
    return parent_retry_effects(call, spent)


def _failure_of(message: msg.CallRefused) -> Failure:
    """Return the failure that a refusal describes.

    A newer node may use a reason or outcome that this node does not know;
    the failure is then `NODE_LOST` with an unknown outcome.
    """
    try:
        return Failure(
            Reason(message.reason),
            Outcome(message.outcome),
            reached_target=message.reached_target,
        )
    except ValueError:
        return Failure(Reason.NODE_LOST, Outcome.UNKNOWN, message.reason)


def _load_report(message: msg.AnswerHead | msg.CallRefused) -> LoadReport:
    return LoadReport(
        message.running,
        message.waiting,
        message.limit,
        message.service_us,
        message.pace_percent,
    )
