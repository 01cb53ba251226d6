"""Encodes calls to the platform's metadata store and decodes its answers."""

import functools
import json
from collections.abc import Mapping
from http import HTTPStatus
from typing import Any
from urllib.parse import quote

import attrs

from daisyline.coordination.calls.messages import Headers
from daisyline.coordination.effects import (
    PlatformList,
    PlatformRead,
    PlatformReply,
    PlatformWatch,
    PlatformWrite,
)
from daisyline.platform import wire
from daisyline.platform.boot import Boot
from daisyline.platform.kinds import (
    Kind,
    RolloutRecords,
    StoredObject,
    fields_of,
    kinds_of,
    name_of,
    value_of,
)
from daisyline.protocol.http_messages import Request
from daisyline.protocol.platform import (
    NO_ANSWER_STATUS,
    PlatformCall,
    era_in_headers,
)

_SUCCESS_STATUSES = frozenset((HTTPStatus.OK, HTTPStatus.CREATED))


@attrs.frozen
class StoreCodec:
    """Encodes calls to the platform's store and decodes its answers."""

    _kinds: Mapping[str, Kind]

    @classmethod
    def from_boot(cls, boot: Boot) -> 'StoreCodec':
        """Return the codec for a node with these settings."""
        return cls(kinds_of(boot))

    def encode_request(self, effect: PlatformCall, host: str) -> Request:
        """Return the HTTP request for an effect."""
        kind = self._kinds[effect.kind]
        method, path, body = _encode_call(effect, kind)
        headers = [(b'Host', host.encode())]
        octets = b''
        if body is not None:
            headers.append((b'Content-Type', b'application/json'))
            octets = json.dumps(body).encode()
        return Request(method, path.encode(), tuple(headers), octets)

    def decode_reply(
        self,
        effect: PlatformCall,
        status: int,
        body: bytes,
        headers: Headers = (),
    ) -> PlatformReply:
        """Return the event for an answer; a status of 0 stands for no answer.

        An answer that can't be parsed is treated as no answer.
        """
        era = era_in_headers(headers, wire.ERA_HEADER)
        no_answer = PlatformReply(effect.token, NO_ANSWER_STATUS, era=era)
        try:
            answer = json.loads(body) if body else {}
        except (ValueError, RecursionError):
            return no_answer
        if not isinstance(answer, dict):
            return no_answer
        if status not in _SUCCESS_STATUSES:
            return attrs.evolve(no_answer, status=status)
        reply = _decode_answer(effect, self._kinds[effect.kind], answer)
        return no_answer if reply is None else attrs.evolve(reply, era=era)


@functools.singledispatch
def _encode_call(effect: Any, kind: Kind) -> tuple[bytes, str, Any]:
    """Return the method, path and JSON body of the call for an effect.

    Raises:
        TypeError: If the effect is not a call to the store.
    """
    raise TypeError(f'{effect!r} is not a call to the store')


@_encode_call.register
def _(effect: PlatformRead, kind: Kind) -> tuple[bytes, str, Any]:
    return (b'GET', _object_path(kind, effect.name), None)


@_encode_call.register
def _(effect: PlatformList, kind: Kind) -> tuple[bytes, str, Any]:
    query = '?allowStale=1' if effect.may_be_stale else ''
    return (b'GET', f'{_kind_path(kind)}{query}', None)


@_encode_call.register
def _(effect: PlatformWatch, kind: Kind) -> tuple[bytes, str, Any]:
    query = f'watch={effect.since}&waitMs={effect.wait_ms}'
    return (b'GET', f'{_kind_path(kind)}?{query}', None)


@_encode_call.register
def _(effect: PlatformWrite, kind: Kind) -> tuple[bytes, str, Any]:
    fields = fields_of(kind, effect.content)
    if effect.version == 0 and not isinstance(kind, RolloutRecords):
        body = {'metadata': {'name': effect.name}, **fields}
        return (b'POST', _kind_path(kind), body)
    meta = {'name': effect.name, 'rev': effect.version}
    path = _object_path(kind, effect.name)
    if isinstance(kind, RolloutRecords):
        path = f'{path}/status'
    return (b'PUT', path, {'metadata': meta, **fields})


@functools.singledispatch
def _decode_answer(
    effect: Any, kind: Kind, answer: dict[str, Any]
) -> PlatformReply | None:
    """Return the event for a successful answer; None if it is malformed."""
    stored = StoredObject.from_fields(answer)
    if stored is None:
        return None
    content = value_of(kind, stored)
    return PlatformReply(effect.token, HTTPStatus.OK, stored.revision, content)


@_decode_answer.register
def _(
    effect: PlatformList, kind: Kind, answer: dict[str, Any]
) -> PlatformReply | None:
    at, items = answer.get('at'), answer.get('items')
    if not isinstance(at, int) or not isinstance(items, list):
        return None
    listed = [
        (name_of(kind, stored.name), stored.revision, value_of(kind, stored))
        for stored in map(StoredObject.from_fields, items)
        if stored is not None
    ]
    return PlatformReply(effect.token, HTTPStatus.OK, at, listed)


@_decode_answer.register
def _(
    effect: PlatformWatch, kind: Kind, answer: dict[str, Any]
) -> PlatformReply | None:
    at, events = answer.get('at'), answer.get('events')
    if not isinstance(at, int) or not isinstance(events, list):
        return None
    latest: dict[str, tuple[int, Any]] = {}
    for event in events:
        if isinstance(event, dict):
            _apply_event(latest, kind, event, at)
    changed = [
        (name_of(kind, name), *change) for name, change in latest.items()
    ]
    return PlatformReply(effect.token, HTTPStatus.OK, at, changed)


def _apply_event(
    latest: dict[str, tuple[int, Any]],
    kind: Kind,
    event: dict[str, Any],
    at: int,
) -> None:
    """Record an event's object, unless a newer revision is recorded."""
    stored = StoredObject.from_fields(event.get('object'))
    if stored is None:
        return
    revision, content = latest.get(stored.name, (0, None))
    if event.get('deleted'):
        latest[stored.name] = (at, None)
    elif content is None or revision <= stored.revision:
        latest[stored.name] = (stored.revision, value_of(kind, stored))


def _kind_path(kind: Kind) -> str:
    return f'{wire.OBJECTS_PATH}/{kind.path}'


def _object_path(kind: Kind, name: str) -> str:
    quoted = quote(name, safe='')
    return f'{_kind_path(kind)}/{quoted}'
