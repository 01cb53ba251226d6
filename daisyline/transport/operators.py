"""The operators' port: what a node knows, as JSON and as metrics."""

import functools
import json
import time
from collections.abc import Callable
from http import HTTPStatus
from urllib import parse as urls

import attrs

from daisyline.coordination.call_events import AnswerCaller, RefuseCaller
from daisyline.coordination.node_core import NodeCore
from daisyline.protocol import operator_views
from daisyline.protocol.http_messages import Request
from daisyline.state.failures import Failure, Reason
from daisyline.transport.callers import CallerConnection
from daisyline.transport.loop import Loop
from daisyline.transport.sockets import Connection, Listener

# A connection serves one request and is closed after so long in any case, so
# that slow clients hold no more than a few buffers, in seconds.
LIFE_S = 5.0
MAX_CONNECTIONS = 64

_JSON = b'application/json'
_TEXT = b'text/plain; version=0.0.4'
_METHODS = frozenset((b'GET', b'HEAD'))

Query = dict[str, str]


@attrs.frozen
class _Page:
    """What is shown at a path."""

    kind: bytes
    body: bytes
    status: HTTPStatus = HTTPStatus.OK


class OperatorsPort:
    """Serves views of a node; it only reads.

    circuits.web isn't used: it ends the process three seconds after a signal,
    keeps the bytes of requests that were never finished, and has no limit on
    their size. The callers' port has a server that is safe from all three.
    """

    def __init__(
        self, loop: Loop, core: NodeCore, ready_path: str = '/ready'
    ) -> None:
        """Remember whose state is shown; nothing is listened on."""
        self._loop = loop
        self._core = core
        self._open: set[CallerConnection] = set()
        self._views: dict[str, Callable[[Query], _Page]] = {
            '/status': self._status,
            '/explain': self._explain,
            '/histograms': self._histograms,
            '/metrics': self._metrics,
            ready_path: self._ready,
        }

    def listen(self, host: str, port: int) -> None:
        """Accept operators.

        Raises:
            OSError: If the port can't be bound.
        """
        Listener.open(self._loop, host, port, self._accept)

    def _accept(self, connection: Connection) -> None:
        if len(self._open) >= MAX_CONNECTIONS:
            connection.abort()
            return
        client = CallerConnection(
            self._loop, connection, 0, self._request, _ignore
        )
        timeout = self._loop.call_later(LIFE_S, connection.abort)
        client.on_closed = functools.partial(self._gone, timeout.cancel)
        self._open.add(client)

    def _gone(
        self, stop_timeout: Callable[[], None], client: CallerConnection
    ) -> None:
        stop_timeout()
        self._open.discard(client)

    def _request(self, client: CallerConnection, request: Request) -> None:
        client.call = 'operators'
        client.close_gracefully()
        path, _, query = request.path.decode('latin-1').partition('?')
        view = self._views.get(path)
        if view is None or request.method not in _METHODS:
            paths = ', '.join(self._views)
            detail = f'there are GET {paths}'
            reason = Reason.NO_SERVICE if view is None else Reason.BAD_REQUEST
            client.send_refusal(
                RefuseCaller('', Failure(reason, detail=detail))
            )
            return
        page = view(dict(urls.parse_qsl(query)))
        headers = ((b'Content-Type', page.kind), (b'Connection', b'close'))
        client.send_answer(
            AnswerCaller('', page.status, headers, page.body, last=True)
        )

    def _ready(self, _query: Query) -> _Page:
        ready = self._core.is_ready
        page = _as_json({'ready': ready})
        status = HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE
        return attrs.evolve(page, status=status)

    def _status(self, _query: Query) -> _Page:
        return _as_json(operator_views.status(self._core))

    def _explain(self, query: Query) -> _Page:
        since_epoch_s = time.time() - self._loop.now()
        kind, name = query.get('kind', ''), query.get('name', '')
        return _as_json(
            operator_views.explain(self._core, kind, name, since_epoch_s)
        )

    def _histograms(self, _query: Query) -> _Page:
        return _as_json(operator_views.histograms(self._core))

    def _metrics(self, _query: Query) -> _Page:
        return _Page(_TEXT, operator_views.metrics(self._core))


def _as_json(shown: object) -> _Page:
    return _Page(_JSON, json.dumps(shown).encode())


def _ignore(_event: object) -> None:
    """Do nothing: no call waits for an operator."""
