"""Calls at their entry node, from the request to its answer or refusal.

Every caller gets exactly one whole answer or one refusal.
"""

import heapq
import random
from collections.abc import Callable, Iterable, Mapping
from typing import Any

import attrs

from daisyline.coordination import events as log
from daisyline.coordination.calls import call_events as ev
from daisyline.coordination.calls.customer_keys import KeyRefusals
from daisyline.coordination.calls.entry_call import (
    EXCLUDING_REASONS,
    REROUTED_REASONS,
    EntryCall,
    can_revisit_targets,
    is_never_suspect,
    is_possible_crash,
    make_run_call,
    no_retrial_node,
    parent_retry_effects,
    pick_node_for_key,
    retried_event,
)
from daisyline.coordination.calls.messages import CancelCall
from daisyline.coordination.calls.retries import (
    MAX_ATTEMPTS,
    Attempt,
    RetryBudgets,
    decide_retry,
    outgoing_retry_mark,
    retry_after_s,
)
from daisyline.coordination.effects import Send
from daisyline.coordination.rollouts.version_trial import (
    VersionTrial,
    concentrate_share,
)
from daisyline.coordination.routing.policies import (
    ExpectedWait,
    Policy,
    ZoneAwareWait,
)
from daisyline.coordination.routing.routing import (
    Candidate,
    Router,
    zone_preference_ms,
)
from daisyline.coordination.routing.target_table import (
    TargetTable,
    VersionShares,
    weight_by_share,
)
from daisyline.state.failures import Failure, Outcome, Reason
from daisyline.state.members import Member
from daisyline.state.settings import Settings
from daisyline.state.targets import LoadReport

# The target's node ends a call at its deadline and reports whether it ran.
# The entry node waits this long after the deadline for that report.
_ANSWER_GRACE_S = 0.1
_MS_PER_S = 1000

Effects = list[Any]


