"""What the target's side does about each kind of event."""

import functools
from typing import Any

import attrs

from daisyline.coordination import call_events as ev
from daisyline.coordination import messages as msg
from daisyline.coordination import weighing
from daisyline.coordination.answer_records import (
    RECORD_S,
    Record,
    request_of,
)
from daisyline.coordination.entry_call import SENT_ON_REASONS
from daisyline.coordination.jobs import Job
from daisyline.coordination.owner import MS_PER_S, Effects, Owner
from daisyline.coordination.pace_events import TargetPaced
from daisyline.state.failures import Failure, Outcome, Reason


def offer(peer: str, run: msg.Run, owner: Owner, now: float) -> Effects:
    """Take a call, let it wait, or refuse it as not run."""
    taken = owner.take(peer, run, now)
    if isinstance(taken, Job):
        return weighing.take(taken, owner, now)
    return [taken]


def tick(owner: Owner, now: float) -> Effects:
    """Do what is due."""
    effects: Effects = []
    if owner.pace.overdue_at <= now:
        effects += weighing.paced(0, owner, now)
    return effects + owner.tick(now)


@functools.singledispatch
def handle(event: Any, owner: Owner, now: float) -> Effects:
    """Return what the target's side does about an event."""
    return []


@handle.register
def _(event: ev.FromNode, owner: Owner, now: float) -> Effects:
    return _take(event.message, owner, event.node, now)


@handle.register
def _(event: ev.TargetAnnounced, owner: Owner, now: float) -> Effects:
    return owner.use_target(event.target, now)


@handle.register
def _(event: ev.PeerLost, owner: Owner, now: float) -> Effects:
    owner.stale_peers.pop(event.node, None)
    owner.peers.discard(event.node)
    lost = [
        job
        for job in owner.jobs.values()
        if job.peer == event.node and job.attached
    ]
    return [effect for job in lost for effect in owner.withdraw(job, now)]


@handle.register
def _(event: ev.Paused, owner: Owner, now: float) -> Effects:
    """Take no call that may have lain in a socket while we stood still.

    A peer whose `Pong` to a fresh nonce has come has nothing older in flight.
    """
    nonce = int(now * MS_PER_S)
    owner.stale_peers.update(dict.fromkeys(owner.peers, nonce))
    return [ev.Reply(peer, msg.Ping(nonce, 0)) for peer in owner.peers]


@handle.register
def _(event: ev.TargetHead, owner: Owner, now: float) -> Effects:
    job = owner.jobs[event.call]
    if event.pace_percent:
        owner.pace.note(event.pace_percent, now)
    load = owner.load
    answer = msg.Answer(
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
        retried=job.retry_spent,
    )
    job.keep_head(answer)
    job.moved_at = now
    effects = _forward(job, answer, len(event.body))
    if event.last:
        owner.records.keep(job.run, job.kept, now)
        effects += owner.ended(job, now, status=event.status)
    return effects


@handle.register
def _(event: TargetPaced, owner: Owner, now: float) -> Effects:
    return weighing.paced(event.percent, owner, now)


@handle.register
def _(event: ev.TargetPart, owner: Owner, now: float) -> Effects:
    job = owner.jobs[event.call]
    job.keep_part(event.body)
    job.moved_at = now
    part = msg.AnswerPart(event.call, event.body, event.last)
    effects = _forward(job, part, len(event.body))
    if event.last:
        owner.records.keep(job.run, job.kept, now)
        effects += owner.ended(job, now, status=job.status)
    return effects


@handle.register
def _(event: ev.TargetFailed, owner: Owner, now: float) -> Effects:
    job = owner.jobs[event.call]
    failure = _failure_of(event)
    effects: Effects = []
    refusal = owner.refused(
        job.peer, event.call, failure, now, retried=job.retry_spent
    )
    if failure.outcome == Outcome.UNKNOWN:
        owner.records.keep(job.run, refusal.message, now)
    if job.attached:
        effects.append(refusal)
    crashed = event.crashed and not job.aborted
    return effects + owner.ended(job, now, status=0, crashed=crashed)


def _failure_of(event: ev.TargetFailed) -> Failure:
    if event.declined:
        return Failure(
            Reason.OVERLOADED, detail=event.detail, reached_target=True
        )
    outcome = Outcome.UNKNOWN if event.sent else Outcome.NOT_RUN
    return Failure(Reason.TARGET_LOST, outcome, event.detail)


