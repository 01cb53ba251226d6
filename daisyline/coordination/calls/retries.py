"""Retry budgets and decisions for calls whose attempt failed.

A mark on a call and its answer tells all layers of a chain of calls whether a
retry was spent, so that attempts do not multiply from layer to layer.
"""

import math

import attrs

from daisyline.state.failures import (
    DEFAULT_RETRY_AFTER_S,
    Failure,
    Outcome,
    Reason,
)
from daisyline.state.settings import Limits, Settings

PERCENT = 100
#: The largest number of nodes that one call is offered to, reached if all
#: refuse it as not run.
MAX_ATTEMPTS = 5
#: A call is not sent again if less time than this is left to its deadline.
MIN_TIME_LEFT_S = 0.001

#: Reasons for a refusal that may not apply at another target.
_REROUTABLE_REASONS = frozenset(
    (
        Reason.OVERLOADED,
        Reason.SLOW,
        Reason.QUEUE_TIMEOUT,
        Reason.LEAVING,
        Reason.NO_SETTINGS,
        Reason.ZONE_OUT,
        Reason.VERSION_STOPPED,
        Reason.TARGET_LOST,
        Reason.NODE_LOST,
        Reason.SILENT,
        Reason.PAUSED,
    )
)


@attrs.define
class RetryBudget:
    """The retry budget of an entry node for one service.

    Each call adds a fraction of a retry, up to a reserve. A retry spent by a
    lower layer is charged here too, so that the budget of the node where a
    call entered bounds the retries of the whole chain. Concurrent calls may
    overdraw the budget by one retry each; no call is retried until new calls
    have made up for it.

    Attributes:
        _deposit_per_call: The fraction of a retry that each call adds.
        _balance: The retries left; negative if overdrawn.
        _reserve: The largest number of retries that can be saved.
    """

    _deposit_per_call: float
    _balance: float
    _reserve: float

    @classmethod
    def from_limits(
        cls, limits: Limits, now: float, nodes: int = 1
    ) -> 'RetryBudget':
        """Build a full budget with this node's share of the fleet's reserve.

        Args:
            limits: The limits of the service.
            now: Monotonic seconds.
            nodes: The number of entry nodes that share the reserve.
        """
        reserve = _share_of_reserve(limits, nodes)
        return cls(limits.retry_percent / PERCENT, reserve, reserve)

    def share_reserve(self, limits: Limits, nodes: int) -> None:
        """Set this node's share of the reserve as nodes join and leave.

        A larger share has to be earned by calls, a smaller one applies at
        once.

        Args:
            limits: The limits of the service.
            nodes: The number of entry nodes that share the reserve.
        """
        self._reserve = _share_of_reserve(limits, nodes)
        self._balance = min(self._balance, self._reserve)

    def deposit(self, now: float) -> None:
        """Add the fraction of a retry that a new call, not a retry, earns."""
        self._balance = min(
            self._reserve, self._balance + self._deposit_per_call
        )

    def can_spend(self, now: float) -> bool:
        """Return whether a retry is left."""
        return self._balance >= 1

    def try_spend(self, now: float) -> bool:
        """Take one retry from the budget; return False if none is left."""
        if not self.can_spend(now):
            return False
        self._balance -= 1
        return True

    def charge(self, now: float) -> None:
        """Subtract a retry spent by a lower layer; may overdraw the budget."""
        self._balance -= 1


@attrs.define
class RetryBudgets:
    """The retry budgets of an entry node, one for each service.

    Attributes:
        _settings: The settings in force.
        _nodes: The number of entry nodes that share the reserve.
        _of_services: The budgets, by service.
    """

    _settings: Settings = attrs.field(factory=Settings)
    _nodes: int = 1
    _of_services: dict[str, RetryBudget] = attrs.field(factory=dict)

    def of(self, service: str) -> RetryBudget:
        """Return the budget of a service; it is full at first."""
        budget = self._of_services.get(service)
        if budget is None:
            limits = self._settings.limits_for(service, '')
            budget = RetryBudget.from_limits(limits, 0, self._nodes)
            self._of_services[service] = budget
        return budget

    def use_settings(self, settings: Settings) -> None:
        """Apply settings; a budget whose percentage changed starts anew."""
        for service in tuple(self._of_services):
            old = self._settings.limits_for(service, '').retry_percent
            if settings.limits_for(service, '').retry_percent != old:
                self._of_services.pop(service)
        self._settings = settings

    def use_nodes(self, nodes: int) -> None:
        """Share the reserve with another number of nodes."""
        self._nodes = nodes
        for service, budget in self._of_services.items():
            limits = self._settings.limits_for(service, '')
            budget.share_reserve(limits, nodes)


