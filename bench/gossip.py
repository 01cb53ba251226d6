"""Measure what membership and the distribution of settings cost a node.

Nodes run in memory with a virtual clock. Bytes are those of messages encoded
with msgpack, plus `FRAME_BYTES` of framing for each; processor time is that
of the decisions, without encoding and sockets.
"""

import collections
import statistics
import sys
import time
import tracemalloc
from typing import Any

import attrs
import msgpack

from daisyline.coordination.membership.fleet_events import GossipMessageReceived
from daisyline.coordination.membership.gossip_messages import RecordUpdates
from daisyline.coordination.membership.gossip_records import MemberRecord
from daisyline.state.targets import Phase, Target
from tests.coordination.pump import PORT, Pump, make_pump, settings_value

MEMBER_COUNTS = (50, 100, 200, 400)
TARGET_MEMBER_COUNT = 1100
FRAME_BYTES = 6
SERVICE_COUNT = 57
MAX_SLOTS = 99
MAX_DEADLINE_MS = 9999
IDLE_PERIOD_S = 20
TIME_LIMIT_S = 60.0
DAY_S = 86_400
NAME_WIDTH = 18
KIB = 1024
CHANGES_A_DAY = 2300
RESTARTS_A_DAY = 81
FAILURES_A_DAY = 2


@attrs.define
class TrafficMeter:
    """Counts the bytes that the nodes of a fleet send.

    Attributes:
        pump: The fleet.
        sent_bytes: Bytes sent, by node.
        is_counting: Whether messages are encoded to count their bytes.
    """

    pump: Pump
    sent_bytes: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    is_counting: bool = True

    @classmethod
    def from_size(cls, size: int) -> 'TrafficMeter':
        """Start a fleet and run it until every node knows all members."""
        meter = cls(make_pump(size))
        meter.pump.on_send = meter.count
        meter.is_counting = False
        meter.write_settings('a')
        for number in range(size):
            meter.pump.start(number)
        meter.pump.run_until(lambda: meter.all_nodes_see(size), TIME_LIMIT_S)
        meter.pump.run(TIME_LIMIT_S)
        meter.is_counting = True
        return meter

    def count(self, sender: str, message: Any) -> None:
        """Add the encoded size of a message to its sender's bytes."""
        if self.is_counting:
            encoded = msgpack.packb(attrs.astuple(message))
            self.sent_bytes[sender] += len(encoded) + FRAME_BYTES

    def write_settings(self, prefix: str) -> int:
        """Write settings for all services; return their version."""
        draw = self.pump.rng.randint
        services = {
            f'{prefix}-{number}': {
                'slots_per_upstream': draw(1, MAX_SLOTS),
                'deadline_ms': draw(1, MAX_DEADLINE_MS),
            }
            for number in range(SERVICE_COUNT)
        }
        content = settings_value(services=services)
        return self.pump.platform.put('settings', 'tree', content)

    def all_nodes_see(self, size: int) -> bool:
        """Return whether every node knows exactly this number of members."""
        fleets = self.pump.live().values()
        return all(len(fleet.members) == size for fleet in fleets)

    def take_sent_bytes(self) -> tuple[float, int]:
        """Return and reset the bytes sent since the last call.

        Returns:
            The mean per node and the bytes of the node that sent most.
        """
        nodes = len(self.pump.live())
        mean = sum(self.sent_bytes.values()) / nodes
        busiest = max(self.sent_bytes.values(), default=0)
        self.sent_bytes.clear()
        return mean, busiest


@attrs.define
class GossipFigures:
    """Figures of a fleet of one size; bytes are per node.

    The names of the fields are the names of the printed rows.
    """

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
        """Return bytes per second and node at the rates of the target size.

        A restart counts as four changes of a member and one removal.
        """
        changes = RESTARTS_A_DAY * 4 * self.change_bytes
        removals = (RESTARTS_A_DAY + FAILURES_A_DAY) * self.crash_bytes
        settings = CHANGES_A_DAY * self.settings_bytes
        return self.idle_bytes_s + (changes + removals + settings) / DAY_S


def measure(size: int) -> GossipFigures:
    """Measure a fleet of one size."""
    meter = TrafficMeter.from_size(size)
    figures = GossipFigures(size)
    for step in (
        _measure_idle,
        _measure_settings_change,
        _measure_member_change,
        _measure_crash,
        _measure_partition,
    ):
        step(meter, figures)
    return figures


