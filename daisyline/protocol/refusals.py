"""Encodes refusals as HTTP answers to callers."""

import json
import types
from http import HTTPStatus

from daisyline.coordination.calls.messages import Headers
from daisyline.protocol.dialect import Dialect
from daisyline.state.failures import Failure, Outcome, Reason

_STATUSES = types.MappingProxyType(
    {
        Reason.BAD_REQUEST: HTTPStatus.BAD_REQUEST,
        Reason.TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        Reason.UNAUTHORIZED: HTTPStatus.UNAUTHORIZED,
        Reason.NO_SERVICE: HTTPStatus.NOT_FOUND,
        Reason.DUPLICATE: HTTPStatus.CONFLICT,
        Reason.QUARANTINED: HTTPStatus.UNPROCESSABLE_ENTITY,
        Reason.DEADLINE: HTTPStatus.GATEWAY_TIMEOUT,
        Reason.NODE_LOST: HTTPStatus.BAD_GATEWAY,
        Reason.TARGET_LOST: HTTPStatus.BAD_GATEWAY,
        Reason.SILENT: HTTPStatus.BAD_GATEWAY,
    }
)


# With these statuses callers can't tell whether the call ran.
_OUTCOME_UNKNOWN_STATUSES = frozenset(
    (HTTPStatus.BAD_GATEWAY, HTTPStatus.GATEWAY_TIMEOUT)
)


def status_of(failure: Failure, dialect: Dialect) -> int:
    """Return the HTTP status of a refusal.

    Overload and similar reasons give 503. A call that has not run never gives
    502 or 504 but 503, as callers may then retry it. A call that may have run
    never gives 503 but 502 or 504.
    """
    status = dialect.statuses.get(failure.reason) or _STATUSES.get(
        failure.reason, HTTPStatus.SERVICE_UNAVAILABLE
    )
    if failure.outcome == Outcome.NOT_RUN:
        return (
            HTTPStatus.SERVICE_UNAVAILABLE
            if status in _OUTCOME_UNKNOWN_STATUSES
            else status
        )
    if status == HTTPStatus.SERVICE_UNAVAILABLE:
        return HTTPStatus.BAD_GATEWAY
    return status


def headers_of(failure: Failure, call: str) -> Headers:
    """Return the headers that distinguish a refusal from a target's answer."""
    headers = [
        (b'Content-Type', b'application/json'),
        (b'Daisyline-Outcome', failure.outcome.value.encode()),
        (b'Daisyline-Reason', failure.reason.value.encode()),
        (b'Daisyline-Call', call.encode()),
    ]
    if failure.reason == Reason.UNAUTHORIZED:
        # Sending the request again is of no use without another key.
        headers.append((b'WWW-Authenticate', b'Bearer'))
    elif failure.outcome == Outcome.NOT_RUN:
        headers.append((b'Retry-After', b'%d' % failure.retry_after_s))
    return tuple(headers)


def body_of(failure: Failure) -> bytes:
    """Return the body of a refusal."""
    fields = {
        'outcome': failure.outcome.value,
        'reason': failure.reason.value,
        'detail': failure.detail,
    }
    return json.dumps(fields).encode()
