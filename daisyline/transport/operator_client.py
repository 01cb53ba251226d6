"""A blocking HTTP client for the `daisyline` command.

The command sends a few requests, prints the answers and exits, so it needs no
event loop. The standard library's client blocks in the kernel, with a timeout.
"""

import contextlib
import json
from collections.abc import Mapping
from http import client as http_client
from typing import Any
from urllib import parse as urls

import attrs

from daisyline.coordination.effects import (
    PlatformRead,
    PlatformReply,
    PlatformWrite,
)

TIMEOUT_S = 3.0
MAX_ANSWER_BYTES = 8 * 1024 * 1024

_GET = 'GET'
_OK = 200
_BAD_GATEWAY = 502


@attrs.frozen
class HttpAnswer:
    """An HTTP answer with a JSON body, or the reason why there is none.

    Attributes:
        status: The HTTP status; 0 if no answer was received, 502 if an answer
            with status 200 is not JSON.
        content: The JSON value.
        problem: The error, if there is no valid answer.
    """

    status: int
    content: Any = None
    problem: str = ''


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
    connection = http_client.HTTPConnection(
        parts.hostname or '', parts.port, timeout=TIMEOUT_S
    )
    body = None if content is None else json.dumps(content).encode()
    with contextlib.closing(connection):
        try:
            status, text = _exchange(
                connection, method, path, body, headers or {}
            )
        except (OSError, http_client.HTTPException) as error:
            return HttpAnswer(0, problem=f'{base}: {error}')
    return _decode_answer(base, status, text)


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
    return PlatformReply(effect.token, answer.status, fields.get('version', 0))


def _path_of(kind: str, name: str) -> str:
    quoted = urls.quote(name, safe='')
    return f'/v1/objects/{kind}/{quoted}'


def _exchange(
    connection: http_client.HTTPConnection, *request: Any
) -> tuple[int, bytes]:
    connection.request(*request)
    answer = connection.getresponse()
    return answer.status, answer.read(MAX_ANSWER_BYTES)


def _decode_answer(base: str, status: int, text: bytes) -> HttpAnswer:
    try:
        return HttpAnswer(status, json.loads(text) if text else None)
    except (ValueError, RecursionError):
        problem = f'{base}: the answer is not JSON'
        return HttpAnswer(
            _BAD_GATEWAY if status == _OK else status, None, problem
        )
