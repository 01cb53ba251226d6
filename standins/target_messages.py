"""What a stand-in target is told, and what it asks to be done."""

from typing import Any

import attrs


@attrs.frozen
class ConnectionOpened:
    """A connection to the target was made."""

    connection: Any


@attrs.frozen
class ConnectionClosed:
    """A connection to the target ended."""

    connection: Any


@attrs.frozen
class CallReceived:
    """A call came.

    Attributes:
        token: Names this run of the call in what follows.
        call_id: The `X-Call-Id` header, or empty.
        method: The request's method.
        path: The request's path.
        budget_ms: Milliseconds until the call's deadline, if it said so.
    """

    token: Any
    call_id: str
    method: str
    path: str
    budget_ms: int | None = None


@attrs.frozen
class LoadRequested:
    """A request for the load came."""

    token: Any


@attrs.frozen
class CallCancelled:
    """Nobody waits for a call any more."""

    token: Any


@attrs.frozen
class WaitEnded:
    """The time of a `Wait` is over."""

    token: Any


@attrs.frozen
class ChainedCallEnded:
    """A call that the target made in turn was answered.

    Attributes:
        token: The call that it was made for.
        status: The HTTP status; 0 if no answer came.
    """

    token: Any
    status: int


@attrs.frozen
class Drain:
    """The target is told to leave: it finishes what it runs and stops."""


@attrs.frozen
class Wait:
    """Ask for a `WaitEnded` after some seconds."""

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
    """Call a service in turn through the node beside the target."""

    token: Any
    path: str


@attrs.frozen
class Crash:
    """End the process at once."""


@attrs.frozen
class Stop:
    """End the process in order: nothing runs any more."""
