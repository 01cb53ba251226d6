"""Two real nodes and one target, and what their processes use."""

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
CHECK_S = 0.05
# More than the calls at once, so that none waits for a slot.
SLOTS = 64
START_S = 0.5
SETTLE_S = 3.0
READY_TRIES = 60
TRY_RATE = 20
US_PER_S = 1_000_000
NS_PER_US = 1000
MIB = 1_048_576
# Fields of /proc/PID/stat behind the name of the program.
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
    """What a process has used so far.

    Attributes:
        user_us: Processor time in the program, in microseconds.
        system_us: Processor time in the kernel, in microseconds.
        run_us: Processor time in all as the scheduler counts it, which is
            finer than the ticks of the other two.
        rss_mib: Resident memory.
    """

    user_us: float
    system_us: float
    run_us: float
    rss_mib: float

    @classmethod
    def from_pid(cls, pid: int) -> 'Usage':
        """Read what a process has used."""
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
        """Return what was used since then, and the memory held now."""
        return Usage(
            self.user_us - before.user_us,
            self.system_us - before.system_us,
            self.run_us - before.run_us,
            self.rss_mib,
        )


def play(loop: Loop, steps: Steps, on_done: Callable[[], None]) -> None:
    """Run a generator that yields the seconds to wait before it goes on."""
    wait_s = next(steps, None)
    if wait_s is None:
        on_done()
    else:
        loop.call_later(wait_s, functools.partial(play, loop, steps, on_done))


class Rig:
    """An entry node without a target, a node with one, and the platform.

    Attributes:
        loop: The loop that callers run on.
        processes: The children.
        entry: The place of the node without a target.
        target: The place of the node with one.
        serves: Whether calls were answered in time after the start.
    """

    def __init__(self, loop: Loop) -> None:
        """Take ports; nothing is started."""
        self.loop = loop
        self.serves = True
        self.processes = Processes(loop)
        self._ports = Ports.from_random()
        self._fleet = Fleet(loop, SMALL, self._ports, self.processes)
        self.entry = self._fleet.places[0]
        self.target = self._fleet.places[1]

    @classmethod
    def measure(cls, steps: Callable[['Rig'], Steps]) -> bool:
        """Start, measure in steps and end all.

        Returns:
            Whether the steps were done.
        """
        rig = cls(Loop.create())
        done = []

        def finish() -> None:
            done.append(True)
            rig.stop()

        rig.loop.on_signal = lambda _number: rig.stop()
        play(rig.loop, rig.start_then(steps), finish)
        rig.loop.run()
        return rig.serves and bool(done)

    @property
    def entry_address(self) -> tuple[str, int]:
        """Return the callers' port of the node without a target."""
        return (HOST, self.entry.callers_port)

    @property
    def local_address(self) -> tuple[str, int]:
        """Return the callers' port of the node beside the target."""
        return (HOST, self.target.callers_port)

    @property
    def target_address(self) -> tuple[str, int]:
        """Return the target's own port."""
        return (HOST, self.target.calls_port)

    def usage(self) -> tuple[Usage, Usage]:
        """Return what the entry and the target's node have used."""
        names = (self.entry.node_name, self.target.node_name)
        entry, target = (
            Usage.from_pid(self.processes.pid(name)) for name in names
        )
        return entry, target

    def take_port(self) -> int:
        """Return a free port."""
        return self._ports.take()

    def stop(self) -> None:
        """End all processes, then the loop."""
        self.processes.stop_all(self.loop.stop)

    def start_then(self, steps: Callable[['Rig'], Steps]) -> Steps:
        """Start the processes, wait until calls are answered, and go on."""
        self._fleet.start_platform()
        yield START_S
        for place in (self.entry, self.target):
            self._fleet.start_node(place)
        self._fleet.start_target(self.target)
        for _ in range(READY_TRIES):
            tally = yield from self.load(TRY_RATE, START_S, self.entry_address)
            if tally.sent and tally.endings[Ending.ANSWERED] == tally.sent:
                break
        else:
            self.serves = False
            return
        yield SETTLE_S
        yield from steps(self)

    def load(
        self, rate: float, seconds: float, address: tuple[str, int]
    ) -> Generator[float, None, Tally]:
        """Send calls in open loop; return what became of them."""
        plan = CallPlan(SERVICE, rate, path=INSTANT_PATH)
        caller = Caller(self.loop, plan, [address])
        caller.start(seconds)
        while not caller.is_done:
            yield CHECK_S
        return caller.tally
