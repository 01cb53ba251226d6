"""One node's view of the fleet: members, settings and facts."""

import functools
import random
from collections.abc import Mapping
from typing import Any

import attrs

from daisyline.coordination.departures.departure_record import DepartureRecord
from daisyline.coordination.effects import PlatformReply
from daisyline.coordination.membership.fleet_events import (
    GossipMessageReceived,
    MembersChanged,
    NodeUnreachable,
    StoreReturned,
    StreamLost,
)
from daisyline.coordination.membership.gossip import Gossip
from daisyline.coordination.membership.gossip_handlers import receive
from daisyline.coordination.membership.gossip_records import (
    FactRecord,
    MemberRecord,
    MemberState,
)
from daisyline.coordination.membership.join_progress import (
    Exchange,
    JoinProgress,
)
from daisyline.coordination.membership.outbox import compact, update_messages
from daisyline.coordination.membership.seeds import SeedDiscovery
from daisyline.coordination.settings.platform_reading import (
    PlatformReadConfig,
    apply_read_result,
)
from daisyline.state.facts import Fact
from daisyline.state.members import Member
from daisyline.state.orders import Orders
from daisyline.state.settings import Settings
from daisyline.state.targets import Target

PAUSE_THRESHOLD_S = 1.0
_US_PER_MS = 1000


