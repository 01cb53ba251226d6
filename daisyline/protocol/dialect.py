"""Names of the HTTP headers that carry daisyline's own fields."""

import re
from collections.abc import Mapping
from http import HTTPStatus

import attrs

from daisyline.protocol.http_messages import Head
from daisyline.state.failures import Reason

_LOAD_FIELDS = 4
_MAX_PACE_DIGITS = 9
_MAX_PACE_PERCENT = 100_000
# A target that takes hardly any calls gets one in so many seconds, as only its
# answers tell when the limit ends.
_MIN_LIMIT_PER_S = 0.25
# A limit of this many calls a second or more has no effect.
_MAX_LIMIT_PER_S = 1_000_000
_MAX_LIMIT_TEXT = 32
_DECIMAL_NUMBER = re.compile(rb'[0-9]{1,24}(\.[0-9]{0,24})?|\.[0-9]{1,24}')


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
        named_limit: How many calls a second the target takes from all nodes
            together, in its answers while it is in need.
        leaving: Present, with the value 1, in the answers of a target that is
            about to stop.
        customer_key: The caller's key, as `Bearer KEY`. It is not forwarded
            where customers have keys.
        customer: The name of the customer that a call is from, for the target.
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
    named_limit: bytes = b''
    leaving: bytes = b''
    customer_key: bytes = b'authorization'
    customer: bytes = b'Daisyline-Tenant'
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


def named_limit_text(head: Head, dialect: Dialect) -> bytes:
    """Return the limit that an answer names, shortened; empty if none."""
    text = head.header(dialect.named_limit) if dialect.named_limit else None
    return b'' if text is None else text.strip()[:_MAX_LIMIT_TEXT] or b'?'


def parse_limit(text: bytes) -> float | None:
    """Return the calls a second that a limit allows.

    Args:
        text: The limit as an answer names it; empty if it names none.

    Returns:
        The rate, at least `_MIN_LIMIT_PER_S`; 0 without a limit; None if the
        text is no decimal number, or negative.
    """
    if not text:
        return 0
    if _DECIMAL_NUMBER.fullmatch(text) is None:
        return None
    return min(max(float(text), _MIN_LIMIT_PER_S), _MAX_LIMIT_PER_S)


def is_leaving(head: Head, dialect: Dialect) -> bool:
    """Return whether an answer says that its target is about to stop."""
    said = head.header(dialect.leaving) if dialect.leaving else None
    return said is not None and said.strip() == b'1'
