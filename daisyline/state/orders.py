"""Orders of operators that the platform stores outside the settings tree."""

from collections.abc import Mapping
from typing import Any

import attrs

from daisyline.state.facts import LASTING_TTL_MS, Fact
from daisyline.state.rollout_plan import RolloutPlan

ZONE_ORDER = 'zone-order'
ROLLOUT_ORDER = 'rollout-order'
ORDER_KINDS = (ZONE_ORDER, ROLLOUT_ORDER)

_OUT = 'out'


@attrs.frozen
class Order:
    """An order as the platform stores it.

    Attributes:
        kind: One of `ORDER_KINDS`.
        name: The zone or service that the order is for.
        revision: The rank of the time at which the platform's store got or
            lost the order, see `StoreTime`.
        payload: The fields of the order; empty if it was withdrawn.
    """

    kind: str
    name: str
    revision: int
    payload: tuple[Any, ...] = ()

    def to_fact(self) -> Fact:
        """Return the fact that spreads the order."""
        return Fact(
            self.kind, self.name, self.revision, self.payload, LASTING_TTL_MS
        )


def zone_out_order(zone: str, revision: int) -> Order:
    """Return the order to send no calls to the targets of a zone."""
    return Order(ZONE_ORDER, zone, revision, (_OUT,))


def rollout_order(plan: RolloutPlan, revision: int) -> Order:
    """Return the order to move a service to another version."""
    payload = (
        plan.id,
        plan.old,
        plan.new,
        plan.finish_in_s,
        str(plan.state),
        plan.exposed_percent,
    )
    return Order(ROLLOUT_ORDER, plan.service, revision, payload)


@attrs.frozen
class Orders:
    """The orders in force.

    Attributes:
        zones_out: Zones whose targets get no calls.
        rollouts: The ordered rollout of each service.
    """

    zones_out: frozenset[str] = frozenset()
    rollouts: Mapping[str, RolloutPlan] = attrs.field(factory=dict)

    @classmethod
    def from_facts(cls, facts: Mapping[tuple[str, str], Fact]) -> 'Orders':
        """Return the orders among a node's facts.

        Args:
            facts: The facts by kind and name; other kinds are ignored.
        """
        rollouts = {}
        zones = set()
        for (kind, name), fact in facts.items():
            if kind == ZONE_ORDER and fact.payload:
                zones.add(name)
            if kind == ROLLOUT_ORDER and fact.payload:
                rollouts[name] = RolloutPlan(name, *fact.payload)
        return cls(frozenset(zones), rollouts)
