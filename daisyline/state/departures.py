"""Departures: starts of targets that have announced that they leave.

They are facts, because the node beside a target may restart before the target
has ended. Its new process then learns of the departure from the other nodes. If
all nodes restart, it learns of it from the platform's store.
"""

import attrs

from daisyline.state.facts import Fact

DEPARTURE = 'departure'
# The kind of the objects in the platform's store.
DEPARTURES_KIND = 'departures'
# Targets go on for some seconds after they leave, and their announcements
# arrive late by as much.
DEPARTURE_TTL_MS = 120_000

Incarnation = tuple[str, int]


@attrs.frozen
class Departure:
    """A departure as the platform's store keeps it.

    Attributes:
        instance: The instance that left.
        started_ms: When it started, in Unix milliseconds; 0 if the departure
            did not state it.
        left_ms: When its node learned of the departure, in Unix milliseconds.
    """

    instance: str
    started_ms: int
    left_ms: int

    @property
    def incarnation(self) -> Incarnation:
        """Return the instance and its start, see `Target.incarnation`."""
        return (self.instance, self.started_ms)


def departure_fact(incarnation: Incarnation) -> Fact:
    """Return the fact that a start of a target leaves.

    Args:
        incarnation: The instance and its start, see `Target.incarnation`.
    """
    instance, started_ms = incarnation
    name = f'{instance}/{started_ms}'
    return Fact(DEPARTURE, name, 0, incarnation, DEPARTURE_TTL_MS)


def departed_incarnation(fact: Fact) -> Incarnation | None:
    """Return the start that leaves; None if the fact is no such departure."""
    if fact.kind != DEPARTURE or tuple(map(type, fact.payload)) != (str, int):
        return None
    instance, started_ms = fact.payload
    return instance, started_ms
