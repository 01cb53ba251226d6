"""Tracks which nodes have sent this one all facts that they hold."""

import functools
import math
from typing import Any

import attrs

from daisyline.coordination.effects import Send
from daisyline.coordination.membership.fleet_events import FactsReceived
from daisyline.coordination.membership.gossip_messages import (
    BucketContents,
    BucketHashes,
    GossipAck,
    GossipPing,
    RecordUpdates,
)
from daisyline.state.members import Member

_US_PER_MS = 1_000


@attrs.frozen
class Exchange:
    """A message of another node, and what this node makes of it.

    Attributes:
        message: The message.
        sender: The node; None if it is not a live member.
        root: The hash of all that this node holds after the message.
        effects: This node's effects of the message.
    """

    message: Any
    sender: Member | None
    root: int
    effects: list[Any]


@attrs.define
class JoinProgress:
    """Notices when a comparison with another node has brought its facts.

    Only the oldest of these nodes matters, as it knows what happened before
    this process started.

    Attributes:
        _asked: The nodes that were sent what this one holds, and have not
            answered what it lacks.
        _oldest_us: When the oldest of the nodes started whose facts have
            arrived, in Unix microseconds.
    """

    _asked: set[str] = attrs.field(factory=set)
    _oldest_us: float = math.inf

    def record(self, exchange: Exchange) -> list[FactsReceived]:
        """Return an effect if the facts of an older node have arrived."""
        sender = exchange.sender
        if sender is None or sender.incarnation >= self._oldest_us:
            return []
        if not _completes(exchange.message, exchange, self._asked):
            return []
        self._oldest_us = sender.incarnation
        self._asked.discard(sender.name)
        return [FactsReceived(sender.incarnation // _US_PER_MS)]


@functools.singledispatch
def _completes(message: Any, exchange: Exchange, asked: set[str]) -> bool:
    """Return whether all facts of a node have arrived with a message.

    Args:
        message: The message.
        exchange: The message with its context.
        asked: The nodes that were asked for what this node lacks.
    """
    return False


@_completes.register(GossipPing)
@_completes.register(GossipAck)
def _(message: Any, exchange: Exchange, asked: set[str]) -> bool:
    return bool(message.summary.root == exchange.root)


@_completes.register
def _(message: BucketHashes, exchange: Exchange, asked: set[str]) -> bool:
    is_differing = any(
        isinstance(effect, Send) and isinstance(effect.message, BucketContents)
        for effect in exchange.effects
    )
    if is_differing and exchange.sender is not None:
        asked.add(exchange.sender.name)
    return not is_differing


@_completes.register
def _(message: BucketContents, exchange: Exchange, asked: set[str]) -> bool:
    return True


@_completes.register
def _(message: RecordUpdates, exchange: Exchange, asked: set[str]) -> bool:
    return exchange.sender is not None and exchange.sender.name in asked
