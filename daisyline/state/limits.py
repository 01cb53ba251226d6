"""Limits of a service's upstreams, in the units of the users' contracts."""

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

LEAST = 'least'
MOST = 'most'
PATH = 'path'


def _number(default: int, least: int, most: int) -> Any:
    """Define a whole number and the range that the tree may give it."""
    return attrs.field(default=default, metadata={LEAST: least, MOST: most})


@attrs.frozen
class Limits:
    """What holds for the upstreams of one service in one zone.

    Attributes:
        slots_per_upstream: Calls that one target runs at once.
        connections_per_server: Connections open to one target.
        queue_per_upstream: Calls that wait at one target's node.
        queue_wait_ms: Longest wait in that queue, in milliseconds.
        deadline_ms: A call's deadline if its caller states none.
        body_limit_bytes: Longest body of a request.
        retry_percent: Retries allowed per hundred calls.
        repeatable_methods: Methods that may be sent again.
        tenant_header: The header that names the caller's tenant or class.
        probe_budget_ms_per_s: Target time that probes may take, in
            milliseconds per second.
        cold_start_ms: How long a target takes to warm up, in milliseconds.
        zone_return_ms: Over how long a zone's share grows after its return,
            in milliseconds.
        retry_reserve: Retries that all nodes together may save up beside
            `retry_percent`.
        cold_calls_per_s: Calls that a cold target bears in any second; 0 if
            one at a time is all that is known.
        slots_used_percent: The part of the slots that is used, for targets
            that slow down when they are nearly full.
        zone_preference_ms: How much longer a call may take in the zone where
            it came in before it goes to another, in milliseconds.
        bulky_zone_preference_ms: The same for calls with large answers.
        pace_path: Where a target says how fast it works; empty if it doesn't.
    """

    slots_per_upstream: int = _number(DEFAULT_SLOTS, 1, MAX_SLOTS)
    connections_per_server: int = _number(
        DEFAULT_CONNECTIONS, 1, MAX_CONNECTIONS
    )
    queue_per_upstream: int = _number(DEFAULT_QUEUE, 0, MAX_QUEUE)
    queue_wait_ms: int = _number(DEFAULT_QUEUE_WAIT_MS, 0, MAX_QUEUE_WAIT_MS)
    deadline_ms: int = _number(
        DEFAULT_DEADLINE_MS, MIN_DEADLINE_MS, MAX_DEADLINE_MS
    )
    body_limit_bytes: int = _number(
        DEFAULT_BODY_LIMIT_BYTES, MIN_BODY_LIMIT_BYTES, MAX_BODY_LIMIT_BYTES
    )
    retry_percent: int = _number(DEFAULT_RETRY_PERCENT, 0, PERCENT)
    repeatable_methods: tuple[str, ...] = attrs.field(
        default=('GET', 'HEAD', 'OPTIONS'), converter=tuple
    )
    tenant_header: str = 'x-tenant'
    probe_budget_ms_per_s: int = _number(
        DEFAULT_PROBE_BUDGET_MS_PER_S, 0, MAX_PROBE_BUDGET_MS_PER_S
    )
    cold_start_ms: int = _number(DEFAULT_COLD_START_MS, 0, MAX_COLD_START_MS)
    zone_return_ms: int = _number(DEFAULT_ZONE_RETURN_MS, 0, MAX_ZONE_RETURN_MS)
    retry_reserve: int = _number(DEFAULT_RETRY_RESERVE, 0, MAX_RETRY_RESERVE)
    cold_calls_per_s: int = _number(
        DEFAULT_COLD_CALLS_PER_S, 0, MAX_COLD_CALLS_PER_S
    )
    slots_used_percent: int = _number(
        DEFAULT_SLOTS_USED_PERCENT, MIN_SLOTS_USED_PERCENT, PERCENT
    )
    zone_preference_ms: int = _number(
        DEFAULT_ZONE_PREFERENCE_MS, 0, MAX_ZONE_PREFERENCE_MS
    )
    bulky_zone_preference_ms: int = _number(
        DEFAULT_ZONE_PREFERENCE_MS, 0, MAX_ZONE_PREFERENCE_MS
    )
    pace_path: str = attrs.field(default='', metadata={PATH: True})


LIMIT_NAMES = tuple(field.name for field in attrs.fields(Limits))
