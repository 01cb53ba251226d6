"""Departures: starts of targets that have announced that they leave.

They are facts, because the node beside a target may restart before the target
has ended. Its new process then learns of the departure from the other nodes.
"""

from daisyline.state.facts import Fact

DEPARTURE = 'departure'
# Targets go on for some seconds after they leave, and their announcements
# arrive late by as much.
_TTL_MS = 120_000

Incarnation = tuple[str, int]


def departure_fact(incarnation: Incarnation) -> Fact:
    """Return the fact that a start of a target leaves.

    Args:
        incarnation: The instance and its start, see `Target.incarnation`.
    """
    instance, started_ms = incarnation
    name = f'{instance}/{started_ms}'
    return Fact(DEPARTURE, name, 0, incarnation, _TTL_MS)


def departed_incarnation(fact: Fact) -> Incarnation | None:
    """Return the start that leaves; None if the fact is no such departure."""
    if fact.kind != DEPARTURE or tuple(map(type, fact.payload)) != (str, int):
        return None
    instance, started_ms = fact.payload
    return instance, started_ms
