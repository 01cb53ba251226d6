"""Streams between nodes: liveness, identification and delivery reports."""

import time
from collections.abc import Iterator
from typing import Any
from unittest import mock

import attrs

from daisyline.coordination.calls.call_events import (
    CallMessageReceived,
    InboundStreamLost,
    MessageUndelivered,
    StreamLost,
)
from daisyline.coordination.calls.messages import (
    BODY_REVISION,
    AnswerPart,
    CallRunning,
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
MAX_DETECTION_S = 1.5
QUERY = QueryCall('n0-1')


@attrs.define
class StreamsUnderTest:
    """The streams of one node and the events that they reported."""

    driver: LoopDriver
    streams: Streams
    events: list[Any]
    port: int

    def events_of(self, kind: type) -> list[Any]:
        """Return the events of one kind that were reported."""
        return [event for event in self.events if isinstance(event, kind)]

    def answer_parts(self) -> list[AnswerPart]:
        """Return the parts of answers that were received, in their order."""
        messages = [one.message for one in self.events_of(CallMessageReceived)]
        return [part for part in messages if isinstance(part, AnswerPart)]

    def set_members(self, **ports: int) -> None:
        """Set the members that the node knows, with their stream ports."""
        members = {
            name: Member(name, HOST, port, 'z', 'r', 1, 1)
            for name, port in ports.items()
        }
        self.streams.members = lambda: members

    def until(self, kind: type, wait_s: float = 6) -> float:
        """Wait for an event of a kind; return the elapsed seconds."""
        return self.driver.run_until(lambda: self.events_of(kind), wait_s)


def _open_streams(driver: LoopDriver, name: str) -> StreamsUnderTest:
    events: list[Any] = []
    identity = Identity(CLUSTER, name, 1)
    streams = Streams(driver.loop, identity, events.append)
    streams.listen(HOST, 0)
    driver.stack.callback(streams.close)
    listener: Any = streams._listener
    return StreamsUnderTest(driver, streams, events, listener.port)


@fixture
def entry(driver: LoopDriver) -> Iterator[StreamsUnderTest]:
    """The streams of the node n0, which awaits replies of all nodes."""
    side = _open_streams(driver, 'n0')
    side.streams.awaits_reply = lambda _node: True
    yield side


@fixture
def target_node(
    driver: LoopDriver, entry: StreamsUnderTest
) -> Iterator[StreamsUnderTest]:
    """The streams of the node n1, a member that n0 knows."""
    side = _open_streams(driver, 'n1')
    entry.set_members(n1=side.port)
    yield side


def _hello(node: str = 'n1', **other: Any) -> Hello:
    return attrs.evolve(Hello(CLUSTER, PROTOCOL_VERSION, node, 1), **other)


def _send_messages(peer: Peer, *messages: Any) -> None:
    peer.send(b''.join(map(FrameEncoder().encode, messages)))


def _opening_of(side: StreamsUnderTest) -> bytes:
    """Return what a node sends first on a stream that it accepts."""
    opening = (side.streams._identity.hello(), Ping(0, BODY_REVISION))
    return b''.join(map(FrameEncoder().encode, opening))


def test_messages_go_both_ways_on_one_stream(
    entry: StreamsUnderTest, target_node: StreamsUnderTest
) -> None:
    entry.streams.send('n1', QUERY)
    target_node.until(CallMessageReceived)
    target_node.streams.reply('n0', CancelCall('back'))
    entry.until(CallMessageReceived)
    assert target_node.events == [CallMessageReceived('n0', QUERY)]
    assert entry.events == [CallMessageReceived('n1', CancelCall('back'))]


def test_an_unresponsive_peer_is_detected_in_time(
    driver: LoopDriver, entry: StreamsUnderTest
) -> None:
    listener = driver.listen()
    entry.set_members(n1=listener.getsockname()[1])
    entry.streams.send('n1', QUERY)
    peer = driver.accept(listener)
    _send_messages(peer, _hello())
    elapsed_s = entry.until(StreamLost)
    assert PONG_TIMEOUT_S < elapsed_s < MAX_DETECTION_S
    assert entry.events == [StreamLost('n1', 1)]


def test_an_idle_stream_wakes_no_process(
    driver: LoopDriver, entry: StreamsUnderTest, target_node: StreamsUnderTest
) -> None:
    entry.streams.awaits_reply = lambda _node: False
    entry.streams.send('n1', QUERY)
    target_node.until(CallMessageReceived)
    driver.run_for(1)
    deadlines = driver.loop._deadlines
    with mock.patch.object(
        deadlines, 'call_at', wraps=deadlines.call_at
    ) as timers:
        driver.run_for(1.5)
    assert not timers.called


def test_an_unresponsive_peer_is_detected_in_time_after_an_idle_time(
    driver: LoopDriver, entry: StreamsUnderTest
) -> None:
    awaited: set[str] = set()
    entry.streams.awaits_reply = awaited.__contains__
    listener = driver.listen()
    entry.set_members(n1=listener.getsockname()[1])
    entry.streams.send('n1', QUERY)
    peer = driver.accept(listener)
    _send_messages(peer, _hello())
    driver.run_for(1)
    assert not entry.events
    awaited.add('n1')
    entry.streams.send('n1', QUERY)
    elapsed_s = entry.until(StreamLost)
    assert PONG_TIMEOUT_S < elapsed_s < MAX_DETECTION_S


def test_a_stream_whose_peer_answers_pings_stays_open(
    driver: LoopDriver, entry: StreamsUnderTest
) -> None:
    listener = driver.listen()
    entry.set_members(n1=listener.getsockname()[1])
    with mock.patch.multiple(MODULE, PING_AFTER_S=0.1, PONG_TIMEOUT_S=0.2):
        entry.streams.send('n1', QUERY)
        peer = driver.accept(listener)
        _send_messages(peer, _hello())
        decoder = FrameDecoder()
        for _ in range(100):
            peer._read()
            pings = [
                message
                for message in decoder.feed(bytes(peer.received))
                if isinstance(message, Ping)
            ]
            peer.received.clear()
            _send_messages(peer, *(Pong(ping.nonce, 0) for ping in pings))
            driver.run_once()
    assert entry.events_of(CallMessageReceived)
    assert not entry.events_of(StreamLost)


def test_streams_with_an_invalid_opening_are_closed(
    driver: LoopDriver, target_node: StreamsUnderTest
) -> None:
    sequences: tuple[tuple[Any, ...], ...] = (
        (_hello(cluster='other'),),
        (_hello(protocol=PROTOCOL_VERSION + 1),),
        (_hello(node=''),),
        (QUERY, _hello()),
        (_hello(), _hello('n2')),
    )
    for sequence in sequences:
        peer = driver.connect(target_node.port)
        _send_messages(peer, *sequence)
        peer.read_until_end()
    peer = driver.connect(target_node.port)
    peer.send(b'GET / HTTP/1.1\r\n\r\n')
    peer.read_until_end()
    assert not target_node.events_of(CallMessageReceived)


def test_a_stream_without_a_hello_is_closed(
    driver: LoopDriver, target_node: StreamsUnderTest
) -> None:
    with mock.patch.multiple(MODULE, PING_AFTER_S=0.1, HANDSHAKE_TIMEOUT_S=0.3):
        peer = driver.connect(target_node.port)
        # The start of a long frame, then single bytes at intervals.
        peer.send(b'\x93\x05\xa1c\xc6\x00\x10\x00\x00')
        driver.run_until(lambda: _send_slowly(peer, driver), 3)


def _send_slowly(peer: Peer, driver: LoopDriver) -> bool:
    try:
        peer.sock.send(b'x')
    except OSError:
        return True
    driver.run_for(0.05)
    return peer._read() and peer.ended


def test_a_stream_is_closed_if_its_peer_stops_reading(
    driver: LoopDriver, entry: StreamsUnderTest
) -> None:
    listener = driver.listen()
    entry.set_members(n1=listener.getsockname()[1])
    with mock.patch(f'{MODULE}._MAX_BUFFERED_BYTES', 1_000_000):
        entry.streams.send('n1', QUERY)
        peer = driver.accept(listener)
        _send_messages(peer, _hello())
        driver.run_for(0.05)
        large = QueryCall('x' * 500_000)
        sent = 0
        while not entry.events_of(StreamLost):
            entry.streams.send('n1', large)
            driver.run_once()
            sent += 1
            assert sent < 100
    assert entry.events == [StreamLost('n1', 1)]


def test_a_failed_connect_reports_its_messages_as_undelivered(
    driver: LoopDriver, entry: StreamsUnderTest
) -> None:
    for port in (driver.closed_port(), driver.unconnectable_port()):
        entry.set_members(n1=port)
        entry.streams.send('n1', QUERY)
        entry.streams.send('n1', QueryCall('n0-2'))
        elapsed_s = entry.until(MessageUndelivered, 4)
        driver.run_for(0.05)
        assert elapsed_s < 4
        assert entry.events == [
            MessageUndelivered('n1', QUERY),
            MessageUndelivered('n1', QueryCall('n0-2')),
        ]
        entry.events.clear()


def test_each_side_reports_a_lost_stream_once(
    driver: LoopDriver, entry: StreamsUnderTest, target_node: StreamsUnderTest
) -> None:
    entry.streams.send('n1', QUERY)
    target_node.until(CallMessageReceived)
    entry.streams._outbound['n1'].close()
    target_node.streams._inbound['n0'][-1].close()
    driver.run_for(0.1)
    assert entry.events == [StreamLost('n1', 1)]
    assert target_node.events_of(InboundStreamLost) == [
        InboundStreamLost('n0', frozenset((QUERY.call,)))
    ]
    entry.streams.send('n1', QUERY)
    driver.run_until(
        lambda: len(target_node.events_of(CallMessageReceived)) == 2
    )


def test_a_peer_with_an_unexpected_name_gets_no_message(
    driver: LoopDriver, entry: StreamsUnderTest, target_node: StreamsUnderTest
) -> None:
    entry.set_members(absent=target_node.port, n1=target_node.port)
    entry.streams.send('n1', QUERY)
    target_node.until(CallMessageReceived)
    for _ in range(2):
        entry.streams.send('absent', QUERY)
        entry.until(MessageUndelivered)
        driver.run_for(0.05)
        # The unexpected node received no message, so the call has not run.
        assert entry.events == [MessageUndelivered('absent', QUERY)]
        entry.events.clear()
    assert len(target_node.events_of(CallMessageReceived)) == 1
    target_node.streams.reply('n0', CancelCall('back'))
    driver.run_for(0.05)


def test_a_stream_to_an_address_accepts_any_node(
    driver: LoopDriver, entry: StreamsUnderTest, target_node: StreamsUnderTest
) -> None:
    entry.streams.send_to_address(HOST, target_node.port, QUERY)
    target_node.until(CallMessageReceived)
    driver.run_until(lambda: 'n1' in entry.streams._outbound)
    entry.streams.send('n1', CancelCall('same stream'))
    driver.run_until(
        lambda: len(target_node.events_of(CallMessageReceived)) == 2
    )
    assert len(target_node.streams._inbound) == 1


def test_a_newer_stream_of_a_peer_replaces_the_older(
    driver: LoopDriver, target_node: StreamsUnderTest
) -> None:
    older, newer = (
        driver.connect(target_node.port),
        driver.connect(target_node.port),
    )
    _send_messages(older, _hello('n0'))
    driver.run_until(lambda: 'n0' in target_node.streams._inbound)
    older_stream = target_node.streams._inbound['n0'][-1]
    _send_messages(newer, _hello('n0'))
    driver.run_until(
        lambda: target_node.streams._inbound['n0'][-1] is not older_stream
    )
    older.sock.close()
    driver.run_for(0.05)
    target_node.streams.reply('n0', QUERY)
    newer.read_until(FrameEncoder().encode(QUERY))
    assert not target_node.events_of(InboundStreamLost)


def test_parts_of_an_answer_keep_their_order_when_a_second_stream_opens(
    driver: LoopDriver, entry: StreamsUnderTest, target_node: StreamsUnderTest
) -> None:
    # Guards against an answer whose parts are passed on in another order: a
    # node that stops is called anew at its address while it still answers.
    parts = [AnswerPart(QUERY.call, b'x' * 65_536, False) for _ in range(20)]
    last = AnswerPart(QUERY.call, b'end', last=True)
    entry.streams.send('n1', QUERY)
    target_node.until(CallMessageReceived)
    connection = entry.streams._outbound['n1']._connection
    connection.pause_reading()
    for part in parts:
        target_node.streams.reply('n0', part)
    entry.streams.send_to_address(HOST, target_node.port, CancelCall('other'))
    driver.run_until(
        lambda: len(target_node.events_of(CallMessageReceived)) == 2
    )
    target_node.streams.reply('n0', last)
    driver.run_for(0.2)
    connection.resume_reading()
    received = entry.answer_parts
    driver.run_until(lambda: len(received()) == len(parts) + 1)
    assert received() == [*parts, last]


def test_an_answer_ends_with_the_stream_that_its_call_came_on(
    driver: LoopDriver, target_node: StreamsUnderTest
) -> None:
    # Guards against an answer with a hole, whose first parts were lost with
    # one stream and whose last part came on another one.
    older, newer = (
        driver.connect(target_node.port),
        driver.connect(target_node.port),
    )
    _send_messages(older, _hello('n0'), QUERY)
    target_node.until(CallMessageReceived)
    _send_messages(newer, _hello('n0'), QueryCall('n0-2'))
    driver.run_until(
        lambda: len(target_node.events_of(CallMessageReceived)) == 2
    )
    older.sock.close()
    target_node.until(InboundStreamLost)
    assert target_node.events_of(InboundStreamLost) == [
        InboundStreamLost('n0', frozenset((QUERY.call,)), is_last=False)
    ]
    running = CallRunning('n0-2')
    target_node.streams.reply('n0', AnswerPart(QUERY.call, b'end', last=True))
    target_node.streams.reply('n0', running)
    newer.read_until(FrameEncoder().encode(running))
    sent = _opening_of(target_node) + FrameEncoder().encode(running)
    assert bytes(newer.received) == sent


def test_an_answer_on_a_silent_stream_goes_on_no_other_stream(
    driver: LoopDriver, target_node: StreamsUnderTest
) -> None:
    # Guards against an answer with a hole: its first parts were sent on a
    # stream that had gone silent, and its last one on the next stream.
    silent, newer = (
        driver.connect(target_node.port),
        driver.connect(target_node.port),
    )
    _send_messages(silent, _hello('n0'), QUERY)
    target_node.until(CallMessageReceived)
    _send_messages(newer, _hello('n0'))
    driver.run_until(lambda: len(target_node.streams._inbound['n0']) == 2)
    target_node.streams.reply('n0', AnswerPart(QUERY.call, b'a', last=False))
    target_node.streams.reply('n0', AnswerPart(QUERY.call, b'b', last=True))
    target_node.streams.reply('n0', CancelCall('back'))
    newer.read_until(FrameEncoder().encode(CancelCall('back')))
    sent = _opening_of(target_node) + FrameEncoder().encode(CancelCall('back'))
    assert bytes(newer.received) == sent


def test_a_call_that_is_asked_about_is_not_lost_with_its_first_stream(
    driver: LoopDriver, target_node: StreamsUnderTest
) -> None:
    # Guards against a call that its node asked about on a new stream and that
    # is withdrawn all the same, as the loss of the first one is reported later.
    older, newer = (
        driver.connect(target_node.port),
        driver.connect(target_node.port),
    )
    _send_messages(older, _hello('n0'), QUERY, QueryCall('n0-2'))
    _send_messages(newer, _hello('n0'))
    driver.run_until(
        lambda: len(target_node.events_of(CallMessageReceived)) == 2
    )
    inbound = target_node.streams._inbound['n0']
    driver.run_until(lambda: len(inbound) == 2)
    first, second = inbound
    first.close()
    second._handle_message(QUERY)
    target_node.until(InboundStreamLost)
    assert target_node.events_of(InboundStreamLost) == [
        InboundStreamLost('n0', frozenset(('n0-2',)), is_last=False)
    ]


PING = Ping(7, 0)
PONG = Pong(7, 0)
CONFIRMED = CallMessageReceived('n0', PONG)


def _ping_two_streams(
    driver: LoopDriver, target_node: StreamsUnderTest
) -> tuple[Peer, Peer]:
    """Ping a node with two streams, and let it answer on the newer one."""
    older, newer = (
        driver.connect(target_node.port),
        driver.connect(target_node.port),
    )
    for peer in (older, newer):
        _send_messages(peer, _hello('n0'))
    streams = target_node.streams._inbound
    driver.run_until(lambda: len(streams.get('n0', ())) == 2)
    target_node.streams.reply('n0', PING)
    for pinged in (older, newer):
        pinged.read_until(FrameEncoder().encode(PING))
    _send_messages(newer, PONG)
    driver.run_for(0.05)
    assert CONFIRMED not in target_node.events
    return older, newer


def test_a_node_is_confirmed_once_it_has_answered_on_all_streams(
    driver: LoopDriver, target_node: StreamsUnderTest
) -> None:
    # Guards against calls that waited in one stream during a pause and start
    # after the node has answered on another.
    older, _ = _ping_two_streams(driver, target_node)
    _send_messages(older, PONG)
    driver.run_until(lambda: target_node.events.count(CONFIRMED) == 1)


def test_a_node_is_confirmed_although_it_gave_up_a_pinged_stream(
    driver: LoopDriver, target_node: StreamsUnderTest
) -> None:
    # Guards against a node whose calls are refused for good, as it was pinged
    # on a stream that it had given up during the pause.
    older, _ = _ping_two_streams(driver, target_node)
    older.sock.close()
    driver.run_until(lambda: target_node.events.count(CONFIRMED) == 1)


def _one_minute_ahead() -> float:
    return time.monotonic() + 60


def test_a_pause_of_this_process_closes_no_stream(
    driver: LoopDriver, entry: StreamsUnderTest, target_node: StreamsUnderTest
) -> None:
    with mock.patch.multiple(MODULE, PING_AFTER_S=0.2, PONG_TIMEOUT_S=0.4):
        entry.streams.send('n1', QUERY)
        target_node.until(CallMessageReceived)
        driver.run_for(0.25)
        stream = entry.streams._outbound['n1']
        stream._pinged_at = time.monotonic()
        # After a pause the timer runs before the waiting data is read.
        with mock.patch.object(driver.loop, 'now', _one_minute_ahead):
            stream._check_liveness()
        driver.run_for(0.1)
    assert not entry.events_of(StreamLost)


def test_close_ends_unidentified_streams(
    driver: LoopDriver, target_node: StreamsUnderTest
) -> None:
    peer = driver.connect(target_node.port)
    driver.run_until(lambda: target_node.streams._unidentified)
    target_node.streams.close()
    peer.read_until_end()
