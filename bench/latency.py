"""Measure the latency that daisyline adds to a call, and its floor.

One caller calls a target straight, through bare TCP relays and through
nodes, in turns of one run, at the same fixed rates. Idle connections stand
open to the target and to the entry's callers' port meanwhile.
"""

import itertools
import sys
import types
from collections.abc import Iterator

import attrs

from bench.capacity_calls import IdleConnection
from bench.capacity_fit import short, table
from bench.capacity_machine import machine
from bench.capacity_parts import HEADER, Part, parts
from bench.capacity_rig import Rig, Steps, Usage
from daisyline.transport.sockets import Connection
from standins.processes import HOST
from standins.tally import Ending, Tally

RATES = (100, 200)
# Short phases in many turns, so that a busy spell meets each way.
ROUNDS = 4
PHASE_S = 2.5
WARM_S = 4.0
SETTLE_S = 1.0
IDLE_CONNECTIONS = 185
PERCENTILES = (50, 99, 99.9)
US_PER_MS = 1000

STRAIGHT = 'straight'
ONE_RELAY = 'one bare relay'
TWO_RELAYS = 'two bare relays'
ONE_NODE = 'one node'
TWO_NODES = 'two nodes'
RELAYS = ('relay-near', 'relay-far')
# What a way is compared with: the floor of as many extra processes.
FLOORS = types.MappingProxyType({ONE_NODE: ONE_RELAY, TWO_NODES: TWO_RELAYS})

Address = tuple[str, int]
Ways = dict[str, Address]


@attrs.define
class Latency:
    """What became of the calls of each way at each rate.

    Attributes:
        tallies: By way and rate.
        relay_us: Processor time of both relays in the phases through both.
        node_us: Processor time of both nodes in the phases through both.
    """

    tallies: dict[tuple[str, int], Tally] = attrs.field(factory=dict)
    relay_us: float = 0
    node_us: float = 0

    @property
    def is_whole(self) -> bool:
        """Return whether every call of every phase was answered."""
        return bool(self.tallies) and all(
            tally.sent == tally.endings[Ending.ANSWERED]
            for tally in self.tallies.values()
        )

    def steps(self, rig: Rig) -> Steps:
        """Measure on a rig that serves."""
        ways = _ways(rig)
        yield SETTLE_S
        idle = _open_idle(rig)
        for warm in ways.values():
            yield from rig.load(RATES[0], WARM_S / len(ways), warm)
        for turn in itertools.product(range(ROUNDS), RATES, ways.items()):
            yield from self._phase(rig, *turn[1:])
        for connection in idle:
            connection.abort()

    def added_ms(self, way: str, rate: int, rank: float) -> float:
        """Return what a way adds to the straight one."""
        through = self.tallies[way, rate].percentile_ms(rank)
        return through - self.tallies[STRAIGHT, rate].percentile_ms(rank)

    def call_us(self, spent_us: float, way: str) -> float:
        """Return processor time per call of a way."""
        return spent_us / sum(self.tallies[way, rate].sent for rate in RATES)

    def _phase(self, rig: Rig, rate: int, way: tuple[str, Address]) -> Steps:
        name, address = way
        before = _extra_us(rig)
        tally = yield from rig.load(rate, PHASE_S, address)
        self.tallies.setdefault((name, rate), Tally()).add(tally)
        self._spend(name, before, _extra_us(rig))

    def _spend(
        self, way: str, before: tuple[float, float], now: tuple[float, float]
    ) -> None:
        if way == TWO_RELAYS:
            self.relay_us += now[0] - before[0]
        elif way == TWO_NODES:
            self.node_us += now[1] - before[1]


def _ways(rig: Rig) -> Ways:
    """Start two relays in a row and return what is called."""
    near, far = rig.take_port(), rig.take_port()
    module = 'bench.bare_relay'
    target_port = rig.target.calls_port
    rig.processes.start(RELAYS[1], module, port=far, to_port=target_port)
    rig.processes.start(RELAYS[0], module, port=near, to_port=far)
    return {
        STRAIGHT: rig.target_address,
        ONE_RELAY: (HOST, far),
        TWO_RELAYS: (HOST, near),
        ONE_NODE: rig.local_address,
        TWO_NODES: rig.entry_address,
    }


def _open_idle(rig: Rig) -> list[Connection]:
    idle = []
    for _ in range(IDLE_CONNECTIONS):
        idle.append(Connection.dial(rig.loop, *rig.target_address))
        idle.append(IdleConnection.dial(rig.loop, rig.entry_address).connection)
    return idle


def _extra_us(rig: Rig) -> tuple[float, float]:
    """Return the processor time of both relays and of both nodes so far."""
    relays = [Usage.from_pid(rig.processes.pid(name)) for name in RELAYS]
    sums = (
        sum(used.run_us for used in group) for group in (relays, rig.usage())
    )
    relay_us, node_us = sums
    return relay_us, node_us


def latencies(latency: Latency) -> list[str]:
    """Return the table of latencies as the caller saw them."""
    header = ('way', 'calls/s', 'calls', 'p50 ms', 'p99 ms', 'p99.9 ms')
    rows = [
        (
            way,
            str(rate),
            str(tally.sent),
            *(short(tally.percentile_ms(rank)) for rank in PERCENTILES),
        )
        for (way, rate), tally in latency.tallies.items()
    ]
    return table(header, rows)


def added(latency: Latency) -> list[str]:
    """Return the table of what each way adds, and the share of its floor."""
    header = ('way', 'calls/s', 'added p50', 'p99', 'p99.9', 'above its floor')
    rows = []
    for way, rate in latency.tallies:
        if way != STRAIGHT:
            more = [latency.added_ms(way, rate, rank) for rank in PERCENTILES]
            above = _above(latency, way, rate)
            rows.append((way, str(rate), *map(short, more), above))
    return table(header, rows)


def _above(latency: Latency, way: str, rate: int) -> str:
    """Return by how much a way through nodes exceeds bare relays."""
    if way not in FLOORS:
        return ''
    more = [
        latency.added_ms(way, rate, rank)
        - latency.added_ms(FLOORS[way], rate, rank)
        for rank in PERCENTILES[:2]
    ]
    return f'p50 {short(more[0])}, p99 {short(more[1])}'


def makeup(latency: Latency, measured: list[Part]) -> Iterator[str]:
    """Say what the processor time of a call through two nodes goes to."""
    whole = latency.call_us(latency.node_us, TWO_NODES)
    floor = latency.call_us(latency.relay_us, TWO_RELAYS)
    yield f'processor time per call: two nodes {short(whole)} us'
    yield f'two bare relays {short(floor)} us'
    rows = [
        (*one.cells(), format(one.rested_us / whole, '.0%')) for one in measured
    ]
    yield from table((*HEADER, 'share'), rows)


def main() -> int:
    """Measure and print.

    Returns:
        The exit code: 0 if all calls were answered.
    """
    sys.stdout.write(f'{machine()}\n')
    latency = Latency()
    if not Rig.measure(latency.steps):
        return 1
    report = [
        *latencies(latency),
        '',
        *added(latency),
        '',
        *makeup(latency, parts()),
        machine(),
    ]
    sys.stdout.writelines(f'{line}\n' for line in report)
    return 0 if latency.is_whole else 1


if __name__ == '__main__':
    sys.exit(main())
