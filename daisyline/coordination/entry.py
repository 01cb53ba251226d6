"""The entry's side of calls: every caller gets one whole answer or refusal."""

import heapq
import math
import random
from collections.abc import Callable, Iterable, Mapping
from typing import Any

import attrs

from daisyline.coordination import call_events as ev
from daisyline.coordination import events as log
from daisyline.coordination.effects import Send
from daisyline.coordination.entry_call import (
    LOST_REASONS,
    SENT_ON_REASONS,
    EntryCall,
    mark_parent,
    may_be_crash,
    may_go_back,
    no_suspect,
    node_of_key,
    retried_event,
    run_of,
)
from daisyline.coordination.messages import Cancel
from daisyline.coordination.policies import ExpectedWait, NearWait, Policy
from daisyline.coordination.retries import (
    MAX_TRIES,
    Attempt,
    RetryBudget,
    decide_retry,
    mark_down,
)
from daisyline.coordination.routing import Candidate, Router
from daisyline.coordination.target_table import Shares, TargetTable, by_share
from daisyline.coordination.version_trial import Trial, concentrate
from daisyline.state.failures import Failure, Outcome, Reason
from daisyline.state.settings import Settings
from daisyline.state.targets import LoadReport

# The target's node ends a call at its deadline and says whether it ran; the
# entry waits this much longer to hear it, in seconds.
_GRACE_S = 0.1
_MS_PER_S = 1000

Effects = list[Any]


