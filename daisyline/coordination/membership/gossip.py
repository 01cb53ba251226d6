"""A node's view of the fleet, kept up to date by gossip."""

import functools
import random
from collections.abc import Iterable
from typing import Any

import attrs

from daisyline.coordination.effects import Send
from daisyline.coordination.membership.digest import Digest, bucket_of
from daisyline.coordination.membership.fact_events import FactChanged
from daisyline.coordination.membership.fact_store import FactStore
from daisyline.coordination.membership.failure_detector import FailureDetector
from daisyline.coordination.membership.fleet_events import SendToAddress
from daisyline.coordination.membership.gossip_messages import (
    CONFIRMATION_NONCE,
    BucketHashes,
    GossipAck,
    GossipPing,
    Join,
    RecordsRequest,
    RecordUpdates,
)
from daisyline.coordination.membership.gossip_records import (
    FactRecord,
    MemberRecord,
    MemberState,
    MemberStateNotice,
    Summary,
)
from daisyline.coordination.membership.membership import Membership, MergeResult
from daisyline.coordination.membership.outbox import (
    Outbox,
    compact,
    update_messages,
)
from daisyline.coordination.membership.rejoin import INTERVAL_MIN_S, RejoinCalls
from daisyline.coordination.settings.reader_role import (
    SETTINGS_KIND,
    ReaderRole,
)
from daisyline.coordination.settings.settings_holders import HolderTally
from daisyline.coordination.settings.settings_spread import (
    START_WAIT_S,
    SettingsSpread,
)
from daisyline.state.members import Member

COMPARISON_QUIET_S = 0.4
COMPARISON_INTERVAL_S = 1.0
TRUST_DURATION_S = 5.0
BULK_PING_DELAY_S = 0.5
_NEVER = float('inf')


def _summary(
    digest: Digest, settings: SettingsSpread, reader_role: ReaderRole
) -> Summary:
    return Summary(
        digest.root, settings.version, reader_role.platform_confirmations
    )


