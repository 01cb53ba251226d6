"""Dates the platform's answers and applies what its reads return."""

from typing import Any

import attrs

from daisyline.coordination.effects import DropPlatformCalls, PlatformReply
from daisyline.coordination.membership.fact_events import PutFact
from daisyline.coordination.membership.fleet_events import StoreReturned
from daisyline.coordination.membership.gossip import Gossip
from daisyline.coordination.membership.gossip_records import FactRecord
from daisyline.coordination.settings.kind_reader import ReadObject, ReadResult
from daisyline.coordination.settings.order_reading import (
    REWRITE_WAIT_S,
    orders_in,
)
from daisyline.coordination.settings.reader_role import (
    SETTINGS_KIND,
    SETTINGS_NAME,
)
from daisyline.state.settings_history import EDITION
from daisyline.state.store_time import StoreTime, era_fact


@attrs.frozen
class PlatformReadConfig:
    """What a node reads of the platform.

    Attributes:
        kinds: The kinds of objects that are read.
        lists_are_current: Whether a list always has the state at the time of
            its request or a later one, so that a node may use the settings it
            has read without asking other nodes for newer ones.
        keeps_departures: Whether the platform stores which targets have left.
    """

    kinds: tuple[str, ...] = (SETTINGS_KIND,)
    lists_are_current: bool = False
    keeps_departures: bool = False


@attrs.define
class StoreClock:
    """The newest era that this node has learned of.

    Attributes:
        late_answers: The number of answers that were ignored, as they were of
            an older era.
    """

    late_answers: int = 0
    _era: int | None = None

    @property
    def era(self) -> int:
        """Return the newest known era; 0 if none is known."""
        return self._era or 0

    def learn(self, era: int | None) -> list[Any]:
        """Learn an era of the store; one that is not newer changes nothing.

        Args:
            era: The era; None if an answer states none.

        Returns:
            Effects; `StoreReturned` if an older era was known before.
        """
        before = self._era
        if era is None or (before is not None and era <= before):
            return []
        self._era = era
        told = [PutFact(era_fact(era))] if era else []
        if before is None:
            return told
        return [DropPlatformCalls(), StoreReturned(era, before), *told]

    def date(self, reply: PlatformReply) -> PlatformReply:
        """Return an answer with its era.

        An answer of an older era is replaced by none: what it says holds no
        longer, and a write that it confirms may be lost.
        """
        if reply.era is None:
            return attrs.evolve(reply, era=self.era)
        if reply.era >= self.era:
            return reply
        self.late_answers += 1
        return PlatformReply(reply.token, 0, era=self.era)


def apply_read_result(
    result: ReadResult,
    gossip: Gossip,
    read_config: PlatformReadConfig,
    now: float,
) -> list[Any]:
    """Apply the settings and orders in a result; return the effects.

    Args:
        result: The result of a read.
        gossip: The node's view of the fleet; the node's neighbours in the
            overlay are sent what changed.
        read_config: What the node reads of the platform.
        now: Monotonic seconds.
    """
    effects: list[Any] = []
    if result.kind == SETTINGS_KIND:
        effects += _apply_settings(result, gossip, read_config, now)
    copy_since = gossip.reader_role.copy_since
    read = orders_in(result, gossip.fact_store.facts, now - copy_since)
    gossip.reader_role.list_again(result.kind, copy_since + read.decided_at_s)
    for order in read.orders:
        fact = order.to_fact()
        record = FactRecord(fact, fact.ttl_ms)
        effects.extend(gossip.put_fact(record, now))
    return effects


def _apply_settings(
    result: ReadResult,
    gossip: Gossip,
    read_config: PlatformReadConfig,
    now: float,
) -> list[Any]:
    neighbours = gossip.members.overlay.recipients()
    settings = gossip.settings
    effects: list[Any] = []
    for read_object in result.read_objects:
        content = read_object.content
        if content is None or read_object.name != SETTINGS_NAME:
            continue
        if _may_be_of_copy(result, read_object, gossip, now):
            settled_at = gossip.reader_role.copy_since + REWRITE_WAIT_S
            gossip.reader_role.list_again(result.kind, settled_at)
            continue
        version = result.time_of(read_object).rank
        effects += settings.adopt(version, content, neighbours, now)
    if read_config.lists_are_current:
        effects += settings.end_start_wait(now)
    if gossip.reader_role.confirm(now):
        effects += gossip.pass_on_confirmation()
    return effects


def _may_be_of_copy(
    result: ReadResult, read_object: ReadObject, gossip: Gossip, now: float
) -> bool:
    """Return whether settings may be older than those held.

    Where operators number their editions, these tell. Otherwise what is held
    stays until operators had time to write theirs again.
    """
    held = StoreTime.from_rank(gossip.settings.version)
    return (
        result.is_complete
        and now < gossip.reader_role.copy_since + REWRITE_WAIT_S
        and result.time_of(read_object).may_be_before(held)
        and not _has_edition(read_object.content)
    )


def _has_edition(content: Any) -> bool:
    return isinstance(content, dict) and bool(content.get(EDITION))
