"""Measure the latency that daisyline adds to a call, and its floor.

The floor is the latency that as many bare TCP relays add. One caller calls a
target directly, through relays and through nodes, alternating within one run
and at the same fixed rates. Meanwhile idle connections are open to the target
and to the callers' port of the entry node.
"""

import itertools
import sys
import types
from collections.abc import Iterator

import attrs

from bench.capacity_calls import IdleConnection
from bench.capacity_fit import format_short, markdown_table
from bench.capacity_machine import describe_machine
from bench.capacity_parts import HEADER, Part, measure_parts
from bench.capacity_rig import Rig, Steps, Usage
from daisyline.transport.sockets import Connection
from standins.processes import HOST
from standins.tally import Ending, Tally

RATES = (100, 200)
# Short alternating phases spread other load on the machine over all ways.
ROUND_COUNT = 4
PHASE_S = 2.5
WARM_UP_S = 4.0
SETTLE_S = 1.0
IDLE_CONNECTIONS_PER_PORT = 185
PERCENTILES = (50, 99, 99.9)
US_PER_MS = 1000

DIRECT = 'straight'
ONE_RELAY = 'one bare relay'
TWO_RELAYS = 'two bare relays'
ONE_NODE = 'one node'
TWO_NODES = 'two nodes'
RELAY_NAMES = ('relay-near', 'relay-far')
# The way through as many bare relays as a way has nodes.
FLOOR_OF = types.MappingProxyType({ONE_NODE: ONE_RELAY, TWO_NODES: TWO_RELAYS})

Address = tuple[str, int]
Ways = dict[str, Address]


@attrs.define
class LatencyMeasurement:
    """Tallies and processor time of the calls by way and rate.

    A way is how calls reach the target: directly, through relays or through
    nodes.

    Attributes:
        tallies: Outcomes and latencies by way and rate.
        relay_us: Processor time of both relays during the phases through
            both, in microseconds.
        node_us: Processor time of both nodes during the phases through both,
            in microseconds.
    """

    tallies: dict[tuple[str, int], Tally] = attrs.field(factory=dict)
    relay_us: float = 0
    node_us: float = 0

    @property
    def is_complete(self) -> bool:
        """Return whether every call of every phase was answered."""
        return bool(self.tallies) and all(
            tally.sent == tally.endings[Ending.ANSWERED]
            for tally in self.tallies.values()
        )

    def steps(self, rig: Rig) -> Steps:
        """Run all phases on a started rig."""
        ways = _start_relays(rig)
        yield SETTLE_S
        idle = _open_idle(rig)
        for address in ways.values():
            yield from rig.load(RATES[0], WARM_UP_S / len(ways), address)
        for phase in itertools.product(range(ROUND_COUNT), RATES, ways.items()):
            yield from self._phase(rig, *phase[1:])
        for connection in idle:
            connection.abort()

    def added_ms(self, way: str, rate: int, rank: float) -> float:
        """Return the latency that a way adds at a percentile, in ms."""
        through = self.tallies[way, rate].percentile_ms(rank)
        return through - self.tallies[DIRECT, rate].percentile_ms(rank)

    def call_us(self, spent_us: float, way: str) -> float:
        """Return the processor time per call of a way, in microseconds."""
        return spent_us / sum(self.tallies[way, rate].sent for rate in RATES)

    def _phase(self, rig: Rig, rate: int, way: tuple[str, Address]) -> Steps:
        name, address = way
        before = _measure_usage_us(rig)
        tally = yield from rig.load(rate, PHASE_S, address)
        self.tallies.setdefault((name, rate), Tally()).add(tally)
        self._add_usage(name, before, _measure_usage_us(rig))

    def _add_usage(
        self, way: str, before: tuple[float, float], now: tuple[float, float]
    ) -> None:
        if way == TWO_RELAYS:
            self.relay_us += now[0] - before[0]
        elif way == TWO_NODES:
            self.node_us += now[1] - before[1]


