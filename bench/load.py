"""Send an open-loop load to entry nodes and print latencies and outcomes."""

import sys
from collections.abc import Callable

import attrs
import cyclopts

from daisyline.transport.loop import Loop
from standins.caller import Caller, CallPlan
from standins.tally import Ending, Tally

POLL_INTERVAL_S = 0.05
ANSWER_TIMEOUT_S = 12.0
PERCENTILES = (50, 99, 99.9)


@attrs.frozen
class Phase:
    """Calls sent at one rate for a period.

    Attributes:
        label: Name of the phase in tables.
        plan: The calls to send, and their rate.
        entries: Addresses of entry nodes, used in turn.
        seconds: Time during which calls are sent.
    """

    label: str
    plan: CallPlan
    entries: list[tuple[str, int]]
    seconds: float


class Load:
    """Runs phases one after another.

    Attributes:
        tallies: Outcomes and latencies of the calls by label of their phase.
    """

    def __init__(self, loop: Loop, phases: list[Phase]) -> None:
        """Initialize without sending anything."""
        self.tallies: dict[str, Tally] = {}
        self._loop = loop
        self._phases = list(phases)
        self._on_done: Callable[[], None] = loop.stop

    def start(self, on_done: Callable[[], None]) -> None:
        """Start the first phase; `on_done` is called after the last one."""
        self._on_done = on_done
        self._start_next_phase()

    def _start_next_phase(self) -> None:
        if not self._phases:
            self._on_done()
            return
        phase = self._phases.pop(0)
        caller = Caller(self._loop, phase.plan, phase.entries)
        caller.start(phase.seconds)
        deadline = self._loop.now() + phase.seconds + ANSWER_TIMEOUT_S
        self._wait_for_answers(phase, caller, deadline)

    def _wait_for_answers(
        self, phase: Phase, caller: Caller, deadline: float
    ) -> None:
        if caller.is_done or self._loop.now() >= deadline:
            tally = self.tallies.setdefault(phase.label, Tally())
            tally.add(caller.tally)
            self._start_next_phase()
            return
        self._loop.call_later(
            POLL_INTERVAL_S,
            lambda: self._wait_for_answers(phase, caller, deadline),
        )


def format_line(label: str, tally: Tally) -> str:
    """Return one line with latencies, answered calls and other endings."""
    latencies = ' '.join(
        f'p{rank} {tally.percentile_ms(rank):.2f} ms' for rank in PERCENTILES
    )
    other_endings = ', '.join(
        f'{count} {ending}'
        for ending, count in tally.endings.items()
        if count and ending != Ending.ANSWERED
    )
    answered = tally.endings[Ending.ANSWERED]
    counts = f'{answered} of {tally.sent} answered'
    endings = other_endings or 'no other'
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
        rate: Calls per second.
        seconds: Time during which calls are sent.
        method: The method of each call.
        path: The path of each call.
        tenant: The tenant of each call.
    """
    loop = Loop.create()
    plan = CallPlan(service, rate, path=path, method=method, tenant=tenant)
    addresses = [_parse_address(entry) for entry in entries]
    run = Load(loop, [Phase(service, plan, addresses, seconds)])
    loop.call_later(0, lambda: run.start(loop.stop))
    loop.run()
    for label, tally in run.tallies.items():
        sys.stdout.write(f'{format_line(label, tally)}\n')
    return 0


def _parse_address(entry: str) -> tuple[str, int]:
    host, _colon, port = entry.removeprefix('http://').rpartition(':')
    return (host, int(port))


if __name__ == '__main__':
    cyclopts.run(load)
