"""What happens to calls, and what is done about it."""

import math
from typing import Any

import attrs

from daisyline.coordination.messages import Headers, Run
from daisyline.state.failures import Failure
from daisyline.state.routes import Route
from daisyline.state.targets import Target


@attrs.frozen
class Arrived:
    """A whole request has come from a caller.

    Attributes:
        call: A new id for it.
        service: The service it is for.
        tenant: The tenant or class of its caller.
        method: The request's method.
        path: The request's target, byte for byte.
        headers: End-to-end headers, in order.
        body: The whole body.
        key: The caller's idempotency key, or empty.
        deadline: When the caller gives up, in monotonic seconds.
        parent: The call that a target was serving when it made this one.
        retried: Whether a retry was spent on a call above this one.
        route: The route that led it here, if the settings list routes.
        objective: When an answer is wanted, in monotonic seconds; infinity
            if no time is stated.
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


@attrs.frozen
class Unroutable:
    """A request came that leads to no service."""

    call: str
    failure: Failure


@attrs.frozen
class FromNode:
    """A message came from another node, or from this node to itself."""

    node: str
    message: object


@attrs.frozen
class StreamLost:
    """The stream to a node broke or went silent after it was open."""

    node: str


@attrs.frozen
class Undelivered:
    """A message was never handed to the network.

    Attributes:
        node: Where it should have gone.
        message: The message.
    """

    node: str
    message: object


@attrs.frozen
class CallerLost:
    """The caller of a call has gone away."""

    call: str


@attrs.frozen
class CallerTook:
    """The caller has taken a part of its answer's body."""

    call: str
    octets: int


@attrs.frozen
class ParentEnded:
    """A call that a target was serving has ended or was cancelled."""

    parent: str


@attrs.frozen
class PeerLost:
    """A stream that another node had opened to this one is gone."""

    node: str


@attrs.frozen
class Paused:
    """This process stood still; what waits in its sockets may be old.

    Attributes:
        gap_s: For how long, in seconds.
    """

    gap_s: float


@attrs.frozen
class TargetHead:
    """The target began to answer a call.

    Attributes:
        call: The call's id.
        status: The HTTP status.
        headers: End-to-end headers, in order.
        body: The body's first part.
        last: Whether the answer is whole; its slot is then free.
        pace_percent: How long work takes at the target now; 0 if it doesn't
            say.
    """

    call: str
    status: int
    headers: Headers
    body: bytes
    last: bool
    pace_percent: int = 0


@attrs.frozen
class TargetPart:
    """The target sent a further part; after the last its slot is free."""

    call: str
    body: bytes
    last: bool


@attrs.frozen
class TargetFailed:
    """The target's answer will not be whole; its slot is free.

    Attributes:
        call: The call's id.
        sent: Whether a byte of the request was handed to the network.
        crashed: Whether the target closed the connection by itself.
        detail: A short sentence for people.
        declined: Whether the target said that it did not run the call.
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
    """Tell the caller why it gets no answer, and whether its call ran."""

    call: str
    failure: Failure


@attrs.frozen
class CutCaller:
    """Break the caller's connection, as its answer can't be completed."""

    call: str
    failure: Failure


@attrs.frozen
class Reply:
    """Send a message on the stream that a node opened to this one."""

    node: str
    message: Any


@attrs.frozen
class StartTarget:
    """Send a call to the target; it holds a slot from now on."""

    call: str
    run: Run
    budget_s: float


@attrs.frozen
class AbortTarget:
    """Tell the target that nobody waits; the slot is held until it stops."""

    call: str


@attrs.frozen
class HoldTarget:
    """Stop reading the target's answer until the caller catches up."""

    call: str


@attrs.frozen
class ResumeTarget:
    """Read the target's answer again."""

    call: str


@attrs.frozen
class TargetAnnounced:
    """The target beside this node said what it is, or has lapsed.

    Attributes:
        target: None once it has not announced itself for its lease.
        cold_s: For how long it says that it stays cold, in seconds; 0 if it
            says so anew when it is warm.
        sequence: Grows with each announcement of one start; 0 if the target
            doesn't count them.
    """

    target: Target | None
    cold_s: float = 0
    sequence: int = 0


@attrs.frozen
class TargetLeaves:
    """An instance beside this node said that it leaves.

    Attributes:
        instance: The instance.
        started_ms: When it started; 0 if it doesn't say.
    """

    instance: str
    started_ms: int = 0