def _start_relays(rig: Rig) -> Ways:
    """Start two chained relays; return the address called for each way."""
    near, far = rig.take_port(), rig.take_port()
    module = 'bench.bare_relay'
    target_port = rig.target.calls_port
    rig.processes.start(RELAY_NAMES[1], module, port=far, to_port=target_port)
    rig.processes.start(RELAY_NAMES[0], module, port=near, to_port=far)
    return {
        DIRECT: rig.target_address,
        ONE_RELAY: (HOST, far),
        TWO_RELAYS: (HOST, near),
        ONE_NODE: rig.local_address,
        TWO_NODES: rig.entry_address,
    }


def _open_idle(rig: Rig) -> list[Connection]:
    idle = []
    for _ in range(IDLE_CONNECTIONS_PER_PORT):
        idle.append(Connection.dial(rig.loop, *rig.target_address))
        idle.append(IdleConnection.dial(rig.loop, rig.entry_address).connection)
    return idle


def _measure_usage_us(rig: Rig) -> tuple[float, float]:
    """Return the processor time so far of both relays and of both nodes."""
    relays = [Usage.from_pid(rig.processes.pid(name)) for name in RELAY_NAMES]
    totals = (
        sum(used.run_us for used in group)
        for group in (relays, rig.node_usage())
    )
    relay_us, node_us = totals
    return relay_us, node_us


def format_latencies(latency: LatencyMeasurement) -> list[str]:
    """Return the table of the latencies that the caller measured."""
    header = (
        'way',
        'calls/s',
        'sent',
        'answered',
        'p50 ms',
        'p99 ms',
        'p99.9 ms',
    )
    rows = [
        (
            way,
            str(rate),
            str(tally.sent),
            str(tally.endings[Ending.ANSWERED]),
            *(format_short(tally.percentile_ms(rank)) for rank in PERCENTILES),
        )
        for (way, rate), tally in latency.tallies.items()
    ]
    return markdown_table(header, rows)


def format_added(latency: LatencyMeasurement) -> list[str]:
    """Return the table of added latencies and of the excess over the floor."""
    header = ('way', 'calls/s', 'added p50', 'p99', 'p99.9', 'above its floor')
    rows = []
    for way, rate in latency.tallies:
        if way != DIRECT:
            added_ms = [
                latency.added_ms(way, rate, rank) for rank in PERCENTILES
            ]
            above_floor = _format_above_floor(latency, way, rate)
            rows.append(
                (way, str(rate), *map(format_short, added_ms), above_floor)
            )
    return markdown_table(header, rows)


def _format_above_floor(
    latency: LatencyMeasurement, way: str, rate: int
) -> str:
    """Return the excess over bare relays; empty for ways without a floor."""
    if way not in FLOOR_OF:
        return ''
    added_ms = [
        latency.added_ms(way, rate, rank)
        - latency.added_ms(FLOOR_OF[way], rate, rank)
        for rank in PERCENTILES[:2]
    ]
    return f'p50 {format_short(added_ms[0])}, p99 {format_short(added_ms[1])}'


def format_cost(
    latency: LatencyMeasurement, measured: list[Part]
) -> Iterator[str]:
    """Return lines with the processor time of a call through two nodes."""
    nodes_us = latency.call_us(latency.node_us, TWO_NODES)
    relays_us = latency.call_us(latency.relay_us, TWO_RELAYS)
    yield f'processor time per call: two nodes {format_short(nodes_us)} us'
    yield f'two bare relays {format_short(relays_us)} us'
    rows = [
        (*one.cells(), format(one.after_sleep_us / nodes_us, '.0%'))
        for one in measured
    ]
    yield from markdown_table((*HEADER, 'share'), rows)


def main() -> int:
    """Measure and print the tables.

    Returns:
        The exit code: 0 if all calls were answered.
    """
    sys.stdout.write(f'{describe_machine()}\n')
    latency = LatencyMeasurement()
    if not Rig.measure(latency.steps):
        return 1
    report = [
        *format_latencies(latency),
        '',
        *format_added(latency),
        '',
        *format_cost(latency, measure_parts()),
        describe_machine(),
    ]
    sys.stdout.writelines(f'{line}\n' for line in report)
    return 0 if latency.is_complete else 1


if __name__ == '__main__':
    sys.exit(main())
