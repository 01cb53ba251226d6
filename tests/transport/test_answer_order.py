"""Pipelined answers arrive whole and in order, however each of them ends."""

import enum
import heapq
import itertools
from collections.abc import Callable
from typing import Any
from unittest import mock

import attrs
import h11
from hypothesis import given
from hypothesis import settings as profile
from hypothesis import strategies as st

from daisyline.coordination.calls.call_events import (
    AbortCaller,
    AnswerCaller,
    AnswerCallerPart,
    RefuseCaller,
)
from daisyline.state.failures import Failure, Outcome, Reason
from daisyline.transport import queued_answer
from daisyline.transport.callers import CallerConnection
from daisyline.transport.effect_handlers import perform
from tests.support import function_tests

load_tests = function_tests(__name__)

BOUNDED = profile(derandomize=True, max_examples=1500, deadline=None)
HELD_BYTES = 400
KERNEL_BYTES = 300
BODY_LIMIT_BYTES = 1000
REQUEST = b'GET / HTTP/1.1\r\nHost: docs\r\n\r\n'
TURN_S = 0.02
TURNS_TO_THE_END = 200
REFUSED, BROKEN_OFF, WHOLE = 503, 502, 200


class Ending(enum.Enum):
    """How a target or its node ends an answer."""

    WHOLE = WHOLE
    BROKEN = BROKEN_OFF
    REFUSED = REFUSED


@attrs.define
class ManualLoop:
    """A loop whose time the test sets."""

    time_s: float = 0
    _numbers: Any = attrs.field(factory=itertools.count)
    _timers: list[Any] = attrs.field(factory=list)

    def now(self) -> float:
        """Return the time, in seconds."""
        return self.time_s

    def call_later(self, delay_s: float, callback: Callable[[], Any]) -> Any:
        """Call a function after a time, unless it is cancelled."""
        timer = mock.Mock(callback=callback)
        timer.cancel = lambda: setattr(timer, 'callback', bool)
        due = (self.time_s + delay_s, next(self._numbers), timer)
        heapq.heappush(self._timers, due)
        return timer

    def defer(self, callback: Callable[[], Any]) -> None:
        """Call a function in the next turn."""
        self.call_later(0, callback)

    call_next = defer

    def run_turn(self) -> None:
        """Let a short time pass."""
        self.time_s += TURN_S
        while self._timers and self._timers[0][0] <= self.time_s:
            heapq.heappop(self._timers)[2].callback()


@attrs.define
class SlowClient:
    """The connection of a client that reads when the test lets it."""

    loop: ManualLoop
    handler: Any = None
    is_open: bool = True
    was_reset: bool = False
    received: bytearray = attrs.field(factory=bytearray)
    unread: bytearray = attrs.field(factory=bytearray)
    peer_host: str = ''

    @property
    def buffered_bytes(self) -> int:
        """Return what the kernel has not taken."""
        return max(0, len(self.unread) - KERNEL_BYTES)

    @property
    def undelivered_bytes(self) -> int:
        """Return what the client has not acknowledged."""
        return len(self.unread)

    def write(self, octets: bytes) -> None:
        """Take bytes for the client."""
        self.unread += octets

    def read(self, count: int) -> None:
        """Let the client read."""
        was_buffered = self.buffered_bytes
        self.received += self.unread[:count]
        self.unread = self.unread[count:]
        if was_buffered and not self.buffered_bytes:
            self.handler.handle_drained()

    def pause_reading(self) -> None:
        """Do nothing; the test sends all requests at once."""

    resume_reading = pause_reading

    def reset(self) -> None:
        """Discard what is not delivered."""
        self.was_reset = True
        self.abort()

    def abort(self) -> None:
        """Close at once."""
        if self.is_open:
            self.is_open = False
            self.unread.clear()
            self.handler.handle_closed()


@attrs.frozen
class Script:
    """What a target makes of one request.

    Attributes:
        parts: The lengths of the parts of its answer.
        ending: How the answer ends.
        is_chunked: Whether the answer does not state its length.
    """

    parts: list[int]
    ending: Ending
    is_chunked: bool

    def events(self, call: str) -> list[Any]:
        """Return the effects that carry the answer to the client."""
        body = [call[-1:].encode() * part for part in self.parts]
        length = sum(self.parts)
        failure = Failure(Reason.TARGET_LOST, Outcome.UNKNOWN)
        if self.ending == Ending.REFUSED:
            return [RefuseCaller(call, Failure(Reason.OVERLOADED))]
        if self.ending == Ending.BROKEN:
            length += 1
        headers = [(b'Content-Length', b'%d' % length)]
        if self.is_chunked:
            headers.clear()
        first, *rest = body
        is_whole = self.ending == Ending.WHOLE
        return [
            AnswerCaller(call, WHOLE, tuple(headers), first, last=False),
            *(AnswerCallerPart(call, part, last=False) for part in rest),
            AnswerCallerPart(call, b'', last=True)
            if is_whole
            else AbortCaller(call, failure),
        ]


