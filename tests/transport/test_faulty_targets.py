"""A target that repeats answers, or never ends one, misleads no call."""

import socket

import attrs

from daisyline.coordination.calls.call_events import (
    StartTargetCall,
    TargetAnswerHead,
    TargetAnswerPart,
    TargetCallFailed,
)
from daisyline.protocol.answer_reader import MAX_DISCARDED_ANSWERS
from daisyline.protocol.dialect import Dialect
from daisyline.protocol.http_client import MAX_INFORMATIONAL
from daisyline.protocol.http_messages import MAX_HEAD_BYTES
from daisyline.state.targets import Target
from daisyline.transport.target_pool import TargetPool
from tests.builders import run_message
from tests.support import function_tests
from tests.transport.rig import HOST, LoopDriver, Peer

load_tests = function_tests(__name__)

HEAD_END = b'\r\n\r\n'
OWN_IDS = Dialect()
CALLER_IDS = Dialect(
    request_id=b'x-id', declined=b'x-declined', signature=b'x-signed'
)
DIALECTS = (OWN_IDS, CALLER_IDS)
LONG = b'a' * (MAX_HEAD_BYTES + 1)


@attrs.define
class FaultyTarget:
    """A pool of connections and the target that a test plays."""

    driver: LoopDriver
    pool: TargetPool
    _listener: socket.socket

    @classmethod
    def from_dialect(
        cls, driver: LoopDriver, dialect: Dialect
    ) -> 'FaultyTarget':
        """Start to listen, and build the pool."""
        listener = driver.listen()
        pool = TargetPool(driver.loop, driver.events.append, dialect)
        pool.connection_limit = lambda: 4
        port = listener.getsockname()[1]
        pool.update_target(Target('docs', 'v1', 'i-1', HOST, port))
        return cls(driver, pool, listener)

    def start(self, call: str, request_id: str = '') -> None:
        """Start a call that must not be repeated."""
        headers = ((b'x-id', (request_id or call).encode()),)
        run = run_message(
            call, repeatable=False, method=b'POST', headers=headers
        )
        self.pool.start_call(StartTargetCall(call, run, 5))

    def accept(self) -> Peer:
        """Accept a connection of the pool and read its request."""
        peer = self.driver.accept(self._listener)
        peer.read_until(HEAD_END)
        peer.received.clear()
        return peer

    def answer(self, call: str, status: bytes = b'200 OK') -> bytes:
        """Return an answer with the id of a call."""
        return _message(
            status,
            b'Daisyline-Call: %s',
            b'X-Id: %s',
            b'X-Signed: 1',
            call=call,
        )

    def serve(self, call: str) -> Peer:
        """Run a first call whose connection is kept."""
        self.start(call)
        peer = self.accept()
        peer.send(self.answer(call))
        self.wait_for_answer(call)
        return peer

    def start_on(self, peer: Peer, call: str) -> None:
        """Start a call and read it from a kept connection."""
        self.start(call)
        peer.read_until(HEAD_END)
        peer.received.clear()

    def wait_for_answer(self, call: str) -> None:
        """Wait for the complete answer of a call, and compare its body."""
        self.driver.run_until(lambda: call in self.answers())
        assert self.answers()[call] == call.encode()

    def wait_until_closed(self) -> None:
        """Wait until the pool has no connection."""
        self.driver.run_until(lambda: self.pool.connection_count == 0)

    def answers(self) -> dict[str, bytes]:
        """Return the bodies of the complete answers, by call."""
        return {
            event.call: event.body
            for event in self.driver.events_of(TargetAnswerHead)
            if event.last
        }

    def received_body(self) -> bytes:
        """Return the body of the only answer, which must be complete."""
        events = [
            event
            for event in self.driver.events
            if isinstance(event, (TargetAnswerHead, TargetAnswerPart))
        ]
        assert [event.last for event in events].index(True) == len(events) - 1
        return b''.join(event.body for event in events)

    def wait_for_failure(self) -> TargetCallFailed:
        """Return the failure of the only call that failed."""
        self.driver.run_until(lambda: self.driver.events_of(TargetCallFailed))
        return self.driver.events_of(TargetCallFailed)[0]