@attrs.define
class Entry:
    """The calls that this node has received from callers.

    Attributes:
        table: The targets that calls may be sent to.
        budgets: The retry budgets of the services.
        shares_of: Returns each version's share of a service's calls, or None
            if the service has no rollout.
        trial_of: Returns the version of a service that a rollout tries.
        is_suspect: Returns whether a request is suspected to crash targets.
        retrial_node: Returns the node that may try a request that is blocked
            again; empty if there is none.
        suspected_nodes: Returns the nodes that the failure detector suspects.
        events: Where decisions are recorded.
        key_refusals: The requests that were refused because of their keys.
    """

    _own_name: str
    _rng: random.Random
    _zone: str = ''
    _policy: Policy = attrs.field(factory=ExpectedWait)
    _settings: Settings = attrs.field(factory=Settings)
    _calls: dict[str, EntryCall] = attrs.field(factory=dict)
    _calls_by_parent: dict[str, set[str]] = attrs.field(factory=dict)
    _routers: dict[str, Router] = attrs.field(factory=dict)
    _timeouts: list[tuple[float, str]] = attrs.field(factory=list)
    table: TargetTable = attrs.field(factory=TargetTable)
    budgets: RetryBudgets = attrs.field(factory=RetryBudgets)
    shares_of: Callable[[str], VersionShares] = attrs.field(
        default=lambda _service: None
    )
    trial_of: Callable[[str], VersionTrial] = attrs.field(
        default=lambda _service: VersionTrial()
    )
    is_suspect: Callable[[ev.RequestReceived], bool] = attrs.field(
        default=is_never_suspect
    )
    retrial_node: Callable[[ev.RequestReceived], str] = attrs.field(
        default=no_retrial_node
    )
    suspected_nodes: Callable[[], Iterable[str]] = attrs.field(default=tuple)
    events: log.EventLog = attrs.field(factory=log.EventLog.from_config)
    key_refusals: KeyRefusals = attrs.field(factory=KeyRefusals)

    @classmethod
    def from_config(
        cls,
        own_name: str,
        rng: random.Random,
        events: log.EventLog,
        zone: str = '',
    ) -> 'Entry':
        """Build the entry side of a node in an availability zone."""
        return cls(
            own_name=own_name,
            rng=rng,
            events=events,
            zone=zone,
            policy=ZoneAwareWait(zone),
        )

    @property
    def calls(self) -> Mapping[str, EntryCall]:
        """Return the calls in progress, by id."""
        return self._calls

    def use_settings(self, settings: Settings, now: float) -> None:
        """Apply new settings."""
        self._settings = settings
        self.budgets.use_settings(settings)
        self.table.use_settings(settings, now)

    def update_members(
        self, changed: Iterable[Member], removed: Iterable[str], now: float
    ) -> None:
        """Apply changes of the members, which share the reserve of retries.

        Args:
            changed: The members that are new or have changed.
            removed: The names of the members to remove.
            now: Monotonic seconds.
        """
        self.table.update_members(changed, removed, now)
        self.budgets.use_nodes(len(self.table.members))

    def accept(self, request: ev.RequestReceived, now: float) -> Effects:
        """Register a new call and send it to a target."""
        budget = self.budgets.of(request.service)
        mark = outgoing_retry_mark(request.retried, budget, now)
        call = EntryCall(request, now, retried=mark)
        call.is_keyed = bool(request.key) and not self.is_repeatable(call)
        assert request.call not in self._calls
        self._calls[request.call] = call
        if request.parent:
            self._calls_by_parent.setdefault(request.parent, set()).add(
                request.call
            )
        heapq.heappush(
            self._timeouts, (request.deadline + _ANSWER_GRACE_S, request.call)
        )
        budget.deposit(now)
        self.events.add(
            log.Received(
                at=now,
                call=request.call,
                service=request.service,
                route='' if request.route is None else request.route.name,
                parent=request.parent,
                left_ms=int((request.deadline - now) * _MS_PER_S),
                settings_version=self._settings.version,
            )
        )
        return self.dispatch(call, now)

    def dispatch(self, call: EntryCall, now: float) -> Effects:
        """Send a call to a target that it has not been sent to yet.

        If none is left, targets that only refused it are tried once more.
        Without any target the call is refused.
        """
        request = call.request
        targets = self.table.candidates(request.service, now)
        candidates = concentrate_share(
            weight_by_share(targets, self.shares_of(request.service)),
            self.trial_of(request.service),
            now,
        )
        if call.is_keyed:
            shares = self.shares_of(request.service)
            node = pick_node_for_key(request.key, targets, shares, call.tried)
        else:
            node = self._pick(call, candidates, now)
        is_revisit = isinstance(node, Failure) and can_revisit_targets(call)
        if is_revisit:
            # Targets that refused the call earlier may have room by now.
            call.tried = call.excluded_nodes
            node = self._pick(call, candidates, now)
        if isinstance(node, Failure):
            return self.refuse(call, node, now)
        call.node = node
        call.tried |= {node}
        call.awaiting_outcome = False
        router = self.router(request.service)
        call.may_move = (
            not call.is_keyed
            and not is_revisit
            and call.attempt < MAX_ATTEMPTS
            and router.may_move(candidates, call.tried)
        )
        router.record_sent(node, now)
        report = router.last_report(node)
        self.events.add(
            log.Picked(
                at=now,
                call=request.call,
                service=request.service,
                target=node,
                attempt=call.attempt,
                running=report.running,
                limit=report.limit,
                pace_percent=report.pace_percent,
                report_age_ms=router.report_age_ms(node, now),
                may_move=call.may_move,
                candidates=len(candidates),
            )
        )
        return [
            Send(
                node,
                make_run_call(
                    call, self.is_repeatable(call), self._settings.version, now
                ),
            )
        ]

    def handle_failure(
        self, call: EntryCall, failure: Failure, now: float
    ) -> Effects:
        """Send a call whose attempt failed to another target, or refuse it.

        If the head of an answer was passed on already, that answer is ended
        instead, so that the caller cannot take a truncated one for a complete
        one.
        """
        if failure.outcome == Outcome.UNKNOWN:
            call.outcome = Outcome.UNKNOWN
        call.targets_reached += (
            failure.reached_target or failure.outcome == Outcome.UNKNOWN
        )
        if failure.reason in EXCLUDING_REASONS:
            call.excluded_nodes |= {call.node}
        if call.head_sent:
            self.remove(call)
            unknown = attrs.evolve(failure, outcome=Outcome.UNKNOWN)
            return [ev.AbortCaller(call.request.call, unknown)]
        # A retry could reach the next target before the report of the crash
        # that this request may have caused, and crash that target too.
        if is_possible_crash(failure):
            call.has_lost_target = True
            if self.is_suspect(call.request):
                return self.refuse(call, failure, now)
        if call.is_keyed and failure.outcome == Outcome.NOT_RUN:
            # A re-send by the caller goes to the key's own target first and
            # would run there a second time if the call had been rerouted only
            # because that target was full. After the reasons below the target
            # has recorded the key and does not run the call.
            if failure.reason in REROUTED_REASONS:
                return self.dispatch(call, now)
            return self.refuse(call, failure, now)
        attempt = Attempt(
            number=call.attempt,
            repeatable=self.is_repeatable(call),
            retried=call.retried,
            left_s=call.request.deadline - now,
            targets_reached=call.targets_reached,
            max_targets=call.max_targets,
        )
        budget = self.budgets.of(call.request.service)
        decision = decide_retry(attempt, failure, budget, now)
        if isinstance(decision, Failure):
            return self.refuse(call, failure, now)
        self.events.add(retried_event(call, decision, failure, now))
        spent = decision.retried and not call.retried
        call.attempt = decision.number
        call.retried = decision.retried
        return [*parent_retry_effects(call, spent), *self.dispatch(call, now)]

    def refuse(self, call: EntryCall, failure: Failure, now: float) -> Effects:
        """Refuse a call; the outcome covers all of its attempts."""
        self.remove(call)
        service = call.request.service
        router = self.router(service)
        overall = attrs.evolve(
            failure,
            outcome=call.outcome,
            retry_after_s=retry_after_s(
                failure,
                others_have_room=router.takes_most_calls,
                start_interval_s=router.start_interval_s(
                    self.table.candidates(service, now)
                ),
            ),
        )
        self.record_refusal(call.request.call, call.node, overall, now)
        return [ev.RefuseCaller(call.request.call, overall)]

    def record_refusal(
        self, call: str, node: str, failure: Failure, now: float
    ) -> None:
        """Record the reason and outcome of a refused call."""
        self.events.add(
            log.Refused(
                at=now,
                call=call,
                target=node,
                reason=failure.reason,
                outcome=failure.outcome,
                detail=failure.detail,
            )
        )

    def remove(self, call: EntryCall) -> None:
        """Remove a call that has ended."""
        self._calls.pop(call.request.call, None)
        siblings = self._calls_by_parent.get(call.request.parent)
        if siblings is not None:
            siblings.discard(call.request.call)
            if not siblings:
                self._calls_by_parent.pop(call.request.parent)

    def cancel(self, call: EntryCall, now: float) -> Effects:
        """Cancel a call whose caller no longer waits for the answer."""
        self.remove(call)
        self.record_attempt_end(call, None, refused=False, now=now)
        return [Send(call.node, CancelCall(call.request.call))]

    def child_calls(self, parent: str) -> list[EntryCall]:
        """Return the calls that a target made while it served a call."""
        return [
            self._calls[name] for name in self._calls_by_parent.get(parent, ())
        ]

    def calls_on_node(self, node: str) -> list[EntryCall]:
        """Return the calls that were last sent to a node."""
        return [call for call in self._calls.values() if call.node == node]

    def next_at(self) -> float:
        """Return when to call `tick` next, in monotonic seconds or infinity."""
        while self._timeouts and self._timeouts[0][1] not in self._calls:
            heapq.heappop(self._timeouts)
        return self._timeouts[0][0] if self._timeouts else float('inf')

    def tick(self, now: float) -> Effects:
        """End calls whose deadline and grace period have passed.

        One whose answer has started is refused only if its caller was sent
        nothing of it. Otherwise the target's node supervises it.
        """
        effects: Effects = []
        while self.next_at() <= now:
            call = self._calls[heapq.heappop(self._timeouts)[1]]
            if call.head_sent:
                effects.append(ev.ExpireAnswer(call.request.call))
            else:
                effects += self._time_out(call, now)
        return effects

    def record_attempt_end(
        self,
        call: EntryCall,
        load_report: LoadReport | None,
        refused: bool,
        now: float,
    ) -> None:
        """Report the end of an attempt to the router.

        For the router an attempt ends when its answer starts.

        Args:
            call: The call.
            load_report: The load report that came with the answer, if any.
            refused: Whether the target refused the call.
            now: Monotonic seconds.
        """
        if call.head_sent:
            return
        self.router(call.request.service).record_end(
            call.node, now, load_report, refused=refused
        )

    def router(self, service: str) -> Router:
        """Return the router of a service."""
        if service not in self._routers:
            self._routers[service] = Router.from_config(
                self._policy, self._rng, zone=self._zone
            )
        return self._routers[service]

    def is_repeatable(self, call: EntryCall) -> bool:
        """Return whether a call may run more than once."""
        route = call.request.route
        if route is not None:
            return route.repeatable
        limits = self._settings.limits_for(call.request.service, '')
        return call.request.method.decode() in limits.repeatable_methods

    def _time_out(self, call: EntryCall, now: float) -> Effects:
        call.outcome = Outcome.UNKNOWN
        self.record_attempt_end(call, None, refused=False, now=now)
        failure = Failure(Reason.DEADLINE, Outcome.UNKNOWN)
        cancel = Send(call.node, CancelCall(call.request.call))
        return [cancel, *self.refuse(call, failure, now)]

    def _pick(
        self, call: EntryCall, candidates: tuple[Candidate, ...], now: float
    ) -> str | Failure:
        """Return a node that the call has not been sent to yet, or a failure.

        Suspected nodes are used only if there is no other.
        """
        request = call.request
        retrial = self.retrial_node(request)
        if retrial not in call.tried and any(
            one.node == retrial and one.weight > 0 for one in candidates
        ):
            return retrial
        limits = self._settings.limits_for(request.service, '')
        router = self.router(request.service)
        avoided = call.tried.union(self.suspected_nodes())
        remote_penalty_s = zone_preference_ms(limits, request.route) / _MS_PER_S
        picked = router.pick(candidates, now, avoided, remote_penalty_s)
        if isinstance(picked, Failure):
            return router.pick(candidates, now, call.tried, remote_penalty_s)
        return picked