class Exchange:
    """One connection, whose answers come part by part in any order."""

    def __init__(self, scripts: list[Script]) -> None:
        """Connect, and send the first request."""
        self.loop = ManualLoop()
        self.client = SlowClient(self.loop)
        self.scripts = scripts
        self.started: list[list[Any]] = []
        self.node = CallerConnection(
            self.loop, self.client, BODY_LIMIT_BYTES, self._start, bool
        )
        self.node.may_overlap = lambda _request: True
        self._sent_requests = 0
        self.send_requests(1)

    def send_requests(self, count: int) -> None:
        """Send further requests, of which those that may start begin."""
        left = len(self.scripts) - self._sent_requests
        sent = min(count, left)
        self._sent_requests += sent
        if sent and self.client.is_open:
            self.client.handler.handle_bytes(REQUEST * sent)

    def advance(self, number: int) -> None:
        """Carry out the next effect of a started request, if it has one."""
        effects = self.started[number % len(self.started)]
        if effects and self.client.is_open:
            ports = mock.Mock(find_caller=lambda _call, last: self.node)
            perform(effects.pop(0), mock.Mock(ports=ports))
        self.check_bounds()

    def read(self, count: int) -> None:
        """Let the client read some bytes."""
        self.client.read(count)

    def finish(self) -> None:
        """Complete all answers and let the client read all of them."""
        self.send_requests(len(self.scripts))
        for _ in range(TURNS_TO_THE_END):
            for number, effects in enumerate(self.started):
                while effects and self.client.is_open:
                    self.advance(number)
            self.client.read(len(self.client.unread))
            self.loop.run_turn()
        assert len(self.started) == len(self.scripts) or self.client.was_reset

    def check_bounds(self) -> None:
        """Check what is held, and that nothing is held without a reason."""
        first = self.node.answers.first
        if first is not None and not first.is_complete:
            assert len(first.unsent) <= HELD_BYTES
            assert len(self.node.answers) > 1 or not first.unsent

    def _start(self, node: CallerConnection, _request: Any) -> None:
        number = len(self.started)
        call = f'call-{chr(ord("a") + number)}'
        node.call = call
        self.started.append(self.scripts[number].events(call))


def _read_answers(received: bytes, count: int) -> list[tuple[int, bytes]]:
    """Return the status and body of each whole answer, as a client does."""
    answers = []
    client = h11.Connection(h11.CLIENT)
    if received:
        client.receive_data(received)
    for _ in range(count):
        client.send(
            h11.Request(method='GET', target='/', headers=[('Host', 'a')])
        )
        client.send(h11.EndOfMessage())
        status, body = 0, b''
        event = client.next_event()
        while isinstance(event, (h11.Response, h11.Data)):
            status = getattr(event, 'status_code', status)
            body += bytes(getattr(event, 'data', b''))
            event = client.next_event()
        if event is h11.NEED_DATA:
            break
        answers.append((status, body))
        client.start_next_cycle()
    return answers


_SCRIPTS = st.lists(
    st.builds(
        Script,
        st.lists(st.integers(1, 250), min_size=1, max_size=4),
        st.sampled_from(Ending),
        st.booleans(),
    ),
    min_size=1,
    max_size=6,
)
Turn = tuple[Callable[[Exchange, int], None], int]
_TURNS = st.lists(
    st.one_of(
        st.tuples(st.just(Exchange.send_requests), st.integers(1, 6)),
        st.tuples(st.just(Exchange.advance), st.integers(0, 5)),
        st.tuples(st.just(Exchange.read), st.integers(1, 400)),
    ),
    max_size=40,
)


@BOUNDED
@given(scripts=_SCRIPTS, turns=_TURNS)
def test_only_an_answer_too_long_to_be_held_takes_others_along(
    scripts: list[Script], turns: list[Turn]
) -> None:
    # Guards against whole answers that are lost with their connection because
    # another answer of it breaks off, wherever that one stands.
    with mock.patch.object(queued_answer, 'MAX_HELD_BYTES', HELD_BYTES):
        exchange = Exchange(scripts)
        for act, number in turns:
            act(exchange, number)
            exchange.loop.run_turn()
        exchange.finish()
    _check_answers(exchange)


def _check_answers(exchange: Exchange) -> None:
    """Check that each answer came whole or refused, up to one that broke."""
    started = exchange.scripts[: len(exchange.started)]
    answers = _read_answers(bytes(exchange.client.received), len(started))
    for number, (status, body) in enumerate(answers):
        script = started[number]
        assert status == script.ending.value, (number, status)
        if script.ending == Ending.WHOLE:
            letter = chr(ord('a') + number).encode()
            assert body == letter * sum(script.parts)
    if not exchange.client.was_reset:
        assert len(answers) == len(started)
        return
    broken = started[len(answers)]
    assert broken.ending == Ending.BROKEN
    # Its head and framing take less than half of what is held.
    is_long = sum(broken.parts) > HELD_BYTES // 2
    assert is_long or len(started) == len(answers) + 1, 'answers were lost'
