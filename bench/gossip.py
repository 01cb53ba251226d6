"""Measure what membership and the spread of settings cost a node.

Nodes run in memory with a virtual clock. Bytes are those of messages encoded
by msgpack, with `FRAME_BYTES` for framing; processor time is that of the
decisions, without encoding and sockets.
"""

import collections
import statistics
import sys
import time
import tracemalloc
from typing import Any

import attrs
import msgpack

from daisyline.coordination.fleet_events import GossipMessageReceived
from daisyline.coordination.gossip_messages import RecordUpdates
from daisyline.coordination.gossip_records import MemberRecord
from daisyline.state.targets import Phase, Target
from tests.coordination.pump import PORT, Pump, make_pump, settings_value

SIZES = (50, 100, 200, 400)
TARGET_SIZE = 1100
FRAME_BYTES = 6
SERVICE_COUNT = 57
MOST_SLOTS = 99
MOST_DEADLINE_MS = 9999
IDLE_S = 20
LIMIT_S = 60.0
DAY_S = 86_400
NAME_WIDTH = 18
KIB = 1024
CHANGES_A_DAY = 2300
RESTARTS_A_DAY = 81
FAILURES_A_DAY = 2


@attrs.define
class Meter:
    """What one fleet sends and how long it takes.

    Attributes:
        pump: The fleet.
        sent: Bytes by node.
        is_counting: Whether messages are encoded to count their bytes.
    """

    pump: Pump
    sent: collections.Counter[str] = attrs.field(factory=collections.Counter)
    is_counting: bool = True

    @classmethod
    def from_size(cls, size: int) -> 'Meter':
        """Start a fleet of a size and wait until it is whole."""
        meter = cls(make_pump(size))
        meter.pump.on_send = meter.count
        meter.is_counting = False
        meter.write_settings('a')
        for number in range(size):
            meter.pump.start(number)
        meter.pump.run_until(lambda: meter.sees_all(size), LIMIT_S)
        meter.pump.run(LIMIT_S)
        meter.is_counting = True
        return meter

    def count(self, sender: str, message: Any) -> None:
        """Add the bytes of a message."""
        if self.is_counting:
            encoded = msgpack.packb(attrs.astuple(message))
            self.sent[sender] += len(encoded) + FRAME_BYTES

    def write_settings(self, prefix: str) -> int:
        """Write a tree with all services; return its version."""
        draw = self.pump.rng.randint
        services = {
            f'{prefix}-{number}': {
                'slots_per_upstream': draw(1, MOST_SLOTS),
                'deadline_ms': draw(1, MOST_DEADLINE_MS),
            }
            for number in range(SERVICE_COUNT)
        }
        content = settings_value(services=services)
        return self.pump.platform.put('settings', 'tree', content)

    def sees_all(self, size: int) -> bool:
        """Return whether each node sees so many members."""
        fleets = self.pump.live().values()
        return all(len(fleet.members) == size for fleet in fleets)

    def take(self) -> tuple[float, int]:
        """Return bytes per node, and of the busiest, since the last call."""
        nodes = len(self.pump.live())
        mean = sum(self.sent.values()) / nodes
        busiest = max(self.sent.values(), default=0)
        self.sent.clear()
        return mean, busiest


@attrs.define
class Figures:
    """What was measured at one size; bytes are per node."""

    size: int
    idle_bytes_s: float = 0
    idle_cpu_percent: float = 0
    settings_s: float = 0
    settings_bytes: float = 0
    settings_cpu_ms: float = 0
    known_s: float = 0
    leaving_s: float = 0
    change_bytes: float = 0
    crash_s: float = 0
    crash_bytes: float = 0
    parted_s: float = 0
    parted_bytes: float = 0
    healed_s: float = 0
    healed_bytes: float = 0

    @property
    def day_bytes_s(self) -> float:
        """Return bytes per second and node at the target's rates.

        A restart is four changes of a member and a removal.
        """
        changes = RESTARTS_A_DAY * 4 * self.change_bytes
        removals = (RESTARTS_A_DAY + FAILURES_A_DAY) * self.crash_bytes
        settings = CHANGES_A_DAY * self.settings_bytes
        return self.idle_bytes_s + (changes + removals + settings) / DAY_S


def measure(size: int) -> Figures:
    """Measure a fleet of one size."""
    meter = Meter.from_size(size)
    figures = Figures(size)
    for step in (_idle, _settings, _leaving, _crash, _partition):
        step(meter, figures)
    return figures


def _idle(meter: Meter, figures: Figures) -> None:
    meter.pump.run(IDLE_S)
    figures.idle_bytes_s = meter.take()[0] / IDLE_S
    meter.is_counting = False
    began = time.process_time()
    meter.pump.run(IDLE_S)
    spent = time.process_time() - began
    figures.idle_cpu_percent = 100 * spent / IDLE_S / figures.size
    meter.is_counting = True


