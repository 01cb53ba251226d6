"""Handlers of the target side for each kind of event and message."""

import functools
from typing import Any

import attrs

from daisyline.coordination import events as log
from daisyline.coordination.admission import pace_check
from daisyline.coordination.admission.limit_events import TargetLimitReported
from daisyline.coordination.admission.pace_events import TargetPaceReported
from daisyline.coordination.calls import call_events as ev
from daisyline.coordination.calls import messages as msg
from daisyline.coordination.calls.answer_records import (
    RECORD_TTL_S,
    Record,
    request_fingerprint,
)
from daisyline.coordination.calls.entry_call import REROUTED_REASONS
from daisyline.coordination.calls.target_call import TargetCall
from daisyline.coordination.calls.target_side import (
    MS_PER_S,
    Effects,
    TargetSide,
)
from daisyline.state.failures import Failure, Outcome, Reason


def offer(
    peer: str, run: msg.RunCall, target_side: TargetSide, now: float
) -> Effects:
    """Start, queue or refuse a call that an entry node sent."""
    decision = target_side.accept(peer, run, now)
    if isinstance(decision, TargetCall):
        return pace_check.admit_at_pace(decision, target_side, now)
    return [decision]


def tick(target_side: TargetSide, now: float) -> Effects:
    """Time out a probe of the pace, and end or start calls that are due."""
    effects: Effects = []
    if target_side.pace.probe_timeout_at <= now:
        effects += pace_check.resume_after_probe(0, target_side, now)
    return effects + target_side.tick(now)


@functools.singledispatch
def handle(event: Any, target_side: TargetSide, now: float) -> Effects:
    """Apply an event to the target side and return the effects."""
    return []


@handle.register
def _(
    event: ev.CallMessageReceived, target_side: TargetSide, now: float
) -> Effects:
    return _handle_message(event.message, target_side, event.node, now)


@handle.register
def _(
    event: ev.TargetAnnounced, target_side: TargetSide, now: float
) -> Effects:
    return target_side.use_target(event.target, now)


@handle.register
def _(
    event: ev.InboundStreamLost, target_side: TargetSide, now: float
) -> Effects:
    if event.is_last:
        target_side.unconfirmed_peers.pop(event.node, None)
        target_side.peers.discard(event.node)
    awaited = [
        target_call
        for target_call in target_side.calls.values()
        if target_call.entry_node == event.node and target_call.is_awaited
    ]
    lost = [
        target_call
        for target_call in awaited
        if event.calls is None or target_call.run.call in event.calls
    ]
    return [
        effect
        for target_call in lost
        for effect in target_side.withdraw(target_call, now)
    ]


@handle.register
def _(event: ev.ProcessPaused, target_side: TargetSide, now: float) -> Effects:
    """Refuse calls that may have waited in a socket during the pause.

    Messages arrive in order, so once a peer's `Pong` with a new nonce arrives,
    nothing that the peer sent before the ping is still in flight.
    """
    nonce = int(now * MS_PER_S)
    target_side.unconfirmed_peers.update(
        dict.fromkeys(target_side.peers, nonce)
    )
    return [ev.SendReply(peer, msg.Ping(nonce)) for peer in target_side.peers]


@handle.register
def _(
    event: ev.TargetAnswerHead, target_side: TargetSide, now: float
) -> Effects:
    target_call = target_side.calls[event.call]
    if event.pace_percent:
        target_side.pace.record_report(event.pace_percent, now)
    load = target_side.load
    answer = msg.AnswerHead(
        call=event.call,
        status=event.status,
        headers=event.headers,
        body=event.body,
        last=event.last,
        running=load.running,
        waiting=load.waiting,
        limit=load.limit,
        service_us=load.service_us,
        pace_percent=load.pace_percent,
        retried=target_call.retry_spent,
    )
    target_call.record_head(answer)
    target_call.last_progress_at = now
    effects = _forward(target_call, answer, len(event.body))
    if event.last:
        target_side.records.record_end(
            target_call.run, target_call.recorded_answer, now
        )
        effects += target_side.finish(target_call, now, status=event.status)
    return effects