def _forward(job: Job, message: Any, octets: int) -> Effects:
    """Send a part of an answer on, and hold the target if that is too much."""
    if not job.attached:
        return []
    effects: Effects = [ev.Reply(job.peer, message)]
    if job.note_sent(octets):
        effects.append(ev.HoldTarget(job.run.call))
    return effects


@functools.singledispatch
def _take(message: Any, owner: Owner, peer: str, now: float) -> Effects:
    """Return what a message from an entry leads to."""
    return []


@_take.register
def _(message: msg.Run, owner: Owner, peer: str, now: float) -> Effects:
    owner.peers.add(peer)
    known = _by_key(owner, peer, message, now)
    if known is not None:
        return [ev.Reply(peer, known)]
    return offer(peer, message, owner, now)


@_take.register
def _(message: msg.Cancel, owner: Owner, peer: str, now: float) -> Effects:
    job = owner.jobs.get(message.call)
    if job is None or job.peer != peer:
        return []
    return owner.withdraw(job, now)


@_take.register
def _(message: msg.Credit, owner: Owner, peer: str, now: float) -> Effects:
    job = owner.jobs.get(message.call)
    if job is None:
        return []
    job.moved_at = now
    if job.note_taken(message.octets):
        return [ev.ResumeTarget(message.call)]
    return []


@_take.register
def _(message: msg.Pong, owner: Owner, peer: str, now: float) -> Effects:
    if owner.stale_peers.get(peer) == message.nonce:
        owner.stale_peers.pop(peer)
    return []


@_take.register
def _(message: msg.KeysUsed, owner: Owner, peer: str, now: float) -> Effects:
    for key, request in message.keys:
        owner.records.note_used(key, request, now)
    return []


@_take.register
def _(message: msg.Ask, owner: Owner, peer: str, now: float) -> Effects:
    """Say what became of a call; one never seen is refused from now on."""
    owner.peers.add(peer)
    job = owner.jobs.get(message.call)
    if job is not None and not job.answered:
        job.attached = True
        job.peer = peer
        return [ev.Reply(peer, msg.Running(message.call))]
    record = owner.records.get(message.call, now)
    if job is None and record is None:
        return [_refuse_for_good(owner, peer, message.call, now)]
    if record is not None and record.message is not None:
        return [ev.Reply(peer, record.message)]
    failure = Failure(Reason.NODE_LOST, Outcome.UNKNOWN)
    return [owner.refused(peer, message.call, failure, now)]


def _by_key(owner: Owner, peer: str, run: msg.Run, now: float) -> Any:
    """Return what a caller's own re-send gets; None if it is the first.

    It gets the answer of the first if that is known, and is refused with the
    outcome unknown while the first runs, if its answer is not kept, or if it
    was sent on from here. Another request under the key is refused as not run.
    """
    if run.repeatable or not run.key:
        return None
    record = owner.records.of_key(run, now)
    runs = any(job.run.key == run.key for job in owner.jobs.values())
    if (record is None and not runs) or _sends_on(owner, peer, run, now):
        return None
    failure = Failure(Reason.DUPLICATE, Outcome.UNKNOWN, 'it ran before')
    if record is not None and record.request != request_of(run):
        detail = 'the key was used for another request'
        failure = Failure(Reason.DUPLICATE, detail=detail)
    elif record is not None and record.message is not None:
        return attrs.evolve(record.message, call=run.call)
    return owner.refused(peer, run.call, failure, now).message


def _sends_on(owner: Owner, peer: str, run: msg.Run, now: float) -> bool:
    """Return whether a call that was sent on from here is so again."""
    record = owner.records.of_key(run, now)
    if record is None or not record.sent_on:
        return False
    failure = owner.refusal(peer, run, now)
    return failure is not None and failure.reason in SENT_ON_REASONS


def _refuse_for_good(
    owner: Owner, peer: str, call: str, now: float
) -> ev.Reply:
    refusal = owner.refused(peer, call, Failure(Reason.NODE_LOST), now)
    owner.records.put(call, Record(refusal.message, now + RECORD_S), now)
    return refusal
