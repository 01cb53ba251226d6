"""Anti-entropy: two nodes compare all that they hold and exchange differences.

The exchange has three steps: the hashes of all buckets, the stamps and facts in
the buckets that differ, and the newer records. Beyond the fixed list of hashes,
its size is proportional to the difference.
"""

from typing import Any

from daisyline.coordination.effects import Send
from daisyline.coordination.membership.digest import BUCKET_COUNT
from daisyline.coordination.membership.gossip import Gossip
from daisyline.coordination.membership.gossip_messages import (
    BucketContents,
    BucketHashes,
    RecordsRequest,
    RecordUpdates,
)
from daisyline.coordination.membership.gossip_records import (
    FactRecord,
    MemberRecord,
    MemberStateNotice,
    Stamp,
)
from daisyline.coordination.membership.outbox import update_messages


def answer_bucket_hashes(
    gossip: Gossip, node: str, message: BucketHashes, now: float
) -> list[Any]:
    """Answer with what this node holds in the buckets that differ."""
    if len(message.hashes) != BUCKET_COUNT:
        return []
    gossip.update_trust(node, message.member_count, now)
    differing = gossip.digest.differing_buckets(message.hashes)
    if not differing:
        return []
    stamps = [
        Stamp(name, *gossip.members.live[name].stamp)
        for name in gossip.names_in(differing)
    ]
    facts = gossip.fact_store.records(differing, now)
    return [
        Send(
            node,
            BucketContents(
                gossip.reported_member_count(now), differing, stamps, facts
            ),
        )
    ]


def answer_bucket_contents(
    gossip: Gossip, node: str, message: BucketContents, now: float
) -> list[Any]:
    """Send a peer the newer records held here, and request its newer ones."""
    gossip.update_trust(node, message.member_count, now)
    records = _newer_than(message, gossip)
    removals: list[MemberStateNotice] = []
    wanted: list[str] = []
    for stamp in message.stamps:
        if _is_wanted(stamp, gossip, node, now):
            wanted.append(stamp.name)
        else:
            removals.extend(_removals(stamp.name, gossip))
    effects = gossip.merge(node, RecordUpdates((), message.facts), now)
    facts = _facts_lacking(message, gossip, now)
    effects.extend(update_messages(node, (*records, *removals, *facts)))
    if wanted:
        effects.append(Send(node, RecordsRequest(wanted)))
    return effects


def _facts_lacking(
    message: BucketContents, gossip: Gossip, now: float
) -> list[FactRecord]:
    """Return the facts that a peer lacks or holds an older one of."""
    theirs = {record.fact for record in message.facts}
    mine = gossip.fact_store.records(message.buckets, now)
    return [record for record in mine if record.fact not in theirs]


def _newer_than(message: BucketContents, gossip: Gossip) -> list[MemberRecord]:
    """Return the records of live members that are newer than a peer's."""
    theirs = {stamp.name: stamp for stamp in message.stamps}
    records = []
    for name in gossip.names_in(message.buckets):
        held = gossip.members.record_of(name)
        assert held is not None
        stamp = theirs.get(name)
        if stamp is None or held.member.stamp > stamp.order:
            records.append(held)
    return records


def _is_wanted(stamp: Stamp, gossip: Gossip, node: str, now: float) -> bool:
    """Return whether to request a peer's record of a member."""
    held = gossip.members.record_of(stamp.name)
    if held is None or held.member.stamp < stamp.order:
        return True
    tombstone = gossip.members.tombstones.get(stamp.name)
    if tombstone is None or not tombstone.can_be_overridden(now):
        return False
    return gossip.is_trusted(node, now)


def _removals(name: str, gossip: Gossip) -> list[MemberStateNotice]:
    """Return the notice of a member's removal; empty if it wasn't removed."""
    tombstone = gossip.members.tombstones.get(name)
    return (
        [MemberStateNotice.from_record(tombstone.record)] if tombstone else []
    )
