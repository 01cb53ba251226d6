"""Two real nodes with one target, and the resource usage of the processes."""

import functools
import os
import pathlib
from collections.abc import Callable, Generator, Iterator

import attrs

from daisyline.transport.loop import Loop
from standins.caller import Caller, CallPlan
from standins.deployment import Deployment, ServicePlan
from standins.fleet import Fleet
from standins.processes import HOST, Ports, Processes
from standins.tally import Ending, Tally
from standins.target_plan import INSTANT_PATH

SERVICE = 'docs'
POLL_INTERVAL_S = 0.05
# More than the concurrent calls, so that none waits for a slot.
SLOTS = 64
START_S = 0.5
SETTLE_S = 3.0
MAX_READY_PROBES = 60
PROBE_CALLS_PER_S = 20
US_PER_S = 1_000_000
NS_PER_US = 1000
MIB = 1_048_576
# Indices of the fields in /proc/PID/stat after the program's name.
_USER_FIELD = 11
_SYSTEM_FIELD = 12

SMALL = Deployment(
    name='capacity',
    region='flanders',
    zones=('ghent-a', 'ghent-b'),
    services=(
        ServicePlan('edge', upstreams=1, slots=SLOTS),
        ServicePlan(SERVICE, upstreams=1, slots=SLOTS),
    ),
)

Steps = Iterator[float]


@attrs.frozen
class Usage:
    """Processor time and memory of a process.

    Attributes:
        user_us: Processor time in user mode, in microseconds.
        system_us: Processor time in the kernel, in microseconds.
        run_us: Total processor time from the scheduler's statistics, in
            microseconds; its resolution is finer than the clock ticks of the
            other two.
        rss_mib: Resident memory, in MiB.
    """

    user_us: float
    system_us: float
    run_us: float
    rss_mib: float

    @classmethod
    def from_pid(cls, pid: int) -> 'Usage':
        """Read the usage of a process so far from /proc."""
        proc = pathlib.Path('/proc') / str(pid)
        stat = (proc / 'stat').read_text().rpartition(')')[2].split()
        resident = int((proc / 'statm').read_text().split()[1])
        ran_ns = int((proc / 'schedstat').read_text().split()[0])
        tick_us = US_PER_S / os.sysconf('SC_CLK_TCK')
        return cls(
            int(stat[_USER_FIELD]) * tick_us,
            int(stat[_SYSTEM_FIELD]) * tick_us,
            ran_ns / NS_PER_US,
            resident * os.sysconf('SC_PAGE_SIZE') / MIB,
        )

    def since(self, before: 'Usage') -> 'Usage':
        """Return the processor time since an earlier usage, and the memory."""
        return Usage(
            self.user_us - before.user_us,
            self.system_us - before.system_us,
            self.run_us - before.run_us,
            self.rss_mib,
        )


def run_steps(loop: Loop, steps: Steps, on_done: Callable[[], None]) -> None:
    """Run a generator that yields delays in seconds; call back at its end."""
    wait_s = next(steps, None)
    if wait_s is None:
        on_done()
    else:
        loop.call_later(
            wait_s, functools.partial(run_steps, loop, steps, on_done)
        )


class Rig:
    """An entry node without a target, a node with one, and the platform.

    Attributes:
        loop: The loop that callers run on.
        processes: The child processes.
        entry: The place of the node without a target.
        target: The place of the node with a target.
        is_serving: Whether calls were answered in time after the start.
    """

    def __init__(self, loop: Loop) -> None:
        """Allocate ports without starting any process."""
        self.loop = loop
        self.is_serving = True
        self.processes = Processes(loop)
        self._ports = Ports.from_random()
        self._fleet = Fleet(loop, SMALL, self._ports, self.processes)
        self.entry = self._fleet.places[0]
        self.target = self._fleet.places[1]

    @classmethod
    def measure(cls, steps: Callable[['Rig'], Steps]) -> bool:
        """Start a rig, run the steps of a measurement and stop the rig.

        Returns:
            Whether the nodes served and all steps ran.
        """
        rig = cls(Loop.create())
        done = []

        def finish() -> None:
            done.append(True)
            rig.stop()

        rig.loop.on_signal = lambda _number: rig.stop()
        run_steps(rig.loop, rig.start_and_run(steps), finish)
        rig.loop.run()
        return rig.is_serving and bool(done)

    @property
    def entry_address(self) -> tuple[str, int]:
        """Return the callers' address of the node without a target."""
        return (HOST, self.entry.callers_port)

    @property
    def local_address(self) -> tuple[str, int]:
        """Return the callers' address of the node beside the target."""
        return (HOST, self.target.callers_port)

    @property
    def target_address(self) -> tuple[str, int]:
        """Return the target's own address."""
        return (HOST, self.target.calls_port)

    def node_usage(self) -> tuple[Usage, Usage]:
        """Return the usage so far of the entry node and the target's node."""
        names = (self.entry.node_name, self.target.node_name)
        entry, target = (
            Usage.from_pid(self.processes.pid(name)) for name in names
        )
        return entry, target

    def take_port(self) -> int:
        """Return a free port."""
        return self._ports.take()

    def stop(self) -> None:
        """Stop all processes, then the loop."""
        self.processes.stop_all(self.loop.stop)

    def start_and_run(self, steps: Callable[['Rig'], Steps]) -> Steps:
        """Start the processes, wait until calls are answered, run the steps."""
        self._fleet.start_platform()
        yield START_S
        for place in (self.entry, self.target):
            self._fleet.start_node(place)
        self._fleet.start_target(self.target)
        for _ in range(MAX_READY_PROBES):
            tally = yield from self.load(
                PROBE_CALLS_PER_S, START_S, self.entry_address
            )
            if tally.sent and tally.endings[Ending.ANSWERED] == tally.sent:
                break
        else:
            self.is_serving = False
            return
        yield SETTLE_S
        yield from steps(self)

    def load(
        self, rate: float, seconds: float, address: tuple[str, int]
    ) -> Generator[float, None, Tally]:
        """Send calls in an open loop and return their tally."""
        plan = CallPlan(SERVICE, rate, path=INSTANT_PATH)
        caller = Caller(self.loop, plan, [address])
        caller.start(seconds)
        while not caller.is_done:
            yield POLL_INTERVAL_S
        return caller.tally
