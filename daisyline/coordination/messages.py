"""Messages that nodes exchange about calls."""

from typing import Any

import attrs

Headers = tuple[tuple[bytes, bytes], ...]
# A call for which no time is stated within which its answer is wanted.
NO_OBJECTIVE = -1


@attrs.frozen
class Hello:
    """Open a stream; a node of another cluster or protocol is turned away."""

    cluster: str
    protocol: int
    node: str
    incarnation: int


@attrs.frozen
class Ping:
    """Ask the other end to show that it is there.

    Attributes:
        nonce: Comes back in the `Pong`.
        settings_version: The newest settings that the sender holds.
    """

    nonce: int
    settings_version: int


@attrs.frozen
class Pong:
    """Answer a `Ping`; everything sent before it has been read."""

    nonce: int
    settings_version: int


@attrs.frozen
class Run:
    """Ask a target's node to run a call.

    Attributes:
        call: The call's id, the same in each attempt.
        attempt: 1 for the first, counted over all nodes tried.
        service: The service called.
        tenant: The tenant or class of the caller.
        budget_ms: Milliseconds left until the call's deadline.
        repeatable: Whether the call may be run more than once.
        key: The caller's idempotency key, or empty.
        retried: Whether this call, or one above it, is a retry.
        may_move: Whether the sender can still offer it to another target.
        stays_if_slow: Whether a slow target is better than another one.
        settings_version: The newest settings that the sender holds.
        priority: Its rank when the target has no room for all; 0 goes first.
        objective_ms: Milliseconds left until the time within which an answer
            is wanted; 0 if it has passed, `NO_OBJECTIVE` if none is stated.
        method: The request's method.
        path: The request's target, byte for byte.
        headers: End-to-end headers, in order.
        body: The whole body.
    """

    call: str
    attempt: int
    service: str
    tenant: str
    budget_ms: int
    repeatable: bool
    key: str
    retried: bool
    may_move: bool
    stays_if_slow: bool
    settings_version: int
    priority: int
    objective_ms: int
    method: bytes
    path: bytes
    headers: Headers
    body: bytes


@attrs.frozen
class Answer:
    """The head of a target's answer, with the first part of its body.

    Attributes:
        call: The call's id.
        status: The HTTP status.
        headers: End-to-end headers, in order.
        body: The body's first part.
        last: Whether the body ends here.
        running: Load of the target, see `LoadReport`.
        waiting: Load of the target, see `LoadReport`.
        limit: Load of the target, see `LoadReport`.
        service_us: Load of the target, see `LoadReport`.
        retried: Whether a retry was spent on this call or below it.
        pace_percent: Load of the target, see `LoadReport`.
    """

    call: str
    status: int
    headers: Headers
    body: bytes
    last: bool
    running: int
    waiting: int
    limit: int
    service_us: int
    retried: bool = False
    pace_percent: int = 100


@attrs.frozen
class AnswerPart:
    """A further part of an answer's body."""

    call: str
    body: bytes
    last: bool


@attrs.frozen
class Refused:
    """Say that a call gets no whole answer.

    Attributes:
        call: The call's id.
        reason: A `Reason`.
        outcome: An `Outcome`: whether the target may have run the call.
        running: Load of the target, see `LoadReport`.
        waiting: Load of the target, see `LoadReport`.
        limit: Load of the target, see `LoadReport`.
        service_us: Load of the target, see `LoadReport`.
        retried: Whether a retry was spent on this call or below it.
        reached_target: Whether the target was handed the call, which it may have
            turned away.
        pace_percent: Load of the target, see `LoadReport`.
    """

    call: str
    reason: str
    outcome: str
    running: int = 0
    waiting: int = 0
    limit: int = 1
    service_us: int = 0
    retried: bool = False
    reached_target: bool = False
    pace_percent: int = 100


def _are_texts(_owner: Any, _field: Any, keys: Any) -> None:
    for used in keys:
        key, request = used
        if not isinstance(key, str) or not isinstance(request, str):
            raise TypeError('a key and a fingerprint are texts')


@attrs.frozen
class KeysUsed:
    """Say which idempotency keys were used at a node that stops.

    Attributes:
        keys: Each key with the fingerprint of the request that used it.
    """

    keys: tuple[tuple[str, str], ...] = attrs.field(validator=_are_texts)


@attrs.frozen
class Cancel:
    """Say that nobody waits for a call any more."""

    call: str


@attrs.frozen
class Credit:
    """Allow a target's node to send more of an answer's body.

    Attributes:
        call: The call's id.
        octets: How many bytes the caller has taken.
    """

    call: str
    octets: int


@attrs.frozen
class Ask:
    """Ask what became of a call whose stream was lost.

    The node answers with the call's `Answer` or `Refused`, with `Running`,
    or with `Refused` and the outcome `not-run`, and from then on refuses to
    run the call.
    """

    call: str


@attrs.frozen
class Running:
    """Say that a call still runs; its answer follows on this stream."""

    call: str
