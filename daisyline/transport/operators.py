"""The operators' port: views of a node's state as JSON and as metrics."""

import functools
import json
import time
from collections.abc import Callable
from http import HTTPStatus
from urllib import parse as urls

import attrs

from daisyline.coordination.calls.call_events import AnswerCaller, RefuseCaller
from daisyline.coordination.node_core import NodeCore
from daisyline.protocol import operator_views
from daisyline.protocol.http_messages import Request
from daisyline.state.failures import Failure, Reason
from daisyline.transport.callers import CallerConnection
from daisyline.transport.connection_room import (
    RECEIVE_BUFFER_BYTES,
    close_one,
)
from daisyline.transport.listener import Listener
from daisyline.transport.loop import Loop
from daisyline.transport.memory_guard import MemoryGuard
from daisyline.transport.sockets import Connection

# A connection serves one request and is closed after this time in any case, so
# that slow clients occupy no more than a few buffers.
CONNECTION_TIMEOUT_S = 5.0
MAX_CONNECTIONS = 64

_JSON = b'application/json'
_TEXT = b'text/plain; version=0.0.4'
_METHODS = frozenset((b'GET', b'HEAD'))

Query = dict[str, str]


@attrs.frozen
class _Page:
    """The response to a request for a view."""

    content_type: bytes
    body: bytes
    status: HTTPStatus = HTTPStatus.OK


class OperatorsPort:
    """Serves read-only views of a node over HTTP.

    circuits.web isn't used: it ends the process three seconds after a signal,
    keeps the bytes of requests that are never completed, and has no limit on
    their size. The HTTP server of the callers' port has none of these faults.
    """

    def __init__(
        self, loop: Loop, core: NodeCore, ready_path: str = '/ready'
    ) -> None:
        """Create the views; `listen` opens the port.

        Args:
            loop: The event loop.
            core: The node whose state is shown.
            ready_path: The path of the readiness check.
        """
        self._loop = loop
        self._core = core
        self._memory = MemoryGuard.from_core(core)
        self._connections: set[CallerConnection] = set()
        self._views: dict[str, Callable[[Query], _Page]] = {
            '/status': self._status,
            '/explain': self._explain,
            '/histograms': self._histograms,
            '/metrics': self._metrics,
            ready_path: self._ready,
        }

    @property
    def has_unsent_bytes(self) -> bool:
        """Return whether a page is not wholly sent."""
        return any(client.has_unsent_bytes for client in self._connections)

    def listen(self, host: str, port: int) -> None:
        """Accept connections of operators.

        Raises:
            OSError: If the port can't be bound.
        """
        Listener.open(
            self._loop, host, port, self._accept, RECEIVE_BUFFER_BYTES
        )

    def _accept(self, connection: Connection) -> None:
        is_full = len(self._connections) >= MAX_CONNECTIONS
        if is_full and not close_one(self._connections):
            connection.abort()
            return
        client = CallerConnection(
            self._loop, connection, 0, self._handle_request, _ignore
        )
        client.use_memory(self._memory)
        timeout = self._loop.call_later(CONNECTION_TIMEOUT_S, connection.abort)
        client.on_closed = functools.partial(
            self._connection_closed, timeout.cancel
        )
        self._connections.add(client)

    def _connection_closed(
        self, cancel_timeout: Callable[[], None], client: CallerConnection
    ) -> None:
        cancel_timeout()
        self._connections.discard(client)

    def _handle_request(
        self, client: CallerConnection, request: Request
    ) -> None:
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
        headers = (
            (b'Content-Type', page.content_type),
            (b'Connection', b'close'),
        )
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
        epoch_offset_s = time.time() - self._loop.now()
        kind, name = query.get('kind', ''), query.get('name', '')
        return _as_json(
            operator_views.explain(self._core, kind, name, epoch_offset_s)
        )

    def _histograms(self, _query: Query) -> _Page:
        return _as_json(operator_views.histograms(self._core))

    def _metrics(self, _query: Query) -> _Page:
        return _Page(_TEXT, operator_views.metrics(self._core))


def _as_json(view: object) -> _Page:
    return _Page(_JSON, json.dumps(view).encode())


def _ignore(_event: object) -> None:
    """Ignore an event, as operators' requests are not calls of the core."""