def _message(status: bytes, *headers: bytes, call: str) -> bytes:
    """Return an answer whose body is the id of its call."""
    body = call.encode()
    lines = [
        b'HTTP/1.1 %s' % status,
        *(
            line % body if b'%s' in line else line
            for line in (*headers, b'Content-Length: %d' % len(body))
        ),
    ]
    return b'\r\n'.join(lines) + HEAD_END + body


def test_a_late_copy_of_an_answer_is_discarded(driver: LoopDriver) -> None:
    for dialect in DIALECTS:
        target = FaultyTarget.from_dialect(driver, dialect)
        peer = target.serve('a')
        target.start_on(peer, 'b')
        peer.send(target.answer('a'))
        driver.run_for(0.05)
        assert set(target.answers()) == {'a'}
        peer.send(target.answer('b'))
        target.wait_for_answer('b')
        target.start_on(peer, 'c')
        peer.send(target.answer('a') + target.answer('b') + target.answer('c'))
        target.wait_for_answer('c')
        assert not driver.events_of(TargetCallFailed)
        driver.events.clear()


def test_a_copy_in_the_packet_of_the_answer_closes_the_connection(
    driver: LoopDriver,
) -> None:
    for dialect in DIALECTS:
        target = FaultyTarget.from_dialect(driver, dialect)
        target.start('a')
        peer = target.accept()
        peer.send(target.answer('a') * 2)
        target.wait_for_answer('a')
        target.wait_until_closed()
        driver.events.clear()


def _without_length(answer: bytes) -> bytes:
    """Return an answer whose body ends with its connection."""
    lines = answer.split(b'\r\n')
    kept = [line for line in lines if not line.startswith(b'Content-Length')]
    return b'\r\n'.join(kept)


def test_a_copy_of_an_answer_without_a_length_is_no_part_of_its_body(
    driver: LoopDriver,
) -> None:
    # Guards against a complete success with another answer in its body: the
    # target sends its answer twice before it closes.
    call = 'c-with-a-long-body'
    for dialect in DIALECTS:
        length = len(FaultyTarget.from_dialect(driver, dialect).answer(call))
        for cut in range(-60, length, 25):
            target = FaultyTarget.from_dialect(driver, dialect)
            target.start(call)
            peer = target.accept()
            answer = _without_length(target.answer(call))
            sent = answer + answer
            peer.send(sent[: length + cut])
            driver.run_for(0.002)
            peer.send(sent[length + cut :])
            peer.sock.close()
            target.wait_until_closed()
            assert target.received_body() == call.encode()
            driver.events.clear()


def test_an_answer_without_a_length_is_not_whole_before_another_answer(
    driver: LoopDriver,
) -> None:
    for dialect in DIALECTS:
        target = FaultyTarget.from_dialect(driver, dialect)
        target.start('c')
        answer = _without_length(target.answer('c'))
        peer = target.accept()
        peer.send(answer)
        peer.send(answer.replace(b'\r\n\r\nc', b'\r\n\r\nx'))
        peer.sock.close()
        failed = target.wait_for_failure()
        assert (failed.sent, failed.crashed) == (True, False)
        assert 'no copy' in failed.detail
        driver.events.clear()


def test_copies_without_end_close_the_connection(driver: LoopDriver) -> None:
    for dialect in DIALECTS:
        target = FaultyTarget.from_dialect(driver, dialect)
        peer = target.serve('a')
        target.start_on(peer, 'b')
        peer.send(target.answer('a') * (MAX_DISCARDED_ANSWERS + 1))
        failure = target.wait_for_failure()
        assert (failure.call, failure.sent, failure.declined) == (
            'b',
            True,
            False,
        )
        driver.events.clear()


def test_an_earlier_refusal_written_again_declines_no_other_call(
    driver: LoopDriver,
) -> None:
    target = FaultyTarget.from_dialect(driver, CALLER_IDS)
    refusal = _message(
        b'503 Busy', b'X-Id: %s', b'X-Declined: 1', call='refused'
    )
    peer = target.serve('a')
    target.start_on(peer, 'refused')
    peer.send(target.answer('refused'))
    target.wait_for_answer('refused')
    target.start_on(peer, 'b')
    peer.send(refusal)
    driver.run_for(0.05)
    assert not driver.events_of(TargetCallFailed)
    peer.send(target.answer('b'))
    target.wait_for_answer('b')


