"""Run a fleet of the target's size in memory, to check the extrapolation."""

import sys
import time

from bench.capacity_fit import TargetSize, short
from bench.capacity_machine import machine
from bench.gossip import Meter

STEP_S = 0.01
LIMIT_S = 6.0
WATCHED_S = 10.0
US_PER_S = 1_000_000


def spread_s(meter: Meter) -> float:
    """Change the settings and return when they are in force on all."""
    pump = meter.pump
    version = meter.write_settings('changed')
    began = pump.now
    fleets = pump.live().values()
    while not all(fleet.settings.version == version for fleet in fleets):
        assert pump.now - began < LIMIT_S, 'settings spread too slowly'
        pump.run(STEP_S)
    return pump.now - began


def idle_us_s(meter: Meter, size: int) -> float:
    """Return the processor time of decisions a second and node."""
    meter.is_counting = False
    began = time.process_time()
    meter.pump.run(WATCHED_S)
    spent = time.process_time() - began
    meter.is_counting = True
    return spent * US_PER_S / WATCHED_S / size


def idle_bytes_s(meter: Meter) -> float:
    """Return the bytes that a node sends a second."""
    meter.take()
    meter.pump.run(WATCHED_S)
    return meter.take()[0] / WATCHED_S


def main() -> int:
    """Measure one fleet, which takes about 100 s, and print.

    Returns:
        The exit code, 0.
    """
    size = TargetSize().upstreams
    meter = Meter.from_size(size)
    spread = short(spread_s(meter))
    # What the change still causes is over before the fleet counts as idle.
    meter.pump.run(WATCHED_S)
    decisions = short(idle_us_s(meter, size))
    octets = short(idle_bytes_s(meter))
    sys.stdout.write(
        f'{size} members: settings in force on all after {spread} s, '
        f'idle decisions {decisions} us/s, idle {octets} bytes/s\n'
    )
    sys.stdout.write(f'{machine()}\n')
    return 0


if __name__ == '__main__':
    sys.exit(main())
