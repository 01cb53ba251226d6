"""The process of the stand-in platform, which serves a store over HTTP."""

import functools
import json
from typing import Annotated, Any
from urllib import parse as urls

import attrs
import cyclopts

from daisyline.transport.loop import Loop
from standins import store
from standins.http import Message
from standins.http_server import Exchange, Server

HOST = '127.0.0.1'
MS_PER_S = 1000
BAD_REQUEST = 400
UNAVAILABLE = 503
_PREFIX = '/v1/'


@attrs.frozen
class PlatformFaults:
    """Faults that can be set while the platform runs.

    Attributes:
        down: Whether every request is answered with 503.
        silent: Whether requests stay without an answer.
        slow_ms: The delay of each answer, in milliseconds.
        lose_answers: Whether the connection is reset after a write or delete
            has taken effect, in place of an answer.
        stale_reads_ms: How far reads lag behind writes, in milliseconds.
    """

    down: bool = False
    silent: bool = False
    slow_ms: float = 0
    lose_answers: bool = False
    stale_reads_ms: float = 0

    def with_changes(self, fields: dict[str, Any]) -> 'PlatformFaults':
        """Return a copy with the given fields; unknown fields are ignored."""
        known = {field.name for field in attrs.fields(PlatformFaults)}
        named = known.intersection(fields)
        return attrs.evolve(self, **{key: fields[key] for key in named})


def message_from(token: Any, request: Message) -> Any:
    """Return the store's message for a request, or `None` if it is invalid."""
    url = urls.urlsplit(request.path)
    parts = [urls.unquote(part) for part in url.path.split('/')[2:]]
    match (request.method, *parts):
        case ('GET', 'objects', kind, name):
            return store.Read(token, kind, name)
        case ('GET', 'objects', kind):
            return store.ListKind(token, kind)
        case ('GET', 'watch', kind):
            return _watch_from(token, kind, dict(urls.parse_qsl(url.query)))
        case ('PUT', 'objects', kind, name):
            return _write_from(token, kind, name, request)
        case ('DELETE', 'objects', kind, name):
            version = _version_of(request)
            if version is not None:
                return store.Delete(token, kind, name, version)
    return None


def _watch_from(token: Any, kind: str, query: dict[str, str]) -> Any:
    since, wait_ms = query.get('since', '0'), query.get('wait_ms', '0')
    if not since.isdigit() or not wait_ms.isdigit():
        return None
    return store.Watch(token, kind, int(since), int(wait_ms) / MS_PER_S)


def _write_from(token: Any, kind: str, name: str, request: Message) -> Any:
    version, content = _version_of(request), request.json()
    if version is None or content is None:
        return None
    octets = len(request.body)
    return store.Write(token, kind, name, version, content, octets)


def _version_of(request: Message) -> int | None:
    text = request.headers.get('if-match', '').strip('"')
    return int(text) if text.isdigit() else None


class Platform:
    """Serves the object API, and takes faults at run time."""

    def __init__(self, loop: Loop, object_store: store.Store) -> None:
        """Prepare to serve a store; nothing listens yet."""
        self._loop = loop
        self._store = object_store
        self._faults = PlatformFaults()
        self.server = Server(self._serve, on_close=self._forget)

    def _serve(self, exchange: Exchange) -> None:
        request = exchange.request
        assert request is not None
        if request.path == '/faults':
            self._set_faults(exchange, request)
        elif request.path == '/calls':
            exchange.answer(store.OK, self._calls())
        elif self._faults.down:
            exchange.answer(UNAVAILABLE, {})
        elif not self._faults.silent:
            self._serve_objects(exchange, request)

    def _set_faults(self, exchange: Exchange, request: Message) -> None:
        self._faults = self._faults.with_changes(request.json() or {})
        self._store.read_lag_s = self._faults.stale_reads_ms / MS_PER_S
        exchange.answer(store.OK, attrs.asdict(self._faults))

    def _calls(self) -> dict[str, Any]:
        counts = {
            f'{kind} {verb}': count
            for (kind, verb), count in sorted(self._store.calls.items())
        }
        return {'calls': counts, 'revision': self._store.revision}

    def _serve_objects(self, exchange: Exchange, request: Message) -> None:
        message = message_from(exchange, request)
        if message is None:
            exchange.answer(BAD_REQUEST, {})
            return
        self._apply(message)
        _schedule_expiry(message, self._expire_later)

    def _apply(self, message: Any) -> None:
        loses = self._faults.lose_answers and _is_update(message)
        for reply in self._store.handle(message, self._loop.now()):
            if loses and reply.token is message.token:
                reply.token.connection.reset()
            else:
                self._send(reply)

    def _send(self, reply: store.Reply) -> None:
        answer = functools.partial(reply.token.answer, reply.status, reply.body)
        if self._faults.slow_ms:
            self._loop.call_later(self._faults.slow_ms / MS_PER_S, answer)
        else:
            answer()

    def _expire_later(self, watch: store.Watch) -> None:
        expired = store.WatchExpired(watch)
        self._loop.call_later(
            watch.wait_s, functools.partial(self._apply, expired)
        )

    def _forget(self, exchange: Exchange) -> None:
        self._apply(store.DropWatch(exchange))


@functools.singledispatch
def _schedule_expiry(message: Any, expire_later: Any) -> None:
    """Schedule the expiry of a watch; other messages do not expire."""


@_schedule_expiry.register
def _(message: store.Watch, expire_later: Any) -> None:
    expire_later(message)


@functools.singledispatch
def _is_update(message: Any) -> bool:
    """Return whether a message is a write or a delete."""
    return False


@_is_update.register(store.Write)
@_is_update.register(store.Delete)
def _(message: Any) -> bool:
    return True


def main(
    *,
    port: Annotated[int, cyclopts.Parameter(help='TCP port.')],
    settings: str = '',
) -> None:
    """Serve the object API until a signal stops it.

    Args:
        port: The TCP port.
        settings: The initial value of the settings object, as JSON.
    """
    loop = Loop.create()
    object_store = store.Store()
    if settings:
        tree = json.loads(settings)
        object_store.handle(
            store.Write(None, 'settings', 'tree', 0, tree), loop.now()
        )
    Platform(loop, object_store).server.listen(loop, HOST, port)
    loop.run()


if __name__ == '__main__':
    cyclopts.run(main)
