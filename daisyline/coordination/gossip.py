"""What a node knows of the fleet, and how it passes news on."""

import functools
import random
from collections.abc import Iterable
from typing import Any

import attrs

from daisyline.coordination.digest import Digest, bucket_of
from daisyline.coordination.effects import Send
from daisyline.coordination.fact_events import FactChanged
from daisyline.coordination.fact_store import FactStore
from daisyline.coordination.failure_detector import FailureDetector
from daisyline.coordination.fleet_events import SendTo
from daisyline.coordination.gossip_messages import (
    Buckets,
    GossipPing,
    Join,
    RecordsWanted,
    Rumours,
)
from daisyline.coordination.gossip_records import (
    FactRecord,
    MemberRecord,
    Notice,
    Standing,
    Summary,
)
from daisyline.coordination.holders import HolderTally
from daisyline.coordination.jitter import jittered
from daisyline.coordination.membership import Membership, Merge
from daisyline.coordination.outbox import Outbox, messages_to, shortened
from daisyline.coordination.reader_role import SETTINGS_KIND, ReaderRole
from daisyline.coordination.spread import START_WAIT_S, SettingsSpread
from daisyline.state.members import Member

QUIET_S = 0.4
COMPARE_PAUSE_S = 1.0
TRUST_S = 5.0
NUDGE_S = 0.5
RETRY_S_PER_MEMBER = 0.5
RETRY_MIN_S = 1.0
# A node that has left is likely to be back at its address within this time.
RETURN_S = 60.0
_NEVER = float('inf')


