"""Take over what a read of the platform has brought."""

from typing import Any

import attrs

from daisyline.coordination.gossip import Gossip
from daisyline.coordination.gossip_records import FactRecord
from daisyline.coordination.order_reading import orders_in
from daisyline.coordination.reader import Finding
from daisyline.coordination.readers import SETTINGS_KIND, SETTINGS_NAME


@attrs.frozen
class Sources:
    """What is read of the platform.

    Attributes:
        kinds: The kinds of objects that are followed.
        current: Whether a list is never older than the call for it, so that
            a node may serve what it has read without asking others.
    """

    kinds: tuple[str, ...] = (SETTINGS_KIND,)
    current: bool = False


def learn(
    finding: Finding, gossip: Gossip, sources: Sources, now: float
) -> list[Any]:
    """Adopt the settings and the orders that a read has brought."""
    neighbours = gossip.members.overlay.neighbours()
    effects: list[Any] = []
    is_tree = finding.kind == SETTINGS_KIND
    if is_tree and sources.current:
        gossip.settings.end_start_wait(now)
    for found in finding.found:
        held = found.content is not None and found.name == SETTINGS_NAME
        if is_tree and held:
            effects.extend(
                gossip.settings.adopt(
                    found.version, found.content, neighbours, now
                )
            )
    for order in orders_in(finding, gossip.fact_store.facts):
        fact = order.to_fact()
        record = FactRecord(fact, fact.ttl_ms)
        effects.extend(gossip.put_fact(record, now))
    return effects
