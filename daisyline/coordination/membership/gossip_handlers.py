"""Handlers of the gossip messages between nodes."""

import functools
from typing import Any

from daisyline.coordination.effects import Send
from daisyline.coordination.membership.anti_entropy import (
    answer_bucket_contents,
    answer_bucket_hashes,
)
from daisyline.coordination.membership.gossip import Gossip
from daisyline.coordination.membership.gossip_messages import (
    CONFIRMATION_NONCE,
    BucketContents,
    BucketHashes,
    GossipAck,
    GossipPing,
    Join,
    JoinReply,
    ProbeAnswer,
    ProbeRequest,
    RecordsRequest,
    RecordUpdates,
    SettingsContent,
    SettingsHolders,
    SettingsRequest,
    SettingsVersionNotice,
)
from daisyline.coordination.membership.gossip_records import (
    MemberRecord,
    Summary,
)
from daisyline.coordination.membership.outbox import update_messages


@functools.singledispatch
def receive(message: Any, gossip: Gossip, node: str, now: float) -> list[Any]:
    """Handle a message from a peer; unknown types have no effect.

    Args:
        message: The message.
        gossip: This node's view of the fleet.
        node: The peer's name.
        now: Monotonic seconds.

    Returns:
        Effects.
    """
    return []


def _on_summary(
    summary: Summary, gossip: Gossip, node: str, now: float
) -> list[Any]:
    """Handle a peer's summary.

    The settings version is ignored unless the peer is a live member.
    """
    gossip.reader_role.record_confirmation(summary.platform_confirmations)
    return [
        *gossip.start_comparison(node, summary.root, now),
        *_on_peer_version(summary.settings_version, gossip, node, now),
    ]


def _on_peer_version(
    version: int, gossip: Gossip, node: str, now: float
) -> list[Any]:
    if node not in gossip.members.live:
        return []
    return gossip.settings.handle_peer_version(node, version, now)


def _on_confirmation(
    summary: Summary, gossip: Gossip, node: str, now: float
) -> list[Any]:
    """Handle a confirmation of the settings, and pass it on if it is new."""
    effects: list[Any] = []
    if gossip.reader_role.renew(summary.platform_confirmations, now):
        effects.extend(gossip.pass_on_confirmation(node))
    return effects + _on_peer_version(
        summary.settings_version, gossip, node, now
    )


@receive.register
def _on_join(message: Join, gossip: Gossip, node: str, now: float) -> list[Any]:
    if message.cluster != gossip.cluster:
        return []
    effects = gossip.merge(node, RecordUpdates((message.record,)), now)
    own = MemberRecord(gossip.members.own_member)
    effects.append(Send(node, JoinReply(own, gossip.summary())))
    if message.summary.root != gossip.digest.root:
        hashes = gossip.digest.hashes
        effects.append(
            Send(node, BucketHashes(gossip.reported_member_count(now), hashes))
        )
    version = message.summary.settings_version
    return effects + _on_peer_version(version, gossip, node, now)


@receive.register
def _on_join_reply(
    message: JoinReply, gossip: Gossip, node: str, now: float
) -> list[Any]:
    effects = gossip.merge(node, RecordUpdates((message.record,)), now)
    return effects + _on_summary(message.summary, gossip, node, now)


@receive.register
def _on_ping(
    message: GossipPing, gossip: Gossip, node: str, now: float
) -> list[Any]:
    ack = Send(node, GossipAck(message.nonce, gossip.summary()))
    return [ack, *_on_summary(message.summary, gossip, node, now)]


@receive.register
def _on_ack(
    message: GossipAck, gossip: Gossip, node: str, now: float
) -> list[Any]:
    if message.nonce == CONFIRMATION_NONCE:
        return _on_confirmation(message.summary, gossip, node, now)
    forwarded = gossip.detector.handle_answer(message.nonce)
    return forwarded + _on_summary(message.summary, gossip, node, now)


@receive.register
def _on_probe_request(
    message: ProbeRequest, gossip: Gossip, node: str, now: float
) -> list[Any]:
    return gossip.detector.relay(node, message, now)


@receive.register
def _on_probe_answer(
    message: ProbeAnswer, gossip: Gossip, node: str, now: float
) -> list[Any]:
    return gossip.detector.handle_answer(message.nonce)


@receive.register
def _on_record_updates(
    message: RecordUpdates, gossip: Gossip, node: str, now: float
) -> list[Any]:
    effects = gossip.merge(node, message, now)
    return effects


@receive.register
def _on_bucket_hashes(
    message: BucketHashes, gossip: Gossip, node: str, now: float
) -> list[Any]:
    return answer_bucket_hashes(gossip, node, message, now)


@receive.register
def _on_bucket_contents(
    message: BucketContents, gossip: Gossip, node: str, now: float
) -> list[Any]:
    return answer_bucket_contents(gossip, node, message, now)


@receive.register
def _on_records_request(
    message: RecordsRequest, gossip: Gossip, node: str, now: float
) -> list[Any]:
    found = (gossip.members.record_of(name) for name in message.names)
    return update_messages(node, (record for record in found if record))


@receive.register
def _on_settings_version_notice(
    message: SettingsVersionNotice, gossip: Gossip, node: str, now: float
) -> list[Any]:
    if node not in gossip.members.live:
        return []
    return gossip.settings.handle_peer_version(node, message.version, now)


@receive.register
def _on_settings_request(
    message: SettingsRequest, gossip: Gossip, node: str, now: float
) -> list[Any]:
    if node in gossip.members.live:
        return gossip.settings.handle_request(node, message.version, now)
    # The request of a node that has just started may arrive before its record.
    return gossip.settings.content_for(node, message.version)


@receive.register
def _on_settings_content(
    message: SettingsContent, gossip: Gossip, node: str, now: float
) -> list[Any]:
    neighbours = gossip.members.overlay.recipients()
    return gossip.settings.handle_content(message, neighbours, now)


@receive.register
def _on_settings_holders(
    message: SettingsHolders, gossip: Gossip, node: str, now: float
) -> list[Any]:
    return gossip.holders.merge(node, message, now)
