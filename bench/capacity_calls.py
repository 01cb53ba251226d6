"""Slopes of real node processes: calls, idle connections, streams."""

from collections.abc import Generator

import attrs

from bench.capacity_fit import Series, TargetSize
from bench.capacity_rig import SMALL, Rig, Steps, Usage
from daisyline.transport.loop import Loop
from daisyline.transport.sockets import Connection
from daisyline.transport.stream import Identity, Stream
from standins.processes import HOST
from standins.tally import Ending, Tally

RATES = (50, 100, 200, 400)
IDLE_COUNTS = (0, 200, 1000, 3000)
STREAM_COUNTS = (0, 50, 100, 200)
IDLE_RATE = 200
PHASE_S = 4.0
QUIET_S = 6.0
CHECK_S = 0.05
OPENED_AT_ONCE = 100
US_PER_S = 1_000_000
KIB_PER_MIB = 1024
# A node has this many connections of callers, as the brief has it today.
CONNECTIONS = 200
# Neighbours on four rings, two on each, and those opened to it in turn.
STREAMS = 16
Points = list[tuple[float, float]]
Phase = tuple[Tally, list[Usage]]
PhaseSteps = Generator[float, None, Phase]

_REQUEST = b'GET / HTTP/1.1\r\nHost: nowhere\r\n\r\n'


@attrs.define
class IdleConnection:
    """A connection of a caller that has had one answer and then waits."""

    connection: Connection
    answered: bool = False

    @classmethod
    def dial(cls, loop: Loop, address: tuple[str, int]) -> 'IdleConnection':
        """Begin to connect."""
        made = cls(Connection.dial(loop, *address))
        made.connection.handler = made
        return made

    def handle_connected(self) -> None:
        """Send a request that the node refuses by itself."""
        self.connection.write(_REQUEST)

    def handle_bytes(self, octets: bytes) -> None:
        """Note the answer."""
        self.answered = True

    def handle_eof(self) -> None:
        """Close too."""
        self.connection.abort()

    def handle_drained(self) -> None:
        """Do nothing."""

    def handle_closed(self) -> None:
        """Do nothing."""


@attrs.define
class CallFigures:
    """What was seen of the two nodes; names of series and their points."""

    points: dict[str, Points] = attrs.field(factory=dict)
    lost: int = 0
    base_mib: float = 0
    idle_us_s: float = 0

    def add(self, name: str, at: float, seen: float) -> None:
        """Add a point to a series."""
        self.points.setdefault(name, []).append((at, seen))

    def series(self, name: str, axis: str, target: float) -> Series:
        """Return a series whose points were added."""
        return Series(name, axis, tuple(self.points[name]), target)

    def tables(self) -> list[Series]:
        """Return all series, with the target's sizes."""
        node_calls_s = TargetSize().node_calls_s
        rows = [
            self.series(f'{role}, {kind} us/s', 'calls/s', node_calls_s)
            for role in ('entry', "target's node")
            for kind in ('user', 'system')
        ]
        rows.append(
            self.series('entry, us/call', 'idle connections', CONNECTIONS)
        )
        rows.append(
            self.series('entry, RSS KiB', 'idle connections', CONNECTIONS)
        )
        rows.append(self.series('entry, RSS KiB+', 'streams opened', STREAMS))
        return rows

    def steps(self, rig: Rig) -> Steps:
        """Take all measurements on a rig that serves."""
        before = rig.usage()
        self.base_mib = before[1].rss_mib
        yield QUIET_S
        quiet = rig.usage()[1].since(before[1])
        self.idle_us_s = quiet.run_us / QUIET_S
        yield from self._streams(rig)
        for rate in RATES:
            tally, used = yield from self._phase(rig, rate)
            sent_s = tally.sent / PHASE_S
            for role, spent in zip(
                ('entry', "target's node"), used, strict=True
            ):
                self.add(f'{role}, user us/s', sent_s, spent.user_us / PHASE_S)
                self.add(
                    f'{role}, system us/s', sent_s, spent.system_us / PHASE_S
                )
        yield from self._idle(rig)

    def _phase(self, rig: Rig, rate: float) -> PhaseSteps:
        before = rig.usage()
        tally = yield from rig.load(rate, PHASE_S, rig.entry_address)
        after = rig.usage()
        self.lost += tally.sent - tally.endings[Ending.ANSWERED]
        return tally, [
            now.since(then) for now, then in zip(after, before, strict=True)
        ]

    def _idle(self, rig: Rig) -> Steps:
        idle: list[IdleConnection] = []
        for count in IDLE_COUNTS:
            while len(idle) < count:
                idle += [
                    IdleConnection.dial(rig.loop, rig.entry_address)
                    for _ in range(OPENED_AT_ONCE)
                ]
                yield CHECK_S
            while not all(one.answered for one in idle):
                yield CHECK_S
            yield 1
            rss_kib = rig.usage()[0].rss_mib * KIB_PER_MIB
            self.add('entry, RSS KiB', count, rss_kib)
            tally, used = yield from self._phase(rig, IDLE_RATE)
            per_call = used[0].run_us / tally.sent
            self.add('entry, us/call', count, per_call)
        assert all(one.connection.is_open for one in idle)
        for one in idle:
            one.connection.abort()

    def _streams(self, rig: Rig) -> Steps:
        """Open streams as other nodes would, and see what memory they take."""
        streams: list[Stream] = []
        for count in STREAM_COUNTS:
            while len(streams) < count:
                streams.append(_stream(rig, len(streams)))
            yield 1
            rss_kib = rig.usage()[0].rss_mib * KIB_PER_MIB
            self.add('entry, RSS KiB+', count, rss_kib)
        assert all(stream.peer for stream in streams)
        for stream in streams:
            stream.close()


def _stream(rig: Rig, number: int) -> Stream:
    connection = Connection.dial(rig.loop, HOST, rig.entry.peers_port)
    identity = Identity(SMALL.name, f'other-{number}', number + 1)
    return Stream(rig.loop, connection, identity, _ignore, _ignore)


def _ignore(*_told: object) -> None:
    """Do nothing."""
