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
from daisyline.coordination.fleet_events import SendToAddress
from daisyline.coordination.gossip_messages import (
    BucketHashes,
    GossipPing,
    Join,
    RecordsRequest,
    RecordUpdates,
)
from daisyline.coordination.gossip_records import (
    FactRecord,
    MemberRecord,
    MemberState,
    MemberStateNotice,
    Summary,
)
from daisyline.coordination.jitter import jittered
from daisyline.coordination.membership import Membership, MergeResult
from daisyline.coordination.outbox import Outbox, compact, update_messages
from daisyline.coordination.readers import SETTINGS_KIND, Readers
from daisyline.coordination.settings_holders import HolderTally
from daisyline.coordination.settings_spread import START_WAIT_S, SettingsSpread
from daisyline.state.members import Member

COMPARISON_QUIET_S = 0.4
COMPARISON_INTERVAL_S = 1.0
TRUST_DURATION_S = 5.0
BULK_PING_DELAY_S = 0.5
REJOIN_INTERVAL_S_PER_MEMBER = 0.5
REJOIN_INTERVAL_MIN_S = 1.0
# A node that has left is likely to be back at its address within this time.
LEFT_REJOIN_WINDOW_S = 60.0
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
    holders: HolderTally
    digest: Digest
    outbox: Outbox
    rng: random.Random
    _rejoin_at: float
    _changed_at: float = 0
    _bulk_ping_at: float = _NEVER
    _view_stale_until: float = 0
    _compared_at: dict[str, float] = attrs.field(factory=dict)
    _trusted_until: dict[str, float] = attrs.field(factory=dict)

    @classmethod
    def from_member(
        cls,
        own_member: Member,
        cluster: str,
        rng: random.Random,
        now: float,
        kinds: tuple[str, ...] = (SETTINGS_KIND,),
    ) -> 'Gossip':
        """Make the view of a node that has just started.

        Args:
            own_member: The node itself.
            cluster: The cluster's name.
            rng: Where random numbers come from.
            now: The time in seconds.
            kinds: The kinds of the platform's objects that are followed.
        """
        digest = Digest()
        members = Membership.from_member(own_member, digest)
        settings = SettingsSpread(start_wait_until=now + START_WAIT_S)
        readers = Readers.from_kinds(own_member, kinds, rng, now)
        summary = functools.partial(_summary, digest, settings, readers)
        return cls(
            cluster=cluster,
            members=members,
            facts=FactStore(digest),
            settings=settings,
            readers=readers,
            detector=FailureDetector(members, rng, now, summary),
            holders=HolderTally(members, settings, rng),
            digest=digest,
            outbox=Outbox(rng),
            rng=rng,
            rejoin_at=now + REJOIN_INTERVAL_MIN_S,
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
            self._bulk_ping_at,
            self._rejoin_at,
        )

    def summary(self) -> Summary:
        """Return what this node holds, in short."""
        return _summary(self.digest, self.settings, self.readers)

    def reported_member_count(self, now: float) -> int:
        """Return how many live members this node vouches for."""
        return 0 if now < self._view_stale_until else len(self.members.live)

    def names_in(self, buckets: Iterable[int]) -> list[str]:
        """Return the live members in some buckets."""
        wanted = set(buckets)
        return [name for name in self.members.live if bucket_of(name) in wanted]

    def update_trust(self, node: str, member_count: int, now: float) -> None:
        """Trust a peer for a while if it sees more of the fleet."""
        if member_count > self.reported_member_count(now):
            self._trusted_until[node] = now + TRUST_DURATION_S

    def is_trusted(self, node: str, now: float) -> bool:
        """Return whether a peer's view goes before this node's tombstones."""
        return self._trusted_until.get(node, 0) > now

    def handle_pause(self, seconds: float, now: float) -> None:
        """Note that this node was paused, so that its view may be old."""
        self._view_stale_until = now + TRUST_DURATION_S
        self.members.extend_suspicions(seconds)
        self.detector.reset(now)

    def join_request(self, host: str, port: int) -> SendToAddress:
        """Ask the node at an address to take this one in."""
        record = MemberRecord(self.members.own_member)
        return SendToAddress(
            host, port, Join(self.cluster, record, self.summary())
        )

    def merge(self, node: str, message: RecordUpdates, now: float) -> list[Any]:
        """Merge news from a peer and pass on what is new."""
        effects: list[Any] = []
        for record in message.facts:
            if self.facts.merge(record, now):
                self.broadcast(record, node, now)
                effects.append(FactChanged(record.fact))
            else:
                self.outbox.record_known_to(record, node)
        records, wanted = self._expand_notices(message.notices)
        effects.extend(self._merge_records(node, message.records, now))
        effects.extend(self._merge_records(node, records, now))
        if wanted:
            effects.append(Send(node, RecordsRequest(wanted)))
        return effects

    def broadcast(
        self, update: MemberRecord | FactRecord, origin: str, now: float
    ) -> None:
        """Pass a piece of news on, but not to the node it came from."""
        self._changed_at = now
        self.outbox.add(update, origin, now)

    def put_fact(self, record: FactRecord, now: float) -> list[Any]:
        """Hold a fact and spread it, if it is news."""
        if not self.facts.merge(record, now):
            return []
        self.broadcast(record, '', now)
        return [FactChanged(record.fact)]

    def suspect(self, names: Iterable[str], now: float) -> None:
        """Suspect members and tell the neighbours."""
        for name in names:
            record = self.members.suspect(name, now)
            if record:
                self.broadcast(record, '', now)

    def start_comparison(self, node: str, root: int, now: float) -> list[Any]:
        """Open a comparison with a peer that holds something else."""
        if (
            root == self.digest.root
            or now < self._changed_at + COMPARISON_QUIET_S
        ):
            return []
        if now < self._compared_at.get(node, -_NEVER) + COMPARISON_INTERVAL_S:
            return []
        self._compared_at[node] = now
        return [
            Send(
                node,
                BucketHashes(
                    self.reported_member_count(now), self.digest.hashes
                ),
            )
        ]

    def tick(self, now: float) -> list[Any]:
        """Do what is due."""
        if self.members.expire(now):
            self._changed_at = now
        self.facts.expire(now)
        effects, suspected = self.detector.tick(now)
        self.suspect(suspected, now)
        effects.extend(self.settings.tick(self.members.live, now))
        effects.extend(self.holders.tick(now))
        if now >= min(self._bulk_ping_at, self.outbox.next_at()):
            effects.extend(self._push_to_neighbours(now))
        if now >= self._rejoin_at:
            effects.extend(self._contact_removed_member(now))
        return effects

    def forget_member(self, name: str, now: float) -> list[Any]:
        """Drop what is kept of a member that was removed."""
        self._compared_at.pop(name, None)
        self._trusted_until.pop(name, None)
        return self.settings.forget_member(name, now)

    def _expand_notices(
        self, notices: Iterable[MemberStateNotice]
    ) -> tuple[list[MemberRecord], list[str]]:
        """Return notices as records, and the members of which more is wanted.

        A suspicion isn't merged before the record that it is about, as that
        record would then be taken for an older one.
        """
        records: list[MemberRecord] = []
        wanted: list[str] = []
        for notice in notices:
            held = self.members.record_of(notice.stamp.name)
            if held is None:
                continue
            ahead = notice.stamp.order > held.member.stamp
            if ahead and notice.state is MemberState.SUSPECT:
                wanted.append(notice.stamp.name)
            else:
                records.append(notice.to_record(held.member))
        return records, wanted

    def _merge_records(
        self, node: str, records: Iterable[MemberRecord], now: float
    ) -> list[Any]:
        """Merge records of members; return answers to those not believed."""
        trusted = self.is_trusted(node, now)
        disputed: list[MemberRecord] = []
        for record in records:
            result = self.members.merge(record, now, trusted=trusted)
            if result is MergeResult.NEWS:
                self.broadcast(record, node, now)
            elif result is MergeResult.REFUTED:
                self.broadcast(MemberRecord(self.members.own_member), '', now)
            elif result is MergeResult.DISPUTED:
                name = record.member.name
                disputed.append(self.members.tombstones[name].record)
            else:
                self.outbox.record_known_to(record, node)
        return update_messages(node, map(compact, disputed))

    def _push_to_neighbours(self, now: float) -> list[Any]:
        neighbours = self.members.overlay.neighbours()
        effects: list[Any] = []
        if now >= self.outbox.next_at():
            effects, overflowed = self.outbox.flush(neighbours)
            if overflowed:
                self._bulk_ping_at = min(
                    self._bulk_ping_at, now + BULK_PING_DELAY_S
                )
        if now >= self._bulk_ping_at:
            self._bulk_ping_at = _NEVER
            ping = GossipPing(0, self.summary())
            effects.extend(Send(name, ping) for name in neighbours)
        return effects

    def _contact_removed_member(self, now: float) -> list[Any]:
        """Contact one removed member, in case it was only cut off."""
        interval_s = len(self.members.live) * REJOIN_INTERVAL_S_PER_MEMBER
        self._rejoin_at = now + jittered(
            self.rng, max(REJOIN_INTERVAL_MIN_S, interval_s)
        )
        candidates = [
            tombstone.record.member
            for tombstone in self.members.tombstones.values()
            if tombstone.record.state is MemberState.SUSPECT
            or now < tombstone.removed_at + LEFT_REJOIN_WINDOW_S
        ]
        if not candidates:
            return []
        member = self.rng.choice(candidates)
        return [self.join_request(member.host, member.port)]
