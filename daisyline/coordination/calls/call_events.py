"""Events that concern calls, and effects on callers and targets."""

import math
from typing import Any

import attrs

from daisyline.coordination.calls.messages import Headers, RunCall
from daisyline.state.failures import Failure, Reason
from daisyline.state.routes import Route
from daisyline.state.targets import Target

MEMORY_SHORT = Failure(Reason.OVERLOADED, detail='memory is short')


@attrs.frozen
class RequestReceived:
    """A complete request was received from a caller.

    Attributes:
        call: The new id of the call.
        service: The service that is called.
        tenant: The tenant or class of the caller. Where customers have keys,
            the name of the customer; empty if none is known.
        method: The method of the request.
        path: The path and query of the request, unchanged.
        headers: End-to-end headers, in order.
        body: The complete body.
        key: The caller's idempotency key, or empty.
        deadline: When the caller gives up, in monotonic seconds.
        parent: The call that a target was serving when it made this one, or
            empty.
        retried: Whether a retry was spent on a call above this one.
        route: The route that matched the request; None if the settings list
            no routes.
        objective: When the answer should be there, in monotonic seconds;
            infinity if the settings state no objective.
        priority: The priority of the customer under load; None if the route's
            priority applies.
    """

    call: str
    service: str
    tenant: str
    method: bytes
    path: bytes
    headers: Headers
    body: bytes
    key: str
    deadline: float
    parent: str = ''
    retried: bool = False
    route: Route | None = None
    objective: float = math.inf
    priority: int | None = None


@attrs.frozen
class RequestUnroutable:
    """A request was received that cannot be routed to a service."""

    call: str
    failure: Failure


@attrs.frozen
class CallMessageReceived:
    """A message was received from another node or from this node itself."""

    node: str
    message: object


@attrs.frozen
class CallBodyRefused:
    """The body of a call from another node was not read as a whole.

    Attributes:
        node: The entry node of the call.
        call: The call's id.
        failure: Why the call is refused as not run.
    """

    node: str
    call: str
    failure: Failure = MEMORY_SHORT


@attrs.frozen
class StreamLost:
    """The open stream to a node was closed or timed out.

    Attributes:
        node: The node.
        incarnation: The incarnation of the process that the stream led to.
    """

    node: str
    incarnation: int = 0


@attrs.frozen
class MessageUndelivered:
    """A message was never handed to the network.

    Attributes:
        node: The intended receiver.
        message: The message.
    """

    node: str
    message: object


@attrs.frozen
class ParentCallEnded:
    """A call ended or was cancelled; calls made on its behalf end too."""

    parent: str


@attrs.frozen
class InboundStreamLost:
    """A stream that another node had opened to this one was closed.

    Attributes:
        node: The other node.
        calls: The calls in progress that came on the stream, whose replies
            can't be sent any more; None for all calls of the node.
        is_last: Whether no other stream of the node is open.
    """

    node: str
    calls: frozenset[str] | None = None
    is_last: bool = True


@attrs.frozen
class ProcessPaused:
    """This process was suspended; unread input may be outdated.

    Attributes:
        gap_s: The length of the suspension, in seconds.
    """

    gap_s: float


@attrs.frozen
class TargetAnswerHead:
    """The head of a target's answer was received.

    Attributes:
        call: The call's id.
        status: The HTTP status.
        headers: End-to-end headers, in order.
        body: The first part of the body.
        last: Whether the answer is complete; the slot is then free.
        pace_percent: The present duration of work at the target in percent
            of its usual duration; 0 if the target reports none.
    """

    call: str
    status: int
    headers: Headers
    body: bytes
    last: bool
    pace_percent: int = 0


@attrs.frozen
class TargetAnswerPart:
    """A further part of a target's answer was received.

    Attributes:
        call: The call's id.
        body: The part of the body.
        last: Whether the answer is complete; the slot is then free.
    """

    call: str
    body: bytes
    last: bool


@attrs.frozen
class TargetCallFailed:
    """A target will not complete its answer to a call; the slot is free.

    Attributes:
        call: The call's id.
        sent: Whether any byte of the request was handed to the network.
        crashed: Whether the target closed the connection.
        detail: A short description for logs and error messages.
        declined: Whether the target reported that it did not run the call.
    """

    call: str
    sent: bool
    crashed: bool
    detail: str
    declined: bool = False


@attrs.frozen
class AnswerCaller:
    """Send the head and first part of an answer to the caller."""

    call: str
    status: int
    headers: Headers
    body: bytes
    last: bool


@attrs.frozen
class AnswerCallerPart:
    """Send a further part of an answer to the caller."""

    call: str
    body: bytes
    last: bool


@attrs.frozen
class RefuseCaller:
    """Refuse a call: send the caller the reason and whether the call ran."""

    call: str
    failure: Failure


@attrs.frozen
class AbortCaller:
    """End an answer that has begun and cannot be completed.

    The caller gets a refusal if it was sent nothing of the answer so far;
    otherwise its connection is reset.
    """

    call: str
    failure: Failure


@attrs.frozen
class ExpireAnswer:
    """Refuse an answer whose deadline has passed, if none of it was sent."""

    call: str


@attrs.frozen
class SendReply:
    """Send a message on the stream that a node opened to this one."""

    node: str
    message: Any


@attrs.frozen
class StartTargetCall:
    """Send a call to the target; the call occupies a slot from now on.

    Attributes:
        call: The call's id.
        run: The request.
        budget_s: Seconds until the call's deadline.
    """

    call: str
    run: RunCall
    budget_s: float


@attrs.frozen
class AbortTargetCall:
    """Cancel a call at the target; its slot is free once the target stops."""

    call: str


@attrs.frozen
class PauseTargetRead:
    """Stop reading a target's answer until the caller has received more."""

    call: str


@attrs.frozen
class ResumeTargetRead:
    """Continue to read a target's answer."""

    call: str


@attrs.frozen
class TargetAnnounced:
    """The target beside this node announced itself, or its lease expired.

    Attributes:
        target: The target; None if its lease expired.
        cold_s: How long the target remains cold, in seconds; 0 if it sends
            another announcement when it is warm.
        sequence: Increases with each announcement between two starts of the
            target; 0 if the target does not number them.
    """

    target: Target | None
    cold_s: float = 0
    sequence: int = 0


@attrs.frozen
class TargetLeaving:
    """An instance beside this node announced that it is shutting down.

    Attributes:
        instance: The instance.
        started_ms: The start time of the instance, in Unix milliseconds; 0
            if it reports none.
    """

    instance: str
    started_ms: int = 0
