"""The state of a call at its entry node, and decisions that need only that."""

import hashlib
import math
from collections.abc import Sequence

import attrs

from daisyline.coordination import events as log
from daisyline.coordination import internal_effects
from daisyline.coordination.calls import call_events as ev
from daisyline.coordination.calls.messages import NO_OBJECTIVE, RunCall
from daisyline.coordination.calls.retries import MAX_ATTEMPTS, Retry
from daisyline.coordination.routing.policies import Candidate
from daisyline.coordination.routing.target_table import (
    VersionShares,
    weight_by_share,
)
from daisyline.state.failures import Failure, Outcome, Reason
from daisyline.state.routes import DEFAULT_PRIORITY

_MS_PER_S = 1000
_DIGEST_BYTES = 8
_DIGESTS = 1 << (8 * _DIGEST_BYTES)

# Refusals after which a call with an idempotency key may go to another target.
# The refusing node records the key and from then on reports the outcome of
# calls with that key as unknown.
REROUTED_REASONS = frozenset(
    (Reason.LEAVING, Reason.ZONE_OUT, Reason.VERSION_STOPPED)
)

# Failures after which a call is not offered to the same target again.
EXCLUDING_REASONS = frozenset(
    (
        Reason.NODE_LOST,
        Reason.TARGET_LOST,
        Reason.LEAVING,
        Reason.ZONE_OUT,
        Reason.VERSION_STOPPED,
        Reason.NO_TARGET,
    )
)


@attrs.define
class EntryCall:
    """A call that this node received from its caller and has to answer.

    Attributes:
        request: The request.
        received_at: When the request was received, in monotonic seconds.
        attempt: The number of the attempt in progress, from 1.
        node: The node that the call was last sent to.
        tried: The nodes that the call was sent to.
        excluded_nodes: The tried nodes that failed for one of
            `EXCLUDING_REASONS`.
        retried: Whether a retry was spent on this call, on a call above it
            or on one below it.
        outcome: `UNKNOWN` once any attempt may have run.
        head_sent: Whether the head of the answer was passed on to the caller's
            connection.
        awaiting_outcome: Whether `node` was asked for the state of the call
            and has not replied yet.
        may_move: Whether the call could still be offered to another target.
        is_keyed: Whether the call must not be repeated and has an idempotency
            key.
        targets_reached: The number of targets that the request was handed to.
        has_lost_target: Whether a target may have crashed while it ran the
            call.
    """

    request: ev.RequestReceived
    received_at: float
    attempt: int = 1
    node: str = ''
    tried: frozenset[str] = frozenset()
    excluded_nodes: frozenset[str] = frozenset()
    retried: bool = False
    outcome: Outcome = Outcome.NOT_RUN
    head_sent: bool = False
    awaiting_outcome: bool = False
    may_move: bool = False
    is_keyed: bool = False
    targets_reached: int = 0
    has_lost_target: bool = False

    @property
    def max_targets(self) -> int:
        """Return the number of targets that may be handed the request."""
        route = self.request.route
        return MAX_ATTEMPTS if route is None else route.targets


def make_run_call(
    call: EntryCall, repeatable: bool, settings_version: int, now: float
) -> RunCall:
    """Return the message that asks a node to run a call."""
    request = call.request
    route = request.route
    return RunCall(
        call=request.call,
        attempt=call.attempt,
        service=request.service,
        tenant=request.tenant,
        budget_ms=max(0, int((request.deadline - now) * _MS_PER_S)),
        repeatable=repeatable,
        key=request.key,
        retried=call.retried,
        may_move=call.may_move,
        accepts_slow_target=route is not None and route.bulky,
        settings_version=settings_version,
        priority=_priority_of(request),
        objective_ms=_objective_ms(request, now),
        method=request.method,
        path=request.path,
        headers=request.headers,
        body=request.body,
    )


def _priority_of(request: ev.RequestReceived) -> int:
    if request.priority is not None:
        return request.priority
    return DEFAULT_PRIORITY if request.route is None else request.route.priority


def _objective_ms(request: ev.RequestReceived, now: float) -> int:
    if math.isinf(request.objective):
        return NO_OBJECTIVE
    return max(0, int((request.objective - now) * _MS_PER_S))


def is_possible_crash(failure: Failure) -> bool:
    """Return whether a call may have crashed the target that it was lost on."""
    may_have_run = failure.outcome == Outcome.UNKNOWN
    return may_have_run and failure.reason == Reason.TARGET_LOST


def no_retrial_node(_request: ev.RequestReceived) -> str:
    """Return no node; the default while a node has no quarantine."""
    return ''


def is_never_suspect(_request: ev.RequestReceived) -> bool:
    """Return False; the default while a node has no quarantine."""
    return False


def can_revisit_targets(call: EntryCall) -> bool:
    """Return whether targets that only refused a call may be tried again."""
    return call.tried != call.excluded_nodes and not call.is_keyed


def parent_retry_effects(
    call: EntryCall, spent: bool
) -> list[internal_effects.RetrySpent]:
    """Return the effect that marks the parent call as retried.

    With the mark no other layer of the chain retries again. There is no
    effect if no retry was spent or the call has no parent.
    """
    parent = call.request.parent
    return [internal_effects.RetrySpent(parent)] if spent and parent else []


def retried_event(
    call: EntryCall, retry: Retry, failure: Failure, now: float
) -> log.Retried:
    """Return the event that records a retry."""
    return log.Retried(
        at=now,
        call=call.request.call,
        target=call.node,
        attempt=retry.number,
        reason=failure.reason,
    )


def pick_node_for_key(
    key: str,
    targets: Sequence[Candidate],
    shares: VersionShares,
    tried: frozenset[str],
) -> str | Failure:
    """Pick a node by rendezvous hashing of an idempotency key.

    A call that is sent again then goes to the target that got it first.
    Targets that accept no calls now are included in the order of the hash, as
    one of them may have run the call before it stopped accepting calls.
    Weights follow Schindelhauer and Schomaker (2005). They are the versions'
    shares alone: all entry nodes must compute the same order, and the ramps of
    new targets differ between entry nodes.

    Args:
        key: The idempotency key.
        targets: All targets of the service.
        shares: Each version's share of calls; None if the service
            has no rollout.
        tried: Nodes to skip.

    Returns:
        The node, or a failure if no node is left.
    """
    equal = [attrs.evolve(one, weight=1) for one in targets if one.weight > 0]
    weights = {one.node: one.weight for one in weight_by_share(equal, shares)}
    untried = [one.node for one in targets if one.node not in tried]
    if not weights or not untried:
        return Failure(Reason.NO_TARGET, detail='no target is left')
    mean_weight = sum(weights.values()) / len(weights)
    return min(
        untried,
        key=lambda node: (
            _exponential_hash(key, node) / weights.get(node, mean_weight)
        ),
    )


def _exponential_hash(key: str, node: str) -> float:
    """Hash a key and a node to an exponentially distributed number."""
    digest = hashlib.blake2b(
        f'{key}\0{node}'.encode(), digest_size=_DIGEST_BYTES
    ).digest()
    uniform = (int.from_bytes(digest, 'big') + 1) / _DIGESTS
    return -math.log(uniform)
