"""Answers to pipelined requests are whole, whichever of them breaks off."""

from collections.abc import Iterator
from unittest import mock

import attrs

from daisyline.coordination.calls.call_events import (
    AnswerCaller,
    AnswerCallerPart,
    ExpireAnswer,
)
from daisyline.coordination.calls.caller_events import (
    AnswerBroken,
    CallerDisconnected,
)
from daisyline.state.failures import Reason
from daisyline.transport import queued_answer
from daisyline.transport.effect_handlers import perform
from tests.support import fixture, function_tests
from tests.transport.rig import LoopDriver, Peer
from tests.transport.test_callers import CallersPort, _broken, _get

load_tests = function_tests(__name__)

HELD_BYTES = 1000
TOO_LONG = bytes(HELD_BYTES + 1)


@attrs.define
class Pipeline:
    """A caller whose connection answers requests concurrently."""

    callers: CallersPort
    peer: Peer

    def send_requests(self, *numbers: int) -> None:
        """Send requests together."""
        self.peer.send(b''.join(map(_get, numbers)))

    def send_part(self, number: int, part: bytes, last: bool = False) -> None:
        """Send a further part of an answer."""
        self.callers.caller.send_part(
            AnswerCallerPart(f'c{number}', part, last)
        )

    def send_answer(
        self, number: int, part: bytes, last: bool = True, length: int = 0
    ) -> None:
        """Send the head and the first part of an answer."""
        headers = ((b'Content-Length', b'%d' % length),) if length else ()
        self.callers.caller.send_answer(
            AnswerCaller(f'c{number}', 200, headers, part, last)
        )

    def break_off(self, number: int) -> None:
        """Let an answer break off at its target."""
        self.callers.caller.abort_answer(_broken(f'c{number}'))

    def expire(self, number: int) -> None:
        """Let the deadline of a request pass."""
        ports = mock.Mock(find_caller=lambda _call, last: self.callers.caller)
        perform(ExpireAnswer(f'c{number}'), mock.Mock(ports=ports))

    def run_for(self, seconds: float) -> None:
        """Run the loop for a time in seconds."""
        self.callers.driver.run_for(seconds)

    def count_started(self) -> int:
        """Return how many requests were started, after a short time."""
        self.run_for(0.05)
        return len(self.callers.requests)


@fixture
def pipeline(
    driver: LoopDriver, callers_port: CallersPort
) -> Iterator[Pipeline]:
    """Provide a caller; answers of more than `HELD_BYTES` are not held."""
    peer = driver.connect(callers_port.port)
    driver.run_until(lambda: callers_port.connections)
    callers_port.caller.may_overlap = lambda _request: True
    with mock.patch.object(queued_answer, 'MAX_HELD_BYTES', HELD_BYTES):
        yield Pipeline(callers_port, peer)


def test_an_answer_that_breaks_off_takes_no_later_one_along(
    pipeline: Pipeline,
) -> None:
    # Guards against the loss of whole answers behind the one that breaks off,
    # whose part was sent although it could have waited.
    pipeline.send_requests(1, 2, 3)
    pipeline.callers.wait_for_requests(3)
    pipeline.send_answer(1, b'half', last=False)
    pipeline.send_answer(2, b'second')
    pipeline.break_off(1)
    pipeline.send_answer(3, b'third')
    received = pipeline.peer.read_until(b'third')
    assert received.startswith(b'HTTP/1.1 502 ')
    assert b'half' not in received
    assert received.index(b'second') < received.index(b'third')
    broken = pipeline.callers.driver.events_of(AnswerBroken)
    assert broken == [AnswerBroken('c1', Reason.TARGET_LOST, is_refused=True)]
    assert not pipeline.peer.ended


def test_an_answer_that_is_held_is_refused_at_its_deadline(
    pipeline: Pipeline,
) -> None:
    # Guards against whole answers that wait behind one whose target stands
    # still, long after all of them were due.
    pipeline.send_requests(1, 2, 3)
    pipeline.callers.wait_for_requests(3)
    pipeline.send_answer(1, b'half', last=False)
    pipeline.send_answer(2, b'second')
    pipeline.expire(1)
    received = pipeline.peer.read_until(b'second')
    assert received.startswith(b'HTTP/1.1 504 ')
    assert b'Daisyline-Outcome: unknown' in received
    driver = pipeline.callers.driver
    assert driver.events_of(CallerDisconnected) == [CallerDisconnected('c1')]
    pipeline.send_part(1, b'late', last=True)
    pipeline.send_answer(3, b'third')
    assert b'late' not in pipeline.peer.read_until(b'third')


