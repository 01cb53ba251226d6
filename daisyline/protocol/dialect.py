"""The names that daisyline's own values have in HTTP headers."""

from collections.abc import Mapping
from http import HTTPStatus

import attrs

from daisyline.protocol.http_messages import Head
from daisyline.state.failures import Reason

_LOAD_FIGURES = 4
_MAX_DIGITS = 9
_MOST_PERCENT = 100_000


@attrs.frozen
class Dialect:
    """How one front end spells what daisyline says to callers and targets.

    A name that is empty means that the front end has no such header. Names
    that are looked up are in small letters.

    Attributes:
        request_id: The caller's id of a request; a target sends it back.
        caller_deadline_ms: How long the caller waits, in milliseconds.
        target_deadline_ms: How long the target may take, in milliseconds.
        call: Names a call to the target, for the calls that it makes in turn.
        expected: The instance that must run a call; others decline it.
        origin: The service beside the node where a request came in.
        declined: Stands in a target's answer if it didn't run the call.
        signature: Stands in each answer that a target has made.
        load: The target's load, in its answers.
        reserved: Headers of callers that are not passed on.
        statuses: Statuses of refusals that differ from the usual ones.
        needs_route: Whether a request that no route fits is refused; else its
            host names the service.
        held_bytes: An answer is held back while it is shorter, so that one
            which breaks off can still be asked for elsewhere; 0 if none is.
        closing_stops: Whether a target stops a call once its connection is
            closed; else it is told by the end of the stream and waited for.
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
    """Return how long work takes at a target now, in percent of the usual.

    Its load stands in the answer as `running,waiting,slots,percent`; 0 means
    that it doesn't say, or not in this form.
    """
    said = head.header(dialect.load) if dialect.load else None
    if said is None:
        return 0
    figures = said.split(b',')
    pace = figures[-1].strip()
    if len(figures) != _LOAD_FIGURES or not pace.isdigit():
        return 0
    return min(int(pace[:_MAX_DIGITS]), _MOST_PERCENT)
