"""Refusals as callers read them."""

import json
import types
from http import HTTPStatus

from daisyline.coordination.messages import Headers
from daisyline.state.failures import Failure, Outcome, Reason

_STATUSES = types.MappingProxyType(
    {
        Reason.BAD_REQUEST: HTTPStatus.BAD_REQUEST,
        Reason.TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        Reason.NO_SERVICE: HTTPStatus.NOT_FOUND,
        Reason.DUPLICATE: HTTPStatus.CONFLICT,
        Reason.QUARANTINED: HTTPStatus.UNPROCESSABLE_ENTITY,
        Reason.DEADLINE: HTTPStatus.GATEWAY_TIMEOUT,
        Reason.NODE_LOST: HTTPStatus.BAD_GATEWAY,
        Reason.TARGET_LOST: HTTPStatus.BAD_GATEWAY,
        Reason.SILENT: HTTPStatus.BAD_GATEWAY,
    }
)


def status_of(failure: Failure) -> int:
    """Return the HTTP status of a refusal; overload and the like are 503."""
    return _STATUSES.get(failure.reason, HTTPStatus.SERVICE_UNAVAILABLE)


def headers_of(failure: Failure, call: str) -> Headers:
    """Return the headers by which programs tell a refusal from an answer."""
    headers = [
        (b'Content-Type', b'application/json'),
        (b'Daisyline-Outcome', failure.outcome.value.encode()),
        (b'Daisyline-Reason', failure.reason.value.encode()),
        (b'Daisyline-Call', call.encode()),
    ]
    if failure.outcome == Outcome.NOT_RUN:
        headers.append((b'Retry-After', b'1'))
    return tuple(headers)


def body_of(failure: Failure) -> bytes:
    """Return the body of a refusal."""
    said = {
        'outcome': failure.outcome.value,
        'reason': failure.reason.value,
        'detail': failure.detail,
    }
    return json.dumps(said).encode()
