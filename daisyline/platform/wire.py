"""The platform's names for headers, paths, kinds and words."""

import types
from http import HTTPStatus

from daisyline.protocol.dialect import Dialect
from daisyline.state.failures import Reason

READY_PATH = '/-/readiness'
NOTICE_PATH = '/-/rpc'
OBJECTS_PATH = '/-/objects'

# Most answers are shorter than this and are read in one piece.
_HELD_BYTES = 65_536

HEARTBEAT_CALL = 'instances.heartbeat'
LEAVE_CALL = 'instances.leave'

# An answer of 4xx says that a proper request is refused for good; these
# requests may be sent again.
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
    reserved_headers=frozenset(
        (b'deadline-ms', b'expected-instance', b'caller-service')
    ),
    statuses=_STATUSES,
    needs_route=True,
    retry_buffer_bytes=_HELD_BYTES,
    close_cancels_call=True,
)