@attrs.define
class Gossip:
    """A node's view of the fleet, and the exchange of updates with peers.

    A small batch of updates is pushed to the neighbours on the overlay. For a
    large batch the neighbours are only pinged: the summary in the ping shows
    them that their content differs, and they fetch what they lack.

    Attributes:
        cluster: The cluster's name.
        members: The members, suspects and tombstones that this node knows.
        fact_store: The facts that this node stores.
        settings: The settings that this node stores, and those in force.
        reader_role: Decides which nodes read the platform's objects.
        detector: Probes members and detects those that are unreachable.
        rejoin_calls: Decides when removed members are called.
        holders: The members that store the same settings version.
        digest: The hashes of this node's records, for anti-entropy.
        outbox: The updates that wait to be sent to the neighbours.
        rng: The source of random numbers.
    """

    cluster: str
    members: Membership
    fact_store: FactStore
    settings: SettingsSpread
    reader_role: ReaderRole
    detector: FailureDetector
    rejoin_calls: RejoinCalls
    holders: HolderTally
    digest: Digest
    outbox: Outbox
    rng: random.Random
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
        """Create the view of a node that has just started.

        Args:
            own_member: The node's own member entry.
            cluster: The cluster's name.
            rng: The source of random numbers.
            now: Monotonic seconds.
            kinds: The kinds of platform objects that are read.
        """
        digest = Digest()
        members = Membership.from_member(own_member, digest)
        settings = SettingsSpread(start_wait_until=now + START_WAIT_S)
        reader_role = ReaderRole.from_kinds(own_member, kinds, rng, now)
        summary = functools.partial(_summary, digest, settings, reader_role)
        return cls(
            cluster=cluster,
            members=members,
            fact_store=FactStore(digest),
            settings=settings,
            reader_role=reader_role,
            detector=FailureDetector(members, rng, now, summary),
            rejoin_calls=RejoinCalls(members, rng, now + INTERVAL_MIN_S),
            holders=HolderTally(members, settings, rng),
            digest=digest,
            outbox=Outbox(rng),
            rng=rng,
        )

    def next_at(self) -> float:
        """Return when `tick` must be called next, in monotonic seconds."""
        return min(
            self.members.next_at(),
            self.fact_store.next_at(),
            self.detector.next_at(),
            self.settings.next_at(),
            self.holders.next_at(),
            self.outbox.next_at(),
            self._bulk_ping_at,
            self.rejoin_calls.next_at(),
        )

    def summary(self) -> Summary:
        """Return the summary of this node's content for peers to compare."""
        return _summary(self.digest, self.settings, self.reader_role)

    def reported_member_count(self, now: float) -> int:
        """Return the number of live members to report to peers.

        It is 0 for a while after a pause of this process, when the view may be
        out of date.
        """
        return 0 if now < self._view_stale_until else len(self.members.live)

    def names_in(self, buckets: Iterable[int]) -> list[str]:
        """Return the live members whose records are in the digest buckets."""
        wanted = set(buckets)
        return [name for name in self.members.live if bucket_of(name) in wanted]

    def update_trust(self, node: str, member_count: int, now: float) -> None:
        """Trust a peer for `TRUST_DURATION_S` if it reports more members."""
        if member_count > self.reported_member_count(now):
            self._trusted_until[node] = now + TRUST_DURATION_S

    def is_trusted(self, node: str, now: float) -> bool:
        """Return whether a peer's records override this node's tombstones."""
        return self._trusted_until.get(node, 0) > now

    def handle_pause(self, seconds: float, now: float) -> None:
        """Allow for a pause of this process, whose view may now be stale.

        Args:
            seconds: How long the pause was.
            now: Monotonic seconds.
        """
        self._view_stale_until = now + TRUST_DURATION_S
        self.members.extend_suspicions(seconds)
        self.detector.reset(now)

    def join_request(self, host: str, port: int) -> SendToAddress:
        """Return an effect that asks the node at an address to add this one."""
        record = MemberRecord(self.members.own_member)
        return SendToAddress(
            host, port, Join(self.cluster, record, self.summary())
        )

    def merge(self, node: str, message: RecordUpdates, now: float) -> list[Any]:
        """Merge a peer's updates and forward those that are new."""
        effects: list[Any] = []
        for record in message.facts:
            if self.fact_store.merge(record, now):
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
        """Queue an update for the neighbours, except the one that sent it.

        Args:
            update: The record.
            origin: The node that sent it; empty if it arose on this node.
            now: Monotonic seconds.
        """
        self._changed_at = now
        self.outbox.add(update, origin, now)

    def put_fact(
        self, record: FactRecord, now: float, *, is_urgent: bool = False
    ) -> list[Any]:
        """Store a fact and broadcast it, unless it is known already.

        Args:
            record: The fact.
            now: Monotonic seconds.
            is_urgent: Whether to send it at once, with all that is queued.
        """
        if not self.fact_store.merge(record, now):
            return []
        self.broadcast(record, '', now)
        effects: list[Any] = [FactChanged(record.fact)]
        if is_urgent:
            self.outbox.expedite(now)
            effects.extend(self._push_to_neighbours(now))
        return effects

    def suspect(self, names: Iterable[str], now: float) -> None:
        """Suspect members and broadcast the suspicions."""
        for name in names:
            record = self.members.suspect(name, now)
            if record:
                self.broadcast(record, '', now)

    def start_comparison(self, node: str, root: int, now: float) -> list[Any]:
        """Start anti-entropy with a peer whose root hash differs.

        Nothing is sent until this node's content has been unchanged for
        `COMPARISON_QUIET_S`, because updates still in transit would show up
        as differences. A peer is compared at most once in
        `COMPARISON_INTERVAL_S`.
        """
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

    def pass_on_confirmation(self, sender: str = '') -> list[Any]:
        """Pass a confirmation of the settings on to the neighbours.

        Args:
            sender: The node that it came from; empty if it is this node's.
        """
        confirmation = GossipAck(CONFIRMATION_NONCE, self.summary())
        return [
            Send(name, confirmation)
            for name in self.members.overlay.recipients(self.members.suspects)
            if name != sender
        ]

    def tick(self, now: float) -> list[Any]:
        """Run the timers that have expired and return the effects."""
        if self.members.expire(now):
            self._changed_at = now
        self.fact_store.expire(now)
        effects, suspected = self.detector.tick(now)
        self.suspect(suspected, now)
        effects.extend(self.settings.tick(self.members.live, now))
        effects.extend(self.holders.tick(now))
        if now >= min(self._bulk_ping_at, self.outbox.next_at()):
            effects.extend(self._push_to_neighbours(now))
        effects.extend(
            self.join_request(member.host, member.port)
            for member in self.rejoin_calls.due(now)
        )
        return effects

    def forget_member(self, name: str, now: float) -> list[Any]:
        """Drop the state of a removed member and return the effects."""
        self._compared_at.pop(name, None)
        self._trusted_until.pop(name, None)
        self.rejoin_calls.record_removal(name, now)
        return self.settings.forget_member(name, now)

    def _expand_notices(
        self, notices: Iterable[MemberStateNotice]
    ) -> tuple[list[MemberRecord], list[str]]:
        """Return records made from notices, and the names of those to request.

        A suspicion that is newer than the stored record of its member isn't
        merged; the newer record is requested. If the suspicion were merged
        first, that record would look older than it and be ignored.
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
        """Merge member records; answer disputed ones with the tombstones."""
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
        neighbours = self.members.overlay.recipients()
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
