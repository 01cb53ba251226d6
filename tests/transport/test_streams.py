"""Streams between nodes: silence is found, and no message is mistaken."""

import time
from collections.abc import Iterator
from typing import Any
from unittest import mock

import attrs

from daisyline.coordination.call_events import (
    CallMessageReceived,
    InboundStreamLost,
    MessageUndelivered,
    StreamLost,
)
from daisyline.coordination.messages import (
    CancelCall,
    Hello,
    Ping,
    Pong,
    QueryCall,
)
from daisyline.protocol.frames import (
    PROTOCOL_VERSION,
    FrameDecoder,
    FrameEncoder,
)
from daisyline.state.members import Member
from daisyline.transport.stream import PONG_TIMEOUT_S, Identity
from daisyline.transport.streams import Streams
from tests.support import fixture, function_tests
from tests.transport.rig import HOST, LoopDriver, Peer

load_tests = function_tests(__name__)

MODULE = 'daisyline.transport.stream'
CLUSTER = 'c'
FOUND_S = 1.5
QUESTION = QueryCall('n0-1')


@attrs.define
class Side:
    """The streams of one node and what they reported."""

    driver: LoopDriver
    streams: Streams
    seen: list[Any]
    port: int

    def of(self, kind: type) -> list[Any]:
        """Return the events of one kind that were reported."""
        return [event for event in self.seen if isinstance(event, kind)]

    def knows(self, **ports: int) -> None:
        """Know some members by the ports of their streams."""
        members = {
            name: Member(name, HOST, port, 'z', 'r', 1, 1)
            for name, port in ports.items()
        }
        self.streams.members = lambda: members

    def until(self, kind: type, wait_s: float = 6) -> float:
        """Wait until an event of a kind is reported; return how long."""
        return self.driver.run_until(lambda: self.of(kind), wait_s)


def _side(driver: LoopDriver, name: str) -> Side:
    seen: list[Any] = []
    identity = Identity(CLUSTER, name, 1)
    streams = Streams(driver.loop, identity, seen.append)
    streams.listen(HOST, 0)
    driver.stack.callback(streams.close)
    listener: Any = streams._listener
    return Side(driver, streams, seen, listener.port)


@fixture
def entry(driver: LoopDriver) -> Iterator[Side]:
    """The streams of the node n0, which waits for answers."""
    side = _side(driver, 'n0')
    side.streams.awaits_reply = lambda _node: True
    yield side


@fixture
def owner(driver: LoopDriver, entry: Side) -> Iterator[Side]:
    """The streams of the node n1, known to n0."""
    side = _side(driver, 'n1')
    entry.knows(n1=side.port)
    yield side


def _hello(node: str = 'n1', **other: Any) -> Hello:
    return attrs.evolve(Hello(CLUSTER, PROTOCOL_VERSION, node, 1), **other)


def _say(far: Peer, *messages: Any) -> None:
    far.send(b''.join(map(FrameEncoder().encode, messages)))


def test_messages_go_both_ways_on_one_stream(entry: Side, owner: Side) -> None:
    entry.streams.send('n1', QUESTION)
    owner.until(CallMessageReceived)
    owner.streams.reply('n0', CancelCall('back'))
    entry.until(CallMessageReceived)
    assert owner.seen == [CallMessageReceived('n0', QUESTION)]
    assert entry.seen == [CallMessageReceived('n1', CancelCall('back'))]


def test_a_silent_peer_is_found_within_a_second_and_a_half(
    driver: LoopDriver, entry: Side
) -> None:
    listener = driver.listen()
    entry.knows(n1=listener.getsockname()[1])
    entry.streams.send('n1', QUESTION)
    far = driver.accept(listener)
    _say(far, _hello())
    took_s = entry.until(StreamLost)
    assert PONG_TIMEOUT_S < took_s < FOUND_S
    assert entry.seen == [StreamLost('n1')]


def test_a_peer_that_answers_pings_is_kept(
    driver: LoopDriver, entry: Side
) -> None:
    listener = driver.listen()
    entry.knows(n1=listener.getsockname()[1])
    with mock.patch.multiple(MODULE, PING_AFTER_S=0.1, PONG_TIMEOUT_S=0.2):
        entry.streams.send('n1', QUESTION)
        far = driver.accept(listener)
        _say(far, _hello())
        decoder = FrameDecoder()
        for _ in range(100):
            far._read()
            pings = [
                one
                for one in decoder.feed(bytes(far.received))
                if isinstance(one, Ping)
            ]
            far.received.clear()
            _say(far, *(Pong(ping.nonce, 0) for ping in pings))
            driver.run_once()
    assert entry.of(CallMessageReceived)
    assert not entry.of(StreamLost)


def test_strangers_are_turned_away(driver: LoopDriver, owner: Side) -> None:
    openings: tuple[tuple[Any, ...], ...] = (
        (_hello(cluster='other'),),
        (_hello(protocol=PROTOCOL_VERSION + 1),),
        (_hello(node=''),),
        (QUESTION, _hello()),
        (_hello(), _hello('n2')),
    )
    for opening in openings:
        far = driver.connect(owner.port)
        _say(far, *opening)
        far.read_until_end()
    far = driver.connect(owner.port)
    far.send(b'GET / HTTP/1.1\r\n\r\n')
    far.read_until_end()
    assert not owner.of(CallMessageReceived)


