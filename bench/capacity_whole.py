"""Run a fleet of the target size in memory to check the extrapolation."""

import sys
import time

from bench.capacity_fit import TargetSize, format_short
from bench.capacity_machine import describe_machine
from bench.gossip import TrafficMeter

STEP_S = 0.01
TIME_LIMIT_S = 6.0
OBSERVATION_S = 10.0
US_PER_S = 1_000_000


def measure_settings_spread_s(meter: TrafficMeter) -> float:
    """Change the settings; return the seconds until all nodes apply them."""
    pump = meter.pump
    version = meter.write_settings('changed')
    started_at = pump.now
    fleets = pump.live().values()
    while not all(fleet.settings.version == version for fleet in fleets):
        assert pump.now - started_at < TIME_LIMIT_S, (
            'settings spread too slowly'
        )
        pump.run(STEP_S)
    return pump.now - started_at


def measure_idle_us_s(meter: TrafficMeter, size: int) -> float:
    """Return the processor time of a node's decisions, in us per second."""
    meter.is_counting = False
    started_at = time.process_time()
    meter.pump.run(OBSERVATION_S)
    spent = time.process_time() - started_at
    meter.is_counting = True
    return spent * US_PER_S / OBSERVATION_S / size


def measure_idle_bytes_s(meter: TrafficMeter) -> float:
    """Return the mean number of bytes that a node sends per second."""
    meter.take_sent_bytes()
    meter.pump.run(OBSERVATION_S)
    return meter.take_sent_bytes()[0] / OBSERVATION_S


def main() -> int:
    """Measure one fleet, which takes about 100 s, and print its figures.

    Returns:
        The exit code, 0.
    """
    size = TargetSize().upstreams
    meter = TrafficMeter.from_size(size)
    spread_s = format_short(measure_settings_spread_s(meter))
    # Lets the messages caused by the change end before idle is measured.
    meter.pump.run(OBSERVATION_S)
    decisions_us_s = format_short(measure_idle_us_s(meter, size))
    sent_bytes_s = format_short(measure_idle_bytes_s(meter))
    sys.stdout.write(
        f'{size} members: settings in force on all after {spread_s} s, '
        f'idle decisions {decisions_us_s} us/s, idle {sent_bytes_s} bytes/s\n'
    )
    sys.stdout.write(f'{describe_machine()}\n')
    return 0


if __name__ == '__main__':
    sys.exit(main())
