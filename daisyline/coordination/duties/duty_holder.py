"""Decides which node holds a duty, by conditional writes of one object."""

import math
from collections.abc import Mapping
from typing import Any

import attrs

from daisyline.coordination.duties.duty_config import DutyConfig, Moment
from daisyline.coordination.duties.duty_lease import Lease
from daisyline.coordination.duties.duty_record import (
    Counts,
    DutyNotice,
    DutyRecord,
)
from daisyline.coordination.duties.duty_stages import (
    Candidacy,
    Claiming,
    HolderChanged,
    Holding,
    Observing,
    Stage,
    Waiting,
)
from daisyline.coordination.duties.duty_store import DutyStore
from daisyline.coordination.membership.fact_events import PutFact

_MAX_DOUBLINGS = 4

Effects = list[Any]


@attrs.define
class DutyHolder:
    """One node's part in the choice of the holder.

    Attributes:
        config: The settings of the duty.
        store: The calls on the object.
        known: The newest holder and window that this node knows of.
        stage: The stage of this node.
        takeovers: How often this node has become the holder.
    """

    config: DutyConfig
    store: DutyStore
    known: DutyNotice
    _name: str
    _start: int
    stage: Stage = attrs.field(factory=Waiting)
    takeovers: int = 0
    _changed_at: float = -math.inf
    _last_record: DutyRecord | None = None
    _rejected_token: int = 0
    _blind_reads: int = 0

    @property
    def holding(self) -> Holding | None:
        """Return the stage of a holder; None if this node is none."""
        return self.stage if isinstance(self.stage, Holding) else None

    def is_own(self, record: DutyRecord) -> bool:
        """Return whether a record names this process as the holder."""
        return (record.holder, record.start) == (self._name, self._start)

    def learn(self, notice: DutyNotice, now: float) -> Effects:
        """Learn who holds the duty; give it up to a holder with a new token."""
        if notice.order <= self.known.order:
            return []
        self._blind_reads = 0
        if notice.token != self.known.token:
            self._changed_at = now
        self.known = notice
        held = self.holding
        if held is not None:
            if notice.token > held.record.token:
                return self.give_up('another node has claimed it', now)
        elif not isinstance(self.stage, Claiming):
            # The object has changed, so an observation begins anew.
            self.stage = Waiting()
        return []

    def learn_from_store(self, notice: DutyNotice, now: float) -> Effects:
        """Learn what the object holds, and tell other nodes if it is new."""
        if notice.order <= self.known.order:
            return []
        blind_reads, stage = self._blind_reads + 1, self.stage
        self.learn(notice, now)
        self._blind_reads = blind_reads
        if not isinstance(stage, Holding):
            self.stage = stage
        return [PutFact(notice.to_fact())]

    def blind_wait_s(self) -> float:
        """Return how long to wait after another node has changed the object.

        A node that learns of reports from the object only is cut off from the
        holder. It waits longer each time, as its claims are in vain.
        """
        doublings = min(self._blind_reads, _MAX_DOUBLINGS)
        return self.config.takeover_wait_s * 2**doublings

    def give_up(self, why: str, now: float) -> Effects:
        """Stop to act as the holder and return the effects."""
        held = self.holding
        self.stage = Waiting(now + self.config.takeover_wait_s)
        if held is None:
            return []
        self._last_record = held.record
        return [HolderChanged(held.record.notice, 'lost', why)]

    def reject(self, now: float) -> Effects:
        """Give the duty up, as the platform has seen a higher token."""
        if self.holding is not None:
            self._rejected_token = self.holding.record.token
        return self.give_up('the platform has seen a higher token', now)

    def handle_return(self, now: float) -> Effects:
        """Hold nothing any more, as the store is an older copy.

        The copy need not know of this holder, so another node may claim the
        duty at once.
        """
        self.store.drop()
        if self.holding is None:
            self.stage = Waiting(now + self.config.takeover_wait_s)
        return self.give_up('the store came back from an older copy', now)

    def interrupt(self) -> None:
        """Act only after the next write, as the process was suspended."""
        self.store.interrupt()
        if self.holding is not None:
            lease = Lease(self.config.lease_s)
            self.stage = attrs.evolve(self.holding, lease=lease)

    def write_reports(
        self, reports: Mapping[int, Counts], confirmed: set[int], at: Moment
    ) -> Effects:
        """Start to write further reports, which also renews the lease."""
        held = self.holding
        assert held is not None and not self.store.is_busy
        attempt = held.record.with_reports(reports, confirmed)
        self.stage = attrs.evolve(held, attempt=attempt, must_renew=False)
        return [self.store.write(held.revision, attempt, at)]

    def claim(self, observed: Observing, at: Moment) -> Effects:
        """Start to write this node into the object."""
        record = self._claim_of(observed.record, at)
        self.stage = Claiming(observed.revision, record)
        return [self.store.write(observed.revision, record, at)]

    def hold(
        self, revision: int, record: DutyRecord, lease: Lease, at: Moment
    ) -> Effects:
        """Become the holder that a record names, unless another is newer."""
        if self.known.token > record.token:
            self.stage = Waiting(at.now + self.config.takeover_wait_s)
            return []
        self.takeovers += 1
        self.stage = Holding(
            revision,
            record,
            lease,
            claimed=at,
            must_renew=lease.started is None,
        )
        return [HolderChanged(record.notice, 'taken'), *self.publish(at.now)]

    def publish(self, now: float) -> Effects:
        """Tell all nodes of the record that this node has written."""
        held = self.holding
        assert held is not None
        notice = held.record.notice
        if notice.token != self.known.token:
            self._changed_at = now
        self.known = max(notice, self.known, key=lambda one: one.order)
        return [PutFact(notice.to_fact(), is_urgent=True)]

    def earliest_claim_at(self, observed: Observing) -> float:
        """Return when the object may be claimed, in monotonic seconds."""
        wait_s = self.config.takeover_wait_s
        return max(observed.since, self._changed_at) + wait_s

    def overdue_at(self, at: Moment) -> float:
        """Return when the next report is overdue, in monotonic seconds."""
        end = self.config.end_of(self.known.newest + 1)
        return at.monotonic_of(end + self.config.overdue_s)

    def may_observe_at(self, candidacy: Candidacy, at: Moment) -> float:
        """Return when this candidate may read the object.

        If the holder is failing, it does so early, so that the object has not
        changed for long enough once the next report is overdue.
        """
        delay_s = self.config.candidate_delay_s(candidacy.rank)
        overdue_at = self.overdue_at(at)
        early_at = overdue_at - self.config.takeover_wait_s
        return delay_s + min(overdue_at, max(early_at, candidacy.failing_since))

    def _claim_of(self, found: DutyRecord | None, at: Moment) -> DutyRecord:
        """Return the record of a new holder, with a token of its own.

        The store may have held a higher token than this node knows, in an object
        that was deleted or before it came back from a copy. So a token is not
        below a number that only grows: the time.
        """
        own = self._last_record
        tokens = [self.known.token, self._rejected_token]
        newest = self.known.newest
        reports: Mapping[int, Counts] = {}
        if own is not None:
            tokens.append(own.token)
        if found is not None:
            tokens.append(found.token)
            newest = max(newest, found.newest)
            reports = found.reports
        has_lost = found is None or found.newest < newest
        if has_lost and own is not None and own.newest == newest:
            reports = own.reports
        token = max(*tokens, int(at.wall)) + 1
        return DutyRecord(self._name, self._start, token, newest, reports)
