"""The effect that reports usage to the platform, and its reply."""

from collections.abc import Mapping

import attrs


@attrs.frozen
class ReportUsage:
    """Report the counts of a window; answered by a `UsageReply`.

    Attributes:
        call: Returned in the reply.
        holder: The name of the node that holds the duty.
        token: The fencing token of the holder.
        window: The number of the window.
        counts: The number of calls of each customer.
        expires_at: When the holder may no longer send the call, in monotonic
            seconds.
        expires_wall: The same by the time of day, in seconds since 1970.
    """

    call: str
    holder: str
    token: int
    window: int
    counts: Mapping[str, int]
    expires_at: float
    expires_wall: float


@attrs.frozen
class DropUnsentReports:
    """Drop the calls of a duty that are not sent yet, as a lease was lost."""


@attrs.frozen
class UsageReply:
    """The platform's answer to a `ReportUsage`.

    Attributes:
        call: The call that is answered.
        status: The HTTP status; 0 if there was no answer, so that the call
            may still be executed.
        retry_after_s: How long to wait before a retry, in seconds; 0 if the
            answer does not state it.
    """

    call: str
    status: int
    retry_after_s: float = 0
