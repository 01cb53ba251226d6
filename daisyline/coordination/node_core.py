"""The decisions of one node, joined."""

import math
import random
from collections import deque
from typing import Any

import attrs

from daisyline.coordination import call_events as ev
from daisyline.coordination import events as log
from daisyline.coordination import inward
from daisyline.coordination import messages as msg
from daisyline.coordination.entry import Entry
from daisyline.coordination.fleet import Fleet
from daisyline.coordination.owner import Owner
from daisyline.coordination.platform_reading import PlatformReadConfig
from daisyline.coordination.quarantine import Quarantine, fingerprint
from daisyline.coordination.rollout import Rollouts
from daisyline.state.failures import Failure, Reason
from daisyline.state.histograms import Latencies
from daisyline.state.members import Member
from daisyline.state.rollout_state import CallSample
from daisyline.state.targets import Phase, Target

# A target that has not announced itself for this long is not routed to.
TARGET_LEASE_S = 3.0
# The connections of a target that crashed are all found closed within this.
_ONE_CRASH_S = 1.0
# A target that crashed has started again within this time.
_RESTART_S = 10.0
# Requests that are remembered until it has: more than one target runs.
_CUT_REQUESTS = 64
_US_PER_S = 1_000_000
_SERVER_ERROR = 500

Effects = list[Any]


