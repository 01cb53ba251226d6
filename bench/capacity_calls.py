"""Slopes of real node processes by calls, idle connections and streams."""

from collections.abc import Generator

import attrs

from bench.capacity_fit import Series, TargetSize
from bench.capacity_rig import SMALL, Rig, Steps, Usage
from daisyline.transport.loop import Loop
from daisyline.transport.sockets import Connection
from daisyline.transport.stream import Identity, Stream
from standins.processes import HOST
from standins.tally import Ending, Tally

CALL_RATES = (50, 100, 200, 400)
IDLE_COUNTS = (0, 200, 1000, 3000)
STREAM_COUNTS = (0, 50, 100, 200)
IDLE_PHASE_RATE = 200
PHASE_S = 4.0
IDLE_PERIOD_S = 6.0
POLL_INTERVAL_S = 0.05
BATCH_SIZE = 100
US_PER_S = 1_000_000
KIB_PER_MIB = 1024
# Callers' connections of one node at today's size in the brief.
CALLER_CONNECTIONS = 200
# Streams to two neighbours on each of four rings, and as many inbound ones.
STREAMS_PER_NODE = 16
Points = list[tuple[float, float]]
Phase = tuple[Tally, list[Usage]]
PhaseSteps = Generator[float, None, Phase]

_REQUEST = b'GET / HTTP/1.1\r\nHost: nowhere\r\n\r\n'


@attrs.define
class IdleConnection:
    """A caller's connection that stays idle after one answer.

    Attributes:
        connection: The connection, whose handler this object is.
        answered: Whether bytes of the answer have arrived.
    """

    connection: Connection
    answered: bool = False

    @classmethod
    def dial(cls, loop: Loop, address: tuple[str, int]) -> 'IdleConnection':
        """Start to connect to an address."""
        idle = cls(Connection.dial(loop, *address))
        idle.connection.handler = idle
        return idle

    def handle_connected(self) -> None:
        """Send a request that the node itself refuses."""
        self.connection.write(_REQUEST)

    def handle_bytes(self, octets: bytes) -> None:
        """Record that an answer has arrived."""
        self.answered = True

    def handle_eof(self) -> None:
        """Close the connection when the node has closed its side."""
        self.connection.abort()

    def handle_drained(self) -> None:
        """Do nothing."""

    def handle_closed(self) -> None:
        """Do nothing."""


@attrs.define
class CallFigures:
    """Figures of the two node processes.

    Attributes:
        points: Points of each series by its name.
        unanswered: Number of calls that got no answer.
        base_mib: Resident memory of the target's node after the start.
        idle_us_s: Processor time of that node while idle, in microseconds
            per second.
    """

    points: dict[str, Points] = attrs.field(factory=dict)
    unanswered: int = 0
    base_mib: float = 0
    idle_us_s: float = 0

    def add(self, name: str, at: float, measured: float) -> None:
        """Add a point to a series."""
        self.points.setdefault(name, []).append((at, measured))

    def series(self, name: str, axis: str, target: float) -> Series:
        """Return the series of the points added under a name."""
        return Series(name, axis, tuple(self.points[name]), target)

    def all_series(self) -> list[Series]:
        """Return all series with the sizes they are extrapolated to."""
        node_calls_s = TargetSize().node_calls_s
        rows = [
            self.series(f'{role}, {kind} us/s', 'calls/s', node_calls_s)
            for role in ('entry', "target's node")
            for kind in ('user', 'system')
        ]
        rows.append(
            self.series(
                'entry, us/call', 'idle connections', CALLER_CONNECTIONS
            )
        )
        rows.append(
            self.series(
                'entry, RSS KiB', 'idle connections', CALLER_CONNECTIONS
            )
        )
        rows.append(
            self.series('entry, RSS KiB+', 'streams opened', STREAMS_PER_NODE)
        )
        return rows

    def steps(self, rig: Rig) -> Steps:
        """Run all measurements on a started rig."""
        before = rig.node_usage()
        self.base_mib = before[1].rss_mib
        yield IDLE_PERIOD_S
        usage = rig.node_usage()[1].since(before[1])
        self.idle_us_s = usage.run_us / IDLE_PERIOD_S
        yield from self._measure_streams(rig)
        for rate in CALL_RATES:
            tally, used = yield from self._run_phase(rig, rate)
            sent_s = tally.sent / PHASE_S
            for role, spent in zip(
                ('entry', "target's node"), used, strict=True
            ):
                self.add(f'{role}, user us/s', sent_s, spent.user_us / PHASE_S)
                self.add(
                    f'{role}, system us/s', sent_s, spent.system_us / PHASE_S
                )
        yield from self._measure_idle_connections(rig)

    def _run_phase(self, rig: Rig, rate: float) -> PhaseSteps:
        before = rig.node_usage()
        tally = yield from rig.load(rate, PHASE_S, rig.entry_address)
        after = rig.node_usage()
        self.unanswered += tally.sent - tally.endings[Ending.ANSWERED]
        return tally, [
            now.since(then) for now, then in zip(after, before, strict=True)
        ]

    def _measure_idle_connections(self, rig: Rig) -> Steps:
        idle: list[IdleConnection] = []
        for count in IDLE_COUNTS:
            while len(idle) < count:
                idle += [
                    IdleConnection.dial(rig.loop, rig.entry_address)
                    for _ in range(BATCH_SIZE)
                ]
                yield POLL_INTERVAL_S
            while not all(one.answered for one in idle):
                yield POLL_INTERVAL_S
            yield 1
            rss_kib = rig.node_usage()[0].rss_mib * KIB_PER_MIB
            self.add('entry, RSS KiB', count, rss_kib)
            tally, used = yield from self._run_phase(rig, IDLE_PHASE_RATE)
            per_call = used[0].run_us / tally.sent
            self.add('entry, us/call', count, per_call)
        assert all(one.connection.is_open for one in idle)
        for one in idle:
            one.connection.abort()

    def _measure_streams(self, rig: Rig) -> Steps:
        """Open streams as other nodes do and measure the entry's memory."""
        streams: list[Stream] = []
        for count in STREAM_COUNTS:
            while len(streams) < count:
                streams.append(_open_stream(rig, len(streams)))
            yield 1
            rss_kib = rig.node_usage()[0].rss_mib * KIB_PER_MIB
            self.add('entry, RSS KiB+', count, rss_kib)
        assert all(stream.peer for stream in streams)
        for stream in streams:
            stream.close()


def _open_stream(rig: Rig, number: int) -> Stream:
    connection = Connection.dial(rig.loop, HOST, rig.entry.peers_port)
    identity = Identity(SMALL.name, f'other-{number}', number + 1)
    return Stream(rig.loop, connection, identity, _ignore, _ignore)


def _ignore(*_args: object) -> None:
    """Do nothing."""