def test_a_refusal_without_an_id_on_a_kept_connection_proves_nothing(
    driver: LoopDriver,
) -> None:
    for first, is_declined in ((False, False), (True, True)):
        target = FaultyTarget.from_dialect(driver, CALLER_IDS)
        if first:
            target.start('b')
            peer = target.accept()
        else:
            peer = target.serve('a')
            target.start_on(peer, 'b')
        peer.send(_message(b'503 Busy', b'X-Declined: 1', call='x'))
        failure = target.wait_for_failure()
        assert (failure.sent, failure.declined) == (True, is_declined)
        driver.events.clear()


def test_connections_are_not_kept_if_answers_name_no_call(
    driver: LoopDriver,
) -> None:
    target = FaultyTarget.from_dialect(driver, OWN_IDS)
    for call in ('a', 'b'):
        target.start(call)
        target.accept().send(_message(b'200 OK', call=call))
        target.wait_for_answer(call)
        target.wait_until_closed()


def test_a_request_id_is_sent_once_on_a_connection(driver: LoopDriver) -> None:
    target = FaultyTarget.from_dialect(driver, CALLER_IDS)
    peer = target.serve('a')
    target.start('again', request_id='a')
    other = target.accept()
    peer.read_until_end()
    other.send(target.answer('a'))
    driver.run_until(lambda: 'again' in target.answers())


def test_interim_answers_without_end_close_the_connection(
    driver: LoopDriver,
) -> None:
    interim = b'HTTP/1.1 103 Early Hints\r\n\r\n'
    for dialect in DIALECTS:
        target = FaultyTarget.from_dialect(driver, dialect)
        target.start('a')
        peer = target.accept()
        peer.send(interim * MAX_INFORMATIONAL + target.answer('a'))
        target.wait_for_answer('a')
        target.start_on(peer, 'b')
        peer.send(interim * (MAX_INFORMATIONAL + 1))
        assert target.wait_for_failure().sent
        driver.events.clear()


def test_heads_and_framing_without_end_close_the_connection(
    driver: LoopDriver,
) -> None:
    chunked = (
        b'HTTP/1.1 200 OK\r\n'
        b'Transfer-Encoding: chunked\r\n'
        b'Daisyline-Call: a\r\n\r\n%s'
    )
    starts = (
        b'',
        b'HTTP/1.1 200 ',
        b'HTTP/1.1 200 OK\r\nX-Long: ',
        chunked % b'1;',
        chunked % b'0\r\nX-Trailer: ',
    )
    for start in starts:
        target = FaultyTarget.from_dialect(driver, OWN_IDS)
        target.start('a')
        peer = target.accept()
        peer.send(start + b'a' * (MAX_HEAD_BYTES + 1))
        assert target.wait_for_failure().sent
        assert not target.answers()
        driver.events.clear()


def test_a_malformed_answer_is_no_crash_of_its_target(
    driver: LoopDriver,
) -> None:
    for answer in (b'HTTP/1.1 200 %s' % LONG, b'no answer\r\n\r\n'):
        target = FaultyTarget.from_dialect(driver, CALLER_IDS)
        target.start('a')
        target.accept().send(answer)
        failure = target.wait_for_failure()
        assert failure.sent
        assert not failure.crashed, answer[:20]
        driver.events.clear()


def test_a_connection_that_ends_before_its_answer_may_be_a_crash(
    driver: LoopDriver,
) -> None:
    for missing_bytes in (1, 20):
        target = FaultyTarget.from_dialect(driver, CALLER_IDS)
        target.start('a')
        peer = target.accept()
        peer.send(target.answer('a')[:-missing_bytes])
        peer.sock.close()
        failure = target.wait_for_failure()
        assert failure.sent
        assert failure.crashed
        driver.events.clear()
