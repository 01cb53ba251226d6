"""Calls on the platform's metadata store, and its answers."""

import functools
import json
from collections.abc import Mapping
from http import HTTPStatus
from typing import Any
from urllib.parse import quote

import attrs

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
from daisyline.protocol.platform import NO_ANSWER_STATUS, PlatformCall

_WRITTEN = frozenset((HTTPStatus.OK, HTTPStatus.CREATED))


@attrs.frozen
class StoreCodec:
    """The codec of the platform's store."""

    _kinds: Mapping[str, Kind]

    @classmethod
    def from_boot(cls, boot: Boot) -> 'StoreCodec':
        """Build the codec for a node."""
        return cls(kinds_of(boot))

    def encode_request(self, effect: PlatformCall, host: str) -> Request:
        """Return the request for an effect."""
        kind = self._kinds[effect.kind]
        method, path, body = _call_of(effect, kind)
        headers = [(b'Host', host.encode())]
        octets = b''
        if body is not None:
            headers.append((b'Content-Type', b'application/json'))
            octets = json.dumps(body).encode()
        return Request(method, path.encode(), tuple(headers), octets)

    def decode_reply(
        self, effect: PlatformCall, status: int, body: bytes
    ) -> PlatformReply:
        """Return the event for an answer; status 0 means that none came."""
        try:
            said = json.loads(body) if body else {}
        except (ValueError, RecursionError):
            return PlatformReply(effect.token, NO_ANSWER_STATUS)
        if not isinstance(said, dict):
            return PlatformReply(effect.token, NO_ANSWER_STATUS)
        if status not in _WRITTEN:
            return PlatformReply(effect.token, status)
        reply = _reply_of(effect, self._kinds[effect.kind], said)
        return reply or PlatformReply(effect.token, NO_ANSWER_STATUS)


@functools.singledispatch
def _call_of(effect: Any, kind: Kind) -> tuple[bytes, str, Any]:
    """Return method, path and body of the call for an effect.

    Raises:
        TypeError: If the effect is none of the store's.
    """
    raise TypeError(f'{effect!r} is not for the store')


@_call_of.register
def _(effect: PlatformRead, kind: Kind) -> tuple[bytes, str, Any]:
    return (b'GET', _object_path(kind, effect.name), None)


@_call_of.register
def _(effect: PlatformList, kind: Kind) -> tuple[bytes, str, Any]:
    return (b'GET', _kind_path(kind), None)


@_call_of.register
def _(effect: PlatformWatch, kind: Kind) -> tuple[bytes, str, Any]:
    query = f'watch={effect.since}&waitMs={effect.wait_ms}'
    return (b'GET', f'{_kind_path(kind)}?{query}', None)


@_call_of.register
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
def _reply_of(
    effect: Any, kind: Kind, said: dict[str, Any]
) -> PlatformReply | None:
    """Return the event for a good answer; None if it can't be read."""
    stored = StoredObject.from_fields(said)
    if stored is None:
        return None
    content = value_of(kind, stored)
    return PlatformReply(effect.token, HTTPStatus.OK, stored.revision, content)


@_reply_of.register
def _(
    effect: PlatformList, kind: Kind, said: dict[str, Any]
) -> PlatformReply | None:
    at, items = said.get('at'), said.get('items')
    if not isinstance(at, int) or not isinstance(items, list):
        return None
    listed = [
        (name_of(kind, stored.name), stored.revision, value_of(kind, stored))
        for stored in map(StoredObject.from_fields, items)
        if stored is not None
    ]
    return PlatformReply(effect.token, HTTPStatus.OK, at, listed)


@_reply_of.register
def _(
    effect: PlatformWatch, kind: Kind, said: dict[str, Any]
) -> PlatformReply | None:
    at, events = said.get('at'), said.get('events')
    if not isinstance(at, int) or not isinstance(events, list):
        return None
    latest: dict[str, tuple[int, Any]] = {}
    for event in events:
        if isinstance(event, dict):
            _follow(latest, kind, event, at)
    changed = [(name_of(kind, name), *found) for name, found in latest.items()]
    return PlatformReply(effect.token, HTTPStatus.OK, at, changed)


def _follow(
    latest: dict[str, tuple[int, Any]],
    kind: Kind,
    event: dict[str, Any],
    at: int,
) -> None:
    """Keep what an event says of its object, unless it is an older one."""
    stored = StoredObject.from_fields(event.get('object'))
    if stored is None:
        return
    revision, said = latest.get(stored.name, (0, None))
    if event.get('deleted'):
        latest[stored.name] = (at, None)
    elif said is None or revision <= stored.revision:
        latest[stored.name] = (stored.revision, value_of(kind, stored))


def _kind_path(kind: Kind) -> str:
    return f'{wire.OBJECTS_PATH}/{kind.path}'


def _object_path(kind: Kind, name: str) -> str:
    quoted = quote(name, safe='')
    return f'{_kind_path(kind)}/{quoted}'
