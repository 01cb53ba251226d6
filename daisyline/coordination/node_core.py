"""All decisions of one node, connected with each other."""

import math
import random
from collections import deque

import attrs

from daisyline.coordination import events as log
from daisyline.coordination import internal_effects
from daisyline.coordination.calls import call_events as ev
from daisyline.coordination.calls import messages as msg
from daisyline.coordination.calls.entry import Entry
from daisyline.coordination.calls.quarantine import Quarantine, fingerprint
from daisyline.coordination.calls.target_side import TargetSide
from daisyline.coordination.membership.fleet import Fleet
from daisyline.coordination.memory.memory_account import MemoryAccount
from daisyline.coordination.rollouts.rollout import Rollouts
from daisyline.coordination.settings.platform_reading import PlatformReadConfig
from daisyline.state.failures import Failure, Reason
from daisyline.state.histograms import Latencies
from daisyline.state.members import Member
from daisyline.state.rollout_state import CallSample
from daisyline.state.targets import Phase, Target

# A target gets no calls if it has not announced itself for this long.
TARGET_LEASE_S = 3.0
# The lease of the first announcement of a target that was started before this
# process: two of the intervals at which targets announce themselves, in seconds.
FIRST_LEASE_S = 3.0
# All connections of a crashed target are found closed within this time, in
# seconds. The calls that fail within it count as one crash.
_CRASH_WINDOW_S = 1.0
# The longest time from a crash of a target to its next start, in seconds.
_MAX_RESTART_S = 10.0
# The number of interrupted requests that are kept until the target restarts;
# larger than the number of calls that a target runs at a time.
_MAX_INTERRUPTED_REQUESTS = 64
_US_PER_S = 1_000_000
_US_PER_MS = 1_000
_SERVER_ERROR = 500

Effects = list[object]


