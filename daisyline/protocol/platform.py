"""Encodes requests to the platform's object API and decodes its answers."""

import functools
import json
from http import HTTPStatus
from typing import Any
from urllib.parse import quote

from daisyline.coordination.calls.messages import Headers
from daisyline.coordination.effects import (
    PlatformList,
    PlatformRead,
    PlatformReply,
    PlatformWatch,
    PlatformWrite,
)
from daisyline.protocol.http_messages import Request
from daisyline.state.store_time import MAX_ERA

PlatformCall = PlatformRead | PlatformList | PlatformWatch | PlatformWrite
NO_ANSWER_STATUS = 0
_ERA_HEADER = b'platform-era'
_MALFORMED = object()
_MAX_ERA_DIGITS = 5


@functools.singledispatch
def encode_request(effect: Any, host: str) -> Request:
    """Return the request for an effect.

    Raises:
        TypeError: If the effect is not a call to the platform.
    """
    raise TypeError(f'{effect!r} is not a call to the platform')


@encode_request.register
def _(effect: PlatformRead, host: str) -> Request:
    return _request(b'GET', _object_path(effect.kind, effect.name), host)


@encode_request.register
def _(effect: PlatformList, host: str) -> Request:
    return _request(b'GET', f'/v1/objects/{quote(effect.kind)}', host)


@encode_request.register
def _(effect: PlatformWatch, host: str) -> Request:
    query = f'since={effect.since}&wait_ms={effect.wait_ms}'
    return _request(b'GET', f'/v1/watch/{quote(effect.kind)}?{query}', host)


@encode_request.register
def _(effect: PlatformWrite, host: str) -> Request:
    path = _object_path(effect.kind, effect.name)
    body = json.dumps(effect.content).encode()
    return _request(b'PUT', path, host, effect.version, body)


def decode_reply(
    effect: PlatformCall, status: int, body: bytes, headers: Headers = ()
) -> PlatformReply:
    """Return the event for an answer.

    A status of 0 means that no answer was received; an answer that can't be
    parsed is treated the same, as is a success without a body.
    """
    era = era_of(headers)
    no_answer = PlatformReply(effect.token, NO_ANSWER_STATUS, era=era)
    try:
        answer = json.loads(body) if body or status == HTTPStatus.OK else {}
    except (ValueError, RecursionError):
        return no_answer
    if not isinstance(answer, dict):
        return no_answer
    version = answer.get('version', answer.get('revision', 0))
    content = _content(answer) if status == HTTPStatus.OK else None
    if not _is_version(version) or content is _MALFORMED:
        return no_answer
    return PlatformReply(effect.token, status, version, content, era)


def era_of(headers: Headers) -> int | None:
    """Return the era of the store that an answer of this API states."""
    return era_in_headers(headers, _ERA_HEADER)


def era_in_headers(headers: Headers, name: bytes) -> int | None:
    """Return the era of the store that an answer's headers state.

    Args:
        headers: The headers of the answer.
        name: The lower-case name of the header that states the era.

    Returns:
        The era; None if there is no such header or it is malformed.
    """
    for key, text in headers:
        if key.lower() == name and len(text) <= _MAX_ERA_DIGITS:
            return _era_from(text)
    return None


def _era_from(text: bytes) -> int | None:
    # `isdigit` of bytes is true for ASCII digits only.
    era = int(text) if text.isdigit() else -1
    return era if 0 <= era <= MAX_ERA else None


def _content(answer: dict[str, Any]) -> Any:
    """Return an object's value or a list's items, or `_MALFORMED`."""
    if 'items' not in answer:
        return answer.get('value')
    listed = answer['items']
    if isinstance(listed, list) and all(map(_is_item, listed)):
        return [
            (item['name'], item['version'], item.get('value'))
            for item in listed
        ]
    return _MALFORMED


def _is_item(item: Any) -> bool:
    if not isinstance(item, dict):
        return False
    return isinstance(item.get('name'), str) and _is_version(
        item.get('version')
    )


def _is_version(number: Any) -> bool:
    return isinstance(number, int) and not isinstance(number, bool)


def _object_path(kind: str, name: str) -> str:
    return f'/v1/objects/{quote(kind)}/{quote(name, safe="")}'


def _request(
    method: bytes,
    path: str,
    host: str,
    version: int | None = None,
    body: bytes = b'',
) -> Request:
    headers = [(b'Host', host.encode())]
    if version is not None:
        headers.append((b'If-Match', str(version).encode()))
    return Request(method, path.encode(), tuple(headers), body)
