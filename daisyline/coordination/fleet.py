"""One node's view of the fleet: members, settings and facts."""

import functools
import random
from collections.abc import Mapping
from typing import Any

import attrs

from daisyline.coordination.effects import PlatformReply
from daisyline.coordination.fleet_events import (
    FromPeer,
    MembersChanged,
    NodeUnreachable,
    StreamLost,
)
from daisyline.coordination.gossip import Gossip
from daisyline.coordination.gossip_handlers import receive
from daisyline.coordination.gossip_records import (
    FactRecord,
    MemberRecord,
    Standing,
)
from daisyline.coordination.outbox import messages_to, shortened
from daisyline.coordination.platform_reading import (
    PlatformReadConfig,
    apply_read_result,
)
from daisyline.coordination.seeds import SeedDiscovery
from daisyline.state.facts import Fact
from daisyline.state.members import Member
from daisyline.state.orders import Orders
from daisyline.state.settings import Settings
from daisyline.state.targets import Target

PAUSE_NOTED_S = 1.0


@attrs.define
class Fleet:
    """Find members, notice failures, and spread settings and facts.

    Events and the time go in, effects come out; `tick` must be called at
    `next_at`.
    """

    _gossip: Gossip
    _seed_discovery: SeedDiscovery
    _read_config: PlatformReadConfig = attrs.field(factory=PlatformReadConfig)
    _called_at: float = 0
    _has_left: bool = False

    @classmethod
    def from_config(
        cls,
        me: Member,
        cluster: str,
        peers: tuple[tuple[str, int], ...],
        rng: random.Random,
        now: float,
        read_config: PlatformReadConfig | None = None,
    ) -> 'Fleet':
        """Make the view of a node that has just started.

        Args:
            me: The node itself.
            cluster: The cluster's name.
            peers: Addresses of other nodes that may be tried first.
            rng: Where random numbers come from.
            now: The time in seconds.
            read_config: What is read of the platform.
        """
        read_config = read_config or PlatformReadConfig()
        gossip = Gossip.from_member(me, cluster, rng, now, read_config.kinds)
        seed_discovery = SeedDiscovery(me, peers, rng, now)
        return cls(
            gossip=gossip,
            seed_discovery=seed_discovery,
            read_config=read_config,
        )

    @property
    def me(self) -> Member:
        """Return this node's own record."""
        return self._gossip.members.me

    @property
    def cluster(self) -> str:
        """Return the name of the cluster."""
        return self._gossip.cluster

    @property
    def members(self) -> Mapping[str, Member]:
        """Return the live members by name, this node included."""
        return self._gossip.members.live

    @property
    def suspects(self) -> Mapping[str, float]:
        """Return the members that may have failed, best avoided."""
        return self._gossip.members.suspects

    @property
    def settings(self) -> Settings:
        """Return the settings in force on this node."""
        return self._gossip.settings.served

    @property
    def facts(self) -> Mapping[tuple[str, str], Fact]:
        """Return the facts by kind and name."""
        return self._gossip.facts.held

    @property
    def settings_versions(self) -> Mapping[str, int]:
        """Return the version that each live member is known to hold."""
        known = self._gossip.settings.versions
        versions = {name: known.get(name, 0) for name in self.members}
        versions[self.me.name] = self._gossip.settings.version
        return versions

    def next_at(self) -> float:
        """Return when `tick` must be called next."""
        if self._has_left:
            return float('inf')
        return min(
            self._gossip.next_at(),
            self._gossip.reader_role.next_at(),
            self._seed_discovery.next_at(),
        )

    def tick(self, now: float) -> list[Any]:
        """Do what is due."""
        if self._has_left:
            return []
        self._note_pause(now)
        effects = self._gossip.tick(now)
        count = len(self.members)
        effects.extend(self._gossip.reader_role.tick(count, now))
        contacts, writes = self._seed_discovery.tick(self.members.values(), now)
        effects.extend(writes)
        effects.extend(self._gossip.contact(*address) for address in contacts)
        effects.extend(self._report(now))
        assert self.next_at() > now, 'a tick has left something due'
        return effects

    def announce(self, target: Target | None, now: float) -> list[Any]:
        """Tell the fleet of the target beside this node, if it is news."""
        if target == self.me.target:
            return []
        record = self._gossip.members.renew(target=target)
        self._gossip.tell(record, '', now)
        return self._report(now)

    def put_fact(self, fact: Fact, now: float) -> list[Any]:
        """Hold a fact and spread it, if it is news."""
        return self._gossip.put_fact(FactRecord(fact, fact.ttl_ms), now)

    def follow_orders(self, now: float) -> list[Any]:
        """Put the orders among the facts in force."""
        return self._gossip.settings.follow(Orders.from_facts(self.facts))

    def leave(self, now: float) -> list[Any]:
        """Tell the fleet that this node stops; it takes no part any more."""
        self._has_left = True
        record = MemberRecord(self.me, Standing.LEFT)
        return [
            effect
            for name in self._gossip.members.overlay.neighbours()
            for effect in messages_to(name, (shortened(record),))
        ]

    @functools.singledispatchmethod
    def handle(self, event: Any, now: float) -> list[Any]:
        """Take an event; one that isn't known has no effect."""
        return []

    @handle.register
    def _on_message(self, event: FromPeer, now: float) -> list[Any]:
        if self._has_left:
            return []
        self._note_pause(now)
        effects = receive(event.message, self._gossip, event.node, now)
        return effects + self._report(now)

    @handle.register
    def _on_platform_reply(self, event: PlatformReply, now: float) -> list[Any]:
        gossip = self._gossip
        effects: list[Any] = []
        result = gossip.reader_role.handle_reply(event, len(self.members), now)
        if result is not None:
            effects.extend(
                apply_read_result(result, gossip, self._read_config, now)
            )
        live = self.members.values()
        for address in self._seed_discovery.handle_reply(event, live, now):
            effects.append(gossip.contact(*address))
        return effects + self._report(now)

    @handle.register(StreamLost)
    @handle.register(NodeUnreachable)
    def _on_unreachable(
        self, event: StreamLost | NodeUnreachable, now: float
    ) -> list[Any]:
        return self._gossip.detector.probe(event.node, now)

    def _note_pause(self, now: float) -> None:
        """Notice that the process was paused; each pause counts once."""
        late = now - max(self.next_at(), self._called_at)
        self._called_at = now
        if late > PAUSE_NOTED_S:
            self._gossip.paused(late, now)

    def _report(self, now: float) -> list[Any]:
        """Return what changed among the members, and what follows from it."""
        gossip = self._gossip
        if (
            gossip.reader_role.is_platform_unreadable
            != self.me.platform_unreadable
        ):
            lost = gossip.reader_role.is_platform_unreadable
            gossip.tell(gossip.members.renew(platform_unreadable=lost), '', now)
        changed, removed = gossip.members.take_changes()
        effects: list[Any] = list(gossip.reader_role.take_changes())
        for name in removed:
            effects.extend(gossip.forget(name, now))
        if changed or removed:
            gossip.reader_role.update_role(self.members.values(), now)
            effects.append(MembersChanged(changed, removed))
        gossip.holders.watch(now)
        return effects
