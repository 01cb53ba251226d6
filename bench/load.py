"""Send an open-loop load to entry nodes and print what became of it."""

import sys
from collections.abc import Callable

import attrs
import cyclopts

from daisyline.transport.loop import Loop
from standins.caller import Caller, CallPlan
from standins.tally import Ending, Tally

CHECK_S = 0.05
LAST_ANSWERS_S = 12.0
PERCENTILES = (50, 99, 99.9)


@attrs.frozen
class Phase:
    """One load at one rate.

    Attributes:
        label: Names the phase in tables.
        plan: What is sent.
        entries: The addresses called in turn.
        seconds: How long calls are sent.
    """

    label: str
    plan: CallPlan
    entries: list[tuple[str, int]]
    seconds: float


class Load:
    """Runs phases one after another.

    Attributes:
        tallies: What became of the calls, by the phases' labels.
    """

    def __init__(self, loop: Loop, phases: list[Phase]) -> None:
        """Prepare; nothing is sent."""
        self.tallies: dict[str, Tally] = {}
        self._loop = loop
        self._phases = list(phases)
        self._on_done: Callable[[], None] = loop.stop

    def start(self, on_done: Callable[[], None]) -> None:
        """Run all phases, then call a function."""
        self._on_done = on_done
        self._next()

    def _next(self) -> None:
        if not self._phases:
            self._on_done()
            return
        phase = self._phases.pop(0)
        caller = Caller(self._loop, phase.plan, phase.entries)
        caller.start(phase.seconds)
        give_up_at = self._loop.now() + phase.seconds + LAST_ANSWERS_S
        self._wait(phase, caller, give_up_at)

    def _wait(self, phase: Phase, caller: Caller, give_up_at: float) -> None:
        if caller.is_done or self._loop.now() >= give_up_at:
            tally = self.tallies.setdefault(phase.label, Tally())
            tally.add(caller.tally)
            self._next()
            return
        self._loop.call_later(
            CHECK_S, lambda: self._wait(phase, caller, give_up_at)
        )


def line_of(label: str, tally: Tally) -> str:
    """Return one line of a table: latencies, then every ending but answers."""
    latencies = ' '.join(
        f'p{rank} {tally.percentile_ms(rank):.2f} ms' for rank in PERCENTILES
    )
    others = ', '.join(
        f'{count} {ending}'
        for ending, count in tally.endings.items()
        if count and ending != Ending.ANSWERED
    )
    answered = tally.endings[Ending.ANSWERED]
    counts = f'{answered} of {tally.sent} answered'
    endings = others or 'no other'
    return f'{label:<24} {latencies} | {counts} | {endings}'


def load(
    entries: list[str],
    *,
    service: str,
    rate: float = 50,
    seconds: float = 10,
    method: str = 'GET',
    path: str = '/stock',
    tenant: str = '',
) -> int:
    """Send calls at a fixed mean rate.

    Args:
        entries: Addresses of entry nodes, as 127.0.0.1:8080.
        service: The service called.
        rate: Calls a second.
        seconds: How long calls are sent.
        method: The method of each call.
        path: The path of each call.
        tenant: The tenant named in each call.
    """
    loop = Loop.create()
    plan = CallPlan(service, rate, path=path, method=method, tenant=tenant)
    addresses = [_address(entry) for entry in entries]
    run = Load(loop, [Phase(service, plan, addresses, seconds)])
    loop.call_later(0, lambda: run.start(loop.stop))
    loop.run()
    for label, tally in run.tallies.items():
        sys.stdout.write(f'{line_of(label, tally)}\n')
    return 0


def _address(entry: str) -> tuple[str, int]:
    host, _colon, port = entry.removeprefix('http://').rpartition(':')
    return (host, int(port))


if __name__ == '__main__':
    cyclopts.run(load)
