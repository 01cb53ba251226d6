"""The platform's paths, calls, header names and HTTP statuses."""

import types
from http import HTTPStatus

from daisyline.protocol.dialect import Dialect
from daisyline.state.failures import Reason

READY_PATH = '/-/readiness'
NOTICE_PATH = '/-/rpc'
OBJECTS_PATH = '/-/objects'
USAGE_PATH = b'/usage'

ERA_HEADER = b'store-era'
HOLDER_HEADER = b'Duty-Holder'
FENCE_HEADER = b'Fencing-Token'

# An answer that breaks off within this size can still be retried. Most answers
# are shorter and are received in one read.
_RETRY_BUFFER_BYTES = 65_536

HEARTBEAT_CALL = 'instances.heartbeat'
LEAVE_CALL = 'instances.leave'

# A status of 4xx tells callers that a valid request is refused permanently;
# requests refused for these reasons may be sent again.
_STATUSES = types.MappingProxyType(
    {
        Reason.QUARANTINED: HTTPStatus.SERVICE_UNAVAILABLE,
        Reason.DUPLICATE: HTTPStatus.SERVICE_UNAVAILABLE,
    }
)

DIALECT = Dialect(
    request_id=b'attempt-id',
    caller_deadline_ms=b'deadline-ms',
    target_deadline_ms=b'Deadline-Ms',
    call=b'',
    expected_instance=b'Expected-Instance',
    origin_service=b'Caller-Service',
    declined=b'not-executed',
    signature=b'server-signature',
    load=b'server-load',
    named_limit=b'server-limit',
    leaving=b'server-leaving',
    customer_key=b'authorization',
    customer=b'Tenant',
    reserved_headers=frozenset(
        (b'deadline-ms', b'expected-instance', b'caller-service', b'tenant')
    ),
    statuses=_STATUSES,
    needs_route=True,
    retry_buffer_bytes=_RETRY_BUFFER_BYTES,
    close_cancels_call=True,
)
