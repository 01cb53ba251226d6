"""Derives calls from requests: service, tenant, deadline and headers."""

import hashlib
import itertools
import math
import random

import attrs

from daisyline.coordination.calls.call_events import (
    RequestReceived,
    RequestUnroutable,
)
from daisyline.coordination.calls.caller_timeouts import CallerTimeouts
from daisyline.coordination.calls.customer_keys import (
    KeyRefusal,
    RequestUnauthorized,
    identify,
)
from daisyline.coordination.calls.messages import Headers
from daisyline.coordination.node_core import NodeCore
from daisyline.coordination.routing.traffic_split import TrafficSplit
from daisyline.protocol.decision_lines import CALLER_ID_END
from daisyline.protocol.dialect import Dialect
from daisyline.protocol.http_messages import Request
from daisyline.state.customers import NO_CUSTOMER, Customer
from daisyline.state.failures import Failure, Reason
from daisyline.state.limits import Limits
from daisyline.state.routes import Route

_MS_PER_S = 1000
# A deadline header with more digits than this is ignored.
_MAX_DEADLINE_DIGITS = 9
_MAX_TENANT_BYTES = 128
_MAX_REQUEST_ID_BYTES = 64
_KEY_HASH_BYTES = 16
_KEY_HEADER = b'idempotency-key'
_DEFAULT_TENANT = 'default'


@attrs.frozen
class ParentCall:
    """The call that a target was serving when it made another call.

    Attributes:
        call: The id of the call; empty if the request came from outside.
        retried: Whether a retry was spent on the call.
        deadline: The deadline of the call, in monotonic seconds.
    """

    call: str = ''
    retried: bool = False
    deadline: float = float('inf')


class RequestReader:
    """Reads the requests that one node receives."""

    def __init__(
        self, core: NodeCore, dialect: Dialect, incarnation: int, origin: str
    ) -> None:
        """Create a reader, which numbers the calls of this process.

        Args:
            core: The node's decisions.
            dialect: The names of headers.
            incarnation: Distinguishes the ids of calls from those of earlier
                processes of the node.
            origin: The service beside this node; empty if it is not known at
                the start.
        """
        self._core = core
        self._dialect = dialect
        self._origin = origin.encode()
        self._prefix = f'{core.name}-{incarnation:x}'
        self._counter = itertools.count(1)
        self._split = TrafficSplit(random.Random(incarnation))
        self._caller_timeouts = CallerTimeouts()

    def read(
        self, request: Request, parent: ParentCall, now: float
    ) -> RequestReceived | RequestUnroutable | RequestUnauthorized:
        """Return the event for a request, with a new id for the call.

        Args:
            request: The request.
            parent: The call on whose behalf the request was made.
            now: The time, in monotonic seconds.
        """
        route = self.route_of(request)
        call = self._call_id(request.header(self._dialect.request_id))
        failure = self._routing_failure(route)
        if failure is not None and failure.reason == Reason.NO_SETTINGS:
            return RequestUnroutable(call, failure)
        customer = self._customer_of(request, route)
        if isinstance(customer, KeyRefusal):
            return RequestUnauthorized(call, customer)
        if failure is not None:
            return RequestUnroutable(call, failure)
        service = self._service_of(request, route)
        limits = self._core.fleet.settings.limits_for(service, '')
        requested = request.header(self._dialect.caller_deadline_ms)
        tenant = self._tenant_of(request, customer, limits.tenant_header)
        return RequestReceived(
            call=call,
            service=service,
            tenant=tenant,
            method=request.method,
            path=request.path,
            headers=self._headers_of(request, customer),
            body=request.body,
            key=_key_of(request, tenant),
            deadline=min(
                now + _time_limit_s(requested, _max_ms(route, limits)),
                parent.deadline,
            ),
            parent=parent.call,
            retried=parent.retried,
            route=route,
            objective=self._objective(route, requested, now),
            priority=None if customer is None else customer.priority,
        )

    def route_of(self, request: Request) -> Route | None:
        """Return the route that matches a request, or None."""
        routes = self._core.fleet.settings.routes
        return routes.find(_host_of(request), request.path)

    def own_service(self) -> str:
        """Return the service of the target beside this node, or empty."""
        target = self._core.target_side.target
        return '' if target is None else target.service

    def _objective(
        self, route: Route | None, requested: bytes, now: float
    ) -> float:
        """Return the time by which the answer is wanted, in monotonic seconds.

        It is the current time for a request that the caller probably sent
        before, and infinity if the route states no objective.
        """
        if route is None or not route.objective_ms:
            return math.inf
        requested_ms = _requested_ms(requested)
        if requested_ms is not None and self._caller_timeouts.is_resend(
            route.name, requested_ms
        ):
            return now
        return now + route.objective_ms / _MS_PER_S

    def _call_id(self, request_id: bytes) -> str:
        """Return a new id that starts with the caller's request id, if any."""
        own_id = f'{self._prefix}-{next(self._counter)}'
        if not request_id:
            return own_id
        named = request_id[:_MAX_REQUEST_ID_BYTES].decode('latin-1')
        return f'{named}{CALLER_ID_END}{own_id}'

    def _routing_failure(self, route: Route | None) -> Failure | None:
        """Return why a request cannot be routed, or None."""
        if not self._dialect.needs_route or route is not None:
            return None
        if self._core.fleet.settings.version == 0:
            return Failure(Reason.NO_SETTINGS, detail='no settings yet')
        return Failure(Reason.NO_SERVICE, detail='no route leads there')

    def _customer_of(
        self, request: Request, route: Route | None
    ) -> Customer | KeyRefusal | None:
        """Return the customer, None if not known, or why the key is refused."""
        name = self._dialect.customer_key
        credentials = [
            content for key, content in request.headers if key.lower() == name
        ]
        customers = self._core.fleet.settings.customers
        is_exempt = route is not None and route.key_exempt
        return identify(credentials, customers, is_exempt=is_exempt)

    def _tenant_of(
        self, request: Request, customer: Customer | None, header: str
    ) -> str:
        """Return the customer's name, or the tenant that a request names."""
        if not self._core.fleet.settings.customers.requires_keys:
            return _named_tenant(request, header)
        return NO_CUSTOMER if customer is None else customer.name

    def _headers_of(
        self, request: Request, customer: Customer | None
    ) -> Headers:
        """Return the headers to forward, without the reserved ones.

        They have the customer's name in place of its key.
        """
        dialect = self._dialect
        dropped = dialect.reserved_headers
        if self._core.fleet.settings.customers.requires_keys:
            dropped |= {dialect.customer_key}
        if not dropped:
            return request.headers
        headers = [
            pair for pair in request.headers if pair[0].lower() not in dropped
        ]
        if dialect.origin_service:
            headers.append((dialect.origin_service, self._origin))
        if customer is not None:
            headers.append((dialect.customer, customer.name.encode()))
        return tuple(headers)

    def _service_of(self, request: Request, route: Route | None) -> str:
        """Return the service that a request is for.

        That is one of the services of its route, in proportion to their
        weights. Without a
        route it is the service that the host names, else the one beside this
        node.
        """
        if route is not None:
            return self._split.service_for(route, request.header(_KEY_HEADER))
        return self._named_service(_host_of(request)) or self.own_service()

    def _named_service(self, host: str) -> str:
        """Return the service that a host name refers to, or empty."""
        settings = self._core.fleet.settings
        label = host.split('.')[0]
        if settings.has_service(label):
            return settings.hosts.get(host, label)
        return settings.hosts.get(host, '')