def _measure_idle(meter: TrafficMeter, figures: GossipFigures) -> None:
    meter.pump.run(IDLE_PERIOD_S)
    figures.idle_bytes_s = meter.take_sent_bytes()[0] / IDLE_PERIOD_S
    meter.is_counting = False
    started_at = time.process_time()
    meter.pump.run(IDLE_PERIOD_S)
    spent = time.process_time() - started_at
    figures.idle_cpu_percent = 100 * spent / IDLE_PERIOD_S / figures.size
    meter.is_counting = True


def _measure_settings_change(
    meter: TrafficMeter, figures: GossipFigures
) -> None:
    pump = meter.pump
    idle = figures.idle_bytes_s
    version = meter.write_settings('b')
    live = pump.live().values()
    figures.settings_s = pump.run_until(
        lambda: all(fleet.settings.version == version for fleet in live),
        TIME_LIMIT_S,
    )
    figures.known_s = figures.settings_s + pump.run_until(
        lambda: all(
            min(fleet.settings_versions.values()) == version for fleet in live
        ),
        TIME_LIMIT_S,
    )
    figures.settings_bytes = meter.take_sent_bytes()[0] - idle * figures.known_s
    meter.is_counting = False
    meter.write_settings('c')
    started_at = time.process_time()
    pump.run(figures.known_s)
    spent = time.process_time() - started_at
    figures.settings_cpu_ms = 1000 * spent / figures.size
    pump.run(IDLE_PERIOD_S)
    meter.is_counting = True


def _measure_member_change(meter: TrafficMeter, figures: GossipFigures) -> None:
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
        TIME_LIMIT_S,
    )
    extra_s = 2.0
    pump.run(extra_s)
    sent_bytes = meter.take_sent_bytes()[0]
    whole_s = figures.leaving_s + extra_s
    figures.change_bytes = sent_bytes - figures.idle_bytes_s * whole_s


def _measure_crash(meter: TrafficMeter, figures: GossipFigures) -> None:
    pump = meter.pump
    pump.stop('n3')
    figures.crash_s = pump.run_until(
        lambda: all('n3' not in fleet.members for fleet in _fleets(pump)),
        TIME_LIMIT_S,
    )
    pump.run(IDLE_PERIOD_S)
    whole_s = figures.crash_s + IDLE_PERIOD_S
    figures.crash_bytes = (
        meter.take_sent_bytes()[0] - figures.idle_bytes_s * whole_s
    )


def _measure_partition(meter: TrafficMeter, figures: GossipFigures) -> None:
    """Partition the regions for a minute, then heal the partition."""
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
        TIME_LIMIT_S,
    )
    figures.parted_bytes = meter.take_sent_bytes()[0]
    pump.run(TIME_LIMIT_S)
    meter.take_sent_bytes()
    pump.is_cut = lambda *_ends: False
    total = sum(sizes.values())
    figures.healed_s = pump.run_until(
        lambda: meter.all_nodes_see(total), TIME_LIMIT_S
    )
    figures.healed_bytes = meter.take_sent_bytes()[0]


def _fleets(pump: Pump) -> list[Any]:
    return list(pump.live().values())


def memory_kib(size: int) -> float:
    """Return the memory that one node uses for all member records, in KiB."""
    tracemalloc.start()
    pump = make_pump(0)
    fleet = pump.start(0)
    for number in range(1, size):
        member = attrs.evolve(fleet.own_member, name=f'n{number}')
        event = GossipMessageReceived(
            'n1', RecordUpdates((MemberRecord(member),))
        )
        pump.deliver('n0', event)
    assert len(fleet.members) == size
    kib = tracemalloc.get_traced_memory()[0] / KIB
    tracemalloc.stop()
    return kib


def fit_at(series: list[float], at: int) -> float:
    """Return the value at a size of the line fitted to the measured sizes."""
    slope, intercept = statistics.linear_regression(MEMBER_COUNTS, series)
    return intercept + slope * at


def main() -> int:
    """Measure each size, extrapolate to the target size and print a table."""
    measured = []
    for size in MEMBER_COUNTS:
        measured.append(measure(size))
        sys.stdout.write(f'{size} nodes done\n')
        sys.stdout.flush()
    names = [field.name for field in attrs.fields(GossipFigures)][1:]
    for name in (*names, 'day_bytes_s'):
        series = [getattr(figures, name) for figures in measured]
        at_target = fit_at(series, TARGET_MEMBER_COUNT)
        cells = [format(cell, '11.3f') for cell in (*series, at_target)]
        sys.stdout.write(' '.join((name.ljust(NAME_WIDTH), *cells, '\n')))
    kib = format(memory_kib(TARGET_MEMBER_COUNT), '.0f')
    sys.stdout.write(f'memory of a view of {TARGET_MEMBER_COUNT}: {kib} KiB\n')
    return 0


if __name__ == '__main__':
    sys.exit(main())
