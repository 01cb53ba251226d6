"""A body is run as its sender sent it, or refused as not run."""

import itertools
from typing import Any

import attrs
from hypothesis import given
from hypothesis import settings as profile
from hypothesis import strategies as st

from daisyline.coordination.calls.call_events import (
    MEMORY_SHORT,
    CallBodyRefused,
    CallMessageReceived,
)
from daisyline.coordination.calls.inbound_calls import (
    InboundCalls,
    InboundStream,
    StreamSuperseded,
)
from daisyline.coordination.calls.messages import (
    BodyPart,
    CancelCall,
    QueryCall,
    RequestPart,
    RunCall,
    RunLongCall,
)
from daisyline.coordination.memory.memory_account import MemoryAccount
from daisyline.state.failures import Outcome
from daisyline.transport.memory_guard import MemoryGuard
from tests.builders import run_message
from tests.support import function_tests

load_tests = function_tests(__name__)

BOUNDED = profile(derandomize=True, max_examples=600, deadline=None)
ROOM_BYTES = 1_000_000
OLDER = InboundStream(1, 'n0', incarnation=1)
NEWER = InboundStream(2, 'n0', incarnation=1)
NOW = 1.0


def _parts_of(call: str, attempt: int, count: int) -> list[bytes]:
    """Return parts of different lengths, which no other attempt shares."""
    return [
        f'{call}/{attempt}/{number}.'.encode() * (number + 1)
        for number in range(count)
    ]


def _run(call: str, attempt: int, body: bytes) -> RunCall:
    return run_message(call, attempt=attempt, body=body)


def _earlier_messages(call: str, attempt: int, parts: list[bytes]) -> list[Any]:
    """Return what a node of the build before sends for one attempt."""
    *first, last = parts
    return [
        *(RequestPart(call, part) for part in first),
        _run(call, attempt, last),
    ]


def _messages(call: str, attempt: int, parts: list[bytes]) -> list[Any]:
    """Return the messages for one attempt whose body goes in parts."""
    length = len(b''.join(parts))
    starts = itertools.accumulate(map(len, parts), initial=0)
    fields = attrs.asdict(_run(call, attempt, parts[-1]), recurse=False)
    return [
        *(
            BodyPart(call, attempt, start, length, part)
            for start, part in zip(starts, parts[:-1], strict=False)
        ),
        RunLongCall(**fields, body_length=length),
    ]


@attrs.define
class Receiver:
    """The calls of one node, and the events for the messages it has read.

    Attributes:
        account: The memory of the node.
        calls: The calls.
        events: All events.
        events_since_newer: Those since a message of `NEWER` was read.
        has_read_newer: Whether one was.
    """

    account: MemoryAccount
    calls: InboundCalls
    events: list[Any] = attrs.field(factory=list)
    events_since_newer: list[Any] = attrs.field(factory=list)
    has_read_newer: bool = False

    @classmethod
    def with_room(cls, octets: int = ROOM_BYTES) -> 'Receiver':
        """Return a receiver whose memory has room for so many bytes."""
        account = MemoryAccount(octets)
        return cls(account, InboundCalls(MemoryGuard(account)))

    def read(self, stream: InboundStream, *messages: Any) -> None:
        """Read messages from a stream."""
        for message in messages:
            events = self.calls.receive(stream, message, NOW)
            self.events += events
            self.has_read_newer |= stream is NEWER
            if self.has_read_newer:
                self.events_since_newer += events

    @property
    def runs(self) -> list[RunCall]:
        """Return the calls that were passed on to be run."""
        messages = [
            event.message
            for event in self.events
            if isinstance(event, CallMessageReceived)
        ]
        return [one for one in messages if isinstance(one, RunCall)]

    @property
    def refused(self) -> list[CallBodyRefused]:
        """Return the calls whose bodies were refused."""
        return [one for one in self.events if isinstance(one, CallBodyRefused)]


def test_parts_that_follow_a_cancelled_call_are_no_whole_body() -> None:
    # Guards against a target that runs a request without its start (review/6).
    for messages in (_messages, _earlier_messages):
        receiver = Receiver.with_room()
        *parts, run = messages('c', 1, _parts_of('c', 1, 4))
        receiver.read(OLDER, *parts[:2])
        receiver.read(NEWER, CancelCall('c'))
        receiver.read(OLDER, *parts[2:], run)
        assert not receiver.runs
        assert StreamSuperseded(OLDER.number) in receiver.events