def _summary(
    digest: Digest, settings: SettingsSpread, reader_role: ReaderRole
) -> Summary:
    return Summary(
        digest.root, settings.version, reader_role.platform_confirmations
    )


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
    reader_role: ReaderRole
    detector: FailureDetector
    holders: HolderTally
    digest: Digest
    outbox: Outbox
    rng: random.Random
    _retry_at: float
    _changed_at: float = 0
    _nudge_at: float = _NEVER
    _doubt_until: float = 0
    _compared: dict[str, float] = attrs.field(factory=dict)
    _trusted: dict[str, float] = attrs.field(factory=dict)

    @classmethod
    def from_member(
        cls,
        me: Member,
        cluster: str,
        rng: random.Random,
        now: float,
        kinds: tuple[str, ...] = (SETTINGS_KIND,),
    ) -> 'Gossip':
        """Make the view of a node that has just started.

        Args:
            me: The node itself.
            cluster: The cluster's name.
            rng: Where random numbers come from.
            now: The time in seconds.
            kinds: The kinds of the platform's objects that are followed.
        """
        digest = Digest()
        members = Membership.from_member(me, digest)
        settings = SettingsSpread(start_until=now + START_WAIT_S)
        reader_role = ReaderRole.from_kinds(me, kinds, rng, now)
        summary = functools.partial(_summary, digest, settings, reader_role)
        return cls(
            cluster=cluster,
            members=members,
            facts=FactStore(digest),
            settings=settings,
            reader_role=reader_role,
            detector=FailureDetector(members, rng, now, summary),
            holders=HolderTally(members, settings, rng),
            digest=digest,
            outbox=Outbox(rng),
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
            self.holders.next_at(),
            self.outbox.next_at(),
            self._nudge_at,
            self._retry_at,
        )

    def summary(self) -> Summary:
        """Return what this node holds, in short."""
        return _summary(self.digest, self.settings, self.reader_role)

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
        effects: list[Any] = []
        for record in message.facts:
            if self.facts.merge(record, now):
                self.tell(record, node, now)
                effects.append(FactChanged(record.fact))
            else:
                self.outbox.heard_again(record, node)
        full, wanted = self._complete(message.notices)
        effects.extend(self._merge_records(node, message.records, now))
        effects.extend(self._merge_records(node, full, now))
        if wanted:
            effects.append(Send(node, RecordsWanted(wanted)))
        return effects

    def tell(
        self, news: MemberRecord | FactRecord, origin: str, now: float
    ) -> None:
        """Pass a piece of news on, but not to the node it came from."""
        self._changed_at = now
        self.outbox.put(news, origin, now)

    def put_fact(self, record: FactRecord, now: float) -> list[Any]:
        """Hold a fact and spread it, if it is news."""
        if not self.facts.merge(record, now):
            return []
        self.tell(record, '', now)
        return [FactChanged(record.fact)]

    def suspect(self, names: Iterable[str], now: float) -> None:
        """Suspect members and tell the neighbours."""
        for name in names:
            record = self.members.suspect(name, now)
            if record:
                self.tell(record, '', now)

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
        if self.members.expire(now):
            self._changed_at = now
        self.facts.expire(now)
        effects, suspected = self.detector.tick(now)
        self.suspect(suspected, now)
        effects.extend(self.settings.tick(self.members.live, now))
        effects.extend(self.holders.tick(now))
        if now >= min(self._nudge_at, self.outbox.next_at()):
            effects.extend(self._tell_neighbours(now))
        if now >= self._retry_at:
            effects.extend(self._retry_removed(now))
        return effects

    def forget(self, name: str, now: float) -> list[Any]:
        """Drop what is kept of a member that was removed."""
        self._compared.pop(name, None)
        self._trusted.pop(name, None)
        return self.settings.forget(name, now)

    def _complete(
        self, notices: Iterable[Notice]
    ) -> tuple[list[MemberRecord], list[str]]:
        """Return notices as records, and the members of which more is wanted.

        A suspicion isn't merged before the record that it is about, as that
        record would then be taken for an older one.
        """
        full: list[MemberRecord] = []
        wanted: list[str] = []
        for notice in notices:
            held = self.members.record_of(notice.stamp.name)
            if held is None:
                continue
            ahead = notice.stamp.order > held.member.stamp
            if ahead and notice.standing is Standing.SUSPECT:
                wanted.append(notice.stamp.name)
            else:
                full.append(notice.of_member(held.member))
        return full, wanted

    def _merge_records(
        self, node: str, records: Iterable[MemberRecord], now: float
    ) -> list[Any]:
        """Merge records of members; return answers to those not believed."""
        trusted = self.trusts(node, now)
        disputed: list[MemberRecord] = []
        for record in records:
            result = self.members.merge(record, now, trusted=trusted)
            if result is Merge.NEWS:
                self.tell(record, node, now)
            elif result is Merge.REFUTED:
                self.tell(MemberRecord(self.members.me), '', now)
            elif result is Merge.DISPUTED:
                name = record.member.name
                disputed.append(self.members.tombstones[name].record)
            else:
                self.outbox.heard_again(record, node)
        return messages_to(node, map(shortened, disputed))

    def _tell_neighbours(self, now: float) -> list[Any]:
        neighbours = self.members.overlay.neighbours()
        effects: list[Any] = []
        if now >= self.outbox.next_at():
            effects, too_much = self.outbox.flush(neighbours)
            if too_much:
                self._nudge_at = min(self._nudge_at, now + NUDGE_S)
        if now >= self._nudge_at:
            self._nudge_at = _NEVER
            ping = GossipPing(0, self.summary())
            effects.extend(Send(name, ping) for name in neighbours)
        return effects

    def _retry_removed(self, now: float) -> list[Any]:
        """Contact one removed member, in case it was only cut off."""
        pause = len(self.members.live) * RETRY_S_PER_MEMBER
        self._retry_at = now + jittered(self.rng, max(RETRY_MIN_S, pause))
        failed = [
            tombstone.record.member
            for tombstone in self.members.tombstones.values()
            if tombstone.record.standing is Standing.SUSPECT
            or now < tombstone.removed_at + RETURN_S
        ]
        if not failed:
            return []
        member = self.rng.choice(failed)
        return [self.contact(member.host, member.port)]
