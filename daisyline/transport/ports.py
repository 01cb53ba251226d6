"""The two ports of a node that speak HTTP: for callers and for its target."""

import hashlib
import itertools
import random
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

from daisyline.coordination.call_events import (
    AnswerCaller,
    Arrived,
    CallerLost,
    RefuseCaller,
    TargetAnnounced,
    TargetLeaves,
    Unroutable,
)
from daisyline.coordination.messages import Headers
from daisyline.coordination.node_core import NodeCore
from daisyline.coordination.registration import Announcement
from daisyline.protocol.front_end import FrontEnd, Leaving, Notice
from daisyline.protocol.http_messages import Request
from daisyline.state.failures import Failure, Reason
from daisyline.state.routes import Route
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
_MAX_REQUEST_ID = 64
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
        front: FrontEnd | None = None,
        origin: str = '',
    ) -> None:
        """Start without listeners.

        Args:
            loop: The loop.
            core: The node's decisions.
            incarnation: Makes ids of calls differ from those of other starts.
            on_event: Takes events.
            front: How callers and the target speak.
            origin: The service beside this node, if it is known at the start.
        """
        self._loop = loop
        self._core = core
        self._on_event = on_event
        self._front = front or FrontEnd()
        self._origin = origin.encode()
        self._rng = random.Random(incarnation)
        self._prefix = f'{core.name}-{incarnation:x}'
        self._counter = itertools.count(1)
        self._waiting: dict[str, CallerConnection] = {}
        self._connections: set[CallerConnection] = set()
        self._listeners: list[Listener] = []
        self._leaving = False

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
        self._close_listeners()
        for connection in tuple(self._connections):
            connection.finish()

    def say_last(self) -> None:
        """Tell each caller with its next answer to come back elsewhere."""
        for connection in self._connections:
            connection.say_last()
        self._leaving = True

    def _close_listeners(self) -> None:
        """Take no new connection."""
        for listener in self._listeners:
            # A listener that is closed resets what waits to be accepted.
            for _ in range(_LAST_ACCEPTS):
                listener.ready(readable=True, writable=False)
            listener.close()

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
            self._loop,
            connection,
            limit,
            on_request,
            self._event,
            self._front.dialect,
        )
        caller.may_overlap = self._may_overlap
        if self._leaving:
            caller.say_last()
        caller.on_gone = self._connections.discard
        self._connections.add(caller)

    def _may_overlap(self, request: Request) -> bool:
        """Return whether a request may run beside others of its caller."""
        settings = self._core.fleet.settings
        route = settings.routes.find(_host_of(request), request.path)
        return route is not None and route.repeatable

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
        notice = self._front.read_notice(request)
        if notice is not None:
            self._noticed(caller, notice)
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

    def _noticed(self, caller: CallerConnection, notice: Notice) -> None:
        """Take a notice of the target; what it says holds once answered."""
        event = event_of(notice)
        if isinstance(event, Failure):
            caller.refuse(RefuseCaller('', event))
            return
        self._on_event(event)
        body = self._front.acknowledge(self._front.lease_s)
        kind = ((b'Content-Type', b'application/json'),)
        caller.answer(AnswerCaller('', HTTPStatus.OK, kind, body, last=True))

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
        host = _host_of(request)
        route = settings.routes.find(host, request.path)
        service = self._service_of(host, route)
        limits = settings.limits_for(service, '')
        dialect = self._front.dialect
        now = self._loop.now()
        request_id = request.header(dialect.request_id).decode('latin-1')
        call = self._call_id(request_id)
        most_ms = limits.deadline_ms
        if route is not None and route.deadline_ms:
            most_ms = route.deadline_ms
        asked = request.header(dialect.caller_deadline_ms)
        given_up_at = now + _budget_s(asked, most_ms)
        if deadline is not None:
            given_up_at = min(given_up_at, deadline)
        tenant = _tenant_of(request, limits.tenant_header)
        caller.call = call
        self._waiting[call] = caller
        failure = self._unroutable(route)
        if failure is not None:
            self._on_event(Unroutable(call, failure))
            return
        arrived = Arrived(
            call=call,
            service=service,
            tenant=tenant,
            method=request.method,
            path=request.path,
            headers=self._headers_of(request),
            body=request.body,
            key=_key_of(request, tenant),
            deadline=given_up_at,
            parent=parent,
            retried=retried,
            route=route,
            objective=_objective(route, now),
        )
        self._on_event(arrived)

    def _call_id(self, request_id: str) -> str:
        """Return a new id that leads from the caller's id to the call."""
        number = next(self._counter)
        if not request_id:
            return f'{self._prefix}-{number}'
        return f'{request_id[:_MAX_REQUEST_ID]}~{self._prefix}-{number}'

    def _unroutable(self, route: Route | None) -> Failure | None:
        """Return why a request leads nowhere, if that is so."""
        settings = self._core.fleet.settings
        if not self._front.dialect.needs_route or route is not None:
            return None
        if settings.version == 0:
            return Failure(Reason.NO_SETTINGS, detail='no settings yet')
        return Failure(Reason.NO_SERVICE, detail='no route leads there')

    def _headers_of(self, request: Request) -> Headers:
        """Return the headers that go along, without those only for us."""
        dialect = self._front.dialect
        if not dialect.reserved:
            return request.headers
        kept = tuple(
            (name, content)
            for name, content in request.headers
            if name.lower() not in dialect.reserved
        )
        return (*kept, (dialect.origin, self._origin))

    def _service_of(self, host: str, route: Route | None) -> str:
        """Return the service that a request is for.

        That is one that its route leads to, else the one that its host names,
        else this node's own.
        """
        if route is not None:
            names, weights = zip(*route.split, strict=True)
            return str(self._rng.choices(names, weights)[0])
        return self._named_service(host) or self._own_service()

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


def event_of(notice: Notice) -> TargetAnnounced | TargetLeaves | Failure:
    """Return the event for a notice, or why it can't be taken."""
    if isinstance(notice, Announcement):
        return TargetAnnounced(notice.target, notice.cold_s, notice.sequence)
    if isinstance(notice, Leaving):
        return TargetLeaves(notice.instance, notice.started_ms)
    detail = '; '.join(str(finding) for finding in notice)
    return Failure(Reason.BAD_REQUEST, detail=detail)


def _host_of(request: Request) -> str:
    host = request.header(b'host').decode('latin-1').lower()
    return host.split(':')[0]


def _objective(route: Route | None, now: float) -> float:
    if route is None or not route.objective_ms:
        return 0
    return now + route.objective_ms / _MS_PER_S


def _budget_s(asked: bytes, most_ms: int) -> float:
    """Return how long a caller waits; it may ask for less than the limit."""
    whole, _, fraction = asked.partition(b'.')
    is_read = whole.isdigit() and len(whole) <= _MAX_DIGITS
    # A part of a millisecond is no more time to give away.
    is_read = is_read and (not fraction or fraction.isdigit())
    wanted_ms = int(whole) if is_read else most_ms
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
