"""A call as its entry holds it, and what follows from that alone."""

import hashlib
import math
from collections.abc import Sequence

import attrs

from daisyline.coordination import call_events as ev
from daisyline.coordination import events as log
from daisyline.coordination import inward
from daisyline.coordination.messages import NO_OBJECTIVE, Run
from daisyline.coordination.policies import Candidate
from daisyline.coordination.retries import MAX_TRIES, Retry
from daisyline.coordination.target_table import Shares, by_share
from daisyline.state.failures import Failure, Outcome, Reason
from daisyline.state.routes import DEFAULT_PRIORITY

_MS_PER_S = 1000
_DIGEST_BYTES = 8
_DIGESTS = 1 << (8 * _DIGEST_BYTES)

# Reasons for which a target's node sends a call under a key on: it notes
# that it did, and answers for the key as perhaps run from then on.
SENT_ON_REASONS = frozenset(
    (Reason.LEAVING, Reason.ZONE_OUT, Reason.VERSION_STOPPED)
)

# Reasons for which a target isn't tried again.
LOST_REASONS = frozenset(
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
    """A call that this node answers for to its caller.

    Attributes:
        arrived: The request.
        arrived_at: When it came, in monotonic seconds.
        attempt: The number of the attempt under way.
        node: Where it was sent last.
        tried: The nodes that got it.
        lost_on: Those of them that were lost or lost their target.
        retried: Whether a retry was spent on it, above it or below it.
        outcome: `UNKNOWN` once any attempt may have run.
        begun: Whether the caller has the head of the answer.
        asking: Whether its node was asked what became of it.
        may_move: Whether it could still be offered to another target.
        keyed: Whether it may not be repeated and has an idempotency key.
        reached: How many targets were handed it.
    """

    arrived: ev.Arrived
    arrived_at: float
    attempt: int = 1
    node: str = ''
    tried: frozenset[str] = frozenset()
    lost_on: frozenset[str] = frozenset()
    retried: bool = False
    outcome: Outcome = Outcome.NOT_RUN
    begun: bool = False
    asking: bool = False
    may_move: bool = False
    keyed: bool = False
    reached: int = 0

    @property
    def most_targets(self) -> int:
        """Return how many targets may be handed it."""
        route = self.arrived.route
        return MAX_TRIES if route is None else route.targets


def run_of(
    call: EntryCall, repeatable: bool, settings_version: int, now: float
) -> Run:
    """Return the message that asks a node to run a call."""
    arrived = call.arrived
    route = arrived.route
    return Run(
        call=arrived.call,
        attempt=call.attempt,
        service=arrived.service,
        tenant=arrived.tenant,
        budget_ms=max(0, int((arrived.deadline - now) * _MS_PER_S)),
        repeatable=repeatable,
        key=arrived.key,
        retried=call.retried,
        may_move=call.may_move,
        stays_if_slow=route is not None and route.bulky,
        settings_version=settings_version,
        priority=DEFAULT_PRIORITY if route is None else route.priority,
        objective_ms=_objective_ms(arrived, now),
        method=arrived.method,
        path=arrived.path,
        headers=arrived.headers,
        body=arrived.body,
    )


def _objective_ms(arrived: ev.Arrived, now: float) -> int:
    if math.isinf(arrived.objective):
        return NO_OBJECTIVE
    return max(0, int((arrived.objective - now) * _MS_PER_S))


def may_be_crash(failure: Failure) -> bool:
    """Return whether a call may have crashed the target that it was lost on."""
    may_have_run = failure.outcome == Outcome.UNKNOWN
    return may_have_run and failure.reason == Reason.TARGET_LOST


def no_suspect(_arrived: ev.Arrived) -> bool:
    """Suspect no request; stands in until a node has a quarantine."""
    return False


def may_go_back(call: EntryCall) -> bool:
    """Return whether a target that only refused may be tried again."""
    return call.tried != call.lost_on and not call.keyed


def mark_parent(call: EntryCall, spent: bool) -> list[inward.RetrySpent]:
    """Mark the call above, so that no layer retries once more."""
    parent = call.arrived.parent
    return [inward.RetrySpent(parent)] if spent and parent else []


def retried_event(
    call: EntryCall, retry: Retry, failure: Failure, now: float
) -> log.Retried:
    """Return the event of a call that is sent again."""
    return log.Retried(
        at=now,
        call=call.arrived.call,
        target=call.node,
        attempt=retry.number,
        reason=failure.reason,
    )


def node_of_key(
    key: str,
    known: Sequence[Candidate],
    shares: Shares,
    tried: frozenset[str],
) -> str | Failure:
    """Pick by rendezvous hashing, so that a re-sent call meets its first.

    Targets that take no calls now are asked too, in the order of the hash:
    one of them may have run the call before it was closed. Weights follow
    Schindelhauer and Schomaker (2005). They are the versions' shares alone, as
    all entries must come to the same order, and ramps differ between them.

    Args:
        key: The idempotency key.
        known: All targets of the service.
        shares: Each version's share of calls; None if none is moving.
        tried: Nodes that are passed over.
    """
    equal = [attrs.evolve(one, weight=1) for one in known if one.weight > 0]
    weights = {one.node: one.weight for one in by_share(equal, shares)}
    untried = [one.node for one in known if one.node not in tried]
    if not weights or not untried:
        return Failure(Reason.NO_TARGET, detail='no target is left')
    usual = sum(weights.values()) / len(weights)
    return min(
        untried,
        key=lambda node: _distance(key, node) / weights.get(node, usual),
    )


def _distance(key: str, node: str) -> float:
    """Return an exponentially distributed number for a key and a node."""
    digest = hashlib.blake2b(
        f'{key}\0{node}'.encode(), digest_size=_DIGEST_BYTES
    ).digest()
    drawn = (int.from_bytes(digest, 'big') + 1) / _DIGESTS
    return -math.log(drawn)
