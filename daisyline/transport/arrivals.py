"""Turns requests into calls: where they go, how long, and what goes along."""

import hashlib
import itertools
import math
import random

import attrs

from daisyline.coordination.call_events import (
    RequestReceived,
    RequestUnroutable,
)
from daisyline.coordination.caller_timeouts import CallerTimeouts
from daisyline.coordination.messages import Headers
from daisyline.coordination.node_core import NodeCore
from daisyline.protocol.dialect import Dialect
from daisyline.protocol.http_messages import Request
from daisyline.state.failures import Failure, Reason
from daisyline.state.routes import Route

_MS_PER_S = 1000
# Digits of the longest deadline that is read, in milliseconds.
_MAX_DIGITS = 9
_MAX_TENANT = 128
_MAX_REQUEST_ID = 64
_KEY_BYTES = 16
_KEY_HEADER = b'idempotency-key'
_DEFAULT_TENANT = 'default'


@attrs.frozen
class Parent:
    """The call that a target was serving when it made another.

    Attributes:
        call: Its id; empty if a request came from outside.
        retried: Whether a retry was spent on it.
        deadline: When it must have ended, in monotonic seconds.
    """

    call: str = ''
    retried: bool = False
    deadline: float = float('inf')


class Arrivals:
    """Reads the requests of one node."""

    def __init__(
        self, core: NodeCore, dialect: Dialect, incarnation: int, origin: str
    ) -> None:
        """Begin with the first call of this start.

        Args:
            core: The node's decisions.
            dialect: The names of headers.
            incarnation: Makes ids of calls differ from those of other starts.
            origin: The service beside this node, if it is known at the start.
        """
        self._core = core
        self._dialect = dialect
        self._origin = origin.encode()
        self._prefix = f'{core.name}-{incarnation:x}'
        self._counter = itertools.count(1)
        self._rng = random.Random(incarnation)
        self._caller_timeouts = CallerTimeouts()

    def read(
        self, request: Request, parent: Parent, now: float
    ) -> RequestReceived | RequestUnroutable:
        """Return the call that a request asks for, with a new id."""
        route = self.route_of(request)
        call = self._call_id(request.header(self._dialect.request_id))
        failure = self._unroutable(route)
        if failure is not None:
            return RequestUnroutable(call, failure)
        service = self._service_of(request, route)
        limits = self._core.fleet.settings.limits_for(service, '')
        most_ms = limits.deadline_ms
        if route is not None and route.deadline_ms:
            most_ms = route.deadline_ms
        asked = request.header(self._dialect.caller_deadline_ms)
        tenant = _tenant_of(request, limits.tenant_header)
        return RequestReceived(
            call=call,
            service=service,
            tenant=tenant,
            method=request.method,
            path=request.path,
            headers=self._headers_of(request),
            body=request.body,
            key=_key_of(request, tenant),
            deadline=min(now + _budget_s(asked, most_ms), parent.deadline),
            parent=parent.call,
            retried=parent.retried,
            route=route,
            objective=self._objective(route, asked, now),
        )

    def route_of(self, request: Request) -> Route | None:
        """Return the route that a request takes."""
        routes = self._core.fleet.settings.routes
        return routes.find(_host_of(request), request.path)

    def own_service(self) -> str:
        """Return the service of the target beside this node."""
        target = self._core.target_side.target
        return '' if target is None else target.service

    def _objective(
        self, route: Route | None, asked: bytes, now: float
    ) -> float:
        """Return when an answer is wanted, in monotonic seconds.

        That was before now for a caller that comes again.
        """
        if route is None or not route.objective_ms:
            return math.inf
        asked_ms = _asked_ms(asked)
        if asked_ms is not None and self._caller_timeouts.is_resend(
            route.name, asked_ms
        ):
            return now
        return now + route.objective_ms / _MS_PER_S

    def _call_id(self, request_id: bytes) -> str:
        """Return a new id that leads from the caller's id to the call."""
        own = f'{self._prefix}-{next(self._counter)}'
        if not request_id:
            return own
        named = request_id[:_MAX_REQUEST_ID].decode('latin-1')
        return f'{named}~{own}'

    def _unroutable(self, route: Route | None) -> Failure | None:
        """Return why a request leads nowhere, if that is so."""
        if not self._dialect.needs_route or route is not None:
            return None
        if self._core.fleet.settings.version == 0:
            return Failure(Reason.NO_SETTINGS, detail='no settings yet')
        return Failure(Reason.NO_SERVICE, detail='no route leads there')

    def _headers_of(self, request: Request) -> Headers:
        """Return the headers that go along, without those only for us."""
        reserved = self._dialect.reserved_headers
        if not reserved:
            return request.headers
        kept = [
            pair for pair in request.headers if pair[0].lower() not in reserved
        ]
        return (*kept, (self._dialect.origin_service, self._origin))

    def _service_of(self, request: Request, route: Route | None) -> str:
        """Return the service that a request is for.

        That is one that its route leads to, else the one that its host names,
        else this node's own.
        """
        if route is not None:
            names, weights = zip(*route.split, strict=True)
            return str(self._rng.choices(names, weights)[0])
        return self._named_service(_host_of(request)) or self.own_service()

    def _named_service(self, host: str) -> str:
        """Return the service that a host name stands for, if any does."""
        settings = self._core.fleet.settings
        label = host.split('.')[0]
        if settings.has_service(label):
            return settings.hosts.get(host, label)
        return settings.hosts.get(host, '')


def _host_of(request: Request) -> str:
    host = request.header(b'host').decode('latin-1').lower()
    return host.split(':')[0]


def _budget_s(asked: bytes, most_ms: int) -> float:
    """Return how long a caller waits; it may ask for less than the limit."""
    asked_ms = _asked_ms(asked)
    wanted_ms = most_ms if asked_ms is None else asked_ms
    return min(wanted_ms, most_ms) / _MS_PER_S


def _asked_ms(asked: bytes) -> int | None:
    """Return the milliseconds that a caller waits; None if it doesn't say."""
    whole, _, fraction = asked.partition(b'.')
    is_read = whole.isdigit() and len(whole) <= _MAX_DIGITS
    # A part of a millisecond is no more time to give away.
    is_read = is_read and (not fraction or fraction.isdigit())
    return int(whole) if is_read else None


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
