"""News on its way to the neighbours, gathered for a moment."""

import random
from collections.abc import Iterable, Sequence
from typing import Any

import attrs

from daisyline.coordination.effects import Send
from daisyline.coordination.gossip_messages import RecordUpdates
from daisyline.coordination.gossip_records import (
    FactRecord,
    MemberRecord,
    MemberState,
    MemberStateNotice,
)
from daisyline.coordination.jitter import jittered

FLUSH_DELAY_S = 0.04
MAX_PUSHED_UPDATES = 64
MAX_UPDATES_PER_MESSAGE = 64
_NEVER = float('inf')

_Key = tuple[str, ...]
_Update = MemberRecord | FactRecord | MemberStateNotice


@attrs.define
class PendingUpdate:
    """A piece of news and the nodes that have it already."""

    update: MemberRecord | FactRecord
    known_to: set[str]


@attrs.define
class Outbox:
    """Pieces of news that the neighbours are to be told.

    News is held back for a moment, so that one message carries many pieces
    and a neighbour that sends the same meanwhile isn't told it again. Of more
    than `BULK_COUNT` pieces the neighbours aren't told at all: they see by
    the summary that they differ and fetch what they lack.
    """

    _rng: random.Random
    _flush_at: float = _NEVER
    _pending: dict[_Key, PendingUpdate] = attrs.field(factory=dict)

    def next_at(self) -> float:
        """Return when the news has to go out."""
        return self._flush_at

    def add(
        self, update: MemberRecord | FactRecord, origin: str, now: float
    ) -> None:
        """Add a piece of news.

        Args:
            news: The record.
            origin: The node that it came from, or empty.
            now: The time in seconds.
        """
        self._pending[_key(update)] = PendingUpdate(update, {origin})
        if self._flush_at == _NEVER:
            self._flush_at = now + jittered(self._rng, FLUSH_DELAY_S)

    def record_known_to(
        self, update: MemberRecord | FactRecord, origin: str
    ) -> None:
        """Note that a node has a piece of news already."""
        entry = self._pending.get(_key(update))
        if entry and _comparable(entry.update) == _comparable(update):
            entry.known_to.add(origin)

    def flush(self, neighbours: Sequence[str]) -> tuple[list[Send], bool]:
        """Return the messages, and whether there was too much to send."""
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
    """Return news as it is sent to a node that should hold the member.

    Of suspects and members that left, the stamp is enough.
    """
    if isinstance(update, FactRecord) or update.state is MemberState.ALIVE:
        return update
    return MemberStateNotice.from_record(update)


def update_messages(node: str, update: Iterable[_Update]) -> list[Any]:
    """Return news as messages of bounded length to one peer."""
    updates = tuple(update)
    return [
        Send(
            node,
            _record_updates(updates[start : start + MAX_UPDATES_PER_MESSAGE]),
        )
        for start in range(0, len(updates), MAX_UPDATES_PER_MESSAGE)
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
