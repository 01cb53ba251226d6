"""All decisions of one node, connected with each other."""

import math
import random

import attrs

from daisyline.coordination import events as log
from daisyline.coordination import internal_effects
from daisyline.coordination.calls import call_events as ev
from daisyline.coordination.calls import messages as msg
from daisyline.coordination.calls.entry import Entry
from daisyline.coordination.calls.quarantine import Quarantine
from daisyline.coordination.calls.target_side import TargetSide
from daisyline.coordination.duties.duties import Duties
from daisyline.coordination.membership.fleet import Fleet
from daisyline.coordination.memory.memory_account import MemoryAccount
from daisyline.coordination.rollouts.rollout import Rollouts
from daisyline.coordination.settings.platform_reading import (
    PlatformReadConfig,
    StoreClock,
)
from daisyline.coordination.target_crashes import (
    TargetCrashes,
    request_fingerprint,
)
from daisyline.state.failures import Failure, Reason
from daisyline.state.histograms import Latencies
from daisyline.state.members import Member
from daisyline.state.targets import Phase, Target

# A target gets no calls if it has not announced itself for this long.
TARGET_LEASE_S = 3.0
# The lease of the first announcement of a target that was started before this
# process: two of the intervals at which targets announce themselves, in seconds.
FIRST_LEASE_S = 3.0
_US_PER_MS = 1_000

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
        crashes: Crashes of the target beside this node.
        duties: The calls to the platform that one node at a time makes.
        events: The record of decisions.
        latencies: Histograms of call durations.
        memory: The bytes that this node holds for others.
        store_clock: What this node knows of the era of the platform's store.
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
    crashes: TargetCrashes
    duties: Duties
    events: log.EventLog
    latencies: Latencies
    memory: MemoryAccount = attrs.field(
        factory=lambda: MemoryAccount.from_config(None)
    )
    store_clock: StoreClock = attrs.field(factory=StoreClock)
    lease_s: float = TARGET_LEASE_S
    lease_ends_at: float = math.inf
    warm_at: float = math.inf
    is_leaving: bool = False
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
        target_side = TargetSide.from_config(
            own_member.name, own_member.zone, events, own_member.incarnation
        )
        quarantine = Quarantine.from_config(own_member.name, rng, events)
        core = cls(
            name=own_member.name,
            entry=Entry.from_config(
                own_member.name, rng, events, own_member.zone
            ),
            target_side=target_side,
            fleet=Fleet.from_config(
                own_member, cluster, peers, rng, now, read_config
            ),
            rollouts=Rollouts.from_config(own_member.name, rng, now, events),
            quarantine=quarantine,
            crashes=TargetCrashes(quarantine, own_member.name, target_side),
            duties=Duties(own_member, events),
            events=events,
            latencies=Latencies.from_config(),
            started_ms=own_member.incarnation // _US_PER_MS,
        )
        core.entry.shares_of = core.rollouts.shares
        core.entry.trial_of = core.rollouts.trial_of
        core.entry.is_suspect = core.is_suspect
        core.entry.retrial_node = core.retrial_node
        core.entry.suspected_nodes = lambda: core.fleet.suspects
        core.target_side.check_call = core.check_call
        core.duties.members = lambda: core.fleet.members
        core.duties.suspects = lambda: core.fleet.suspects
        core.duties.facts = lambda: core.fleet.facts
        core.entry.update_members(core.fleet.members.values(), (), now)
        return core

    def next_at(self) -> float:
        """Return the time of the next `tick`, in monotonic seconds."""
        return min(
            self.entry.next_at(),
            self.target_side.next_at(),
            self.fleet.next_at(),
            self.rollouts.next_at(),
            self.duties.next_at(),
            self.lease_ends_at,
            self.warm_at,
            self.target_side.registration.start_hold.next_at(),
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
            self.lease_ends_at = now + self.lease_of(target)
        return self._use_target(target, now)

    def lease_of(self, target: Target) -> float:
        """Return how long an announcement holds, in seconds.

        A target that runs since before this process may have left. Until
        other nodes have told of that, only a second announcement shows that
        the target goes on.
        """
        is_older = target.started_ms <= self.started_ms
        if is_older and not self.target_side.registration.is_confirmed:
            return min(self.lease_s, FIRST_LEASE_S)
        return self.lease_s

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
        return self.crashes.check(run, now)

    def is_suspect(self, received: ev.RequestReceived) -> bool:
        """Return whether a request was in flight when a target crashed."""
        if self.quarantine.is_empty:
            return False
        request = request_fingerprint(received)
        return self.quarantine.must_run_alone(request, received.deadline)

    def retrial_node(self, received: ev.RequestReceived) -> str:
        """Return the node that may try a blocked request again, or nothing."""
        if self.quarantine.is_empty:
            return ''
        return self.quarantine.retrial_node(request_fingerprint(received))

    def record_observation(
        self, event: internal_effects.TargetCallEnded, now: float
    ) -> Effects:
        """Pass the end of a call at the target to quarantine and rollouts."""
        target = self.target_side.target
        effects: Effects = []
        effects += self.crashes.record_end(event, now)
        if target is not None:
            # Slowness caused by other load on the host is not evidence
            # against the version.
            is_slow = self.target_side.pace.is_slow
            self.rollouts.record_call(event.sample(target, is_slow), now)
        return effects

    def _use_target(self, target: Target | None, now: float) -> Effects:
        previous = self.target_side.target
        if target == previous:
            return []
        self.events.add(_target_changed_event(target, self.warm_at - now, now))
        effects: Effects = []
        if previous is not None and (
            target is None or target.incarnation != previous.incarnation
        ):
            effects += self.crashes.record_silence(now)
        return [
            *effects,
            internal_effects.TargetChanged(target),
            *self.target_side.use_target(target, now),
            *self.fleet.set_target(target, now),
        ]


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