@handle.register
def _(
    event: TargetPaceReported, target_side: TargetSide, now: float
) -> Effects:
    return pace_check.resume_after_probe(event.percent, target_side, now)


@handle.register
def _(
    event: TargetLimitReported, target_side: TargetSide, now: float
) -> Effects:
    target = target_side.target
    if target is None or target.incarnation != event.incarnation:
        return []
    target_side.events.add(_limit_event(event, now))
    if event.per_s is None:
        return []
    return target_side.limit_starts(event.per_s, now)


@handle.register
def _(
    event: ev.TargetAnswerPart, target_side: TargetSide, now: float
) -> Effects:
    target_call = target_side.calls[event.call]
    target_call.record_part(event.body)
    target_call.last_progress_at = now
    part = msg.AnswerPart(event.call, event.body, event.last)
    effects = _forward(target_call, part, len(event.body))
    if event.last:
        target_side.records.record_end(
            target_call.run, target_call.recorded_answer, now
        )
        effects += target_side.finish(
            target_call, now, status=target_call.status
        )
    return effects


@handle.register
def _(
    event: ev.TargetCallFailed, target_side: TargetSide, now: float
) -> Effects:
    target_call = target_side.calls[event.call]
    failure = _failure_of(event)
    effects: Effects = []
    refusal = target_side.refusal_reply(
        target_call.entry_node,
        event.call,
        failure,
        now,
        retried=target_call.retry_spent,
    )
    if failure.outcome == Outcome.UNKNOWN:
        target_side.records.record_end(target_call.run, refusal.message, now)
    if target_call.is_awaited:
        effects.append(refusal)
    crashed = event.crashed and not target_call.aborted
    return effects + target_side.finish(
        target_call, now, status=0, crashed=crashed
    )


def _limit_event(report: TargetLimitReported, now: float) -> log.TargetLimited:
    if report.per_s is None:
        state = 'unreadable'
    else:
        state = 'limited' if report.per_s else 'ended'
    return log.TargetLimited(
        at=now,
        target=report.incarnation[0],
        state=state,
        per_s=report.per_s or 0,
        text=report.text,
    )


def _failure_of(event: ev.TargetCallFailed) -> Failure:
    if event.declined:
        return Failure(
            Reason.OVERLOADED, detail=event.detail, reached_target=True
        )
    outcome = Outcome.UNKNOWN if event.sent else Outcome.NOT_RUN
    return Failure(Reason.TARGET_LOST, outcome, event.detail)


def _forward(target_call: TargetCall, message: Any, octets: int) -> Effects:
    """Forward a part of an answer; pause the target if the caller is slow."""
    if not target_call.is_awaited:
        return []
    effects: Effects = [ev.SendReply(target_call.entry_node, message)]
    if target_call.record_sent(octets):
        effects.append(ev.PauseTargetRead(target_call.run.call))
    return effects


@functools.singledispatch
def _handle_message(
    message: Any, target_side: TargetSide, peer: str, now: float
) -> Effects:
    """Apply a message from an entry node and return the effects."""
    return []


@_handle_message.register
def _(
    message: msg.RunCall, target_side: TargetSide, peer: str, now: float
) -> Effects:
    target_side.peers.add(peer)
    reply = _repeat_reply(target_side, peer, message, now)
    if reply is not None:
        return [ev.SendReply(peer, reply)]
    return offer(peer, message, target_side, now)


@_handle_message.register
def _(
    message: msg.CancelCall, target_side: TargetSide, peer: str, now: float
) -> Effects:
    target_call = target_side.calls.get(message.call)
    if target_call is None or target_call.entry_node != peer:
        return []
    return target_side.withdraw(target_call, now)


