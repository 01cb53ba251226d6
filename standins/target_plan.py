"""The capacity, the service times and the faults of a stand-in target."""

import random
from typing import Any

import attrs

from standins.target_answers import DELIVERIES

MS_PER_S = 1000
FIXED_FRACTION = 0.25
INSTANT_PATH = '/instant'


def _instant_route() -> dict[str, float]:
    return {INSTANT_PATH: 0}


@attrs.frozen
class TargetPlan:
    """The capacity of a target and its service times without faults.

    Attributes:
        service: The service that the target is an upstream of.
        version: The version of the service that the target runs.
        slots: The greatest number of concurrent calls within the contract.
        connections: The greatest number of open connections.
        service_ms: The mean service time of a call, in milliseconds.
        route_ms: Mean service times in milliseconds, by path prefix.
        cold_calls: How many calls after a start are slower.
        cold_factor: How many times longer those calls take.
        cold_bound: The greatest number of concurrent calls while it is cold.
        load_lag_s: How old the reported load may be, in seconds.
        chain_service: The service that chained calls go to; empty for the
            target's own.
    """

    service: str
    version: str = 'v1'
    slots: int = 8
    connections: int = 200
    service_ms: float = 5
    route_ms: dict[str, float] = attrs.field(factory=_instant_route)
    cold_calls: int = 20
    cold_factor: float = 4
    cold_bound: int = 2
    load_lag_s: float = 1
    chain_service: str = ''

    def service_s(self, path: str, source: random.Random) -> float:
        """Draw the service time of one call without faults, in seconds."""
        mean_ms = self.service_ms
        for prefix, route_ms in self.route_ms.items():
            if path.startswith(prefix):
                mean_ms = route_ms
        varying = source.expovariate(1) * (1 - FIXED_FRACTION)
        return mean_ms * (FIXED_FRACTION + varying) / MS_PER_S


@attrs.frozen
class TargetFaults:
    """Faults that can be set while the target runs.

    Attributes:
        slow_factor: How many times longer service times are.
        fail_fast: The fraction of calls that fail at once, from 0 to 1.
        bad_route: The prefix of the paths that fail or slow down; empty
            for all paths.
        bad_above: Faults apply only above this number of running calls.
        misleading_load: The load endpoint always reports that nothing runs.
        answers: How answers are delivered, a name of `DELIVERIES`.
    """

    slow_factor: float = 1
    fail_fast: float = 0
    bad_route: str = ''
    bad_above: int = 0
    misleading_load: bool = False
    answers: str = attrs.field(
        default='whole', validator=attrs.validators.in_(DELIVERIES)
    )

    @classmethod
    def from_fields(cls, fields: dict[str, Any]) -> 'TargetFaults':
        """Return the faults that the fields set; other fields are ignored."""
        known = {field.name for field in attrs.fields(cls)}
        return cls(**{key: fields[key] for key in known.intersection(fields)})

    def applies_to(self, path: str, running: int) -> bool:
        """Return whether the faults apply to a call at the given load."""
        return path.startswith(self.bad_route) and running > self.bad_above
