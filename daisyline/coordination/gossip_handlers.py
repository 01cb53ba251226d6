"""What a node does with each message by which nodes spread what they know."""

import functools
from typing import Any

from daisyline.coordination.comparison import answer_buckets, answer_stamps
from daisyline.coordination.effects import Send
from daisyline.coordination.gossip import Gossip
from daisyline.coordination.gossip_messages import (
    Buckets,
    GossipAck,
    GossipPing,
    Holders,
    Join,
    ProbeAnswer,
    ProbeRequest,
    RecordsWanted,
    Rumours,
    SettingsContent,
    SettingsNotice,
    SettingsWanted,
    Stamps,
    Welcome,
)
from daisyline.coordination.gossip_records import MemberRecord, Summary
from daisyline.coordination.outbox import messages_to


@functools.singledispatch
def receive(message: Any, gossip: Gossip, node: str, now: float) -> list[Any]:
    """Take a message from a peer; one that isn't known has no effect.

    Args:
        message: The message.
        gossip: What this node knows.
        node: The peer's name.
        now: The time in seconds.

    Returns:
        Effects.
    """
    return []


def _heard(
    summary: Summary, gossip: Gossip, node: str, now: float
) -> list[Any]:
    """Act on a peer's summary; of settings only members are believed."""
    gossip.reader_role.record_confirmation(summary.confirmed, now)
    effects = gossip.compare(node, summary.root, now)
    if node in gossip.members.live:
        version = summary.settings_version
        effects.extend(gossip.settings.heard(node, version, now))
    return effects


@receive.register
def _on_join(message: Join, gossip: Gossip, node: str, now: float) -> list[Any]:
    if message.cluster != gossip.cluster:
        return []
    effects = gossip.merge(node, Rumours((message.record,)), now)
    own = MemberRecord(gossip.members.me)
    effects.append(Send(node, Welcome(own, gossip.summary())))
    if message.summary.root != gossip.digest.root:
        hashes = gossip.digest.hashes
        effects.append(Send(node, Buckets(gossip.weight(now), hashes)))
    if node in gossip.members.live:
        version = message.summary.settings_version
        effects.extend(gossip.settings.heard(node, version, now))
    return effects


@receive.register
def _on_welcome(
    message: Welcome, gossip: Gossip, node: str, now: float
) -> list[Any]:
    effects = gossip.merge(node, Rumours((message.record,)), now)
    return effects + _heard(message.summary, gossip, node, now)


@receive.register
def _on_ping(
    message: GossipPing, gossip: Gossip, node: str, now: float
) -> list[Any]:
    ack = Send(node, GossipAck(message.nonce, gossip.summary()))
    return [ack, *_heard(message.summary, gossip, node, now)]


@receive.register
def _on_ack(
    message: GossipAck, gossip: Gossip, node: str, now: float
) -> list[Any]:
    passed_on = gossip.detector.answered(message.nonce)
    return passed_on + _heard(message.summary, gossip, node, now)


@receive.register
def _on_probe_request(
    message: ProbeRequest, gossip: Gossip, node: str, now: float
) -> list[Any]:
    return gossip.detector.relay(node, message, now)


@receive.register
def _on_probe_answer(
    message: ProbeAnswer, gossip: Gossip, node: str, now: float
) -> list[Any]:
    return gossip.detector.answered(message.nonce)


@receive.register
def _on_rumours(
    message: Rumours, gossip: Gossip, node: str, now: float
) -> list[Any]:
    effects = gossip.merge(node, message, now)
    return effects


@receive.register
def _on_buckets(
    message: Buckets, gossip: Gossip, node: str, now: float
) -> list[Any]:
    return answer_buckets(gossip, node, message, now)


@receive.register
def _on_stamps(
    message: Stamps, gossip: Gossip, node: str, now: float
) -> list[Any]:
    return answer_stamps(gossip, node, message, now)


@receive.register
def _on_records_wanted(
    message: RecordsWanted, gossip: Gossip, node: str, now: float
) -> list[Any]:
    found = (gossip.members.record_of(name) for name in message.names)
    return messages_to(node, (record for record in found if record))


@receive.register
def _on_settings_notice(
    message: SettingsNotice, gossip: Gossip, node: str, now: float
) -> list[Any]:
    if node not in gossip.members.live:
        return []
    return gossip.settings.heard(node, message.version, now)


@receive.register
def _on_settings_wanted(
    message: SettingsWanted, gossip: Gossip, node: str, now: float
) -> list[Any]:
    if node not in gossip.members.live:
        return []
    return gossip.settings.wanted(node, message.version, now)


@receive.register
def _on_settings_content(
    message: SettingsContent, gossip: Gossip, node: str, now: float
) -> list[Any]:
    neighbours = gossip.members.overlay.neighbours()
    return gossip.settings.arrived(message, neighbours, now)


@receive.register
def _on_holders(
    message: Holders, gossip: Gossip, node: str, now: float
) -> list[Any]:
    return gossip.holders.merge(node, message, now)
