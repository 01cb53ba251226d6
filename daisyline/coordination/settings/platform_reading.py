"""Applies the results of the platform's reads to a node."""

from typing import Any

import attrs

from daisyline.coordination.membership.gossip import Gossip
from daisyline.coordination.membership.gossip_records import FactRecord
from daisyline.coordination.settings.kind_reader import ReadResult
from daisyline.coordination.settings.order_reading import orders_in
from daisyline.coordination.settings.reader_role import (
    SETTINGS_KIND,
    SETTINGS_NAME,
)


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
    neighbours = gossip.members.overlay.recipients()
    effects: list[Any] = []
    is_settings_kind = result.kind == SETTINGS_KIND
    for read_object in result.read_objects:
        is_settings = (
            read_object.content is not None
            and read_object.name == SETTINGS_NAME
        )
        if is_settings_kind and is_settings:
            effects.extend(
                gossip.settings.adopt(
                    read_object.version, read_object.content, neighbours, now
                )
            )
    if is_settings_kind and read_config.lists_are_current:
        effects.extend(gossip.settings.end_start_wait(now))
    if is_settings_kind and gossip.reader_role.confirm(now):
        effects.extend(gossip.pass_on_confirmation())
    for order in orders_in(result, gossip.fact_store.facts):
        fact = order.to_fact()
        record = FactRecord(fact, fact.ttl_ms)
        effects.extend(gossip.put_fact(record, now))
    return effects