def test_an_answer_that_is_not_held_may_exceed_its_deadline(
    pipeline: Pipeline,
) -> None:
    pipeline.send_requests(1, 2)
    pipeline.callers.wait_for_requests(2)
    pipeline.send_answer(1, TOO_LONG, last=False)
    pipeline.send_answer(2, b'second', last=False)
    # The second one waits for its turn.
    pipeline.expire(2)
    pipeline.expire(1)
    pipeline.send_part(1, b'end', last=True)
    pipeline.expire(2)
    pipeline.send_part(2, b'-whole', last=True)
    received = pipeline.peer.read_until(b'-whole')
    assert received.count(b'HTTP/1.1 200') == 2
    assert not pipeline.callers.driver.events_of(CallerDisconnected)


def test_an_answer_is_sent_at_once_if_none_waits_behind_it(
    pipeline: Pipeline,
) -> None:
    pipeline.send_requests(1)
    pipeline.callers.wait_for_requests(1)
    pipeline.send_answer(1, b'half', last=False)
    pipeline.peer.read_until(b'half')


def test_an_answer_is_sent_once_it_is_too_long_to_be_held(
    pipeline: Pipeline,
) -> None:
    pipeline.send_requests(1, 2)
    pipeline.callers.wait_for_requests(2)
    pipeline.send_answer(1, b'half', last=False)
    pipeline.run_for(0.05)
    assert not pipeline.peer.read_now()
    pipeline.send_part(1, TOO_LONG)
    pipeline.peer.read_until(b'half')


def test_an_answer_that_states_too_long_a_body_is_sent_at_once(
    pipeline: Pipeline,
) -> None:
    pipeline.send_requests(1, 2)
    pipeline.callers.wait_for_requests(2)
    pipeline.send_answer(1, b'half', last=False, length=len(TOO_LONG))
    pipeline.peer.read_until(b'half')


def test_no_request_starts_behind_an_answer_that_is_being_sent(
    pipeline: Pipeline,
) -> None:
    # Guards against work whose answer is lost if the one before breaks off.
    pipeline.send_requests(1)
    pipeline.callers.wait_for_requests(1)
    pipeline.send_answer(1, b'half', last=False)
    pipeline.send_requests(2, 3)
    assert pipeline.count_started() == 1
    pipeline.send_part(1, b'', last=True)
    pipeline.callers.wait_for_requests(3)


def test_no_request_starts_behind_an_answer_too_long_to_be_held(
    pipeline: Pipeline,
) -> None:
    pipeline.send_requests(1, 2)
    pipeline.callers.wait_for_requests(2)
    pipeline.send_answer(2, b'half', last=False, length=len(TOO_LONG))
    pipeline.send_requests(3)
    assert pipeline.count_started() == 2
    pipeline.send_answer(1, b'first')
    assert pipeline.count_started() == 2
    pipeline.send_part(2, TOO_LONG[len(b'half') :], last=True)
    pipeline.callers.wait_for_requests(3)


def test_a_request_starts_as_soon_as_one_of_many_is_answered(
    pipeline: Pipeline,
) -> None:
    pipeline.send_requests(*range(1, 19))
    pipeline.callers.wait_for_requests(16)
    assert pipeline.count_started() == 16
    pipeline.send_answer(1, b'first')
    pipeline.callers.wait_for_requests(17)


def test_what_follows_a_last_answer_behind_another_is_read(
    pipeline: Pipeline,
) -> None:
    # Guards against a reset that destroys the end of the last answer, as what
    # the client sent behind its last request was not read.
    closing = b'GET /2 HTTP/1.1\r\nHost: docs\r\nConnection: close\r\n\r\n'
    pipeline.peer.send(_get(1) + closing)
    pipeline.callers.wait_for_requests(2)
    pipeline.send_answer(1, b'first')
    pipeline.send_answer(2, bytes(16_000_000))
    pipeline.run_for(0.05)
    assert pipeline.callers.buffered
    assert pipeline.callers.caller._connection._is_reading


def test_answers_that_break_off_one_after_the_other_are_all_refused(
    pipeline: Pipeline,
) -> None:
    count = 5
    pipeline.send_requests(*range(1, count + 1))
    pipeline.callers.wait_for_requests(count)
    for number in range(count, 0, -1):
        pipeline.send_answer(number, b'half', last=False)
        pipeline.break_off(number)
    received = pipeline.peer.read_until(b'Daisyline-Call: c5')
    assert received.count(b'HTTP/1.1 502 ') == count
