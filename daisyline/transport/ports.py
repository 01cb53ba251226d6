"""The two ports of a node that speak HTTP: for callers and for its target."""

import hashlib
import itertools
import json
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

from daisyline.coordination.call_events import (
    AnswerCaller,
    Arrived,
    CallerLost,
    RefuseCaller,
    TargetAnnounced,
)
from daisyline.coordination.node_core import TARGET_LEASE_S, NodeCore
from daisyline.protocol.announcements import read_announcement
from daisyline.protocol.http_messages import Request
from daisyline.state.failures import Failure, Reason
from daisyline.state.targets import Target
from daisyline.transport.callers import CallerConnection
from daisyline.transport.loop import Loop
from daisyline.transport.sockets import Connection, Listener

_MS_PER_S = 1000
# Digits of the longest deadline that is read, in milliseconds.
_MAX_DIGITS = 9
_MAX_TENANT = 128
_KEY_BYTES = 16
# Each takes as many connections as are accepted in one turn of the loop.
_LAST_ACCEPTS = 16
_DEADLINE_HEADER = b'x-deadline-ms'
_KEY_HEADER = b'idempotency-key'
_DEFAULT_TENANT = 'default'


class Ports:
    """Turns requests into calls, and keeps who waits for which."""

    def __init__(
        self,
        loop: Loop,
        core: NodeCore,
        incarnation: int,
        on_event: Callable[[Any], None],
    ) -> None:
        """Start without listeners."""
        self._loop = loop
        self._core = core
        self._on_event = on_event
        self._prefix = f'{core.name}-{incarnation:x}'
        self._counter = itertools.count(1)
        self._waiting: dict[str, CallerConnection] = {}
        self._connections: set[CallerConnection] = set()
        self._listeners: list[Listener] = []

    @property
    def busy(self) -> int:
        """Return how many requests are being sent or wait for an answer."""
        return sum(connection.busy for connection in self._connections)

    def listen_to_callers(self, host: str, port: int) -> None:
        """Accept callers from outside."""
        self._listen(host, port, self._from_outside)

    def listen_to_target(self, host: str, port: int) -> None:
        """Accept the target beside this node."""
        self._listen(host, port, self._from_target)

    def take(self, call: str, last: bool) -> CallerConnection | None:
        """Return the connection that waits for a call, if it still does."""
        if last:
            return self._waiting.pop(call, None)
        return self._waiting.get(call)

    def stop_accepting(self) -> None:
        """Take no new connection; those open close after their call."""
        for listener in self._listeners:
            # A listener that is closed resets what waits to be accepted.
            for _ in range(_LAST_ACCEPTS):
                listener.ready(readable=True, writable=False)
            listener.close()
        for connection in tuple(self._connections):
            connection.finish()

    def _listen(self, host: str, port: int, on_request: Any) -> None:
        listener = Listener.open(
            self._loop,
            host,
            port,
            lambda connection: self._accept(connection, on_request),
        )
        self._listeners.append(listener)

    def _accept(self, connection: Connection, on_request: Any) -> None:
        service = self._own_service()
        settings = self._core.fleet.settings
        limit = settings.limits_for(service, '').body_limit_bytes
        caller = CallerConnection(
            self._loop, connection, limit, on_request, self._event
        )
        caller.on_gone = self._connections.discard
        self._connections.add(caller)

    def _event(self, event: Any) -> None:
        if isinstance(event, CallerLost):
            self._waiting.pop(event.call, None)
        self._on_event(event)

    def _from_outside(self, caller: CallerConnection, request: Request) -> None:
        self._begin(caller, request, '', retried=False)

    def _from_target(self, caller: CallerConnection, request: Request) -> None:
        """Take an announcement, or a call that the target makes in turn.

        What a call in turn inherits is looked up by the id of the call being
        served; nothing else in the header is trusted.
        """
        if request.path == b'/announce' and request.method == b'POST':
            self._announced(caller, request)
            return
        job = self._core.owner.jobs.get(request.context)
        if job is None:
            self._begin(caller, request, '', retried=False)
            return
        self._begin(
            caller,
            request,
            request.context,
            retried=job.run.retried or job.retry_spent,
            deadline=job.deadline,
        )

    def _announced(self, caller: CallerConnection, request: Request) -> None:
        target = read_announcement(request.body)
        if isinstance(target, Target):
            self._on_event(TargetAnnounced(target))
            lease_ms = int(TARGET_LEASE_S * _MS_PER_S)
            body = json.dumps({'lease_ms': lease_ms}).encode()
            caller.answer(AnswerCaller('', HTTPStatus.OK, (), body, last=True))
            return
        detail = '; '.join(str(finding) for finding in target)
        failure = Failure(Reason.BAD_REQUEST, detail=detail)
        caller.refuse(RefuseCaller('', failure))

    def _begin(
        self,
        caller: CallerConnection,
        request: Request,
        parent: str,
        *,
        retried: bool,
        deadline: float | None = None,
    ) -> None:
        settings = self._core.fleet.settings
        service = self._service_of(request)
        limits = settings.limits_for(service, '')
        call = f'{self._prefix}-{next(self._counter)}'
        given_up_at = self._loop.now() + _budget_s(request, limits.deadline_ms)
        if deadline is not None:
            given_up_at = min(given_up_at, deadline)
        tenant = _tenant_of(request, limits.tenant_header)
        caller.call = call
        self._waiting[call] = caller
        arrived = Arrived(
            call=call,
            service=service,
            tenant=tenant,
            method=request.method,
            path=request.path,
            headers=request.headers,
            body=request.body,
            key=_key_of(request, tenant),
            deadline=given_up_at,
            parent=parent,
            retried=retried,
        )
        self._on_event(arrived)

    def _service_of(self, request: Request) -> str:
        """Return the service that a request names, else this node's own."""
        host = request.header(b'host').decode('latin-1').lower()
        return self._named_service(host.split(':')[0]) or self._own_service()

    def _named_service(self, host: str) -> str:
        """Return the service that a host name stands for, if any does."""
        settings = self._core.fleet.settings
        label = host.split('.')[0]
        if settings.has_service(label):
            return settings.hosts.get(host, label)
        return settings.hosts.get(host, '')

    def _own_service(self) -> str:
        target = self._core.owner.target
        return '' if target is None else target.service


def _budget_s(request: Request, most_ms: int) -> float:
    """Return how long a caller waits; it may ask for less than the limit."""
    asked = request.header(_DEADLINE_HEADER)
    is_read = asked.isdigit() and len(asked) <= _MAX_DIGITS
    wanted_ms = int(asked) if is_read else most_ms
    return min(wanted_ms, most_ms) / _MS_PER_S


def _tenant_of(request: Request, header: str) -> str:
    """Return the tenant that a request names, in bounded length."""
    named = request.header(header.lower().encode())
    return named[:_MAX_TENANT].decode('latin-1') or _DEFAULT_TENANT


def _key_of(request: Request, tenant: str) -> str:
    """Return a name for the idempotency key, of its tenant alone.

    One tenant must not get the answer of another that chose the same key.
    """
    key = request.header(_KEY_HEADER)
    if not key:
        return ''
    scoped = b'%s\0%s' % (tenant.encode(), key)
    return hashlib.blake2b(scoped, digest_size=_KEY_BYTES).hexdigest()
