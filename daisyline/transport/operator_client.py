"""A blocking HTTP client for the `daisyline` command.

The command sends a few requests, prints the answers and exits, so it needs no
event loop. Its socket blocks in the kernel, with a timeout.
"""

import functools
import json
import socket
from collections.abc import Mapping
from typing import Any
from urllib import parse as urls

import attrs

from daisyline.coordination.calls.messages import Headers
from daisyline.coordination.effects import (
    PlatformRead,
    PlatformReply,
    PlatformWrite,
)
from daisyline.protocol.http_client import ClientCodec
from daisyline.protocol.http_messages import (
    BrokenAnswer,
    End,
    Head,
    Part,
    Request,
)
from daisyline.protocol.platform import era_of

TIMEOUT_S = 3.0
MAX_ANSWER_BYTES = 8 * 1024 * 1024

_GET = 'GET'
_OK = 200
_HTTP_PORT = 80
_READ_BYTES = 65_536
_BAD_GATEWAY = 502


@attrs.frozen
class HttpAnswer:
    """An HTTP answer with a JSON body, or the reason why there is none.

    Attributes:
        status: The HTTP status; 0 if no answer was received, 502 if an answer
            with status 200 is not JSON.
        content: The JSON value.
        problem: The error, if there is no valid answer.
        era: The era of the platform's store; None if the answer states none.
    """

    status: int
    content: Any = None
    problem: str = ''
    era: int | None = None


@attrs.define
class _ReceivedAnswer:
    """What was received of an answer."""

    status: int = 0
    headers: Headers = ()
    body: bytearray = attrs.field(factory=bytearray)
    is_whole: bool = False


def send_request(
    base: str,
    method: str,
    path: str,
    content: Any = None,
    headers: Mapping[str, str] | None = None,
) -> HttpAnswer:
    """Send one request and wait for its answer.

    Errors of the connection are reported in the answer, not raised.

    Args:
        base: The base URL, `http://HOST:PORT`.
        method: The request's method.
        path: The path with its query.
        content: A JSON value to send, or None.
        headers: Further headers.
    """
    parts = urls.urlsplit(base)
    address = (parts.hostname or '', parts.port or _HTTP_PORT)
    fields = {'Host': parts.netloc, **(headers or {})}
    request = Request(
        method.encode(),
        path.encode(),
        tuple((name.encode(), text.encode()) for name, text in fields.items()),
        b'' if content is None else json.dumps(content).encode(),
    )
    try:
        with socket.create_connection(address, TIMEOUT_S) as sock:
            received = _exchange(sock, request)
    except OSError as error:
        return HttpAnswer(0, problem=f'{base}: {error}')
    return _decode_answer(base, received)


def read_object(platform: str, effect: PlatformRead) -> PlatformReply:
    """Read one object from the platform; status 502 if it has no version."""
    answer = send_request(platform, _GET, _path_of(effect.kind, effect.name))
    fields = answer.content if isinstance(answer.content, dict) else {}
    if answer.status == _OK and not isinstance(fields.get('version'), int):
        return PlatformReply(effect.token, _BAD_GATEWAY)
    return PlatformReply(
        effect.token,
        answer.status,
        fields.get('version', 0),
        fields.get('value'),
        answer.era,
    )


def write_object(platform: str, effect: PlatformWrite) -> PlatformReply:
    """Write one object if the platform still has the version given."""
    answer = send_request(
        platform,
        'PUT',
        _path_of(effect.kind, effect.name),
        effect.content,
        {'If-Match': str(effect.version), 'Content-Type': 'application/json'},
    )
    fields = answer.content if isinstance(answer.content, dict) else {}
    if answer.status == _OK and not isinstance(fields.get('version'), int):
        return PlatformReply(effect.token, _BAD_GATEWAY)
    return PlatformReply(
        effect.token, answer.status, fields.get('version', 0), era=answer.era
    )


def _path_of(kind: str, name: str) -> str:
    quoted = urls.quote(name, safe='')
    return f'/v1/objects/{kind}/{quoted}'


def _exchange(sock: socket.socket, request: Request) -> _ReceivedAnswer:
    """Send a request; return its whole answer.

    Raises:
        OSError: If the connection fails, or the answer is not whole.
    """
    codec = ClientCodec()
    sock.sendall(codec.request(request))
    answer = _ReceivedAnswer()
    while not answer.is_whole:
        event = codec.next_event()
        if event is None:
            codec.feed(sock.recv(_READ_BYTES))
        else:
            _take_event(event, answer)
    return answer


@functools.singledispatch
def _take_event(event: Any, answer: _ReceivedAnswer) -> None:
    """Record an event of an answer.

    Raises:
        TypeError: If it is no event of an answer.
        OSError: If the answer is broken or too long.
    """
    raise TypeError(f'{event!r} is not a part of an answer')


@_take_event.register
def _(event: Head, answer: _ReceivedAnswer) -> None:
    answer.status = event.status
    answer.headers = event.headers


@_take_event.register
def _(event: Part, answer: _ReceivedAnswer) -> None:
    answer.body += event.body
    if len(answer.body) > MAX_ANSWER_BYTES:
        raise OSError('the answer is too long')


@_take_event.register
def _(event: End, answer: _ReceivedAnswer) -> None:
    answer.is_whole = True


@_take_event.register
def _(event: BrokenAnswer, answer: _ReceivedAnswer) -> None:
    raise OSError(event.detail)


def _decode_answer(base: str, received: _ReceivedAnswer) -> HttpAnswer:
    status, text = received.status, bytes(received.body)
    era = era_of(received.headers)
    try:
        return HttpAnswer(status, json.loads(text) if text else None, era=era)
    except (ValueError, RecursionError):
        problem = f'{base}: the answer is not JSON'
        return HttpAnswer(
            _BAD_GATEWAY if status == _OK else status, None, problem
        )
