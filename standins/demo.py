"""Run both deployments under load for a few seconds and check the results."""

import collections
import functools
import sys
from collections.abc import Iterator
from typing import Any

from daisyline.transport.loop import Loop
from standins.caller import Caller, CallPlan
from standins.deployment import ServicePlan
from standins.fleet import Fleet, Place
from standins.http import LostCall, Message
from standins.http_client import Client
from standins.processes import HOST
from standins.tally import Ending, Tally
from standins.up import Launcher, print_line

DEMO_S = 10.0
CALLS_PER_S = 40.0
ORDERS_PER_S = 5.0
READY_TIMEOUT_S = 60.0
LAST_ANSWERS_TIMEOUT_S = 12.0
CHECK_INTERVAL_S = 0.1
MIN_ANSWERED_FRACTION = 0.99
MEDIAN_PERCENTILE = 50
TAIL_PERCENTILE = 99
COLUMNS = (
    'service',
    'calls',
    'answered',
    'not run',
    'unknown',
    'failed',
    'cut',
    'wrong',
    'p50 ms',
    'p99 ms',
)
SHOWN_ENDINGS = (
    Ending.ANSWERED,
    Ending.NOT_RUN,
    Ending.UNKNOWN,
    Ending.FAILED,
    Ending.CUT,
    Ending.WRONG,
)


class Demo(Launcher):
    """Calls every service for `DEMO_S`, then stops all processes.

    Attributes:
        problems: The problems found, one line each.
    """

    def __init__(self, loop: Loop) -> None:
        """Prepare the demonstration; no process is started."""
        super().__init__(loop)
        self.problems: list[str] = []
        self._loop = loop
        self._callers: list[Caller] = []
        self._awaited_records = 0
        self._timeout = loop.call_later(READY_TIMEOUT_S, self._not_ready)
        self.processes.on_exit = self._note_exit

    def ready(self) -> None:
        """Begin to call once all nodes serve."""
        self._timeout.cancel()
        print_line(f'all nodes serve; calling for {DEMO_S:.0f} s')
        for fleet in self.fleets:
            for service in fleet.deployment.services:
                self._callers.extend(_callers_of(self._loop, fleet, service))
        for caller in self._callers:
            caller.start(DEMO_S)
        self._timeout = self._loop.call_later(
            DEMO_S + LAST_ANSWERS_TIMEOUT_S, self._report
        )
        self._wait_for_answers()

    def _wait_for_answers(self) -> None:
        if all(caller.is_done for caller in self._callers):
            self._timeout.cancel()
            self._report()
        else:
            self._loop.call_later(CHECK_INTERVAL_S, self._wait_for_answers)

    def _report(self) -> None:
        print_line(_row(COLUMNS))
        for service, tally in sorted(self._tallies().items()):
            print_line(_row((service, *_cells(tally))))
            self.problems.extend(_problems_of(service, tally))
        self._request_records()

    def _tallies(self) -> dict[str, Tally]:
        tallies: dict[str, Tally] = {}
        for caller in self._callers:
            tally = tallies.setdefault(caller.plan.service, Tally())
            tally.add(caller.tally)
        return tallies

    def _request_records(self) -> None:
        """Request the records of violations from each target."""
        places = [place for fleet in self.fleets for place in fleet.places]
        self._awaited_records = len(places)
        for place in places:
            client = Client.dial(self._loop, HOST, place.control_port)
            request = Message('GET', '/control/calls')
            client.call(request, functools.partial(self._handle_records, place))

    def _handle_records(self, place: Place, ending: Message | LostCall) -> None:
        self.problems.extend(_violations_of(ending, place.target_name))
        self._awaited_records -= 1
        if not self._awaited_records:
            self.stop()

    def _note_exit(self, name: str, code: int) -> None:
        self.problems.append(f'{name} exited unexpectedly with code {code}')

    def _not_ready(self) -> None:
        self.problems.append(
            f'some nodes were not ready after {READY_TIMEOUT_S:.0f} s'
        )
        self.stop()


def _callers_of(
    loop: Loop, fleet: Fleet, service: ServicePlan
) -> Iterator[Caller]:
    """Return a caller for lookups and a caller for orders."""
    entries = fleet.entry_addresses(service.name)
    client_ms = fleet.deployment.client_ms
    for method, path, rate in (
        ('GET', '/stock', CALLS_PER_S),
        ('POST', '/orders', ORDERS_PER_S),
    ):
        plan = CallPlan(
            service=service.name,
            rate=rate,
            path=path,
            method=method,
            tenant=fleet.deployment.name,
            delay_ms=client_ms,
            label=method,
        )
        yield Caller(loop, plan, entries)


def _cells(tally: Tally) -> list[str]:
    counts = [tally.endings[ending] for ending in SHOWN_ENDINGS]
    latencies = [
        tally.percentile_ms(rank)
        for rank in (MEDIAN_PERCENTILE, TAIL_PERCENTILE)
    ]
    return [
        str(tally.sent),
        *map(str, counts),
        *(f'{latency:.1f}' for latency in latencies),
    ]


def _row(cells: tuple[str, ...]) -> str:
    first, *others = cells
    aligned = ' '.join(f'{cell:>8}' for cell in others)
    return f'{first:<10} {aligned}'


def _problems_of(service: str, tally: Tally) -> Iterator[str]:
    """Return the problems with the results of the calls to a service."""
    for ending in (Ending.FAILED, Ending.CUT, Ending.WRONG):
        count = tally.endings[ending]
        if count:
            yield f'{service}: {count} calls ended as {ending}'
    if tally.pending:
        yield f'{service}: {tally.pending} calls never ended'
    answered = tally.endings[Ending.ANSWERED]
    if answered < MIN_ANSWERED_FRACTION * tally.sent or not answered:
        yield f'{service}: only {answered} of {tally.sent} calls were answered'


@functools.singledispatch
def _violations_of(ending: Any, name: str) -> list[str]:
    """Return the violations that a target recorded, one line per limit."""
    return [f'{name} did not return its records']


@_violations_of.register
def _(ending: Message, name: str) -> list[str]:
    violations = (ending.json() or {}).get('violations', [])
    limits = collections.Counter(entry['limit'] for entry in violations)
    return [
        f'{name}: limit {limit} was violated {count} times'
        for limit, count in sorted(limits.items())
    ]


def main() -> int:
    """Run the demonstration.

    Returns:
        The exit code: 0 if no problem was found, else 1.
    """
    loop = Loop.create()
    demo = Demo(loop)
    demo.start()
    loop.run()
    for problem in demo.problems:
        print_line(f'problem: {problem}')
    print_line('demo failed' if demo.problems else 'demo passed')
    return 1 if demo.problems else 0


if __name__ == '__main__':
    sys.exit(main())
