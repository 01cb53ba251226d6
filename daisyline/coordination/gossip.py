"""What a node knows of the fleet, and how it passes news on."""

import functools
import random
from collections.abc import Iterable, Sequence
from typing import Any

import attrs

from daisyline.coordination.digest import Digest, bucket_of
from daisyline.coordination.effects import Send
from daisyline.coordination.fact_store import FactStore
from daisyline.coordination.failure_detector import FailureDetector
from daisyline.coordination.fleet_events import FactChanged, SendTo
from daisyline.coordination.gossip_messages import (
    Buckets,
    GossipPing,
    Join,
    Rumours,
)
from daisyline.coordination.gossip_records import (
    FactRecord,
    MemberRecord,
    Standing,
    Summary,
)
from daisyline.coordination.jitter import jittered
from daisyline.coordination.membership import Membership, Merge
from daisyline.coordination.readers import Readers
from daisyline.coordination.spread import START_WAIT_S, SettingsSpread
from daisyline.state.members import Member

BULK_COUNT = 16
CHUNK_COUNT = 64
QUIET_S = 0.2
COMPARE_PAUSE_S = 1.0
TRUST_S = 5.0
NUDGE_S = 0.3
RETRY_S_PER_MEMBER = 0.5
RETRY_MIN_S = 1.0
_NEVER = float('inf')


def _summary(
    digest: Digest, settings: SettingsSpread, readers: Readers
) -> Summary:
    return Summary(digest.root, settings.version, readers.confirmed)


