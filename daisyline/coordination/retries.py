"""When a call may be sent again, so that attempts never multiply."""

import attrs

from daisyline.state.failures import Failure, Outcome, Reason
from daisyline.state.settings import Limits

PERCENT = 100
#: Nodes that one call is offered to at most, while all refuse it as not run.
MAX_TRIES = 5
#: With less time than this left a call isn't sent again, in seconds.
MIN_LEFT_S = 0.001

#: Refusals that another target may answer differently.
_ELSEWHERE = frozenset(
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
    """Retries of an entry node for one service, as a part of its calls.

    A retry spent by a layer below is charged here too, so that the budget
    where a call came in bounds the retries of the whole chain. Calls in
    progress at once may overdraw it by one each; nothing is retried until
    the debt is earned back.
    """

    _per_call: float
    _saved: float
    _reserve: float

    @classmethod
    def from_limits(
        cls, limits: Limits, now: float, nodes: int = 1
    ) -> 'RetryBudget':
        """Build a budget that holds its part of the fleet's reserve."""
        reserve = max(1, limits.retry_reserve / nodes)
        return cls(limits.retry_percent / PERCENT, reserve, reserve)

    def earned(self, now: float) -> None:
        """Count a call of a caller; retries are no calls."""
        self._saved = min(self._reserve, self._saved + self._per_call)

    def allows(self, now: float) -> bool:
        """Return whether there is a retry left."""
        return self._saved >= 1

    def spend(self, now: float) -> bool:
        """Take one retry out, or return that none is left."""
        if not self.allows(now):
            return False
        self._saved -= 1
        return True

    def charge(self, now: float) -> None:
        """Take out a retry that a layer below has spent."""
        self._saved -= 1


def mark_down(above: bool, budget: RetryBudget, now: float) -> bool:
    """Return the mark that goes down with a first attempt.

    Args:
        above: The mark that came with the call this one is made for.
        budget: The budget of the node that sends.
        now: Monotonic seconds.
    """
    return above or not budget.allows(now)


def settle(sent: bool, came_up: bool, budget: RetryBudget, now: float) -> None:
    """Charge the budget if a layer below has spent a retry.

    Args:
        sent: The mark that went down with the attempt.
        came_up: The mark of its answer or failure.
        budget: The budget of the node that sent it.
        now: Monotonic seconds.
    """
    if came_up and not sent:
        budget.charge(now)


@attrs.frozen
class Attempt:
    """An attempt that got no answer.

    Attributes:
        number: 1 for the first attempt, counted over all nodes tried.
        repeatable: Whether the call may run more than once.
        retried: Whether a retry has been spent on this call, or on one above
            or below it; the mark goes down with the call and comes up with
            the answer or failure.
        left_s: Seconds until the call's deadline.
        reached: How many targets were handed the call.
        most_targets: How many may be.
    """

    number: int
    repeatable: bool
    retried: bool
    left_s: float
    reached: int = 0
    most_targets: int = MAX_TRIES


@attrs.frozen
class Retry:
    """Send the call again, to a node that hasn't been tried.

    Attributes:
        number: The number of the next attempt.
        retried: The mark that goes down with it.
    """

    number: int
    retried: bool


def decide_retry(
    attempt: Attempt, failure: Failure, budget: RetryBudget, now: float
) -> Retry | Failure:
    """Return whether a call is sent again, or the failure for its caller.

    A call refused as not run goes to another target at no cost, as nothing
    was done for it. One that reached a target goes again only if it did not
    run or is repeatable, nobody else in the chain has retried it, and the
    budget has a retry left.
    """
    if attempt.left_s < MIN_LEFT_S or attempt.number >= MAX_TRIES:
        return failure
    if failure.outcome == Outcome.NOT_RUN and not failure.reached_target:
        return _try_elsewhere(attempt, failure)
    may_repeat = attempt.repeatable or failure.outcome == Outcome.NOT_RUN
    if attempt.retried or not may_repeat:
        return failure
    if attempt.reached >= attempt.most_targets:
        return failure
    if not budget.spend(now):
        return failure
    return Retry(number=attempt.number + 1, retried=True)


def _try_elsewhere(attempt: Attempt, failure: Failure) -> Retry | Failure:
    if failure.reason not in _ELSEWHERE:
        return failure
    return Retry(number=attempt.number + 1, retried=attempt.retried)
