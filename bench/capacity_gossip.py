"""Slopes of membership, settings and the platform's calls, in memory."""

import time
from typing import Any

import attrs

from bench import gossip
from bench.capacity_fit import Series, TargetSize

SIZES = (25, 50, 100, 200)
WATCHED_S = 300.0
LIMIT_S = 60.0
US_PER_S = 1_000_000
_CHARTED = (
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
class Quiet:
    """A fleet in which nothing happens, and what it does all the same.

    Attributes:
        start_calls: Platform calls per node in the first minutes.
        calls_s: Platform calls a second of the whole fleet afterwards.
        messages_s: Messages a second and node.
        cpu_us_s: Processor time of decisions a second and node.
    """

    start_calls: float = 0
    calls_s: float = 0
    messages_s: float = 0
    cpu_us_s: float = 0

    @classmethod
    def from_size(cls, size: int) -> 'Quiet':
        """Run a fleet with a virtual clock and watch it."""
        meter = gossip.Meter.from_size(size)
        meter.is_counting = False
        pump = meter.pump
        started = pump.platform.calls
        sent = [0]

        def count(_sender: str, _message: Any) -> None:
            sent[0] += 1

        pump.on_send = count
        began = time.process_time()
        pump.run(WATCHED_S)
        spent = time.process_time() - began
        return cls(
            start_calls=started / size,
            calls_s=(pump.platform.calls - started) / WATCHED_S,
            messages_s=sent[0] / WATCHED_S / size,
            cpu_us_s=spent * US_PER_S / WATCHED_S / size,
        )


_QUIET = (
    ('messages_s', 'gossip, idle, messages/s'),
    ('cpu_us_s', 'gossip, idle, decisions us/s'),
    ('start_calls', 'platform calls of a node in its first minutes'),
    ('calls_s', 'platform calls/s of the fleet, idle'),
)


def measure() -> list[Series]:
    """Measure fleets of some sizes; return the series."""
    busy = [(size, gossip.measure(size)) for size in SIZES]
    quiet = [(size, Quiet.from_size(size)) for size in SIZES]
    return [*_series(busy, _CHARTED), *_series(quiet, _QUIET)]


def _series(
    measured: list[tuple[int, Any]], charted: tuple[tuple[str, str], ...]
) -> list[Series]:
    target = TargetSize().upstreams
    return [
        Series(
            title,
            'members',
            tuple((size, getattr(seen, name)) for size, seen in measured),
            target,
        )
        for name, title in charted
    ]
