"""The side of a node that serves its target: it admits and runs calls."""

import heapq
import math
from collections.abc import Callable
from typing import Any

import attrs

from daisyline.coordination import events as log
from daisyline.coordination import internal_effects
from daisyline.coordination.admission.admission import Admission, Admitted
from daisyline.coordination.admission.fair_queue import Ticket
from daisyline.coordination.admission.pace import Pace
from daisyline.coordination.admission.service_times import ServiceTimes
from daisyline.coordination.calls import call_events as ev
from daisyline.coordination.calls import messages as msg
from daisyline.coordination.calls.answer_records import AnswerRecords
from daisyline.coordination.calls.entry_call import REROUTED_REASONS
from daisyline.coordination.calls.registration import Registration
from daisyline.coordination.calls.target_call import TargetCall
from daisyline.state.failures import Failure, Outcome, Reason
from daisyline.state.settings import Limits, Settings
from daisyline.state.targets import LoadReport, Phase, Target

MS_PER_S = 1000
_US_PER_MS = 1000
_SERVER_ERROR = 500
# The shortest time budget with which a call is sent to its target.
_MIN_BUDGET_S = 0.001
# An answer that is sent past its deadline is aborted if it makes no progress
# for this time. One without a length is aborted this long after the deadline,
# as it may have no end.
_STALL_TIMEOUT_S = 10.0

Effects = list[Any]
CallCheck = Callable[[msg.RunCall, float], Failure | None]