@attrs.define
class NodeCore:
    """The decisions of one node, and the messages they pass to each other."""

    name: str
    entry: Entry
    owner: Owner
    fleet: Fleet
    rollouts: Rollouts
    quarantine: Quarantine
    events: log.EventLog
    latencies: Latencies
    lease_s: float = TARGET_LEASE_S
    lease_ends: float = math.inf
    warm_at: float = math.inf
    is_leaving: bool = False
    _cut_requests: deque[tuple[str, float]] = attrs.field(
        factory=lambda: deque(maxlen=_CUT_REQUESTS)
    )
    _cut: set[str] = attrs.field(factory=set)
    _cut_at: float = -math.inf

    @classmethod
    def from_config(
        cls,
        me: Member,
        cluster: str,
        peers: tuple[tuple[str, int], ...],
        rng: random.Random,
        now: float,
        read_config: PlatformReadConfig | None = None,
    ) -> 'NodeCore':
        """Build the decisions of a node that has just started."""
        events = log.EventLog.from_config()
        core = cls(
            name=me.name,
            entry=Entry.from_config(me.name, rng, events, me.zone),
            owner=Owner.from_config(me.name, me.zone, events),
            fleet=Fleet.from_config(me, cluster, peers, rng, now, read_config),
            rollouts=Rollouts.from_config(me.name, rng, now, events),
            quarantine=Quarantine.from_config(me.name, rng, events),
            events=events,
            latencies=Latencies.from_config(),
        )
        core.entry.shares = core.rollouts.shares
        core.entry.on_trial = core.rollouts.on_trial
        core.entry.suspects = core.suspects
        core.entry.doubted = lambda: core.fleet.suspects
        core.owner.screen = core.screen
        core.entry.table.use_members(core.fleet.members.values(), now)
        return core

    def next_at(self) -> float:
        """Return when `tick` has something to do, in monotonic seconds."""
        return min(
            self.entry.next_at(),
            self.owner.next_at(),
            self.fleet.next_at(),
            self.rollouts.next_at(),
            self.lease_ends,
            self.warm_at,
        )

    @property
    def is_ready(self) -> bool:
        """Return whether callers can be served."""
        return self.fleet.settings.version > 0 and not self.is_leaving

    def announced(
        self, target: Target | None, now: float, cold_s: float = 0
    ) -> Effects:
        """Follow what the target beside this node says of itself.

        Args:
            target: The target; None if it has lapsed.
            now: Monotonic seconds.
            cold_s: For how long it says that it stays cold, in seconds.
        """
        self.warm_at = now + cold_s if cold_s else math.inf
        if target is not None:
            self.lease_ends = now + self.lease_s
        return self._use_target(target, now)

    def warmed(self, now: float) -> Effects:
        """Take the target for warm, as the time that it named is over."""
        self.warm_at = math.inf
        target = self.owner.target
        if target is None or target.phase != Phase.COLD:
            return []
        return self._use_target(attrs.evolve(target, phase=Phase.READY), now)

    def screen(self, run: msg.Run, now: float) -> Failure | None:
        """Return why a call must not reach this node's target, if so."""
        target = self.owner.target
        if target is not None:
            if self.rollouts.stopped(target.service, target.version):
                return Failure(Reason.VERSION_STOPPED, detail=target.version)
        return None if self.quarantine.is_empty else self._quarantined(run, now)

    def suspects(self, arrived: ev.Arrived) -> bool:
        """Return whether a call's request was in flight at a crash."""
        if self.quarantine.is_empty:
            return False
        request = fingerprint(arrived.method, arrived.path, arrived.body)
        return self.quarantine.must_run_alone(request, arrived.deadline)

    def observed(self, event: inward.Observed, now: float) -> Effects:
        """Learn from a call that has ended at the target."""
        target = self.owner.target
        effects: Effects = []
        if event.crashed:
            effects += self._crashed(event.run, now)
        elif event.status and not self.quarantine.is_empty:
            request = _fingerprint(event.run)
            effects += self.quarantine.succeeded(request, now)
        if target is not None:
            self.rollouts.observe(self._sample(event, target), now)
        return effects

    def _use_target(self, target: Target | None, now: float) -> Effects:
        known = self.owner.target
        if target == known:
            return []
        self.events.add(_target_event(target, self.warm_at - now, now))
        effects: Effects = []
        if target is not None and known is not None:
            if target.incarnation != known.incarnation:
                effects += self._started_anew(now)
        return [
            *effects,
            inward.TargetChanged(target),
            *self.owner.use_target(target, now),
            *self.fleet.announce(target, now),
        ]

    def _started_anew(self, now: float) -> Effects:
        """Count a crash, if calls were cut shortly before the new start."""
        lately = [
            request
            for request, at in self._cut_requests
            if at > now - _RESTART_S
        ]
        self._cut_requests.clear()
        if not lately:
            return []
        return self.quarantine.crashed(lately, self.name, now)

    def _crashed(self, run: msg.Run, now: float) -> Effects:
        """Count a crash once: each of the calls that it cut tells of it.

        A lost answer alone is no proof of a crash if the target tells when it
        was started, as its next start will.
        """
        target = self.owner.target
        if target is not None and target.started_ms:
            self._cut_requests.append((_fingerprint(run), now))
            return []
        if run.call in self._cut and now < self._cut_at + _ONE_CRASH_S:
            return []
        self._cut = set(self.owner.jobs)
        self._cut_at = now
        in_flight = [_fingerprint(run), *self._in_flight()]
        return self.quarantine.crashed(in_flight, self.name, now)

    def _quarantined(self, run: msg.Run, now: float) -> Failure | None:
        """Return why a suspect must not run, or not beside others."""
        request = _fingerprint(run)
        if self.quarantine.blocked(request, now):
            return Failure(
                Reason.QUARANTINED, detail='it crashed each target it met'
            )
        alone = self.quarantine.must_run_alone(request, now)
        if (alone and self.owner.jobs) or self._runs_suspect(now):
            return Failure(Reason.OVERLOADED, detail='a suspect runs alone')
        return None

    def _runs_suspect(self, now: float) -> bool:
        return any(
            self.quarantine.must_run_alone(request, now)
            for request in self._in_flight()
        )

    def _in_flight(self) -> list[str]:
        return [
            _fingerprint(job.run)
            for job in self.owner.jobs.values()
            if job.started_at is not None
        ]

    def _sample(self, event: inward.Observed, target: Target) -> CallSample:
        return CallSample(
            service=target.service,
            version=target.version,
            target=target.instance,
            route=_route_of(event.run),
            succeeded=bool(event.status) and event.status < _SERVER_ERROR,
            service_us=int(event.service_s * _US_PER_S),
            # A neighbour that slows the host says nothing of the version.
            cold=target.phase == Phase.COLD or self.owner.pace.is_slow,
            target_crashed=event.crashed,
        )


def _fingerprint(run: msg.Run) -> str:
    return fingerprint(run.method, run.path, run.body)


def _route_of(run: msg.Run) -> str:
    """Return the method and the first part of the path of a call."""
    path = run.path.partition(b'?')[0].decode('latin-1')
    first = path.strip('/').partition('/')[0]
    method = run.method.decode('latin-1')
    return f'{method} /{first}'


def _target_event(
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