@attrs.define
class Entry:
    """Calls from callers, from their arrival to their answer."""

    _me: str
    _rng: random.Random
    _zone: str = ''
    _policy: Policy = attrs.field(factory=ExpectedWait)
    _settings: Settings = attrs.field(factory=Settings)
    _calls: dict[str, EntryCall] = attrs.field(factory=dict)
    _children: dict[str, set[str]] = attrs.field(factory=dict)
    _routers: dict[str, Router] = attrs.field(factory=dict)
    _budgets: dict[str, RetryBudget] = attrs.field(factory=dict)
    _gives_up: list[tuple[float, str]] = attrs.field(factory=list)
    table: TargetTable = attrs.field(factory=TargetTable)
    shares: Callable[[str], Shares] = attrs.field(default=lambda _service: None)
    on_trial: Callable[[str], Trial] = attrs.field(
        default=lambda _service: Trial()
    )
    suspects: Callable[[ev.Arrived], bool] = attrs.field(default=no_suspect)
    doubted: Callable[[], Iterable[str]] = attrs.field(default=tuple)
    events: log.EventLog = attrs.field(factory=log.EventLog.from_config)

    @classmethod
    def from_config(
        cls, me: str, rng: random.Random, events: log.EventLog, zone: str = ''
    ) -> 'Entry':
        """Build the entry's side of a node that stands in a zone."""
        return cls(
            me=me, rng=rng, events=events, zone=zone, policy=NearWait(zone)
        )

    @property
    def calls(self) -> Mapping[str, EntryCall]:
        """Return the calls under way, by id."""
        return self._calls

    def use_settings(self, settings: Settings, now: float) -> None:
        """Follow a change of settings."""
        for service in tuple(self._budgets):
            old = self._settings.limits_for(service, '').retry_percent
            if settings.limits_for(service, '').retry_percent != old:
                self._budgets.pop(service)
        self._settings = settings
        self.table.use_settings(settings, now)

    def begin(self, arrived: ev.Arrived, now: float) -> Effects:
        """Take a call on and send it to a target."""
        budget = self.budget(arrived.service)
        mark = mark_down(arrived.retried, budget, now)
        call = EntryCall(arrived, now, retried=mark)
        call.keyed = bool(arrived.key) and not self.repeatable(call)
        assert arrived.call not in self._calls
        self._calls[arrived.call] = call
        if arrived.parent:
            self._children.setdefault(arrived.parent, set()).add(arrived.call)
        heapq.heappush(
            self._gives_up, (arrived.deadline + _GRACE_S, arrived.call)
        )
        budget.earned(now)
        self.events.add(
            log.Received(
                at=now,
                call=arrived.call,
                service=arrived.service,
                route='' if arrived.route is None else arrived.route.name,
                parent=arrived.parent,
                left_ms=int((arrived.deadline - now) * _MS_PER_S),
                settings_version=self._settings.version,
            )
        )
        return self.place(call, now)

    def place(self, call: EntryCall, now: float) -> Effects:
        """Send a call to a target that it has not been sent to yet."""
        arrived = call.arrived
        known = self.table.candidates(arrived.service, now)
        candidates = concentrate(
            by_share(known, self.shares(arrived.service)),
            self.on_trial(arrived.service),
            now,
        )
        if call.keyed:
            shares = self.shares(arrived.service)
            node = node_of_key(arrived.key, known, shares, call.tried)
        else:
            node = self._pick(call, candidates, now)
        went_back = isinstance(node, Failure) and may_go_back(call)
        if went_back:
            # Nobody new is left, but one that refused may have room by now.
            call.tried = call.lost_on
            node = self._pick(call, candidates, now)
        if isinstance(node, Failure):
            return self.refuse(call, node, now)
        call.node = node
        call.tried |= {node}
        call.asking = False
        router = self.router(arrived.service)
        call.may_move = (
            not call.keyed
            and not went_back
            and call.attempt < MAX_TRIES
            and router.may_move(candidates, call.tried)
        )
        router.sent(node, now)
        report = router.report_of(node)
        self.events.add(
            log.Picked(
                at=now,
                call=arrived.call,
                service=arrived.service,
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
                run_of(
                    call, self.repeatable(call), self._settings.version, now
                ),
            )
        ]

    def fail(self, call: EntryCall, failure: Failure, now: float) -> Effects:
        """Send a call that got no answer elsewhere, or give it up.

        A call whose answer had begun can't be begun anew: its caller's
        connection is broken, so that no cut answer passes for a whole one.
        """
        if failure.outcome == Outcome.UNKNOWN:
            call.outcome = Outcome.UNKNOWN
        call.reached += (
            failure.reached_target or failure.outcome == Outcome.UNKNOWN
        )
        if failure.reason in LOST_REASONS:
            call.lost_on |= {call.node}
        if call.begun:
            self.forget(call)
            return [ev.CutCaller(call.arrived.call, failure)]
        # A retry would overtake the news of the crash that it may have caused.
        if may_be_crash(failure) and self.suspects(call.arrived):
            return self.refuse(call, failure, now)
        if call.keyed and failure.outcome == Outcome.NOT_RUN:
            # Taken elsewhere when its target is merely full, a re-send could
            # run again there.
            if failure.reason in SENT_ON_REASONS:
                return self.place(call, now)
            return self.refuse(call, failure, now)
        attempt = Attempt(
            number=call.attempt,
            repeatable=self.repeatable(call),
            retried=call.retried,
            left_s=call.arrived.deadline - now,
            reached=call.reached,
            most_targets=call.most_targets,
        )
        budget = self.budget(call.arrived.service)
        decision = decide_retry(attempt, failure, budget, now)
        if isinstance(decision, Failure):
            return self.refuse(call, failure, now)
        self.events.add(retried_event(call, decision, failure, now))
        spent = decision.retried and not call.retried
        call.attempt = decision.number
        call.retried = decision.retried
        return [*mark_parent(call, spent), *self.place(call, now)]

    def refuse(self, call: EntryCall, failure: Failure, now: float) -> Effects:
        """Tell the caller why there is no answer; true over all attempts."""
        self.forget(call)
        truth = attrs.evolve(failure, outcome=call.outcome)
        self.note_refusal(call.arrived.call, call.node, truth, now)
        return [ev.RefuseCaller(call.arrived.call, truth)]

    def note_refusal(
        self, call: str, node: str, failure: Failure, now: float
    ) -> None:
        """Record why a caller gets no answer."""
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

    def forget(self, call: EntryCall) -> None:
        """Drop a call that has ended."""
        self._calls.pop(call.arrived.call, None)
        siblings = self._children.get(call.arrived.parent)
        if siblings is not None:
            siblings.discard(call.arrived.call)
            if not siblings:
                self._children.pop(call.arrived.parent)

    def cancel(self, call: EntryCall, now: float) -> Effects:
        """End a call that nobody waits for."""
        self.forget(call)
        self.report(call, None, refused=False, now=now)
        return [Send(call.node, Cancel(call.arrived.call))]

    def children(self, parent: str) -> list[EntryCall]:
        """Return the calls that a target made while it served another."""
        return [self._calls[name] for name in self._children.get(parent, ())]

    def on_node(self, node: str) -> list[EntryCall]:
        """Return the calls that a node has now."""
        return [call for call in self._calls.values() if call.node == node]

    def next_at(self) -> float:
        """Return when `tick` has something to do, in monotonic seconds."""
        while self._gives_up and self._gives_up[0][1] not in self._calls:
            heapq.heappop(self._gives_up)
        return self._gives_up[0][0] if self._gives_up else math.inf

    def tick(self, now: float) -> Effects:
        """Give up calls whose deadline has passed."""
        effects: Effects = []
        while self.next_at() <= now:
            call = self._calls[heapq.heappop(self._gives_up)[1]]
            # Of an answer that has begun, the target's node judges progress.
            if not call.begun:
                effects += self._give_up(call, now)
        return effects

    def report(
        self,
        call: EntryCall,
        load: LoadReport | None,
        refused: bool,
        now: float,
    ) -> None:
        """Count that a call's attempt ended, with the report that came.

        An attempt ends for the router when its answer begins.
        """
        if call.begun:
            return
        self.router(call.arrived.service).done(
            call.node, now, load, refused=refused
        )

    def router(self, service: str) -> Router:
        """Return the router of a service."""
        if service not in self._routers:
            self._routers[service] = Router.from_config(
                self._policy, self._rng, zone=self._zone
            )
        return self._routers[service]

    def repeatable(self, call: EntryCall) -> bool:
        """Return whether a call may run more than once."""
        route = call.arrived.route
        if route is not None:
            return route.repeatable
        limits = self._settings.limits_for(call.arrived.service, '')
        return call.arrived.method.decode() in limits.repeatable_methods

    def budget(self, service: str) -> RetryBudget:
        """Return the retry budget of a service."""
        if service not in self._budgets:
            limits = self._settings.limits_for(service, '')
            nodes = max(1, len(self.table.members))
            budget = RetryBudget.from_limits(limits, 0, nodes)
            self._budgets[service] = budget
        return self._budgets[service]

    def _give_up(self, call: EntryCall, now: float) -> Effects:
        call.outcome = Outcome.UNKNOWN
        self.report(call, None, refused=False, now=now)
        failure = Failure(Reason.DEADLINE, Outcome.UNKNOWN)
        cancel = Send(call.node, Cancel(call.arrived.call))
        return [cancel, *self.refuse(call, failure, now)]

    def _pick(
        self, call: EntryCall, candidates: tuple[Candidate, ...], now: float
    ) -> str | Failure:
        arrived = call.arrived
        limits = self._settings.limits_for(arrived.service, '')
        route = arrived.route
        far_ms = limits.zone_preference_ms
        if route is not None and route.bulky:
            far_ms = limits.bulky_zone_preference_ms
        router = self.router(arrived.service)
        doubted = call.tried.union(self.doubted())
        far_s = far_ms / _MS_PER_S
        sure = router.pick(candidates, now, doubted, far_s)
        if isinstance(sure, Failure):
            return router.pick(candidates, now, call.tried, far_s)
        return sure
