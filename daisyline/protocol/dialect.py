"""Names of the HTTP headers that carry daisyline's own fields."""

from collections.abc import Mapping
from http import HTTPStatus

import attrs

from daisyline.protocol.http_messages import Head
from daisyline.state.failures import Reason

_LOAD_FIELDS = 4
_MAX_PACE_DIGITS = 9
_MAX_PACE_PERCENT = 100_000


@attrs.frozen
class Dialect:
    """Header names and HTTP rules of one front end.

    An empty name means that the front end has no such header. Names of headers
    that are read are in lower case.

    Attributes:
        request_id: The caller's id of a request; targets repeat it in their
            answers.
        caller_deadline_ms: How long the caller waits, in milliseconds.
        target_deadline_ms: How long the target may take, in milliseconds.
        call: The id of the call that is sent to a target; the target repeats
            it in the calls that it makes while it runs this one.
        expected_instance: The instance that must run a call; other instances
            decline it.
        origin_service: The service of the target beside the entry node.
        declined: Present in a target's answer if it did not run the call.
        signature: Present in each answer that a target has made.
        load: The target's load, in its answers.
        reserved_headers: Headers of callers that are not forwarded.
        statuses: HTTP statuses of refusals that differ from the defaults.
        needs_route: Whether a request without a matching route is refused. If
            not, its host names the service.
        retry_buffer_bytes: Answers are buffered up to this size before their
            first byte is sent, so that a call whose answer breaks off earlier
            can still be retried; 0 turns the buffer off.
        close_cancels_call: Whether a target cancels a call when its connection
            is closed. If not, the node only ends its sending side and waits
            for the target to end the call.
    """

    request_id: bytes = b''
    caller_deadline_ms: bytes = b'x-deadline-ms'
    target_deadline_ms: bytes = b'Daisyline-Deadline-Ms'
    call: bytes = b'Daisyline-Call'
    expected_instance: bytes = b''
    origin_service: bytes = b''
    declined: bytes = b''
    signature: bytes = b''
    load: bytes = b''
    reserved_headers: frozenset[bytes] = frozenset()
    statuses: Mapping[Reason, HTTPStatus] = attrs.field(factory=dict)
    needs_route: bool = False
    retry_buffer_bytes: int = 0
    close_cancels_call: bool = False


def parse_pace(head: Head, dialect: Dialect) -> int:
    """Return a target's current service time, in percent of its normal one.

    The load header has the form `running,waiting,slots,percent`. The result is
    0 if the header is absent or has another form.
    """
    load = head.header(dialect.load) if dialect.load else None
    if load is None:
        return 0
    fields = load.split(b',')
    pace = fields[-1].strip()
    if len(fields) != _LOAD_FIELDS or not pace.isdigit():
        return 0
    return min(int(pace[:_MAX_PACE_DIGITS]), _MAX_PACE_PERCENT)