def test_a_second_attempt_is_not_joined_with_parts_of_the_first() -> None:
    for messages in (_messages, _earlier_messages):
        receiver = Receiver.with_room()
        receiver.read(OLDER, *messages('c', 1, _parts_of('c', 1, 3))[:2])
        second = _parts_of('c', 2, 3)
        receiver.read(NEWER, *messages('c', 2, second))
        assert [run.body for run in receiver.runs] == [b''.join(second)]


def test_a_second_attempt_on_the_same_stream_has_its_own_body() -> None:
    for messages in (_messages, _earlier_messages):
        receiver = Receiver.with_room()
        receiver.read(OLDER, *messages('c', 1, _parts_of('c', 1, 3))[:2])
        receiver.read(OLDER, CancelCall('c'))
        second = _parts_of('c', 2, 3)
        receiver.read(OLDER, *messages('c', 2, second))
        assert [run.body for run in receiver.runs] == [b''.join(second)]


def test_a_body_with_a_missing_part_is_refused_as_not_run() -> None:
    sent = _messages('c', 1, _parts_of('c', 1, 4))
    for missing in range(3):
        receiver = Receiver.with_room()
        receiver.read(OLDER, *sent[:missing], *sent[missing + 1 :])
        assert not receiver.runs
        assert receiver.refused[0].failure.outcome == Outcome.NOT_RUN
        receiver.calls.record_end('c')
        assert not receiver.account.held_bytes


def test_the_end_of_a_body_alone_is_refused_as_not_run() -> None:
    receiver = Receiver.with_room()
    receiver.read(OLDER, _messages('c', 1, _parts_of('c', 1, 2))[-1])
    assert not receiver.runs
    assert len(receiver.refused) == 1


def test_the_end_of_another_attempt_does_not_complete_a_body() -> None:
    receiver = Receiver.with_room()
    *parts, run = _messages('c', 1, _parts_of('c', 1, 3))
    receiver.read(OLDER, *parts, attrs.evolve(run, attempt=2))
    assert not receiver.runs
    assert len(receiver.refused) == 1


def test_a_part_of_another_attempt_is_not_taken_for_one_of_the_body() -> None:
    first = _messages('c', 1, _parts_of('c', 1, 3))
    second = _messages('c', 2, _parts_of('c', 2, 3))
    receiver = Receiver.with_room()
    receiver.read(OLDER, second[0], first[1], second[2])
    assert not receiver.runs
    assert len(receiver.refused) == 1


def test_parts_after_a_revoked_body_are_no_whole_body() -> None:
    for messages in (_messages, _earlier_messages):
        receiver = Receiver.with_room()
        *parts, run = messages('c', 1, _parts_of('c', 1, 4))
        receiver.read(OLDER, parts[0])
        receiver.account.limit_bytes = 1
        receiver.read(OLDER, parts[1])
        receiver.account.limit_bytes = ROOM_BYTES
        receiver.read(OLDER, parts[2], run)
        assert receiver.events == [CallBodyRefused('n0', 'c', MEMORY_SHORT)]
        assert not receiver.account.held_bytes


def test_a_call_that_is_asked_about_keeps_what_its_body_holds() -> None:
    receiver = Receiver.with_room()
    body = b'body'
    receiver.read(OLDER, _run('c', 1, body))
    receiver.read(NEWER, QueryCall('c'))
    assert receiver.calls.origin_of('c') == NEWER.number
    assert not receiver.calls.end_stream(OLDER, False, NOW)
    assert receiver.account.held_bytes == len(body)
    receiver.calls.record_end('c')
    assert not receiver.account.held_bytes


def test_a_call_of_an_older_stream_does_not_run_after_a_newer_message() -> None:
    for message in (CancelCall('c'), QueryCall('c'), CancelCall('other')):
        receiver = Receiver.with_room()
        receiver.read(NEWER, message)
        receiver.read(OLDER, _run('c', 1, b''))
        assert receiver.events[-1] == StreamSuperseded(OLDER.number)
        assert not receiver.runs


def test_a_late_cancel_or_question_of_an_older_stream_is_dropped() -> None:
    for late in (CancelCall('c'), QueryCall('c')):
        receiver = Receiver.with_room()
        receiver.read(NEWER, _run('c', 2, b'body'))
        receiver.read(OLDER, late)
        assert receiver.calls.origin_of('c') == NEWER.number
        assert receiver.events[-1] == StreamSuperseded(OLDER.number)
        assert receiver.account.held_bytes == len(b'body')


def test_a_node_that_was_killed_and_came_back_supersedes_no_other() -> None:
    # The clock of a machine may step back between two starts of its node.
    receiver = Receiver.with_room()
    receiver.read(attrs.evolve(OLDER, incarnation=9), _run('a', 1, b''))
    receiver.read(NEWER, _run('b', 1, b''))
    receiver.read(attrs.evolve(OLDER, incarnation=9), _run('c', 1, b''))
    assert [run.call for run in receiver.runs] == ['a', 'b', 'c']


