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
    RecordUpdates,
)
from daisyline.state.members import Member

_US_PER_MS = 1_000


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

    def record(
        self, message: Any, sender: Member | None, effects: list[Any]
    ) -> list[FactsReceived]:
        """Return an effect if the facts of an older node have arrived.

        Args:
            message: A message of that node.
            sender: The node; None if it is not a live member.
            effects: This node's effects of the message.
        """
        if sender is None or sender.incarnation >= self._oldest_us:
            return []
        if not _completes(message, self._asked, sender.name, effects):
            return []
        self._oldest_us = sender.incarnation
        return [FactsReceived(sender.incarnation // _US_PER_MS)]


@functools.singledispatch
def _completes(
    message: Any, asked: set[str], node: str, effects: list[Any]
) -> bool:
    """Return whether all facts of a node have arrived with a message."""
    return False


@_completes.register
def _(
    message: BucketHashes, asked: set[str], node: str, effects: list[Any]
) -> bool:
    is_differing = any(
        isinstance(effect, Send) and isinstance(effect.message, BucketContents)
        for effect in effects
    )
    if is_differing:
        asked.add(node)
    return not is_differing


@_completes.register
def _(
    message: BucketContents, asked: set[str], node: str, effects: list[Any]
) -> bool:
    return True


@_completes.register
def _(
    message: RecordUpdates, asked: set[str], node: str, effects: list[Any]
) -> bool:
    if node not in asked:
        return False
    asked.discard(node)
    return True