@attrs.define
class NodeCore:
    """The parts of one node's decisions and the state that they share.

    Attributes:
        name: The name of this node.
        entry: Calls that this node has received from callers.
        target_side: The calls at the target beside this node.
        fleet: Membership and settings.
        rollouts: The progress of rollouts.
        quarantine: Requests that are suspected to crash targets.
        events: The record of decisions.
        latencies: Histograms of call durations.
        memory: The bytes that this node holds for others.
        lease_s: The lease of the target's announcements, in seconds.
        lease_ends_at: When the lease of the target expires, in monotonic
            seconds.
        warm_at: When the target becomes warm, in monotonic seconds; infinity
            if it is warm or has not given a time.
        is_leaving: Whether this node is shutting down.
        started_ms: When this process started, in Unix milliseconds.
    """

    name: str
    entry: Entry
    target_side: TargetSide
    fleet: Fleet
    rollouts: Rollouts
    quarantine: Quarantine
    events: log.EventLog
    latencies: Latencies
    memory: MemoryAccount = attrs.field(
        factory=lambda: MemoryAccount.from_config(None)
    )
    lease_s: float = TARGET_LEASE_S
    lease_ends_at: float = math.inf
    warm_at: float = math.inf
    is_leaving: bool = False
    _interrupted_requests: deque[tuple[str, float]] = attrs.field(
        factory=lambda: deque(maxlen=_MAX_INTERRUPTED_REQUESTS)
    )
    _crashed_calls: set[str] = attrs.field(factory=set)
    _crashed_at: float = -math.inf
    started_ms: int = 0

    @classmethod
    def from_config(
        cls,
        own_member: Member,
        cluster: str,
        peers: tuple[tuple[str, int], ...],
        rng: random.Random,
        now: float,
        read_config: PlatformReadConfig | None = None,
    ) -> 'NodeCore':
        """Build the decisions of a node that has just started.

        Args:
            own_member: This node.
            cluster: The name of the cluster.
            peers: Hosts and ports of other nodes.
            rng: The source of random numbers.
            now: Monotonic seconds.
            read_config: Where settings and other objects are read from.
        """
        events = log.EventLog.from_config()
        core = cls(
            name=own_member.name,
            entry=Entry.from_config(
                own_member.name, rng, events, own_member.zone
            ),
            target_side=TargetSide.from_config(
                own_member.name,
                own_member.zone,
                events,
                own_member.incarnation,
            ),
            fleet=Fleet.from_config(
                own_member, cluster, peers, rng, now, read_config
            ),
            rollouts=Rollouts.from_config(own_member.name, rng, now, events),
            quarantine=Quarantine.from_config(own_member.name, rng, events),
            events=events,
            latencies=Latencies.from_config(),
            started_ms=own_member.incarnation // _US_PER_MS,
        )
        core.entry.shares_of = core.rollouts.shares
        core.entry.trial_of = core.rollouts.trial_of
        core.entry.is_suspect = core.is_suspect
        core.entry.suspected_nodes = lambda: core.fleet.suspects
        core.target_side.check_call = core.check_call
        core.entry.update_members(core.fleet.members.values(), (), now)
        return core

    def next_at(self) -> float:
        """Return the time of the next `tick`, in monotonic seconds."""
        return min(
            self.entry.next_at(),
            self.target_side.next_at(),
            self.fleet.next_at(),
            self.rollouts.next_at(),
            self.lease_ends_at,
            self.warm_at,
        )

    @property
    def is_ready(self) -> bool:
        """Return whether this node can serve callers."""
        return self.fleet.settings.version > 0 and not self.is_leaving

    def apply_announcement(
        self, target: Target | None, now: float, cold_s: float = 0
    ) -> Effects:
        """Apply an announcement of the target beside this node.

        Args:
            target: The target; None if its lease expired.
            now: Monotonic seconds.
            cold_s: How long the target remains cold, in seconds.
        """
        self.warm_at = now + cold_s if cold_s else math.inf
        if target is not None:
            self.lease_ends_at = now + self._lease_of(target)
        return self._use_target(target, now)

    def mark_warm(self, now: float) -> Effects:
        """Mark the target as ready after the announced time as cold."""
        self.warm_at = math.inf
        target = self.target_side.target
        if target is None or target.phase != Phase.COLD:
            return []
        return self._use_target(attrs.evolve(target, phase=Phase.READY), now)

    def check_call(self, run: msg.RunCall, now: float) -> Failure | None:
        """Return why a call must not run at this node's target, or None."""
        target = self.target_side.target
        if target is not None:
            if self.rollouts.is_rolled_back(target.service, target.version):
                return Failure(Reason.VERSION_STOPPED, detail=target.version)
        return (
            None
            if self.quarantine.is_empty
            else self._check_quarantine(run, now)
        )

    def is_suspect(self, received: ev.RequestReceived) -> bool:
        """Return whether a request was in flight when a target crashed."""
        if self.quarantine.is_empty:
            return False
        request = fingerprint(received.method, received.path, received.body)
        return self.quarantine.must_run_alone(request, received.deadline)

    def record_observation(
        self, event: internal_effects.TargetCallEnded, now: float
    ) -> Effects:
        """Pass the end of a call at the target to quarantine and rollouts."""
        target = self.target_side.target
        effects: Effects = []
        if event.crashed:
            effects += self._handle_crash(event.run, now)
        elif event.status and not self.quarantine.is_empty:
            request = _fingerprint(event.run)
            effects += self.quarantine.record_success(request, now)
        if target is not None:
            self.rollouts.record_call(self._sample(event, target), now)
        return effects

    def _lease_of(self, target: Target) -> float:
        """Return how long an announcement holds, in seconds.

        A target that runs since before this process may have left. Until
        other nodes have told of that, only a second announcement shows that
        the target goes on.
        """
        is_older = target.started_ms <= self.started_ms
        if is_older and not self.target_side.registration.is_confirmed:
            return min(self.lease_s, FIRST_LEASE_S)
        return self.lease_s

    def _use_target(self, target: Target | None, now: float) -> Effects:
        previous = self.target_side.target
        if target == previous:
            return []
        self.events.add(_target_changed_event(target, self.warm_at - now, now))
        effects: Effects = []
        if target is not None and previous is not None:
            if target.incarnation != previous.incarnation:
                effects += self._handle_restart(now)
        return [
            *effects,
            internal_effects.TargetChanged(target),
            *self.target_side.use_target(target, now),
            *self.fleet.set_target(target, now),
        ]

    def _handle_restart(self, now: float) -> Effects:
        """Count a crash if calls were interrupted shortly before a restart."""
        recent = [
            request
            for request, at in self._interrupted_requests
            if at > now - _MAX_RESTART_S
        ]
        self._interrupted_requests.clear()
        if not recent:
            return []
        return self.quarantine.record_crash(recent, self.name, now)

    def _handle_crash(self, run: msg.RunCall, now: float) -> Effects:
        """Count a crash once, though each interrupted call reports it.

        If the target reports its start time, a lost answer alone does not
        prove a crash; the crash is counted when a later start is announced.
        """
        target = self.target_side.target
        if target is not None and target.started_ms:
            self._interrupted_requests.append((_fingerprint(run), now))
            return []
        if (
            run.call in self._crashed_calls
            and now < self._crashed_at + _CRASH_WINDOW_S
        ):
            return []
        self._crashed_calls = set(self.target_side.calls)
        self._crashed_at = now
        in_flight = [_fingerprint(run), *self._in_flight()]
        return self.quarantine.record_crash(in_flight, self.name, now)

    def _check_quarantine(self, run: msg.RunCall, now: float) -> Failure | None:
        """Return why a suspected request must not run now, or None.

        Other requests are refused too while a suspected one runs.
        """
        request = _fingerprint(run)
        if self.quarantine.is_blocked(request, now):
            return Failure(
                Reason.QUARANTINED,
                detail='the request crashed every target that ran it',
            )
        alone = self.quarantine.must_run_alone(request, now)
        if (alone and self.target_side.calls) or self._is_suspect_running(now):
            return Failure(
                Reason.OVERLOADED, detail='a suspected request runs alone'
            )
        return None

    def _is_suspect_running(self, now: float) -> bool:
        return any(
            self.quarantine.must_run_alone(request, now)
            for request in self._in_flight()
        )

    def _in_flight(self) -> list[str]:
        return [
            _fingerprint(call.run)
            for call in self.target_side.calls.values()
            if call.started_at is not None
        ]

    def _sample(
        self, event: internal_effects.TargetCallEnded, target: Target
    ) -> CallSample:
        return CallSample(
            service=target.service,
            version=target.version,
            target=target.instance,
            route=_route_of(event.run),
            succeeded=bool(event.status) and event.status < _SERVER_ERROR,
            service_us=int(event.service_s * _US_PER_S),
            # Slowness caused by other load on the host is not evidence
            # against the version.
            cold=target.phase == Phase.COLD or self.target_side.pace.is_slow,
            target_crashed=event.crashed,
        )


def _fingerprint(run: msg.RunCall) -> str:
    return fingerprint(run.method, run.path, run.body)


def _route_of(run: msg.RunCall) -> str:
    """Return the method and the first path segment of a call."""
    path = run.path.partition(b'?')[0].decode('latin-1')
    first = path.strip('/').partition('/')[0]
    method = run.method.decode('latin-1')
    return f'{method} /{first}'


def _target_changed_event(
    target: Target | None, cold_s: float, now: float
) -> log.TargetChanged:
    if target is None:
        return log.TargetChanged(now, phase='lapsed')
    return log.TargetChanged(
        now,
        target=target.instance,
        version=target.version,
        phase=target.phase,
        cold_s=0 if math.isinf(cold_s) else round(cold_s, 2),
        slots=target.slots,
    )