@attrs.define
class Gossip:
    """The parts of a node's view of the fleet, and the spread of news.

    Few pieces of news are pushed to the neighbours on the overlay at once.
    Many at a time aren't: the neighbours are pinged, see by the summary that
    they differ, and fetch what they lack.
    """

    cluster: str
    members: Membership
    facts: FactStore
    settings: SettingsSpread
    readers: Readers
    detector: FailureDetector
    digest: Digest
    rng: random.Random
    _retry_at: float
    _changed_at: float = 0
    _nudge_at: float = _NEVER
    _doubt_until: float = 0
    _compared: dict[str, float] = attrs.field(factory=dict)
    _trusted: dict[str, float] = attrs.field(factory=dict)

    @classmethod
    def from_member(
        cls, me: Member, cluster: str, rng: random.Random, now: float
    ) -> 'Gossip':
        """Make the view of a node that has just started."""
        digest = Digest()
        members = Membership.from_member(me, digest)
        settings = SettingsSpread(start_until=now + START_WAIT_S)
        readers = Readers(me.region, me.name, rng, now, now)
        summary = functools.partial(_summary, digest, settings, readers)
        return cls(
            cluster=cluster,
            members=members,
            facts=FactStore(digest),
            settings=settings,
            readers=readers,
            detector=FailureDetector(members, rng, now, summary),
            digest=digest,
            rng=rng,
            retry_at=now + RETRY_MIN_S,
        )

    def next_at(self) -> float:
        """Return when `tick` must be called next."""
        return min(
            self.members.next_at(),
            self.facts.next_at(),
            self.detector.next_at(),
            self.settings.next_at(),
            self._nudge_at,
            self._retry_at,
        )

    def summary(self) -> Summary:
        """Return what this node holds, in short."""
        return _summary(self.digest, self.settings, self.readers)

    def weight(self, now: float) -> int:
        """Return how many live members this node vouches for."""
        return 0 if now < self._doubt_until else len(self.members.live)

    def names_in(self, buckets: Iterable[int]) -> list[str]:
        """Return the live members in some buckets."""
        wanted = set(buckets)
        return [name for name in self.members.live if bucket_of(name) in wanted]

    def weigh(self, node: str, weight: int, now: float) -> None:
        """Trust a peer for a while if it sees more of the fleet."""
        if weight > self.weight(now):
            self._trusted[node] = now + TRUST_S

    def trusts(self, node: str, now: float) -> bool:
        """Return whether a peer's view goes before this node's tombstones."""
        return self._trusted.get(node, 0) > now

    def paused(self, seconds: float, now: float) -> None:
        """Note that this node was paused, so that its view may be old."""
        self._doubt_until = now + TRUST_S
        self.members.postpone(seconds)
        self.detector.forget(now)

    def contact(self, host: str, port: int) -> SendTo:
        """Ask the node at an address to take this one in."""
        record = MemberRecord(self.members.me)
        return SendTo(host, port, Join(self.cluster, record, self.summary()))

    def merge(self, node: str, message: Rumours, now: float) -> list[Any]:
        """Merge news from a peer and pass on what is new."""
        records, effects = self._merge_records(node, message.records, now)
        facts = [fact for fact in message.facts if self.facts.merge(fact, now)]
        effects.extend(FactChanged(news.fact) for news in facts)
        effects.extend(self.push(records, facts, node, now))
        return effects

    def push(
        self,
        records: Sequence[MemberRecord],
        facts: Sequence[FactRecord],
        origin: str,
        now: float,
    ) -> list[Any]:
        """Pass news on to the neighbours, but for the one it came from."""
        if not records and not facts:
            return []
        self._changed_at = now
        if len(records) + len(facts) > BULK_COUNT:
            self._nudge_at = min(self._nudge_at, now + NUDGE_S)
            return []
        receivers = dict.fromkeys(self.members.overlay.neighbours())
        receivers.update(
            (record.member.name, None)
            for record in records
            if record.standing is Standing.SUSPECT
        )
        receivers.pop(origin, None)
        message = Rumours(tuple(records), tuple(facts))
        return [Send(name, message) for name in receivers]

    def suspect(self, names: Iterable[str], now: float) -> list[Any]:
        """Suspect members and tell the neighbours."""
        found = (self.members.suspect(name, now) for name in names)
        return self.push([record for record in found if record], (), '', now)

    def compare(self, node: str, root: int, now: float) -> list[Any]:
        """Open a comparison with a peer that holds something else."""
        if root == self.digest.root or now < self._changed_at + QUIET_S:
            return []
        if now < self._compared.get(node, -_NEVER) + COMPARE_PAUSE_S:
            return []
        self._compared[node] = now
        return [Send(node, Buckets(self.weight(now), self.digest.hashes))]

    def tick(self, now: float) -> list[Any]:
        """Do what is due."""
        self.members.expire(now)
        self.facts.expire(now)
        effects, suspected = self.detector.tick(now)
        effects.extend(self.suspect(suspected, now))
        effects.extend(self.settings.tick(self.members.live, now))
        if now >= self._nudge_at:
            self._nudge_at = _NEVER
            ping = GossipPing(0, self.summary())
            neighbours = self.members.overlay.neighbours()
            effects.extend(Send(name, ping) for name in neighbours)
        if now >= self._retry_at:
            effects.extend(self._retry_removed(now))
        return effects

    def forget(self, name: str, now: float) -> list[Any]:
        """Drop what is kept of a member that was removed."""
        self._compared.pop(name, None)
        self._trusted.pop(name, None)
        return self.settings.forget(name, now)

    def _merge_records(
        self, node: str, records: Iterable[MemberRecord], now: float
    ) -> tuple[list[MemberRecord], list[Any]]:
        """Merge records; return what is news, and answers to the rest."""
        trusted = self.trusts(node, now)
        sorted_out: dict[Merge, list[MemberRecord]] = {
            result: [] for result in Merge
        }
        for record in records:
            result = self.members.merge(record, now, trusted=trusted)
            sorted_out[result].append(record)
        effects: list[Any] = []
        if sorted_out[Merge.REFUTED]:
            own = MemberRecord(self.members.me)
            effects.extend(self.push((own,), (), '', now))
        tombstones = [
            self.members.tombstones[disputed.member.name].record
            for disputed in sorted_out[Merge.DISPUTED]
        ]
        effects.extend(chunks(node, tombstones, ()))
        return sorted_out[Merge.NEWS], effects

    def _retry_removed(self, now: float) -> list[Any]:
        """Contact one removed member, in case it was only cut off."""
        pause = len(self.members.live) * RETRY_S_PER_MEMBER
        self._retry_at = now + jittered(self.rng, max(RETRY_MIN_S, pause))
        failed = [
            tombstone.record.member
            for tombstone in self.members.tombstones.values()
            if tombstone.record.standing is Standing.SUSPECT
        ]
        if not failed:
            return []
        member = self.rng.choice(failed)
        return [self.contact(member.host, member.port)]


def chunks(
    node: str,
    records: Sequence[MemberRecord],
    facts: Sequence[FactRecord],
) -> list[Send]:
    """Return records and facts as messages of bounded length to one peer."""
    longest = max(len(records), len(facts))
    return [
        Send(
            node,
            Rumours(
                tuple(records[start : start + CHUNK_COUNT]),
                tuple(facts[start : start + CHUNK_COUNT]),
            ),
        )
        for start in range(0, longest, CHUNK_COUNT)
    ]
