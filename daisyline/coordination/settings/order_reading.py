"""Converts the objects that a read of the platform returned to orders."""

from collections.abc import Iterable, Mapping
from typing import Any

from daisyline.coordination.settings.kind_reader import ReadObject, ReadResult
from daisyline.state.facts import Fact
from daisyline.state.orders import (
    ROLLOUT_ORDER,
    ZONE_ORDER,
    Order,
    rollout_order,
    zone_out_order,
)
from daisyline.state.rollout_plan import RolloutPlan

ZONES_KIND = 'zones'
ROLLOUTS_KIND = 'rollout-orders'


def orders_in(
    result: ReadResult, held: Mapping[tuple[str, str], Fact]
) -> list[Order]:
    """Return the orders that a read shows as given or withdrawn.

    Args:
        result: The result of a read; for kinds other than those of orders
            nothing is returned.
        held: The facts that this node holds, by kind and name.
    """
    kind = _order_kind(result.kind)
    if kind is None:
        return []
    read = [_order(kind, read_object) for read_object in result.read_objects]
    orders = [order for order in read if order is not None]
    if result.is_complete:
        listed = {read_object.name for read_object in result.read_objects}
        orders += _withdrawn(kind, listed, result.revision, held)
    return orders


def _order_kind(kind: str) -> str | None:
    return {ZONES_KIND: ZONE_ORDER, ROLLOUTS_KIND: ROLLOUT_ORDER}.get(kind)


def _withdrawn(
    kind: str,
    listed: Iterable[str],
    revision: int,
    held: Mapping[tuple[str, str], Fact],
) -> list[Order]:
    """Return an empty order for each held one that is no longer listed.

    Orders newer than the list are left as they are.
    """
    listed_names = set(listed)
    held_orders = [
        fact for fact in held.values() if fact.kind == kind and fact.payload
    ]
    return [
        Order(kind, fact.name, revision)
        for fact in held_orders
        if fact.rank <= revision and fact.name not in listed_names
    ]


def _order(kind: str, read_object: ReadObject) -> Order | None:
    """Return the order in an object; None if the object is malformed."""
    if read_object.content is None:
        return Order(kind, read_object.name, read_object.version)
    if kind == ZONE_ORDER:
        return zone_out_order(read_object.name, read_object.version)
    plan = _plan(read_object.name, read_object.content)
    return None if plan is None else rollout_order(plan, read_object.version)


def _plan(service: str, content: Any) -> RolloutPlan | None:
    try:
        return RolloutPlan(service=service, **content)
    except (TypeError, ValueError):
        return None
