"""Measure the latency that daisyline adds to a call, at today's sizes.

The same caller calls the targets straight and through their nodes, in turns
of one run, at the same fixed rates. Idle connections stand open to each
target and to each node's callers' port meanwhile.
"""

import sys
from collections.abc import Iterator

from bench.load import PERCENTILES, Load, Phase, line_of
from daisyline.transport.loop import Loop
from daisyline.transport.sockets import Connection
from standins.caller import CallPlan
from standins.deployment import STOFBRIL
from standins.fleet import Fleet
from standins.processes import HOST, Ports, Processes
from standins.tally import Ending, Tally
from standins.target_plan import INSTANT_PATH

SERVICE = 'docs'
RATES = (50, 200)
ROUNDS = 2
PHASE_S = 6
WARM_RATE = 60
WARM_S = 5
SETTLE_S = 1
READY_WITHIN_S = 60
IDLE_CONNECTIONS = 185


class Latency:
    """Starts a deployment, measures and ends it.

    Attributes:
        load: The phases and what became of them.
        ready: Whether all nodes served in time.
    """

    def __init__(self, loop: Loop) -> None:
        """Prepare; nothing is started."""
        self.processes = Processes(loop)
        self.fleet = Fleet(loop, STOFBRIL, Ports.from_random(), self.processes)
        self.load = Load(loop, _phases(self.fleet))
        self.ready = False
        self._loop = loop
        self._idle: list[Connection] = []
        loop.on_signal = lambda _number: self._stop()

    def start(self) -> None:
        """Start the deployment, then measure."""
        self.fleet.start(self._begin)
        self._loop.call_later(READY_WITHIN_S, self._check_ready)

    def _begin(self) -> None:
        self.ready = True
        for place in self.fleet.places:
            for port in (place.calls_port, place.callers_port):
                self._idle.extend(
                    Connection.dial(self._loop, HOST, port)
                    for _ in range(IDLE_CONNECTIONS)
                )
        self._loop.call_later(SETTLE_S, lambda: self.load.start(self._stop))

    def _check_ready(self) -> None:
        if not self.ready:
            self._stop()

    def _stop(self) -> None:
        for connection in self._idle:
            connection.abort()
        self._idle.clear()
        self.processes.stop_all(self._loop.stop)


def _phases(fleet: Fleet) -> list[Phase]:
    """Return a warm-up, then straight and through in turns at each rate."""
    through = fleet.entries(SERVICE)
    straight = [
        (HOST, place.calls_port)
        for place in fleet.places
        if place.instance.service.name == SERVICE
    ]
    warm = CallPlan(SERVICE, WARM_RATE, path=INSTANT_PATH)
    phases = [Phase('warm-up', warm, through, WARM_S)]
    for turn in range(ROUNDS):
        for rate in RATES:
            plan = CallPlan(SERVICE, rate, path=INSTANT_PATH, seed=turn)
            phases.append(Phase(f'straight {rate}/s', plan, straight, PHASE_S))
            phases.append(Phase(f'through {rate}/s', plan, through, PHASE_S))
    return phases


def _added(tallies: dict[str, Tally], rate: int) -> str:
    """Return what the way through a node adds at a rate."""
    straight = tallies[f'straight {rate}/s']
    through = tallies[f'through {rate}/s']
    parts = []
    for rank in PERCENTILES:
        more_ms = through.percentile_ms(rank) - straight.percentile_ms(rank)
        parts.append(f'p{rank} {more_ms:.2f} ms')
    joined = ' '.join(parts)
    return f'added at {rate}/s: {joined}'


def main() -> int:
    """Measure and print.

    Returns:
        The exit code: 0 if all calls were answered.
    """
    loop = Loop.create()
    latency = Latency(loop)
    latency.start()
    loop.run()
    sys.stdout.writelines(_report(latency.load.tallies))
    return 0 if _is_whole(latency.load.tallies) else 1


def _report(tallies: dict[str, Tally]) -> Iterator[str]:
    for label, tally in tallies.items():
        yield f'{line_of(label, tally)}\n'
    for rate in RATES:
        if f'through {rate}/s' in tallies:
            yield f'{_added(tallies, rate)}\n'


def _is_whole(tallies: dict[str, Tally]) -> bool:
    """Return whether every phase ran and every call was answered."""
    phases = 1 + 2 * len(RATES)
    return len(tallies) == phases and all(
        tally.endings[Ending.ANSWERED] == tally.sent
        for tally in tallies.values()
    )


if __name__ == '__main__':
    sys.exit(main())
