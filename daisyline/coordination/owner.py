"""The side of calls that stands beside the target: it admits and runs them."""

import heapq
import math
from collections.abc import Callable
from typing import Any

import attrs

from daisyline.coordination import call_events as ev
from daisyline.coordination import events as log
from daisyline.coordination import inward
from daisyline.coordination import messages as msg
from daisyline.coordination.admission import Admission, Admitted
from daisyline.coordination.answer_records import AnswerRecords
from daisyline.coordination.entry_call import SENT_ON_REASONS
from daisyline.coordination.fair_queue import Ticket
from daisyline.coordination.jobs import Job
from daisyline.coordination.pace import Pace
from daisyline.coordination.registration import Registration
from daisyline.state.failures import Failure, Outcome, Reason
from daisyline.state.limits import Limits
from daisyline.state.settings import Settings
from daisyline.state.targets import LoadReport, Phase, Target

MS_PER_S = 1000
_SERVER_ERROR = 500
# A call under way at its target has at least this long, in seconds.
_MIN_BUDGET_S = 0.001
# An answer that stands still for longer is given up, in seconds.
_STALL_S = 10.0

Effects = list[Any]
Screen = Callable[[msg.Run, float], Failure | None]


@attrs.define
class Owner:
    """Calls at one target, from their admission to their answer."""

    _me: str
    _zone: str
    _events: log.EventLog
    _settings: Settings = attrs.field(factory=Settings)
    _target: Target | None = None
    _admission: Admission | None = None
    _deadlines: list[tuple[float, str]] = attrs.field(factory=list)
    jobs: dict[str, Job] = attrs.field(factory=dict)
    records: AnswerRecords = attrs.field(factory=AnswerRecords)
    stale_peers: dict[str, int] = attrs.field(factory=dict)
    screen: Screen = attrs.field(default=lambda _run, _now: None)
    peers: set[str] = attrs.field(factory=set)
    pace: Pace = attrs.field(factory=Pace)
    registration: Registration = attrs.field(factory=Registration)
    unweighed: list[str] = attrs.field(factory=list)
    stopping: bool = False

    @classmethod
    def from_config(cls, me: str, zone: str, events: log.EventLog) -> 'Owner':
        """Build the target's side of a node; it has no target yet."""
        return cls(me=me, zone=zone, events=events)

    @property
    def target(self) -> Target | None:
        """Return the target, once it has announced itself."""
        return self._target

    @property
    def load(self) -> LoadReport:
        """Return the target's load."""
        if self._admission is None:
            return LoadReport()
        percent = self.pace.percent
        return attrs.evolve(self._admission.load, pace_percent=percent)

    def use_settings(self, settings: Settings, now: float) -> Effects:
        """Follow a change of settings."""
        self._settings = settings
        if self._admission is None or self._target is None:
            return []
        limits = self.limits_of(self._target)
        self._admission.set_weights(settings.tenant_weights)
        change = self._admission.set_limits(limits, now)
        return self.follow(change.started, change.refused, now)

    def use_target(self, target: Target | None, now: float) -> Effects:
        """Follow what the target says of itself; None if it has lapsed."""
        known = self._target
        self._target = target
        if target is None:
            return []
        if self._admission is None:
            limits = self.limits_of(target)
            self._admission = Admission.from_limits(
                limits, now, candid=target.slots > 0
            )
            self._admission.set_weights(self._settings.tenant_weights)
        elif known is not None and known.incarnation != target.incarnation:
            self._admission.turned_cold(now)
        change = self._admission.set_phase(target.phase, now)
        return self.follow(change.started, change.refused, now)

    def take(self, peer: str, run: msg.Run, now: float) -> Job | ev.Reply:
        """Take a call on, or refuse it as not run."""
        job = Job(run, peer, now + run.budget_ms / MS_PER_S)
        if run.objective_ms >= 0:
            job.wanted_by = now + run.objective_ms / MS_PER_S
        failure = self.refusal(peer, run, now)
        if failure is not None:
            return self.turn_away(job, failure, now)
        self.jobs[run.call] = job
        heapq.heappush(self._deadlines, (job.deadline, run.call))
        return job

    def admit(self, job: Job, now: float) -> Effects:
        """Let a call start or wait, or turn it away."""
        run = job.run
        assert self._admission is not None
        ticket = Ticket(
            run.call,
            run.tenant,
            job.deadline,
            run.may_move,
            run.priority,
            job.wanted_by,
        )
        decision = self._admission.offer(ticket, now)
        if isinstance(decision, Failure):
            return [self.turn_away(job, decision, now)]
        if isinstance(decision, Admitted):
            return [self._start(run.call, now)]
        self._events.add(
            log.Queued(
                at=now,
                call=run.call,
                target=self._me,
                waiting=self.load.waiting,
            )
        )
        return []

    def withdraw(self, job: Job, now: float) -> Effects:
        """Drop a call that nobody waits for.

        One that waits never runs; one that runs and may be repeated is
        stopped; one that may not be repeated goes on to its end, as stopping
        it half way helps nobody.
        """
        job.attached = False
        if job.started_at is None:
            assert self._admission is not None
            self._admission.withdraw(job.run.call, now)
            self.jobs.pop(job.run.call)
            return []
        if not job.run.repeatable:
            return []
        return self._abort(job)

    def ended(
        self, job: Job, now: float, *, status: int, crashed: bool = False
    ) -> Effects:
        """Free the slot of a call whose target is done with it."""
        call = job.run.call
        assert job.started_at is not None and self._admission is not None
        assert self.jobs.pop(call) is job
        service_s = now - job.started_at
        succeeded = None if job.aborted else 0 < status < _SERVER_ERROR
        started = self._admission.finish(
            call, now, service_s=service_s, succeeded=succeeded
        )
        return [
            inward.Observed(job.run, status, service_s, crashed),
            ev.ParentEnded(call),
            *(self._start(name, now) for name in started),
        ]

    def refused(
        self,
        peer: str,
        call: str,
        failure: Failure,
        now: float,
        *,
        retried: bool = False,
    ) -> ev.Reply:
        """Return the refusal of a call, with the target's load."""
        load = self.load
        self._events.add(
            log.Refused(
                at=now,
                call=call,
                target=self._me,
                reason=failure.reason,
                outcome=failure.outcome,
                detail=failure.detail,
            )
        )
        message = msg.Refused(
            call=call,
            reason=failure.reason.value,
            outcome=failure.outcome.value,
            running=load.running,
            waiting=load.waiting,
            limit=load.limit,
            service_us=load.service_us,
            pace_percent=load.pace_percent,
            retried=retried,
            reached_target=failure.reached_target,
        )
        return ev.Reply(peer, message)

    def next_at(self) -> float:
        """Return when `tick` has something to do, in monotonic seconds."""
        while self._deadlines and self._deadlines[0][1] not in self.jobs:
            heapq.heappop(self._deadlines)
        first = self._deadlines[0][0] if self._deadlines else math.inf
        first = min(first, self.pace.overdue_at)
        if self._admission is None:
            return first
        return min(first, self._admission.next_at())

    def tick(self, now: float) -> Effects:
        """End what has waited or run for too long."""
        effects: Effects = []
        if self._admission is not None:
            refused = self._admission.expire(now)
            started = self._admission.resume(now)
            effects += self.follow(started, refused, now)
        while self._deadlines and self._deadlines[0][0] <= now:
            job = self.jobs.get(heapq.heappop(self._deadlines)[1])
            if job is not None:
                effects += self._overdue(job, now)
        return effects

    def follow(
        self,
        started: list[str],
        refused: list[tuple[str, Failure]],
        now: float,
    ) -> Effects:
        """Carry out what a change of the admission brought about."""
        effects: Effects = [self._start(call, now) for call in started]
        for call, failure in refused:
            job = self.jobs.pop(call)
            assert job.started_at is None, 'only a waiting call is not run'
            effects.append(self.refused(job.peer, call, failure, now))
        return effects

    def refusal(self, peer: str, run: msg.Run, now: float) -> Failure | None:
        """Return why a call must not reach the target, if that is so."""
        if self._target is None or self._target.service != run.service:
            return Failure(Reason.NO_TARGET, detail='no such target here')
        if run.call in self.jobs:
            return Failure(Reason.DUPLICATE, Outcome.UNKNOWN)
        if self.records.get(run.call, now) is not None:
            return Failure(Reason.DUPLICATE, detail='it was given up')
        return self.closed_to(peer) or self.screen(run, now)

    def turn_away(self, job: Job, failure: Failure, now: float) -> ev.Reply:
        """Refuse a call that has not started."""
        call = job.run.call
        if self.jobs.get(call) is job:
            self.jobs.pop(call)
        if failure.reason in SENT_ON_REASONS:
            self.records.note_sent_on(job.run, now)
        return self.refused(job.peer, call, failure, now)

    def limits_of(self, target: Target) -> Limits:
        """Return the target's limits; it may say how many slots it has."""
        limits = self._settings.limits_for(target.service, self._zone)
        if not target.slots:
            return limits
        return attrs.evolve(limits, slots_per_upstream=target.slots)

    def closed_to(self, peer: str) -> Failure | None:
        """Return why this node takes no new call from a peer, if so."""
        if peer in self.stale_peers:
            return Failure(Reason.PAUSED, detail='the node stood still')
        if self._settings.version == 0:
            # Until the contract's limits are known, none could be kept.
            return Failure(Reason.NO_SETTINGS, detail='no settings yet')
        if self._target is not None and self._target.phase == Phase.LEAVING:
            return Failure(Reason.LEAVING, detail='the target is leaving')
        if self.stopping:
            return Failure(Reason.LEAVING, detail='the node is stopping')
        if self._settings.zone_is_out(self._zone):
            return Failure(Reason.ZONE_OUT, detail=f'{self._zone} is out')
        return None

    def _start(self, call: str, now: float) -> ev.StartTarget:
        job = self.jobs[call]
        assert job.started_at is None, 'a call is started once'
        job.started_at = now
        load = self.load
        assert self._target is None or (
            load.running <= self.limits_of(self._target).slots_per_upstream
        ), 'slots hold at every instant'
        self._events.add(
            log.Admitted(
                at=now,
                call=call,
                target=self._me,
                running=load.running,
                limit=load.limit,
            )
        )
        budget_s = max(_MIN_BUDGET_S, job.deadline - now)
        return ev.StartTarget(call, job.run, budget_s)

    def _abort(self, job: Job) -> Effects:
        if job.aborted:
            return []
        job.aborted = True
        return [ev.AbortTarget(job.run.call), ev.ParentEnded(job.run.call)]

    def _overdue(self, job: Job, now: float) -> Effects:
        """Stop a call at its deadline; its slot stays taken until it stops."""
        if job.started_at is None:
            assert self._admission is not None
            self._admission.withdraw(job.run.call, now)
            self.jobs.pop(job.run.call)
            failure = Failure(Reason.DEADLINE)
            return [self.refused(job.peer, job.run.call, failure, now)]
        if job.answered and now < job.moved_at + _STALL_S:
            # A long answer may outlast the deadline while it makes progress.
            due_at = job.moved_at + _STALL_S
            heapq.heappush(self._deadlines, (due_at, job.run.call))
            return []
        effects = self._abort(job)
        if job.attached:
            job.attached = False
            failure = Failure(Reason.DEADLINE, Outcome.UNKNOWN)
            effects.append(self.refused(job.peer, job.run.call, failure, now))
        return effects