def _share_of_reserve(limits: Limits, nodes: int) -> float:
    return max(1, limits.retry_reserve / max(1, nodes))


def outgoing_retry_mark(
    parent_mark: bool, budget: RetryBudget, now: float
) -> bool:
    """Return the retry mark to send with a first attempt.

    A call that is marked is not retried by lower layers.

    Args:
        parent_mark: The mark of the parent call.
        budget: The budget of the node that sends the attempt.
        now: Monotonic seconds.
    """
    return parent_mark or not budget.can_spend(now)


def charge_downstream(
    sent_mark: bool, returned_mark: bool, budget: RetryBudget, now: float
) -> None:
    """Charge the budget if a lower layer has spent a retry.

    Args:
        sent_mark: The mark that was sent with the attempt.
        returned_mark: The mark of the answer or failure.
        budget: The budget of the node that sent the attempt.
        now: Monotonic seconds.
    """
    if returned_mark and not sent_mark:
        budget.charge(now)


@attrs.frozen
class Attempt:
    """A failed attempt of a call.

    Attributes:
        number: The number of the attempt over all nodes, from 1.
        repeatable: Whether the call may run more than once.
        retried: Whether a retry was spent on this call, on a call above it
            or on one below it. The mark is sent down with the call and up
            with its answer or failure.
        left_s: Seconds until the call's deadline.
        targets_reached: The number of targets that the request was handed to.
        max_targets: The largest number of targets that the request may be
            handed to.
    """

    number: int
    repeatable: bool
    retried: bool
    left_s: float
    targets_reached: int = 0
    max_targets: int = MAX_ATTEMPTS


@attrs.frozen
class Retry:
    """The decision to send a call again, to a node not tried before.

    Attributes:
        number: The number of the next attempt.
        retried: The retry mark to send with the attempt.
    """

    number: int
    retried: bool


def decide_retry(
    attempt: Attempt, failure: Failure, budget: RetryBudget, now: float
) -> Retry | Failure:
    """Return the next attempt of a call, or the failure for its caller.

    A call that was refused as not run and never reached a target goes to
    another one at no cost, as no work was done for it. A call that reached a
    target is sent again only if it did not run or is repeatable, no other
    layer of the chain has retried it, and the budget has a retry left.
    """
    if attempt.left_s < MIN_TIME_LEFT_S or attempt.number >= MAX_ATTEMPTS:
        return failure
    if failure.outcome == Outcome.NOT_RUN and not failure.reached_target:
        return _reroute(attempt, failure)
    may_repeat = attempt.repeatable or failure.outcome == Outcome.NOT_RUN
    if attempt.retried or not may_repeat:
        return failure
    if attempt.targets_reached >= attempt.max_targets:
        return failure
    if not budget.try_spend(now):
        return failure
    return Retry(number=attempt.number + 1, retried=True)


def _reroute(attempt: Attempt, failure: Failure) -> Retry | Failure:
    """Return the next attempt, or the failure if it can't be rerouted."""
    if failure.reason not in _REROUTABLE_REASONS:
        return failure
    return Retry(number=attempt.number + 1, retried=attempt.retried)


def retry_after_s(
    failure: Failure, *, others_have_room: bool, start_interval_s: float = 0
) -> int:
    """Return when a caller may send a refused call again, in seconds.

    A call that its target declined may be taken by another target at once, if
    its route or the retry budget only kept this node from offering it there.
    After other refusals room is expected later, and not before the targets start
    a call.

    Args:
        failure: Why the call was refused.
        others_have_room: Whether most targets take the calls they are offered.
        start_interval_s: The mean time between two starts at all targets of
            the service together, in seconds; 0 if it isn't known.
    """
    is_declined = failure.outcome == Outcome.NOT_RUN and failure.reached_target
    if is_declined and others_have_room:
        return 0
    return max(DEFAULT_RETRY_AFTER_S, math.ceil(start_interval_s))