def test_messages_on_an_own_stream_supersede_no_other() -> None:
    # A node that is no member to its peer gets messages on its own streams.
    receiver = Receiver.with_room()
    receiver.read(OLDER, _run('a', 1, b''))
    own = attrs.evolve(NEWER, is_accepted=False)
    receiver.read(own, CancelCall('a'))
    receiver.read(OLDER, _run('b', 1, b''))
    assert [run.call for run in receiver.runs] == ['a', 'b']


@attrs.frozen
class Sending:
    """What a node does with one attempt on one stream.

    Attributes:
        call: The id of the call.
        parts: The number of parts of its body.
        is_length_stated: Whether its messages state the length of the body.
        cancelled_after: The messages after which it is cancelled; `None` if
            it is not.
    """

    call: str
    parts: int
    is_length_stated: bool
    cancelled_after: int | None

    def messages(self, attempt: int) -> list[Any]:
        """Return the messages on the stream."""
        make = _messages if self.is_length_stated else _earlier_messages
        if self.parts == 1:
            make = _earlier_messages
        sent = make(self.call, attempt, self.body_parts(attempt))
        if self.cancelled_after is None:
            return sent
        return [*sent[: self.cancelled_after], CancelCall(self.call)]

    def body_parts(self, attempt: int) -> list[bytes]:
        """Return the parts of its body."""
        return _parts_of(self.call, attempt, self.parts)


_SENDINGS = st.lists(
    st.builds(
        Sending,
        st.sampled_from('abc'),
        st.integers(1, 4),
        st.booleans(),
        st.one_of(st.none(), st.integers(0, 2)),
    ),
    max_size=4,
    unique_by=lambda sending: sending.call,
)


@BOUNDED
@given(
    first=_SENDINGS,
    second=_SENDINGS,
    cut=st.integers(0, 16),
    asks=st.lists(st.sampled_from((CancelCall, QueryCall)), max_size=3),
    turns=st.lists(st.booleans(), max_size=40),
    room=st.sampled_from((40, 120, ROOM_BYTES)),
)
def test_every_body_is_run_as_it_was_sent_however_two_streams_interleave(
    first: list[Sending],
    second: list[Sending],
    cut: int,
    asks: list[type],
    turns: list[bool],
    room: int,
) -> None:
    receiver = Receiver.with_room(room)
    older = [one for sending in first for one in sending.messages(1)][:cut]
    newer: list[Any] = [
        ask(call) for ask, call in zip(asks, 'abc', strict=False)
    ]
    newer += [one for sending in second for one in sending.messages(2)]
    _read_by_turns(receiver, older, newer, turns)
    _check_bodies(receiver, first, second)
    _check_newer_calls(receiver.events_since_newer, second)
    for stream in (OLDER, NEWER):
        receiver.calls.end_stream(stream, stream is NEWER, NOW)
    assert not receiver.account.held_bytes
    assert not receiver.calls._bodies
    assert not receiver.calls._origins


def _read_by_turns(
    receiver: Receiver, older: list[Any], newer: list[Any], turns: list[bool]
) -> None:
    """Read two streams; each turn tells whether the newer one is next."""
    unread = {OLDER: iter(older), NEWER: iter(newer)}
    for is_newer in turns:
        stream = NEWER if is_newer else OLDER
        receiver.read(stream, *itertools.islice(unread[stream], 1))
    for stream, messages in unread.items():
        receiver.read(stream, *messages)


def _check_bodies(
    receiver: Receiver, first: list[Sending], second: list[Sending]
) -> None:
    """Check that each call that ran has the body that was sent with it."""
    bodies = {
        (sending.call, attempt): b''.join(sending.body_parts(attempt))
        for attempt, sendings in enumerate((first, second), 1)
        for sending in sendings
    }
    for run in receiver.runs:
        assert run.body == bodies[run.call, run.attempt], run


def _check_newer_calls(events: list[Any], second: list[Sending]) -> None:
    """Check that only calls of the newer stream end, and each of them once."""
    ended = [
        event.call for event in events if isinstance(event, CallBodyRefused)
    ]
    for event in events:
        message = getattr(event, 'message', None)
        if isinstance(message, RunCall):
            assert message.attempt == 2, 'the call was given up'
            ended.append(message.call)
    for sending in second:
        if sending.cancelled_after is None:
            assert ended.count(sending.call) == 1
