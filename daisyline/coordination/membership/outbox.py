"""Queue of updates to the neighbours, sent in batches."""

import random
from collections.abc import Iterable, Sequence
from typing import Any

import attrs

from daisyline.coordination.effects import Send
from daisyline.coordination.jitter import jittered
from daisyline.coordination.membership.gossip_messages import RecordUpdates
from daisyline.coordination.membership.gossip_records import (
    FactRecord,
    MemberRecord,
    MemberState,
    MemberStateNotice,
)

FLUSH_DELAY_S = 0.04
MAX_PUSHED_UPDATES = 64
MAX_UPDATES_PER_MESSAGE = 64
_NEVER = float('inf')

_Key = tuple[str, ...]
_Update = MemberRecord | FactRecord | MemberStateNotice


@attrs.define
class PendingUpdate:
    """An update that has to be sent.

    Attributes:
        update: The record.
        known_to: The nodes that hold it already.
    """

    update: MemberRecord | FactRecord
    known_to: set[str]


@attrs.define
class Outbox:
    """The updates to send to the neighbours.

    Updates are delayed by about `FLUSH_DELAY_S`, so that one message carries
    several of them, and so that a neighbour that sends the same update in the
    meantime doesn't receive it again. A batch of more than
    `MAX_PUSHED_UPDATES` isn't sent: the neighbours see by the summary that
    they differ and fetch what they lack.
    """

    _rng: random.Random
    _flush_at: float = _NEVER
    _pending: dict[_Key, PendingUpdate] = attrs.field(factory=dict)

    def next_at(self) -> float:
        """Return when `flush` must be called; infinity if nothing is queued."""
        return self._flush_at

    def add(
        self, update: MemberRecord | FactRecord, origin: str, now: float
    ) -> None:
        """Queue an update.

        Args:
            update: The record.
            origin: The node that sent it; empty if it arose on this node.
            now: Monotonic seconds.
        """
        self._pending[_key(update)] = PendingUpdate(update, {origin})
        if self._flush_at == _NEVER:
            self._flush_at = now + jittered(self._rng, FLUSH_DELAY_S)

    def expedite(self, now: float) -> None:
        """Let the queued updates be due at once."""
        self._flush_at = min(self._flush_at, now)

    def record_known_to(
        self, update: MemberRecord | FactRecord, origin: str
    ) -> None:
        """Record that a node already holds a queued update."""
        entry = self._pending.get(_key(update))
        if entry and _comparable(entry.update) == _comparable(update):
            entry.known_to.add(origin)

    def flush(self, neighbours: Sequence[str]) -> tuple[list[Send], bool]:
        """Empty the queue and return the messages for its updates.

        A suspect receives the suspicion even if it isn't a neighbour, so that
        it can refute it.

        Args:
            neighbours: The names of the nodes that receive all updates.

        Returns:
            The effects, and whether there were too many updates to send; then
            there are no effects.
        """
        self._flush_at = _NEVER
        entries = tuple(self._pending.values())
        self._pending.clear()
        if len(entries) > MAX_PUSHED_UPDATES:
            return [], True
        effects: list[Send] = []
        subjects = [
            entry.update.member.name
            for entry in entries
            if isinstance(entry.update, MemberRecord)
            and entry.update.state is MemberState.SUSPECT
        ]
        for name in dict.fromkeys((*neighbours, *subjects)):
            lacking = [
                compact(entry.update)
                for entry in entries
                if name not in entry.known_to
                and (name in neighbours or _key(entry.update)[1] == name)
            ]
            effects.extend(update_messages(name, lacking))
        return effects, False


def compact(update: MemberRecord | FactRecord) -> _Update:
    """Return an update in its shortest form.

    The receiver is expected to hold the record of a suspect or of a member
    that left, so that the stamp and the state are enough.
    """
    if isinstance(update, FactRecord) or update.state is MemberState.ALIVE:
        return update
    return MemberStateNotice.from_record(update)


def update_messages(node: str, updates: Iterable[_Update]) -> list[Any]:
    """Return the effects that send updates to a peer in bounded messages."""
    queued = tuple(updates)
    return [
        Send(
            node,
            _record_updates(queued[start : start + MAX_UPDATES_PER_MESSAGE]),
        )
        for start in range(0, len(queued), MAX_UPDATES_PER_MESSAGE)
    ]


def _record_updates(updates: Sequence[_Update]) -> RecordUpdates:
    return RecordUpdates(
        records=[
            update for update in updates if isinstance(update, MemberRecord)
        ],
        facts=[update for update in updates if isinstance(update, FactRecord)],
        notices=[
            update
            for update in updates
            if isinstance(update, MemberStateNotice)
        ],
    )


def _key(update: MemberRecord | FactRecord) -> _Key:
    if isinstance(update, MemberRecord):
        return ('member', update.member.name)
    return ('fact', *update.fact.key)


def _comparable(update: MemberRecord | FactRecord) -> Any:
    return update if isinstance(update, MemberRecord) else update.fact
