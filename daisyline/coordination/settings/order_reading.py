"""Converts the objects that a read of the platform returned to orders."""

import math
from collections.abc import Mapping
from typing import Any

import attrs

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
from daisyline.state.rollout_state import FACT_KIND, fact_name_of
from daisyline.state.store_time import StoreTime

ZONES_KIND = 'zones'
ROLLOUTS_KIND = 'rollout-orders'
# How long operators take to write again what a copy of the store lacks.
REWRITE_WAIT_S = 2.0
# After this time an order that the copy lacks counts as withdrawn: operators
# have withdrawn it while the store was away. To keep an order for too long
# costs a zone's capacity, to drop it too early breaks it.
MISSING_WAIT_S = 15.0

Facts = Mapping[tuple[str, str], Fact]


@attrs.frozen
class OrdersRead:
    """The orders that a read shows.

    Attributes:
        orders: The orders that were given or withdrawn.
        decided_at_s: When another list tells more about orders that may be
            older than those held, or are missing, in seconds after the store
            has come back; infinity if there are none.
    """

    orders: tuple[Order, ...] = ()
    decided_at_s: float = math.inf


def orders_in(
    result: ReadResult, held: Facts, copy_age_s: float = math.inf
) -> OrdersRead:
    """Return the orders that a read shows as given or withdrawn.

    Args:
        result: The result of a read; for kinds other than those of orders
            nothing is returned.
        held: The facts that this node holds, by kind and name.
        copy_age_s: The time since the store came back from a copy, in seconds.
    """
    kind = _order_kind(result.kind)
    if kind is None:
        return OrdersRead()
    read = [
        (order, held.get((kind, order.name)))
        for read_object in result.read_objects
        if (order := _order(kind, read_object, result, held)) is not None
    ]
    decided = [
        order
        for order, fact in read
        if copy_age_s >= REWRITE_WAIT_S
        or not (result.is_complete and _may_be_of_copy(order, fact))
    ]
    missing = _missing(kind, result, held) if result.is_complete else []
    withdrawn = [
        Order(kind, fact.name, result.time.rank)
        for fact in missing
        if copy_age_s >= MISSING_WAIT_S or _is_of_era(fact, result.era)
    ]
    decided_at_s = math.inf
    if len(withdrawn) < len(missing):
        decided_at_s = MISSING_WAIT_S
    if len(decided) < len(read):
        decided_at_s = REWRITE_WAIT_S
    return OrdersRead((*decided, *withdrawn), decided_at_s)


def _order_kind(kind: str) -> str | None:
    return {ZONES_KIND: ZONE_ORDER, ROLLOUTS_KIND: ROLLOUT_ORDER}.get(kind)


def _may_be_of_copy(order: Order, held: Fact | None) -> bool:
    """Return whether a listed order may be older than what is held."""
    if held is None or _is_same(order, held):
        return False
    listed = StoreTime.from_rank(order.revision)
    return listed.may_be_before(StoreTime.from_rank(held.rank))


def _is_same(order: Order, held: Fact) -> bool:
    """Return whether an order is the one held, given at whatever time."""
    if order.kind == ROLLOUT_ORDER:
        # The id of a rollout follows from the time of its order.
        return order.payload[1:] == held.payload[1:]
    return order.payload == held.payload


def _missing(kind: str, result: ReadResult, held: Facts) -> list[Fact]:
    """Return the orders held that a list should have if they are in force.

    Orders newer than the list are left out.
    """
    listed = {read_object.name for read_object in result.read_objects}
    return [
        fact
        for fact in held.values()
        if fact.kind == kind
        and fact.payload
        and fact.name not in listed
        and StoreTime.from_rank(fact.rank) <= result.time
    ]


def _is_of_era(fact: Fact, era: int) -> bool:
    return StoreTime.from_rank(fact.rank).era == era


def _order(
    kind: str, read_object: ReadObject, result: ReadResult, held: Facts
) -> Order | None:
    """Return the order in an object; None if the object is malformed."""
    time = result.time_of(read_object)
    if read_object.content is None:
        return Order(kind, read_object.name, time.rank)
    if kind == ZONE_ORDER:
        return zone_out_order(read_object.name, time.rank)
    plan = _plan(read_object.name, read_object.content)
    if plan is None:
        return None
    order = rollout_order(plan, time.rank)
    if not _takes_old_id(order, plan, held):
        return order
    own_id = f'{plan.id}@{time.era}'
    return rollout_order(attrs.evolve(plan, id=own_id), time.rank)


def _takes_old_id(order: Order, plan: RolloutPlan, held: Facts) -> bool:
    """Return whether another rollout of an earlier era had the id of this one.

    Ids are given out again with the revisions that they are made of.
    """
    fact = held.get((ROLLOUT_ORDER, plan.service))
    if fact is None or _is_same(order, fact):
        return False
    is_later_era = not _is_of_era(fact, StoreTime.from_rank(order.revision).era)
    return is_later_era and (FACT_KIND, fact_name_of(plan)) in held


def _plan(service: str, content: Any) -> RolloutPlan | None:
    try:
        return RolloutPlan(service=service, **content)
    except (TypeError, ValueError):
        return None