def _settings(meter: Meter, figures: Figures) -> None:
    pump = meter.pump
    idle = figures.idle_bytes_s
    version = meter.write_settings('b')
    live = pump.live().values()
    figures.settings_s = pump.run_until(
        lambda: all(fleet.settings.version == version for fleet in live),
        LIMIT_S,
    )
    figures.known_s = figures.settings_s + pump.run_until(
        lambda: all(
            min(fleet.settings_versions.values()) == version for fleet in live
        ),
        LIMIT_S,
    )
    figures.settings_bytes = meter.take()[0] - idle * figures.known_s
    meter.is_counting = False
    meter.write_settings('c')
    began = time.process_time()
    pump.run(figures.known_s)
    spent = time.process_time() - began
    figures.settings_cpu_ms = 1000 * spent / figures.size
    pump.run(IDLE_S)
    meter.is_counting = True


def _leaving(meter: Meter, figures: Figures) -> None:
    pump = meter.pump
    name = 'n5'
    target = Target('docs', 'v1', 'docs-5-a1', '10.0.0.5', PORT, Phase.LEAVING)
    effects = pump.nodes[name].fleet.set_target(target, pump.now)
    pump.carry_out(name, effects)
    figures.leaving_s = pump.run_until(
        lambda: all(
            fleet.members[name].target == target
            for fleet in pump.live().values()
        ),
        LIMIT_S,
    )
    spare_s = 2.0
    pump.run(spare_s)
    spent = meter.take()[0]
    whole_s = figures.leaving_s + spare_s
    figures.change_bytes = spent - figures.idle_bytes_s * whole_s


def _crash(meter: Meter, figures: Figures) -> None:
    pump = meter.pump
    pump.stop('n3')
    figures.crash_s = pump.run_until(
        lambda: all('n3' not in fleet.members for fleet in _fleets(pump)),
        LIMIT_S,
    )
    pump.run(IDLE_S)
    whole_s = figures.crash_s + IDLE_S
    figures.crash_bytes = meter.take()[0] - figures.idle_bytes_s * whole_s


def _partition(meter: Meter, figures: Figures) -> None:
    """Cut the regions apart for a minute and let them find each other."""
    pump = meter.pump
    regions = {
        name: node.fleet.own_member.region for name, node in pump.nodes.items()
    }
    sizes = collections.Counter(
        fleet.own_member.region for fleet in _fleets(pump)
    )
    pump.is_cut = lambda sender, receiver: regions[sender] != regions[receiver]
    figures.parted_s = pump.run_until(
        lambda: all(
            len(fleet.members) == sizes[fleet.own_member.region]
            for fleet in _fleets(pump)
        ),
        LIMIT_S,
    )
    figures.parted_bytes = meter.take()[0]
    pump.run(LIMIT_S)
    meter.take()
    pump.is_cut = lambda *_ends: False
    total = sum(sizes.values())
    figures.healed_s = pump.run_until(lambda: meter.sees_all(total), LIMIT_S)
    figures.healed_bytes = meter.take()[0]


def _fleets(pump: Pump) -> list[Any]:
    return list(pump.live().values())


def memory_kib(size: int) -> float:
    """Return the memory of one node's view of a fleet, in KiB."""
    tracemalloc.start()
    pump = make_pump(0)
    fleet = pump.start(0)
    for number in range(1, size):
        member = attrs.evolve(fleet.own_member, name=f'n{number}')
        news = GossipMessageReceived(
            'n1', RecordUpdates((MemberRecord(member),))
        )
        pump.deliver('n0', news)
    assert len(fleet.members) == size
    kib = tracemalloc.get_traced_memory()[0] / KIB
    tracemalloc.stop()
    return kib


def fitted(series: list[float], at: int) -> float:
    """Return the value of a straight line through the measured sizes at one."""
    slope, intercept = statistics.linear_regression(SIZES, series)
    return intercept + slope * at


def main() -> int:
    """Measure at each size, fit, and print a table."""
    measured = []
    for size in SIZES:
        measured.append(measure(size))
        sys.stdout.write(f'{size} nodes done\n')
        sys.stdout.flush()
    names = [field.name for field in attrs.fields(Figures)][1:]
    for name in (*names, 'day_bytes_s'):
        series = [getattr(figures, name) for figures in measured]
        at_target = fitted(series, TARGET_SIZE)
        cells = [format(cell, '11.3f') for cell in (*series, at_target)]
        sys.stdout.write(' '.join((name.ljust(NAME_WIDTH), *cells, '\n')))
    kib = format(memory_kib(TARGET_SIZE), '.0f')
    sys.stdout.write(f'memory of a view of {TARGET_SIZE}: {kib} KiB\n')
    return 0


if __name__ == '__main__':
    sys.exit(main())
