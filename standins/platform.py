"""The process of the stand-in platform, which serves a store over HTTP."""

import functools
import json
from collections.abc import Mapping
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


@attrs.frozen
class StoreReturn:
    """The store is away for a moment and comes back from an older copy.

    Attributes:
        age_s: The age of the copy when the store comes back, in seconds.
        away_s: How long the store is away, in seconds.
        rewrite_s: When the operators' last writes that the copy lacks are
            written again, in seconds after the return; never if it is None.
    """

    age_s: float
    away_s: float = 0.5
    rewrite_s: float | None = None


class Platform:
    """Serves the object API, and takes faults at run time.

    Attributes:
        server: The HTTP server.
        era_header: The header that states the store's era.
        operators_kinds: The kinds of objects that operators write.
    """

    era_header = 'Platform-Era'
    operators_kinds: tuple[str, ...] = ('settings',)

    def __init__(self, loop: Loop, object_store: store.Store) -> None:
        """Prepare to serve a store; nothing listens yet."""
        self._loop = loop
        self._store = object_store
        self._faults = PlatformFaults()
        self._is_away = False
        self._exchanges: set[Exchange] = set()
        self.server = Server(self._serve, self._exchanges.add, self._forget)

    def rewritten(
        self, kind: str, name: str, version: int, content: Any
    ) -> store.Write | store.Delete:
        """Return the message that writes or deletes an object again."""
        if content is None:
            return store.Delete(None, kind, name, version)
        return store.Write(None, kind, name, version, content)

    def _serve(self, exchange: Exchange) -> None:
        request = exchange.request
        assert request is not None
        control = {
            '/faults': self._set_faults,
            '/calls': self._show_calls,
            '/return': self._plan_return,
        }.get(request.path)
        if control is not None:
            control(exchange, request)
        elif self._is_away:
            exchange.connection.abort()
        elif self._faults.down:
            self._answer(exchange, UNAVAILABLE, {})
        elif not self._faults.silent:
            self._serve_objects(exchange, request)

    def _set_faults(self, exchange: Exchange, request: Message) -> None:
        self._faults = self._faults.with_changes(request.json() or {})
        self._store.read_lag_s = self._faults.stale_reads_ms / MS_PER_S
        exchange.answer(store.OK, attrs.asdict(self._faults))

    def _plan_return(self, exchange: Exchange, request: Message) -> None:
        """Go away if asked to; answer with the era."""
        exchange.answer(store.OK, {'era': self._store.era})
        if request.method == 'POST':
            self._go_away(StoreReturn(**request.json()))

    def _go_away(self, planned: StoreReturn) -> None:
        self._is_away = True
        for exchange in tuple(self._exchanges):
            if exchange.request is not None:
                exchange.connection.abort()
        come_back = functools.partial(self._come_back, planned)
        self._loop.call_later(planned.away_s, come_back)

    def _come_back(self, planned: StoreReturn) -> None:
        self._is_away = False
        lost = self._store.restore(self._loop.now() - planned.age_s)
        if planned.rewrite_s is not None:
            rewrite = functools.partial(self._rewrite, lost)
            self._loop.call_later(planned.rewrite_s, rewrite)

    def _rewrite(self, lost: Mapping[tuple[str, str], Any]) -> None:
        """Write again what operators had written and the copy lacks."""
        for (kind, name), content in lost.items():
            if kind in self.operators_kinds:
                version = self._current(kind, name)['version']
                self._apply(self.rewritten(kind, name, version, content))

    def _current(self, kind: str, name: str) -> dict[str, Any]:
        """Return the stored object; its version is 0 if there is none."""
        return self._store.current(kind, name)

    def _answer(
        self, exchange: Exchange, status: int, body: dict[str, Any]
    ) -> None:
        """Answer with the era of the store."""
        exchange.answer(status, body, self._headers())

    def _headers(self) -> dict[str, str]:
        return {self.era_header: str(self._store.era)}

    def _show_calls(self, exchange: Exchange, request: Message) -> None:
        counts = {
            f'{kind} {verb}': count
            for (kind, verb), count in sorted(self._store.calls.items())
        }
        shown = {'calls': counts, 'revision': self._store.revision}
        exchange.answer(store.OK, shown)

    def _serve_objects(self, exchange: Exchange, request: Message) -> None:
        message = message_from(exchange, request)
        if message is None:
            self._answer(exchange, BAD_REQUEST, {})
            return
        self._apply(message)
        _schedule_expiry(message, self._expire_later)

    def _apply(self, message: Any) -> None:
        loses = self._faults.lose_answers and _is_update(message)
        for reply in self._store.handle(message, self._loop.now()):
            if reply.token is None:
                continue
            if loses and reply.token is message.token:
                reply.token.connection.reset()
            else:
                self._send(reply)

    def _send(self, reply: store.Reply) -> None:
        # A delayed answer states the era in which the call was carried out.
        answer = functools.partial(
            reply.token.answer, reply.status, reply.body, self._headers()
        )
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
        self._exchanges.discard(exchange)
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