@attrs.define
class Fleet:
    """Discovers members, detects failures, and spreads settings and facts.

    Methods take events and the time in monotonic seconds, and return effects.
    The caller must call `tick` no later than the time that `next_at` returns.

    Attributes:
        cluster: The name of the cluster.
        departures: What the platform stores of targets beside this node.
    """

    cluster: str
    departures: DepartureRecord
    _gossip: Gossip
    _seed_discovery: SeedDiscovery
    _read_config: PlatformReadConfig = attrs.field(factory=PlatformReadConfig)
    _last_call_at: float = 0
    _has_left: bool = False
    _join_progress: JoinProgress = attrs.field(factory=JoinProgress)

    @classmethod
    def from_config(
        cls,
        own_member: Member,
        cluster: str,
        peers: tuple[tuple[str, int], ...],
        rng: random.Random,
        now: float,
        read_config: PlatformReadConfig | None = None,
    ) -> 'Fleet':
        """Create the view of a node that has just started.

        Args:
            own_member: The node's own member entry.
            cluster: The cluster's name.
            peers: Addresses of other nodes to contact first.
            rng: The source of random numbers.
            now: Monotonic seconds.
            read_config: What is read from the platform.
        """
        read_config = read_config or PlatformReadConfig()
        gossip = Gossip.from_member(
            own_member, cluster, rng, now, read_config.kinds
        )
        seed_discovery = SeedDiscovery(own_member, peers, rng, now)
        return cls(
            cluster=cluster,
            departures=DepartureRecord(
                own_member.name,
                rng,
                now,
                own_member.incarnation // _US_PER_MS,
                is_enabled=read_config.keeps_departures,
            ),
            gossip=gossip,
            seed_discovery=seed_discovery,
            read_config=read_config,
        )

    @property
    def own_member(self) -> Member:
        """Return this node's own member entry."""
        return self._gossip.members.own_member

    @property
    def members(self) -> Mapping[str, Member]:
        """Return the live members by name, this node included."""
        return self._gossip.members.live

    @property
    def suspects(self) -> Mapping[str, float]:
        """Return the suspected members with their times of removal."""
        return self._gossip.members.suspects

    @property
    def settings(self) -> Settings:
        """Return the settings in force on this node."""
        return self._gossip.settings.in_force

    @property
    def facts(self) -> Mapping[tuple[str, str], Fact]:
        """Return the facts by kind and name."""
        return self._gossip.fact_store.facts

    def settings_age_s(self, now: float) -> float:
        """Return the time since a read of the platform confirmed them."""
        return self._gossip.reader_role.lease.age_s(now)

    @property
    def settings_versions(self) -> Mapping[str, int]:
        """Return the settings version known of each live member, by name."""
        known = self._gossip.settings.versions
        versions = {name: known.get(name, 0) for name in self.members}
        versions[self.own_member.name] = self._gossip.settings.version
        return versions

    def next_at(self) -> float:
        """Return when `tick` must be called next; infinity after `leave`."""
        if self._has_left:
            return float('inf')
        return min(
            self._gossip.next_at(),
            self._gossip.reader_role.next_at(),
            self._seed_discovery.next_at(),
            self.departures.next_at(),
        )

    def tick(self, now: float) -> list[Any]:
        """Return the effects that are due."""
        if self._has_left:
            return []
        self._detect_pause(now)
        effects = self._gossip.tick(now)
        member_count = len(self.members)
        effects.extend(self._gossip.reader_role.tick(member_count, now))
        addresses, writes = self._seed_discovery.tick(
            self.members.values(), now
        )
        effects.extend(writes)
        effects.extend(
            self._gossip.join_request(*address) for address in addresses
        )
        effects.extend(self.departures.tick(now))
        effects.extend(_collect_changes(self._gossip, now))
        assert self.next_at() > now, 'tick left overdue work'
        return effects

    def set_target(self, target: Target | None, now: float) -> list[Any]:
        """Set the target beside this node, and broadcast a change of it."""
        if target == self.own_member.target:
            return []
        record = self._gossip.members.update_own_member(target=target)
        self._gossip.broadcast(record, '', now)
        return _collect_changes(self._gossip, now)

    def put_fact(
        self, fact: Fact, now: float, *, is_urgent: bool = False
    ) -> list[Any]:
        """Store a fact and broadcast it, unless it is known already.

        Args:
            fact: The fact.
            now: Monotonic seconds.
            is_urgent: Whether to send it at once, with all that is queued.
        """
        record = FactRecord(fact, fact.ttl_ms)
        return self._gossip.put_fact(record, now, is_urgent=is_urgent)

    def apply_orders(self, now: float) -> list[Any]:
        """Apply the orders among the facts to the settings in force."""
        return self._gossip.settings.apply_orders(Orders.from_facts(self.facts))

    def leave(self, now: float) -> list[Any]:
        """Notify the neighbours that this node stops, and stop taking part."""
        self._has_left = True
        record = MemberRecord(self.own_member, MemberState.LEFT)
        return [
            effect
            for name in self._gossip.members.overlay.recipients()
            for effect in update_messages(name, (compact(record),))
        ]

    @functools.singledispatchmethod
    def handle(self, event: Any, now: float) -> list[Any]:
        """Handle an event; unknown types have no effect."""
        return []

    @handle.register
    def _on_message(
        self, event: GossipMessageReceived, now: float
    ) -> list[Any]:
        if self._has_left:
            return []
        self._detect_pause(now)
        effects = receive(event.message, self._gossip, event.node, now)
        sender, root = self.members.get(event.node), self._gossip.digest.root
        exchange = Exchange(event.message, sender, root, effects)
        effects += self._join_progress.record(exchange)
        return effects + _collect_changes(self._gossip, now)

    @handle.register
    def _on_platform_reply(self, event: PlatformReply, now: float) -> list[Any]:
        gossip = self._gossip
        effects: list[Any] = self.departures.handle(event, now)
        result = gossip.reader_role.handle_reply(event, now)
        if result is not None:
            effects.extend(
                apply_read_result(result, gossip, self._read_config, now)
            )
        live = self.members.values()
        for address in self._seed_discovery.handle_reply(event, live, now):
            effects.append(gossip.join_request(*address))
        return effects + _collect_changes(self._gossip, now)

    @handle.register
    def _on_store_returned(self, event: StoreReturned, now: float) -> list[Any]:
        self._gossip.reader_role.restart(now)
        self._seed_discovery.handle_return(self.members.values(), now)
        return self.departures.handle_return(now)

    @handle.register(StreamLost)
    @handle.register(NodeUnreachable)
    def _on_unreachable(
        self, event: StreamLost | NodeUnreachable, now: float
    ) -> list[Any]:
        return self._gossip.detector.probe(event.node, now)

    def _detect_pause(self, now: float) -> None:
        """Detect a pause of this process; each pause counts once.

        A call that comes more than `PAUSE_THRESHOLD_S` after both the time due
        and the previous call means that the process didn't run in between.
        """
        late_s = now - max(self.next_at(), self._last_call_at)
        self._last_call_at = now
        if late_s > PAUSE_THRESHOLD_S:
            self._gossip.handle_pause(late_s, now)


def _collect_changes(gossip: Gossip, now: float) -> list[Any]:
    """Return the effects of changes of members and of platform reads.

    A change of whether the platform is readable for this node is broadcast
    in its own member entry.
    """
    if (
        gossip.reader_role.is_platform_unreadable
        != gossip.members.own_member.platform_unreadable
    ):
        unreadable = gossip.reader_role.is_platform_unreadable
        gossip.broadcast(
            gossip.members.update_own_member(platform_unreadable=unreadable),
            '',
            now,
        )
    changed, removed = gossip.members.take_changes()
    effects: list[Any] = list(gossip.reader_role.take_changes())
    for name in removed:
        effects.extend(gossip.forget_member(name, now))
    if changed or removed:
        gossip.reader_role.update_role(
            gossip.members.live, changed, removed, now
        )
        effects.append(MembersChanged(changed, removed))
    gossip.holders.restart_if_changed(now)
    return effects
