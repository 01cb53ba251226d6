"""What a node does in each stage on its way to hold a duty.

Each function takes the time and the state, and returns the calls on the store
and the other effects.
"""

import functools
import math
from typing import Any

import attrs

from daisyline.coordination.duties.duty_config import Moment
from daisyline.coordination.duties.duty_holder import DutyHolder, Effects
from daisyline.coordination.duties.duty_lease import Lease
from daisyline.coordination.duties.duty_record import DutyRecord
from daisyline.coordination.duties.duty_stages import (
    Candidacy,
    Claiming,
    Holding,
    Observing,
    Waiting,
)
from daisyline.coordination.duties.duty_store import CONFLICT, NOT_FOUND, OK
from daisyline.coordination.effects import PlatformReply

# All candidates together read the store at most so often while it is down.
_RETRY_S_PER_MEMBER = 2.0
_FIRST_RETRY_S = 1.0


def next_at(holder: DutyHolder, candidacy: Candidacy, at: Moment) -> float:
    """Return when `tick` must be called next, in monotonic seconds."""
    if holder.store.is_busy:
        return holder.store.next_at()
    due_at = _due_at(holder.stage, holder, candidacy, at)
    return max(holder.store.next_at(), due_at)


def tick(holder: DutyHolder, candidacy: Candidacy, at: Moment) -> Effects:
    """Start the call on the store that is due."""
    lost = holder.store.lost_reply(at.now)
    if lost is not None:
        return handle_reply(holder, lost, at)
    if holder.store.is_busy or at.now < next_at(holder, candidacy, at):
        return []
    return _act(holder.stage, holder, candidacy, at)


def handle_reply(
    holder: DutyHolder, reply: PlatformReply, at: Moment
) -> Effects:
    """Handle a reply of the store; others than the awaited are ignored."""
    if not holder.store.take(reply, at.now):
        return []
    return _on_reply(holder.stage, holder, reply, at)


@functools.singledispatch
def _due_at(
    stage: Any, holder: DutyHolder, candidacy: Candidacy, at: Moment
) -> float:
    """Return when a stage has a call on the store to start."""
    raise TypeError(f'{stage!r} is not a stage')


@_due_at.register
def _(
    stage: Waiting, holder: DutyHolder, candidacy: Candidacy, at: Moment
) -> float:
    return max(stage.until, holder.may_observe_at(candidacy, at))


@_due_at.register
def _(
    stage: Observing, holder: DutyHolder, candidacy: Candidacy, at: Moment
) -> float:
    # A holder that is out of sight may still hold the duty, so only a report
    # that is overdue lets another node claim it.
    return max(holder.earliest_claim_at(stage), holder.overdue_at(at))


@_due_at.register
def _(
    stage: Claiming, holder: DutyHolder, candidacy: Candidacy, at: Moment
) -> float:
    return at.now


@_due_at.register
def _(
    stage: Holding, holder: DutyHolder, candidacy: Candidacy, at: Moment
) -> float:
    return at.now if stage.must_read or stage.must_renew else math.inf


@functools.singledispatch
def _act(
    stage: Any, holder: DutyHolder, candidacy: Candidacy, at: Moment
) -> Effects:
    """Start the call on the store that a stage has due."""
    raise TypeError(f'{stage!r} is not a stage')


@_act.register
def _(
    stage: Waiting, holder: DutyHolder, candidacy: Candidacy, at: Moment
) -> Effects:
    retry_s = max(
        _FIRST_RETRY_S,
        min(candidacy.rank, 1) * _RETRY_S_PER_MEMBER * candidacy.member_count,
    )
    # If the read fails, the next one comes after this time.
    holder.stage = Waiting(at.now + retry_s)
    return [holder.store.read(at)]


@_act.register
def _(
    stage: Observing, holder: DutyHolder, candidacy: Candidacy, at: Moment
) -> Effects:
    return holder.claim(stage, at)


@_act.register(Claiming)
@_act.register(Holding)
def _(
    stage: Claiming | Holding,
    holder: DutyHolder,
    candidacy: Candidacy,
    at: Moment,
) -> Effects:
    if isinstance(stage, Holding) and not stage.must_read:
        return holder.write_reports({}, set(), at)
    return [holder.store.read(at)]


@functools.singledispatch
def _on_reply(
    stage: Any, holder: DutyHolder, reply: PlatformReply, at: Moment
) -> Effects:
    """Handle the store's reply in a stage."""
    raise TypeError(f'{stage!r} is not a stage')


@_on_reply.register(Waiting)
@_on_reply.register(Observing)
def _(
    stage: Waiting | Observing,
    holder: DutyHolder,
    reply: PlatformReply,
    at: Moment,
) -> Effects:
    # A write that was started before the duty was given up needs no answer:
    # the object is read before it is claimed again.
    if holder.store.is_write or reply.status not in {OK, NOT_FOUND}:
        return []
    if reply.status == NOT_FOUND:
        holder.stage = Observing(0, None, at.now)
        return []
    record = DutyRecord.from_content(reply.content)
    effects: Effects = []
    if record is not None:
        effects += holder.learn_from_store(record.notice, at.now)
    holder.stage = Observing(reply.version, record, at.now)
    return effects


@_on_reply.register
def _(
    stage: Claiming, holder: DutyHolder, reply: PlatformReply, at: Moment
) -> Effects:
    if holder.store.is_write:
        if reply.status != OK:
            # The write may have been applied, or still be.
            return [holder.store.read(at)] if reply.status == CONFLICT else []
        lease = Lease(holder.config.lease_s, holder.store.started)
        return holder.hold(reply.version, stage.record, lease, at)
    found = DutyRecord.from_content(reply.content)
    if reply.status not in {OK, NOT_FOUND}:
        return []
    if found is not None and found.has_holder_of(stage.record):
        lease = Lease(holder.config.lease_s)
        return holder.hold(reply.version, found, lease, at)
    is_unchanged = (
        reply.version == stage.revision
        if reply.status == OK
        else not stage.revision
    )
    if is_unchanged:
        return [holder.store.write(stage.revision, stage.record, at)]
    holder.stage = Waiting(at.now + holder.blind_wait_s())
    return (
        [] if found is None else holder.learn_from_store(found.notice, at.now)
    )


@_on_reply.register
def _(
    stage: Holding, holder: DutyHolder, reply: PlatformReply, at: Moment
) -> Effects:
    if holder.store.is_write:
        return _finish_write(stage, holder, reply, at)
    if reply.status not in {OK, NOT_FOUND}:
        return []
    found = DutyRecord.from_content(reply.content)
    if found is not None and found.has_holder_of(stage.record):
        # The read does not tell which of several writes was applied, so it
        # does not extend the lease.
        holder.stage = attrs.evolve(
            stage,
            revision=reply.version,
            record=found,
            attempt=None,
            must_read=False,
            must_renew=found != stage.record,
        )
        return [] if found == stage.record else holder.publish(at.now)
    effects = holder.give_up('the object names another holder', at.now)
    if found is not None:
        effects += holder.learn_from_store(found.notice, at.now)
    return effects


def _finish_write(
    stage: Holding, holder: DutyHolder, reply: PlatformReply, at: Moment
) -> Effects:
    if reply.status != OK or stage.attempt is None:
        holder.stage = attrs.evolve(stage, must_read=True)
        return []
    holder.stage = attrs.evolve(
        stage,
        revision=reply.version,
        record=stage.attempt,
        lease=Lease(holder.config.lease_s, holder.store.started),
        attempt=None,
        must_read=False,
    )
    return holder.publish(at.now)
