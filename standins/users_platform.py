"""A stand-in for the users' platform, with its own API over the store."""

import json
from collections.abc import Mapping
from typing import Annotated, Any
from urllib import parse as urls

import attrs
import cyclopts

from daisyline.transport.loop import Loop
from standins import store
from standins.http import Message
from standins.http_server import Exchange
from standins.platform import BAD_REQUEST, HOST, MS_PER_S, Platform
from standins.usage_records import UsageRecords

_PREFIX = ('', '-', 'objects')
_CREATED = 'createdRev'
_USAGE_PATH = '/usage'


@attrs.define(eq=False)
class _PendingCall:
    """A call that awaits its answer; the token of messages to the store.

    Attributes:
        exchange: The exchange that carries the answer.
        name: The object's name; empty for a list or a watch.
        written: What a write puts into the object; None for other calls.
    """

    exchange: Exchange
    name: str = ''
    written: Any = None

    @property
    def connection(self) -> Any:
        """Return the connection of the caller."""
        return self.exchange.connection

    def answer(
        self, status: int, body: dict[str, Any], headers: Mapping[str, str]
    ) -> None:
        """Answer in the JSON form of the users' platform."""
        if status == store.OK and 'items' in body:
            shown = [_object_of(item) for item in body['items']]
            at = body['revision']
            events = [
                {'object': fields, 'deleted': fields['deleted']}
                for fields in shown
            ]
            body = {'items': shown, 'events': events, 'at': at, 'more': False}
        elif status == store.OK and self.written is not None:
            body = _object_of(
                {**body, 'name': self.name, 'value': self.written}
            )
        elif status == store.OK and 'value' in body:
            body = _object_of(body)
        self.exchange.answer(status, body, headers)


def _object_of(item: dict[str, Any]) -> dict[str, Any]:
    """Return an object of the store in the form of the users' platform."""
    stored = item.get('value') or {}
    meta = {
        'name': item['name'],
        'rev': item['version'],
        _CREATED: stored.get(_CREATED, item['version']),
        'finalizers': [],
        'deleting': False,
    }
    return {
        'metadata': meta,
        'spec': stored.get('spec'),
        'status': stored.get('status'),
        'deleted': item.get('value') is None,
    }


def _read_from(call: _PendingCall, kind: str, query: dict[str, str]) -> Any:
    if call.name:
        return store.Read(call, kind, call.name)
    since = query.get('watch')
    if since is not None:
        wait_s = int(query.get('waitMs', '0')) / MS_PER_S
        return store.Watch(call, kind, int(since), wait_s)
    return store.ListKind(call, kind)


class UsersPlatform(Platform):
    """Serves the API of the users' platform over the store.

    Attributes:
        era_header: The header that states the store's era.
        operators_kinds: The kinds of objects that operators write.
    """

    era_header = 'Store-Era'
    operators_kinds = ('config', 'evacuations', 'rollouts')

    def __init__(self, loop: Loop, object_store: store.Store) -> None:
        """Prepare to serve a store and to take reports."""
        super().__init__(loop, object_store)
        self._usage = UsageRecords()

    def rewritten(
        self, kind: str, name: str, version: int, content: Any
    ) -> store.Write | store.Delete:
        """Return the message that writes or deletes an object again.

        What operators write has no status.
        """
        if content is None:
            return store.Delete(None, kind, name, version)
        current = self._current(kind, name)['value'] or {}
        created = current.get(_CREATED, self._store.revision + 1)
        updated = {**current, 'spec': content['spec'], _CREATED: created}
        return store.Write(None, kind, name, version, updated)

    def _serve_objects(self, exchange: Exchange, request: Message) -> None:
        if request.path == _USAGE_PATH:
            self._serve_usage(exchange, request)
            return
        url = urls.urlsplit(request.path)
        parts = [urls.unquote(part) for part in url.path.split('/')]
        if tuple(parts[:3]) != _PREFIX:
            self._answer(exchange, store.NOT_FOUND, {})
            return
        query = dict(urls.parse_qsl(url.query))
        message = self._message(exchange, request, parts[3:], query)
        if message is not None:
            self._apply(message)
            if isinstance(message, store.Watch):
                self._expire_later(message)

    def _serve_usage(self, exchange: Exchange, request: Message) -> None:
        """Take a report, or show those that were taken."""
        if request.method == 'GET':
            exchange.answer(store.OK, attrs.asdict(self._usage))
            return
        holder = request.headers.get('duty-holder', '')
        token = request.headers.get('fencing-token', '')
        if not holder or not token.isdigit():
            exchange.answer(BAD_REQUEST, {})
            return
        status = self._usage.report(holder, int(token), request.json())
        exchange.answer(status, {})

    def _message(
        self,
        exchange: Exchange,
        request: Message,
        parts: list[str],
        query: dict[str, str],
    ) -> Any:
        kind, name, *rest = (*parts, '')
        call = _PendingCall(exchange, name)
        if request.method == 'GET':
            return _read_from(call, kind, query)
        version = self._current(kind, name)['version'] if name else 0
        if request.method == 'DELETE':
            return store.Delete(call, kind, name, version)
        part = 'status' if 'status' in rest else 'spec'
        return self._write(
            exchange, request, kind, part if name else '', version
        )

    def _write(
        self,
        exchange: Exchange,
        request: Message,
        kind: str,
        part: str,
        version: int,
    ) -> Any:
        """Return the write of one part; None if a refusal was answered."""
        fields = request.json() or {}
        meta = fields.get('metadata', {})
        name = meta.get('name', '')
        if part and not version:
            self._answer(exchange, store.NOT_FOUND, {})
            return None
        if part and meta.get('rev', version) != version:
            conflict = _object_of(self._current(kind, name))
            self._answer(exchange, store.CONFLICT, conflict)
            return None
        updated = dict(self._current(kind, name).get('value') or {})
        updated.setdefault(_CREATED, self._store.revision + 1)
        updated[part or 'spec'] = fields.get(part or 'spec')
        call = _PendingCall(exchange, name, updated)
        return store.Write(call, kind, name, version, updated)


def main(
    *,
    port: Annotated[int, cyclopts.Parameter(help='TCP port.')],
    manifest: str,
) -> None:
    """Serve the store until a signal stops it.

    Args:
        port: The TCP port.
        manifest: The initial manifest, as JSON.
    """
    loop = Loop.create()
    object_store = store.Store(era=1)
    value = {'spec': json.loads(manifest), 'status': None, _CREATED: 1}
    object_store.handle(
        store.Write(None, 'config', 'main', 0, value), loop.now()
    )
    UsersPlatform(loop, object_store).server.listen(loop, HOST, port)
    loop.run()


if __name__ == '__main__':
    cyclopts.run(main)
