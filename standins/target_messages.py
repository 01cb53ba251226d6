"""The messages that the model of a target handles, and its effects."""

import hashlib
from typing import Any

import attrs

# The digest of the body as its caller sent it.
DIGEST_HEADER = 'X-Body-Digest'


@attrs.frozen
class ConnectionOpened:
    """A connection to the target was accepted."""

    connection: Any


@attrs.frozen
class ConnectionClosed:
    """A connection to the target was closed."""

    connection: Any


@attrs.frozen
class CallReceived:
    """A call was received.

    Attributes:
        token: Identifies this run of the call in later messages and effects.
        call_id: The `X-Call-Id` header; empty if there is none.
        method: The request's method.
        path: The request's path.
        budget_ms: Milliseconds until the call's deadline; `None` if unknown.
        is_body_changed: Whether the body is not the one that its caller sent.
    """

    token: Any
    call_id: str
    method: str
    path: str
    budget_ms: int | None = None
    is_body_changed: bool = False


@attrs.frozen
class LoadRequested:
    """A request for the load was received."""

    token: Any


@attrs.frozen
class CallCancelled:
    """The connection of a call was closed, so nobody awaits its answer."""

    token: Any


@attrs.frozen
class WaitEnded:
    """The time of a `Wait` has elapsed."""

    token: Any


@attrs.frozen
class ChainedCallEnded:
    """A chained call was answered or lost.

    Attributes:
        token: The call that the chained call was made for.
        status: The HTTP status; 0 if there was no answer.
    """

    token: Any
    status: int


@attrs.frozen
class Drain:
    """The target is asked to leave: it finishes its calls and stops."""


@attrs.frozen
class Wait:
    """Request a `WaitEnded` after some seconds."""

    token: Any
    seconds: float


@attrs.frozen
class Reply:
    """Answer a call or a probe."""

    token: Any
    status: int
    content: dict[str, Any]


@attrs.frozen
class CallService:
    """Make a chained call through the node beside the target."""

    token: Any
    path: str


@attrs.frozen
class Crash:
    """Kill the process at once."""


@attrs.frozen
class Stop:
    """Stop the process in order, as no call is running."""


def digest_of(body: bytes) -> str:
    """Return the digest of a body, as `DIGEST_HEADER` states it."""
    return hashlib.blake2b(body).hexdigest()