def _host_of(request: Request) -> str:
    host = request.header(b'host').decode('latin-1').lower()
    return host.split(':')[0]


def _max_ms(route: Route | None, limits: Limits) -> int:
    """Return the longest time that a caller waits, in milliseconds."""
    if route is not None and route.deadline_ms:
        return route.deadline_ms
    return limits.deadline_ms


def _time_limit_s(requested: bytes, max_ms: int) -> float:
    """Return how long the caller waits, in seconds.

    Args:
        requested: The header with the time limit in milliseconds; may be empty
            or invalid.
        max_ms: The maximum, which also applies to requests without the header.
    """
    requested_ms = _requested_ms(requested)
    time_limit_ms = max_ms if requested_ms is None else requested_ms
    return min(time_limit_ms, max_ms) / _MS_PER_S


def _requested_ms(requested: bytes) -> int | None:
    """Return a time limit in milliseconds; None if missing or invalid."""
    whole, _, fraction = requested.partition(b'.')
    is_valid = whole.isdigit() and len(whole) <= _MAX_DEADLINE_DIGITS
    # A fraction of a millisecond is rounded down, as the caller waits no
    # longer than requested.
    is_valid = is_valid and (not fraction or fraction.isdigit())
    return int(whole) if is_valid else None


def _named_tenant(request: Request, header: str) -> str:
    """Return the tenant that a request names, truncated to a maximum."""
    named = request.header(header.lower().encode())
    return named[:_MAX_TENANT_BYTES].decode('latin-1') or _DEFAULT_TENANT


def _key_of(request: Request, tenant: str) -> str:
    """Return a hash of the idempotency key and its tenant, or empty.

    The tenant is hashed as well, so that a tenant does not receive the answer
    to the request of another tenant that chose the same key.
    """
    key = request.header(_KEY_HEADER)
    if not key:
        return ''
    scoped = b'%s\0%s' % (tenant.encode(), key)
    return hashlib.blake2b(scoped, digest_size=_KEY_HASH_BYTES).hexdigest()
