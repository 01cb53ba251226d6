"""Slopes of gossip, settings and platform calls by the number of members."""

import time
from typing import Any

import attrs

from bench import gossip
from bench.capacity_fit import Series, TargetSize

MEMBER_COUNTS = (25, 50, 100, 200)
OBSERVATION_S = 300.0
TIME_LIMIT_S = 60.0
US_PER_S = 1_000_000
_GOSSIP_SERIES = (
    ('idle_bytes_s', 'gossip, idle, bytes/s'),
    ('settings_s', 'settings change in force on all, s (steps of 0.1)'),
    ('settings_cpu_ms', 'settings change, decisions ms'),
    ('settings_bytes', 'settings change, bytes'),
    ('change_bytes', "member's change, bytes"),
    ('crash_s', 'crash known to all, s'),
    ('crash_bytes', 'crash, bytes'),
    ('day_bytes_s', "gossip at the target's rates, bytes/s"),
)


@attrs.define
class IdleFleet:
    """Background costs of a fleet without calls or changes.

    Attributes:
        start_calls: Platform calls per node in the first minutes.
        calls_s: Platform calls per second of the whole fleet afterwards.
        messages_s: Messages per second and node.
        cpu_us_s: Processor time of the decisions of a node, in microseconds
            per second.
    """

    start_calls: float = 0
    calls_s: float = 0
    messages_s: float = 0
    cpu_us_s: float = 0

    @classmethod
    def from_size(cls, size: int) -> 'IdleFleet':
        """Run an idle fleet on a virtual clock and measure it."""
        meter = gossip.TrafficMeter.from_size(size)
        meter.is_counting = False
        pump = meter.pump
        started = pump.platform.calls
        sent = [0]

        def count(_sender: str, _message: Any) -> None:
            sent[0] += 1

        pump.on_send = count
        started_at = time.process_time()
        pump.run(OBSERVATION_S)
        spent = time.process_time() - started_at
        return cls(
            start_calls=started / size,
            calls_s=(pump.platform.calls - started) / OBSERVATION_S,
            messages_s=sent[0] / OBSERVATION_S / size,
            cpu_us_s=spent * US_PER_S / OBSERVATION_S / size,
        )


_IDLE_SERIES = (
    ('messages_s', 'gossip, idle, messages/s'),
    ('cpu_us_s', 'gossip, idle, decisions us/s'),
    ('start_calls', 'platform calls of a node in its first minutes'),
    ('calls_s', 'platform calls/s of the fleet, idle'),
)


def measure() -> list[Series]:
    """Measure fleets of each size and return the series."""
    measured_fleets = [(size, gossip.measure(size)) for size in MEMBER_COUNTS]
    idle = [(size, IdleFleet.from_size(size)) for size in MEMBER_COUNTS]
    return [
        *_series(measured_fleets, _GOSSIP_SERIES),
        *_series(idle, _IDLE_SERIES),
    ]


def _series(
    measured: list[tuple[int, Any]], columns: tuple[tuple[str, str], ...]
) -> list[Series]:
    target = TargetSize().upstreams
    return [
        Series(
            title,
            'members',
            tuple((size, getattr(seen, name)) for size, seen in measured),
            target,
        )
        for name, title in columns
    ]
