"""Messages about calls between nodes."""

from typing import Any

import attrs

Headers = tuple[tuple[bytes, bytes], ...]
# The value of `objective_ms` if the settings state no objective.
NO_OBJECTIVE = -1
# A node of an earlier build sends 0 as the revision of the messages. Since
# `BODY_REVISION` a node reads `BodyPart` and `RunLongCall`.
BODY_REVISION = 1
OWN_REVISION = BODY_REVISION


@attrs.frozen
class Hello:
    """Open a stream; refused if the cluster or the protocol differs.

    Attributes:
        cluster: The name of the sender's cluster.
        protocol: The version of the protocol.
        node: The name of the sender.
        incarnation: The incarnation of the sender; grows with each start.
    """

    cluster: str
    protocol: int
    node: str
    incarnation: int


@attrs.frozen
class Ping:
    """Ask the receiver to confirm that it is alive.

    Attributes:
        nonce: Returned in the `Pong`.
        revision: The newest revision of the messages that the sender reads.
    """

    nonce: int
    revision: int = OWN_REVISION


@attrs.frozen
class Pong:
    """Confirm a `Ping`; all messages sent before the ping have been read.

    Attributes:
        nonce: The nonce of the `Ping`.
        revision: The revision in the `Ping`, whose sender it is of.
    """

    nonce: int
    revision: int


@attrs.frozen
class RunCall:
    """Ask a target's node to run a call.

    Attributes:
        call: The call's id, the same in each attempt.
        attempt: The number of the attempt over all nodes, from 1.
        service: The service that is called.
        tenant: The tenant or class of the caller. Where customers have keys,
            the name of the customer; empty if none is known.
        budget_ms: Milliseconds left until the call's deadline.
        repeatable: Whether the call may run more than once.
        key: The caller's idempotency key, or empty.
        retried: Whether this call, or one above it, is a retry.
        may_move: Whether the sender can still offer the call to another
            target.
        accepts_slow_target: Whether the call should stay at this target even if
            the target is slow.
        settings_version: The newest settings version of the sender.
        priority: The rank of the call at an overloaded target; 0 is the
            highest.
        objective_ms: Milliseconds left until the answer should be there; 0
            if that time has passed, `NO_OBJECTIVE` if there is none.
        method: The method of the request.
        path: The path and query of the request, unchanged.
        headers: End-to-end headers, in order.
        body: The complete body.
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
    accepts_slow_target: bool
    settings_version: int
    priority: int
    objective_ms: int
    method: bytes
    path: bytes
    headers: Headers
    body: bytes

    @property
    def kind(self) -> str:
        """Return the method and the first path segment of the request."""
        path = self.path.partition(b'?')[0].decode('latin-1')
        first = path.strip('/').partition('/')[0]
        method = self.method.decode('latin-1')
        return f'{method} /{first}'


@attrs.frozen
class RunLongCall(RunCall):
    """Ask a target's node to run a call whose body came in parts.

    Its own `body` is the end of the body.

    Attributes:
        body_length: The length of the whole body, in bytes.
    """

    body_length: int


@attrs.frozen
class BodyPart:
    """A part of a long body, sent before the `RunLongCall` that has its end.

    Attributes:
        call: The call's id.
        attempt: The number of the attempt.
        start: The position of the part in the body, in bytes.
        body_length: The length of the whole body, in bytes.
        body: The part of the body.
    """

    call: str
    attempt: int
    start: int
    body_length: int
    body: bytes


@attrs.frozen
class RequestPart:
    """A part of a long body, as nodes of earlier builds send and read it.

    It is sent before the `RunCall` that has the end of the body.

    Attributes:
        call: The call's id.
        body: The part of the body.
    """

    call: str
    body: bytes


@attrs.frozen
class AnswerHead:
    """The head of a target's answer with the first part of the body.

    Attributes:
        call: The call's id.
        status: The HTTP status.
        headers: End-to-end headers, in order.
        body: The first part of the body.
        last: Whether the answer is complete.
        running: Load of the target, see `LoadReport`.
        waiting: Load of the target, see `LoadReport`.
        limit: Load of the target, see `LoadReport`.
        service_us: Load of the target, see `LoadReport`.
        retried: Whether a retry was spent on this call or on one below it.
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
    """A further part of the body of an answer.

    Attributes:
        call: The call's id.
        body: The part of the body.
        last: Whether the answer is complete.
    """

    call: str
    body: bytes
    last: bool


@attrs.frozen
class CallRefused:
    """Report that a call failed or was refused.

    Attributes:
        call: The call's id.
        reason: The value of a `Reason`.
        outcome: The value of an `Outcome`: whether the call may have run.
        running: Load of the target, see `LoadReport`.
        waiting: Load of the target, see `LoadReport`.
        limit: Load of the target, see `LoadReport`.
        service_us: Load of the target, see `LoadReport`.
        retried: Whether a retry was spent on this call or on one below it.
        reached_target: Whether the request was handed to the target, which
            may have refused it.
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


def _validate_key_pairs(_owner: Any, _field: Any, keys: Any) -> None:
    for used in keys:
        key, request = used
        if not isinstance(key, str) or not isinstance(request, str):
            raise TypeError('key and fingerprint must be strings')


@attrs.frozen
class KeysUsed:
    """Report the idempotency keys that were used at a node that stops.

    Attributes:
        keys: Pairs of a key and the fingerprint of the request that used it.
    """

    keys: tuple[tuple[str, str], ...] = attrs.field(
        validator=_validate_key_pairs
    )


@attrs.frozen
class CancelCall:
    """Cancel a call whose answer is no longer needed."""

    call: str


@attrs.frozen
class BodyCredit:
    """Allow a target's node to send more of an answer's body.

    Attributes:
        call: The call's id.
        octets: The number of bytes that were sent to the caller.
    """

    call: str
    octets: int


@attrs.frozen
class QueryCall:
    """Ask for the state of a call whose stream was lost.

    The node replies with the call's `AnswerHead` or `CallRefused`, or with
    `CallRunning`. If it does not know the call, it replies with `CallRefused`.
    The outcome is then `not-run` only if it would remember a call that it had
    run, and it refuses to run the call from then on.

    Attributes:
        call: The call's id.
        incarnation: The incarnation of the process that the call was sent to.
            One that was started later knows nothing of the call.
        age_ms: Milliseconds since the call was received from its caller.
    """

    call: str
    incarnation: int = 0
    age_ms: int = 0


@attrs.frozen
class CallRunning:
    """Report that a call still runs; its answer follows on this stream."""

    call: str
