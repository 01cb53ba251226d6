"""Limits of a service's upstreams, with their defaults and ranges."""

from typing import Any

import attrs

DEFAULT_SLOTS = 8
DEFAULT_CONNECTIONS = 200
DEFAULT_QUEUE = 64
DEFAULT_QUEUE_WAIT_MS = 500
DEFAULT_DEADLINE_MS = 10_000
DEFAULT_BODY_LIMIT_BYTES = 1_048_576
DEFAULT_RETRY_PERCENT = 10
DEFAULT_PROBE_BUDGET_MS_PER_S = 10
DEFAULT_COLD_START_MS = 10_000
DEFAULT_ZONE_RETURN_MS = 30_000
DEFAULT_RETRY_RESERVE = 20
DEFAULT_COLD_CALLS_PER_S = 0
DEFAULT_SLOTS_USED_PERCENT = 100
DEFAULT_ZONE_PREFERENCE_MS = 0

MAX_SLOTS = 10_000
MAX_CONNECTIONS = 10_000
MAX_QUEUE = 100_000
MAX_QUEUE_WAIT_MS = 60_000
MIN_DEADLINE_MS = 10
MAX_DEADLINE_MS = 600_000
MIN_BODY_LIMIT_BYTES = 1024
MAX_BODY_LIMIT_BYTES = 67_108_864
PERCENT = 100
MAX_PROBE_BUDGET_MS_PER_S = 1000
MAX_COLD_START_MS = 600_000
MAX_ZONE_RETURN_MS = 3_600_000
MAX_RETRY_RESERVE = 100_000
MAX_COLD_CALLS_PER_S = 100_000
MIN_SLOTS_USED_PERCENT = 10
MAX_ZONE_PREFERENCE_MS = 60_000

MINIMUM = 'least'
MAXIMUM = 'most'
IS_PATH = 'path'


def _integer(default: int, minimum: int, maximum: int) -> Any:
    """Define an integer field with the range allowed in the settings tree."""
    return attrs.field(
        default=default, metadata={MINIMUM: minimum, MAXIMUM: maximum}
    )


@attrs.frozen
class Limits:
    """The limits of the upstreams of one service in one zone.

    Attributes:
        slots_per_upstream: Maximum number of concurrent calls of one target.
        connections_per_server: Maximum number of connections to one target.
        queue_per_upstream: Maximum number of calls queued at one target's
            node.
        queue_wait_ms: Longest wait in that queue, in milliseconds.
        deadline_ms: Deadline of a call whose caller states none, in
            milliseconds.
        body_limit_bytes: Largest body of a request, in bytes.
        retry_percent: Retries allowed per hundred calls.
        repeatable_methods: HTTP methods of requests that may be sent again.
        tenant_header: Name of the header that holds the caller's tenant or
            class.
        probe_budget_ms_per_s: How much of a target's time probes may take,
            in milliseconds per second.
        cold_start_ms: How long a target takes to warm up, in milliseconds.
        zone_return_ms: How long a zone's share grows after it was put back in
            use until it is full, in milliseconds.
        retry_reserve: How many unused retries all nodes together may save
            up, in addition to `retry_percent`.
        cold_calls_per_s: How many calls a cold target can take in any second; 0
            if this is unknown, which allows it one call at a time.
        slots_used_percent: Percentage of the slots that is used, for targets
            that slow down when they are nearly full.
        zone_preference_ms: How much longer a call may take in the zone where
            it arrived before it is sent to another zone, in milliseconds.
        bulky_zone_preference_ms: The same for calls with large answers.
        zone_preference_percent: The same in percent of the objective of the
            call's route; the longer of both times applies.
        pace_path: Path at which a target reports its pace; empty if it has
            none.
    """

    slots_per_upstream: int = _integer(DEFAULT_SLOTS, 1, MAX_SLOTS)
    connections_per_server: int = _integer(
        DEFAULT_CONNECTIONS, 1, MAX_CONNECTIONS
    )
    queue_per_upstream: int = _integer(DEFAULT_QUEUE, 0, MAX_QUEUE)
    queue_wait_ms: int = _integer(DEFAULT_QUEUE_WAIT_MS, 0, MAX_QUEUE_WAIT_MS)
    deadline_ms: int = _integer(
        DEFAULT_DEADLINE_MS, MIN_DEADLINE_MS, MAX_DEADLINE_MS
    )
    body_limit_bytes: int = _integer(
        DEFAULT_BODY_LIMIT_BYTES, MIN_BODY_LIMIT_BYTES, MAX_BODY_LIMIT_BYTES
    )
    retry_percent: int = _integer(DEFAULT_RETRY_PERCENT, 0, PERCENT)
    repeatable_methods: tuple[str, ...] = attrs.field(
        default=('GET', 'HEAD', 'OPTIONS'), converter=tuple
    )
    tenant_header: str = 'x-tenant'
    probe_budget_ms_per_s: int = _integer(
        DEFAULT_PROBE_BUDGET_MS_PER_S, 0, MAX_PROBE_BUDGET_MS_PER_S
    )
    cold_start_ms: int = _integer(DEFAULT_COLD_START_MS, 0, MAX_COLD_START_MS)
    zone_return_ms: int = _integer(
        DEFAULT_ZONE_RETURN_MS, 0, MAX_ZONE_RETURN_MS
    )
    retry_reserve: int = _integer(DEFAULT_RETRY_RESERVE, 0, MAX_RETRY_RESERVE)
    cold_calls_per_s: int = _integer(
        DEFAULT_COLD_CALLS_PER_S, 0, MAX_COLD_CALLS_PER_S
    )
    slots_used_percent: int = _integer(
        DEFAULT_SLOTS_USED_PERCENT, MIN_SLOTS_USED_PERCENT, PERCENT
    )
    zone_preference_ms: int = _integer(
        DEFAULT_ZONE_PREFERENCE_MS, 0, MAX_ZONE_PREFERENCE_MS
    )
    bulky_zone_preference_ms: int = _integer(
        DEFAULT_ZONE_PREFERENCE_MS, 0, MAX_ZONE_PREFERENCE_MS
    )
    zone_preference_percent: int = _integer(0, 0, PERCENT)
    pace_path: str = attrs.field(default='', metadata={IS_PATH: True})


LIMIT_NAMES = tuple(field.name for field in attrs.fields(Limits))