@_handle_message.register
def _(
    message: msg.BodyCredit, target_side: TargetSide, peer: str, now: float
) -> Effects:
    target_call = target_side.calls.get(message.call)
    if target_call is None:
        return []
    target_call.last_progress_at = now
    if target_call.record_acknowledged(message.octets):
        return [ev.ResumeTargetRead(message.call)]
    return []


@_handle_message.register
def _(
    message: msg.Pong, target_side: TargetSide, peer: str, now: float
) -> Effects:
    if target_side.unconfirmed_peers.get(peer) == message.nonce:
        target_side.unconfirmed_peers.pop(peer)
    return []


@_handle_message.register
def _(
    message: msg.KeysUsed, target_side: TargetSide, peer: str, now: float
) -> Effects:
    for key, request in message.keys:
        target_side.records.record_key_used(key, request, now)
    return []


@_handle_message.register
def _(
    message: msg.QueryCall, target_side: TargetSide, peer: str, now: float
) -> Effects:
    """Reply with the state of a call.

    An unknown call is refused for good if it can't have run here. Otherwise
    its outcome is unknown.
    """
    target_side.peers.add(peer)
    target_call = target_side.calls.get(message.call)
    if target_call is not None and not target_call.answered:
        target_call.is_awaited = True
        target_call.entry_node = peer
        return [ev.SendReply(peer, msg.CallRunning(message.call))]
    record = target_side.records.get(message.call, now)
    if record is not None and record.message is not None:
        return [ev.SendReply(peer, record.message)]
    is_unknown = target_call is None and record is None
    if is_unknown and target_side.records.would_hold(message, now):
        return [_refuse_permanently(target_side, peer, message.call, now)]
    detail = 'the node may have restarted since' if is_unknown else ''
    failure = Failure(Reason.NODE_LOST, Outcome.UNKNOWN, detail)
    return [target_side.refusal_reply(peer, message.call, failure, now)]


def _repeat_reply(
    target_side: TargetSide, peer: str, run: msg.RunCall, now: float
) -> Any:
    """Return the reply to a request sent again with its key.

    The reply is the answer of the first request if it is recorded. The
    request is refused with the outcome unknown while the first one runs, if
    its answer was not recorded, or if it was rerouted from here. A different
    request with the same key is refused as not run.

    Returns:
        The message, or None if the call is to be handled as a first request.
    """
    if run.repeatable or not run.key:
        return None
    record = target_side.records.get_by_key(run, now)
    is_running = any(
        target_call.run.key == run.key
        for target_call in target_side.calls.values()
    )
    if (record is None and not is_running) or _is_rerouted_again(
        target_side, peer, run, now
    ):
        return None
    failure = Failure(
        Reason.DUPLICATE, Outcome.UNKNOWN, 'the call may have run before'
    )
    if record is not None and record.request != request_fingerprint(run):
        detail = 'the idempotency key was used for another request'
        failure = Failure(Reason.DUPLICATE, detail=detail)
    elif record is not None and record.message is not None:
        return attrs.evolve(record.message, call=run.call)
    return target_side.refusal_reply(peer, run.call, failure, now).message


def _is_rerouted_again(
    target_side: TargetSide, peer: str, run: msg.RunCall, now: float
) -> bool:
    """Return whether a call that was rerouted from here is rerouted again."""
    record = target_side.records.get_by_key(run, now)
    if record is None or not record.rerouted:
        return False
    failure = target_side.refusal_for(peer, run, now)
    return failure is not None and failure.reason in REROUTED_REASONS


def _refuse_permanently(
    target_side: TargetSide, peer: str, call: str, now: float
) -> ev.SendReply:
    """Refuse an unknown call and record that, so that it never runs here."""
    refusal = target_side.refusal_reply(
        peer, call, Failure(Reason.NODE_LOST), now
    )
    target_side.records.put(
        call, Record(refusal.message, now + RECORD_TTL_S), now
    )
    return refusal