@attrs.define
class TargetSide:
    """The calls at one target, from their admission to their answer.

    Attributes:
        events: Where decisions are recorded.
        target: The target; None while none is announced.
        calls: The calls that wait or run, by id.
        records: The results of calls that may not be repeated.
        unconfirmed_peers: The nonce of the ping that each peer has to answer
            before it may send new calls again.
        check_call: Returns why a call must not reach the target, or None.
        peers: The connected nodes that have sent a call or asked about one.
        pace: The pace that the target reported last.
        registration: The newest announcement of the target.
        awaiting_pace: The calls that wait for a probe of the pace, by id.
        service_times: How long the target takes for each kind of call.
        stopping: Whether the node is stopping.
    """

    _own_name: str
    _zone: str
    events: log.EventLog
    _settings: Settings = attrs.field(factory=Settings)
    _admission: Admission | None = None
    _deadlines: list[tuple[float, str]] = attrs.field(factory=list)
    target: Target | None = None
    calls: dict[str, TargetCall] = attrs.field(factory=dict)
    records: AnswerRecords = attrs.field(factory=AnswerRecords)
    unconfirmed_peers: dict[str, int] = attrs.field(factory=dict)
    check_call: CallCheck = attrs.field(default=lambda _run, _now: None)
    peers: set[str] = attrs.field(factory=set)
    pace: Pace = attrs.field(factory=Pace)
    registration: Registration = attrs.field(factory=Registration)
    awaiting_pace: list[str] = attrs.field(factory=list)
    service_times: ServiceTimes = attrs.field(factory=ServiceTimes)
    stopping: bool = False

    @classmethod
    def from_config(
        cls,
        own_name: str,
        zone: str,
        events: log.EventLog,
        incarnation: int = 0,
    ) -> 'TargetSide':
        """Build the target side of a node, which has no target yet."""
        return cls(
            own_name=own_name,
            zone=zone,
            events=events,
            records=AnswerRecords(incarnation),
            registration=Registration.from_start(incarnation // _US_PER_MS),
        )

    @property
    def load(self) -> LoadReport:
        """Return the load report; a default one before the first target."""
        if self._admission is None:
            return LoadReport()
        percent = self.pace.percent
        return attrs.evolve(self._admission.load, pace_percent=percent)

    def use_settings(self, settings: Settings, now: float) -> Effects:
        """Apply changed settings and return the effects."""
        self._settings = settings
        if self._admission is None or self.target is None:
            return []
        limits = self.limits_of(self.target)
        self._admission.use_tenants(settings)
        change = self._admission.set_limits(limits, now)
        return self.apply_decisions(change.started, change.refused, now)

    def use_target(self, target: Target | None, now: float) -> Effects:
        """Apply the target's announcement and return the effects.

        Args:
            target: The announced target; None if the announcement has lapsed.
            now: Monotonic seconds.
        """
        previous = self.target
        self.target = target
        if target is None:
            return []
        limits = self.limits_of(target)
        effects: Effects = []
        if self._admission is None:
            self._admission = Admission.from_limits(
                limits, now, announces_cold=target.slots > 0
            )
            self._admission.use_tenants(self._settings)
            self._admission.service_times = self.service_times
        elif (
            previous is not None and previous.incarnation != target.incarnation
        ):
            self._admission.reset_to_cold(now)
        if previous is None or previous.slots != target.slots:
            change = self._admission.set_limits(limits, now)
            effects += self.apply_decisions(change.started, change.refused, now)
        change = self._admission.set_phase(target.phase, now)
        effects += self.apply_decisions(change.started, change.refused, now)
        return effects

    def limit_starts(self, per_s: float, now: float) -> Effects:
        """Start no more calls a second than the target says that it takes.

        Args:
            per_s: The calls a second; 0 if the target names no limit.
            now: Monotonic seconds.
        """
        assert self._admission is not None
        change = self._admission.set_named_limit(per_s, now)
        return self.apply_decisions(change.started, change.refused, now)

    def accept(
        self, peer: str, run: msg.RunCall, now: float
    ) -> TargetCall | ev.SendReply:
        """Accept a call, or refuse it as not run."""
        target_call = TargetCall(run, peer, now + run.budget_ms / MS_PER_S)
        if run.objective_ms >= 0:
            target_call.objective = now + run.objective_ms / MS_PER_S
        failure = self.refusal_for(peer, run, now)
        if failure is not None:
            return self.refuse(target_call, failure, now)
        self.calls[run.call] = target_call
        heapq.heappush(self._deadlines, (target_call.deadline, run.call))
        return target_call

    def admit(self, target_call: TargetCall, now: float) -> Effects:
        """Start, queue or refuse a call."""
        run = target_call.run
        assert self._admission is not None
        ticket = Ticket(
            run.call,
            run.tenant,
            target_call.deadline,
            run.may_move,
            run.priority,
            target_call.objective,
            run.kind,
        )
        decision = self._admission.offer(ticket, now)
        if isinstance(decision, Failure):
            return [self.refuse(target_call, decision, now)]
        if isinstance(decision, Admitted):
            return [self._start(run.call, now)]
        self.events.add(
            log.Queued(
                at=now,
                call=run.call,
                target=self._own_name,
                waiting=self.load.waiting,
            )
        )
        return []

    def withdraw(self, target_call: TargetCall, now: float) -> Effects:
        """Drop a call whose caller no longer waits for it.

        A waiting call never runs. A running call is aborted if it may be
        repeated. Otherwise it runs to its end, because aborting it half way
        has no benefit.
        """
        target_call.is_awaited = False
        if target_call.started_at is None:
            assert self._admission is not None
            self._admission.withdraw(target_call.run.call, now)
            self.calls.pop(target_call.run.call)
            return []
        if not target_call.run.repeatable:
            return []
        return self._abort(target_call)

    def finish(
        self,
        target_call: TargetCall,
        now: float,
        *,
        status: int,
        crashed: bool = False,
    ) -> Effects:
        """Free the slot of a call that has ended at the target.

        Args:
            target_call: The call.
            now: Monotonic seconds.
            status: The HTTP status of the answer; 0 if there was none.
            crashed: Whether the target closed the connection by itself.
        """
        call = target_call.run.call
        assert (
            target_call.started_at is not None and self._admission is not None
        )
        assert self.calls.pop(call) is target_call
        service_s = now - target_call.started_at
        succeeded = None if target_call.aborted else 0 < status < _SERVER_ERROR
        started = self._admission.finish(
            call, now, service_s=service_s, succeeded=succeeded
        )
        return [
            internal_effects.TargetCallEnded(
                target_call.run, status, service_s, crashed
            ),
            ev.ParentCallEnded(call),
            *(self._start(waiting_call, now) for waiting_call in started),
        ]

    def refusal_reply(
        self,
        peer: str,
        call: str,
        failure: Failure,
        now: float,
        *,
        retried: bool = False,
    ) -> ev.SendReply:
        """Log a refusal and return its message with the target's load.

        Args:
            peer: The node that the message is sent to.
            call: The id of the call.
            failure: The reason and outcome of the refusal.
            now: Monotonic seconds.
            retried: Whether a retry was spent on the call.
        """
        load = self.load
        self.events.add(
            log.Refused(
                at=now,
                call=call,
                target=self._own_name,
                reason=failure.reason,
                outcome=failure.outcome,
                detail=failure.detail,
            )
        )
        message = msg.CallRefused(
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
        return ev.SendReply(peer, message)

    def next_at(self) -> float:
        """Return when `tick` must be called next, in monotonic seconds."""
        while self._deadlines and self._deadlines[0][1] not in self.calls:
            heapq.heappop(self._deadlines)
        next_at = self._deadlines[0][0] if self._deadlines else math.inf
        next_at = min(next_at, self.pace.probe_timeout_at)
        if self._admission is None:
            return next_at
        return min(next_at, self._admission.next_at())

    def tick(self, now: float) -> Effects:
        """Start calls that may start now, and end those past their deadline."""
        effects: Effects = []
        if self._admission is not None:
            refused = self._admission.expire(now)
            started = self._admission.resume(now)
            effects += self.apply_decisions(started, refused, now)
        while self._deadlines and self._deadlines[0][0] <= now:
            target_call = self.calls.get(heapq.heappop(self._deadlines)[1])
            if target_call is not None:
                effects += self._end_overdue(target_call, now)
        return effects

    def apply_decisions(
        self,
        started: list[str],
        refused: list[tuple[str, Failure]],
        now: float,
    ) -> Effects:
        """Start and refuse calls as the admission decided."""
        effects: Effects = [self._start(call, now) for call in started]
        for call, failure in refused:
            target_call = self.calls.pop(call)
            assert target_call.started_at is None, (
                'a running call is refused as not run'
            )
            effects.append(
                self.refusal_reply(target_call.entry_node, call, failure, now)
            )
        return effects

    def refusal_for(
        self, peer: str, run: msg.RunCall, now: float
    ) -> Failure | None:
        """Return why a call must not reach the target, or None."""
        if self.target is None or self.target.service != run.service:
            return Failure(
                Reason.NO_TARGET,
                detail='this node has no target of the service',
            )
        if not run.settings_version and self._settings.customers.requires_keys:
            # Without settings the entry node can't have checked the key.
            return Failure(
                Reason.NO_SETTINGS, detail='the entry node has no settings yet'
            )
        if run.call in self.calls:
            return Failure(Reason.DUPLICATE, Outcome.UNKNOWN)
        if self.records.get(run.call, now) is not None:
            return Failure(
                Reason.DUPLICATE, detail='the call has already ended here'
            )
        return self.refusal_for_peer(peer) or self.check_call(run, now)

    def refuse(
        self, target_call: TargetCall, failure: Failure, now: float
    ) -> ev.SendReply:
        """Refuse a call that has not started, and return the refusal."""
        call = target_call.run.call
        if self.calls.get(call) is target_call:
            self.calls.pop(call)
        if failure.reason in REROUTED_REASONS:
            self.records.record_rerouted(target_call.run, now)
        return self.refusal_reply(target_call.entry_node, call, failure, now)

    def limits_of(self, target: Target) -> Limits:
        """Return the limits, with the target's own number of slots if known."""
        limits = self._settings.limits_for(target.service, self._zone)
        if not target.slots:
            return limits
        return attrs.evolve(limits, slots_per_upstream=target.slots)

    def refusal_for_peer(self, peer: str) -> Failure | None:
        """Return why this node accepts no new call from a peer, or None."""
        if peer in self.unconfirmed_peers:
            return Failure(Reason.PAUSED, detail='the node was paused')
        if self._settings.version == 0:
            # Without settings the contract's limits are not known.
            return Failure(
                Reason.NO_SETTINGS, detail='the node has no settings yet'
            )
        if self.target is not None and self.target.phase == Phase.LEAVING:
            return Failure(Reason.LEAVING, detail='the target is leaving')
        if self.stopping:
            return Failure(Reason.LEAVING, detail='the node is stopping')
        if self._settings.zone_is_out(self._zone):
            return Failure(Reason.ZONE_OUT, detail=f'zone {self._zone} is out')
        return None

    def _start(self, call: str, now: float) -> ev.StartTargetCall:
        target_call = self.calls[call]
        assert target_call.started_at is None, 'the call was started before'
        target_call.started_at = now
        load = self.load
        assert self.target is None or (
            load.running <= self.limits_of(self.target).slots_per_upstream
        ), 'more calls run than the contract has slots'
        self.events.add(
            log.Admitted(
                at=now,
                call=call,
                target=self._own_name,
                running=load.running,
                limit=load.limit,
            )
        )
        budget_s = max(_MIN_BUDGET_S, target_call.deadline - now)
        return ev.StartTargetCall(call, target_call.run, budget_s)

    def _abort(self, target_call: TargetCall) -> Effects:
        if target_call.aborted:
            return []
        target_call.aborted = True
        return [
            ev.AbortTargetCall(target_call.run.call),
            ev.ParentCallEnded(target_call.run.call),
        ]

    def _end_overdue(self, target_call: TargetCall, now: float) -> Effects:
        """End a call at its deadline, and return the effects.

        A running call is aborted and keeps its slot until the target has
        stopped. An answer that is being sent may exceed the deadline while it
        makes progress; one without a length only by `_STALL_TIMEOUT_S`.
        """
        if target_call.started_at is None:
            assert self._admission is not None
            self._admission.withdraw(target_call.run.call, now)
            self.calls.pop(target_call.run.call)
            failure = Failure(Reason.DEADLINE)
            return [
                self.refusal_reply(
                    target_call.entry_node, target_call.run.call, failure, now
                )
            ]
        stalled_at = _stalled_at(target_call)
        if target_call.answered and now < stalled_at:
            heapq.heappush(self._deadlines, (stalled_at, target_call.run.call))
            return []
        effects = self._abort(target_call)
        if target_call.is_awaited:
            target_call.is_awaited = False
            failure = Failure(Reason.DEADLINE, Outcome.UNKNOWN)
            effects.append(
                self.refusal_reply(
                    target_call.entry_node, target_call.run.call, failure, now
                )
            )
        return effects


def _stalled_at(target_call: TargetCall) -> float:
    """Return when an answer past its deadline has to be aborted.

    The result is in monotonic seconds; it grows with the progress of an answer
    that states its length.
    """
    if target_call.has_length:
        return target_call.last_progress_at + _STALL_TIMEOUT_S
    return target_call.deadline + _STALL_TIMEOUT_S