def test_one_that_never_says_who_it_is_is_turned_away(
    driver: LoopDriver, owner: Side
) -> None:
    with mock.patch.multiple(MODULE, PING_AFTER_S=0.1, HANDSHAKE_TIMEOUT_S=0.3):
        far = driver.connect(owner.port)
        # The first bytes of a long frame, then one now and then.
        far.send(b'\x93\x05\xa1c\xc6\x00\x10\x00\x00')
        driver.run_until(lambda: _drips(far, driver), 3)


def _drips(far: Peer, driver: LoopDriver) -> bool:
    try:
        far.sock.send(b'x')
    except OSError:
        return True
    driver.run_for(0.05)
    return far._read() and far.ended


def test_a_peer_that_stops_reading_costs_its_stream_not_memory(
    driver: LoopDriver, entry: Side
) -> None:
    listener = driver.listen()
    entry.knows(n1=listener.getsockname()[1])
    with mock.patch(f'{MODULE}._MAX_BUFFERED_BYTES', 1_000_000):
        entry.streams.send('n1', QUESTION)
        far = driver.accept(listener)
        _say(far, _hello())
        driver.run_for(0.05)
        big = QueryCall('x' * 500_000)
        sent = 0
        while not entry.of(StreamLost):
            entry.streams.send('n1', big)
            driver.run_once()
            sent += 1
            assert sent < 100
    assert entry.seen == [StreamLost('n1')]


def test_a_stream_that_is_never_made_leaves_its_messages_undelivered(
    driver: LoopDriver, entry: Side
) -> None:
    for port in (driver.closed_port(), driver.unconnectable_port()):
        entry.knows(n1=port)
        entry.streams.send('n1', QUESTION)
        entry.streams.send('n1', QueryCall('n0-2'))
        took_s = entry.until(MessageUndelivered, 4)
        driver.run_for(0.05)
        assert took_s < 4
        assert entry.seen == [
            MessageUndelivered('n1', QUESTION),
            MessageUndelivered('n1', QueryCall('n0-2')),
        ]
        entry.seen.clear()


def test_each_side_hears_once_that_a_stream_is_lost(
    driver: LoopDriver, entry: Side, owner: Side
) -> None:
    entry.streams.send('n1', QUESTION)
    owner.until(CallMessageReceived)
    entry.streams._outbound['n1'].close()
    owner.streams._inbound['n0'].close()
    driver.run_for(0.1)
    assert entry.seen == [StreamLost('n1')]
    assert owner.of(InboundStreamLost) == [InboundStreamLost('n0')]
    entry.streams.send('n1', QUESTION)
    driver.run_until(lambda: len(owner.of(CallMessageReceived)) == 2)


def test_a_node_that_answers_in_the_place_of_another_is_no_peer(
    driver: LoopDriver, entry: Side, owner: Side
) -> None:
    entry.knows(gone=owner.port, n1=owner.port)
    entry.streams.send('n1', QUESTION)
    owner.until(CallMessageReceived)
    for _ in range(2):
        entry.streams.send('gone', QUESTION)
        entry.until(MessageUndelivered)
        driver.run_for(0.05)
        # The stranger was handed nothing, so the call has not run.
        assert entry.seen == [MessageUndelivered('gone', QUESTION)]
        entry.seen.clear()
    assert len(owner.of(CallMessageReceived)) == 1
    owner.streams.reply('n0', CancelCall('back'))
    driver.run_for(0.05)


def test_an_address_may_turn_out_to_be_any_node(
    driver: LoopDriver, entry: Side, owner: Side
) -> None:
    entry.streams.send_to_address(HOST, owner.port, QUESTION)
    owner.until(CallMessageReceived)
    driver.run_until(lambda: 'n1' in entry.streams._outbound)
    entry.streams.send('n1', CancelCall('on the same'))
    driver.run_until(lambda: len(owner.of(CallMessageReceived)) == 2)
    assert len(owner.streams._inbound) == 1


def test_a_newer_stream_of_a_peer_takes_the_place_of_the_older(
    driver: LoopDriver, owner: Side
) -> None:
    older, newer = driver.connect(owner.port), driver.connect(owner.port)
    _say(older, _hello('n0'))
    driver.run_until(lambda: 'n0' in owner.streams._inbound)
    first = owner.streams._inbound['n0']
    _say(newer, _hello('n0'))
    driver.run_until(lambda: owner.streams._inbound['n0'] is not first)
    older.sock.close()
    driver.run_for(0.05)
    owner.streams.reply('n0', QUESTION)
    newer.read_until(FrameEncoder().encode(QUESTION))
    assert not owner.of(InboundStreamLost)


def _in_a_minute() -> float:
    return time.monotonic() + 60


def test_a_pause_of_this_process_ends_no_stream(
    driver: LoopDriver, entry: Side, owner: Side
) -> None:
    with mock.patch.multiple(MODULE, PING_AFTER_S=0.2, PONG_TIMEOUT_S=0.4):
        entry.streams.send('n1', QUESTION)
        owner.until(CallMessageReceived)
        driver.run_for(0.25)
        stream = entry.streams._outbound['n1']
        stream._pinged_at = time.monotonic()
        # The timer comes first after a pause, before what waits in sockets.
        with mock.patch.object(driver.loop, 'now', _in_a_minute):
            stream._check_silence()
        driver.run_for(0.1)
    assert not entry.of(StreamLost)


def test_a_close_ends_streams_that_have_not_named_themselves(
    driver: LoopDriver, owner: Side
) -> None:
    far = driver.connect(owner.port)
    driver.run_until(lambda: owner.streams._unnamed)
    owner.streams.close()
    far.read_until_end()
