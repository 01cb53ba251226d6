"""The operators' client takes no broken answer for a whole one."""

import contextlib
import threading
from socket import create_server, socket

from daisyline.transport.operator_client import (
    MAX_ANSWER_BYTES,
    HttpAnswer,
    send_request,
)
from tests.support import function_tests
from tests.transport.rig import HOST, READ_BYTES

load_tests = function_tests(__name__)

OK = b'HTTP/1.1 200 OK\r\n'
LENGTH = b'Content-Length: 8\r\n'
VALUE = b'{"a": 1}'


def _answer(listener: socket, octets: bytes) -> None:
    sock, _address = listener.accept()
    with sock, contextlib.suppress(ConnectionError):
        sock.recv(READ_BYTES)
        sock.sendall(octets)


def _request(octets: bytes) -> HttpAnswer:
    """Return what the client makes of the bytes of a node."""
    with create_server((HOST, 0)) as listener:
        node = threading.Thread(target=_answer, args=(listener, octets))
        node.start()
        port = listener.getsockname()[1]
        answer = send_request(f'http://{HOST}:{port}', 'GET', '/status')
        node.join()
    return answer


def test_a_broken_answer_is_reported_as_none() -> None:
    for broken in (
        b'',
        OK[:-4],
        b'%sContent-Type: a' % OK,
        b'%sContent-Length: 9\r\n\r\n' % OK,
        b'%sContent-Length: 9\r\n\r\n%s' % (OK, VALUE),
        b'%sTransfer-Encoding: chunked\r\n\r\n+8\r\n%s\r\n0\r\n\r\n'
        % (OK, VALUE),
        b'HTTP/1.1 000 OK\r\n%s\r\n%s' % (LENGTH, VALUE),
        b'HTTP/1.1 +200 OK\r\n%s\r\n%s' % (LENGTH, VALUE),
        b'%sX Filler: 1\r\n%s\r\n%s' % (OK, LENGTH, VALUE),
        b'%sX\x01Filler: 1\r\n%s\r\n%s' % (OK, LENGTH, VALUE),
        b'%sX-First: 1\r\n X-Filler: 1\r\n%s\r\n%s' % (OK, LENGTH, VALUE),
    ):
        answer = _request(broken)
        assert (answer.status, answer.content) == (0, None), broken
        assert answer.problem, broken


def test_a_whole_answer_is_read_in_each_framing() -> None:
    chunked = b'Transfer-Encoding: chunked\r\n\r\n8\r\n%s\r\n0\r\n\r\n' % VALUE
    for rest in (b'%s\r\n%s' % (LENGTH, VALUE), chunked, b'\r\n%s' % VALUE):
        assert _request(OK + rest) == HttpAnswer(200, {'a': 1}), rest


def test_the_era_of_the_platforms_store_is_read() -> None:
    head = b'%sPlatform-Era: 3\r\n%s\r\n%s' % (OK, LENGTH, VALUE)
    assert _request(head) == HttpAnswer(200, {'a': 1}, era=3)


def test_an_endless_answer_is_given_up() -> None:
    for start in (OK, b'%s\r\n' % OK):
        assert _request(start + bytes(2 * MAX_ANSWER_BYTES)).problem, start
