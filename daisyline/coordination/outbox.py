"""News on its way to the neighbours, gathered for a moment."""

import random
from collections.abc import Iterable, Sequence
from typing import Any

import attrs

from daisyline.coordination.effects import Send
from daisyline.coordination.gossip_messages import Rumours
from daisyline.coordination.gossip_records import (
    FactRecord,
    MemberRecord,
    MemberState,
    MemberStateNotice,
)
from daisyline.coordination.jitter import jittered

GATHER_S = 0.04
BULK_COUNT = 64
CHUNK_COUNT = 64
_NEVER = float('inf')

_Key = tuple[str, ...]
_News = MemberRecord | FactRecord | MemberStateNotice


@attrs.define
class Entry:
    """A piece of news and the nodes that have it already."""

    news: MemberRecord | FactRecord
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
    _entries: dict[_Key, Entry] = attrs.field(factory=dict)

    def next_at(self) -> float:
        """Return when the news has to go out."""
        return self._flush_at

    def put(
        self, news: MemberRecord | FactRecord, origin: str, now: float
    ) -> None:
        """Add a piece of news.

        Args:
            news: The record.
            origin: The node that it came from, or empty.
            now: The time in seconds.
        """
        self._entries[_key(news)] = Entry(news, {origin})
        if self._flush_at == _NEVER:
            self._flush_at = now + jittered(self._rng, GATHER_S)

    def heard_again(self, news: MemberRecord | FactRecord, origin: str) -> None:
        """Note that a node has a piece of news already."""
        entry = self._entries.get(_key(news))
        if entry and _content(entry.news) == _content(news):
            entry.known_to.add(origin)

    def flush(self, neighbours: Sequence[str]) -> tuple[list[Send], bool]:
        """Return the messages, and whether there was too much to send."""
        self._flush_at = _NEVER
        entries = tuple(self._entries.values())
        self._entries.clear()
        if len(entries) > BULK_COUNT:
            return [], True
        effects: list[Send] = []
        subjects = [
            entry.news.member.name
            for entry in entries
            if isinstance(entry.news, MemberRecord)
            and entry.news.state is MemberState.SUSPECT
        ]
        for name in dict.fromkeys((*neighbours, *subjects)):
            lacking = [
                shortened(entry.news)
                for entry in entries
                if name not in entry.known_to
                and (name in neighbours or _key(entry.news)[1] == name)
            ]
            effects.extend(messages_to(name, lacking))
        return effects, False


def shortened(news: MemberRecord | FactRecord) -> _News:
    """Return news as it is sent to a node that should hold the member.

    Of suspects and members that left, the stamp is enough.
    """
    if isinstance(news, FactRecord) or news.state is MemberState.ALIVE:
        return news
    return MemberStateNotice.from_record(news)


def messages_to(node: str, news: Iterable[_News]) -> list[Any]:
    """Return news as messages of bounded length to one peer."""
    pieces = tuple(news)
    return [
        Send(node, _rumours(pieces[start : start + CHUNK_COUNT]))
        for start in range(0, len(pieces), CHUNK_COUNT)
    ]


def _rumours(pieces: Sequence[_News]) -> Rumours:
    return Rumours(
        records=[one for one in pieces if isinstance(one, MemberRecord)],
        facts=[one for one in pieces if isinstance(one, FactRecord)],
        notices=[one for one in pieces if isinstance(one, MemberStateNotice)],
    )


def _key(news: MemberRecord | FactRecord) -> _Key:
    if isinstance(news, MemberRecord):
        return ('member', news.member.name)
    return ('fact', *news.fact.key)


def _content(news: MemberRecord | FactRecord) -> Any:
    return news if isinstance(news, MemberRecord) else news.fact
