"""What a stand-in target can bear, and the faults that it can be given."""

import random
from typing import Any

import attrs

MS_PER_S = 1000
FIXED_FRACTION = 0.25
INSTANT_PATH = '/instant'


def _instant_route() -> dict[str, float]:
    return {INSTANT_PATH: 0}


@attrs.frozen
class TargetPlan:
    """What a target can bear and how it behaves without faults.

    Attributes:
        service: The service that it is an upstream of.
        version: The version of the service that it runs.
        slots: Calls that it bears at once.
        connections: Connections that it bears at once.
        service_ms: Mean service time of a call, in milliseconds.
        route_ms: Mean service time of the paths that start with a prefix.
        cold_calls: Calls after a start that are slower.
        cold_factor: How many times slower they are.
        cold_bound: Calls at once that it bears while it is cold.
        load_lag_s: How far the load endpoint lags, in seconds.
        chain_service: The service that chained calls go to; empty for its own.
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
        slow_factor: Service times are this many times longer.
        fail_fast: The share of calls that fail at once, from 0 to 1.
        bad_route: The prefix of the paths that fail or slow down; empty
            means all.
        bad_above: Faults show only with more calls than this at once.
        misleading_load: The load endpoint says that nothing runs.
    """

    slow_factor: float = 1
    fail_fast: float = 0
    bad_route: str = ''
    bad_above: int = 0
    misleading_load: bool = False

    @classmethod
    def from_fields(cls, fields: dict[str, Any]) -> 'TargetFaults':
        """Build faults from those fields that name one."""
        known = {field.name for field in attrs.fields(cls)}
        return cls(**{key: fields[key] for key in known.intersection(fields)})

    def applies_to(self, path: str, running: int) -> bool:
        """Return whether the faults apply to a call."""
        return path.startswith(self.bad_route) and running > self.bad_above
