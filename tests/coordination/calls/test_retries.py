"""Tests that retries stay within their budget over a chain of calls."""

import random

import attrs
from hypothesis import given, settings
from hypothesis import strategies as st

from daisyline.coordination.calls.retries import (
    MAX_ATTEMPTS,
    Attempt,
    Retry,
    RetryBudget,
    RetryBudgets,
    charge_downstream,
    decide_retry,
    outgoing_retry_mark,
)
from daisyline.state.failures import Failure, Outcome, Reason
from daisyline.state.settings import Limits, Settings
from tests.support import function_tests

load_tests = function_tests(__name__)

DEPTH = 11
RESERVE = Limits().retry_reserve
LOST = Failure(Reason.TARGET_LOST, Outcome.UNKNOWN)


@attrs.define
class Chain:
    """Layers that call one another, each with a retry budget."""

    failure_rate: float
    percent: int
    seed: int
    uses_mark: bool = True
    attempts: int = 0
    budgets: list[RetryBudget] = attrs.field(init=False)
    rng: random.Random = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        limits = Limits(retry_percent=self.percent)
        self.rng = random.Random(self.seed)
        self.budgets = [
            RetryBudget.from_limits(limits, 0) for _ in range(DEPTH)
        ]

    def call(
        self, layer: int = 0, parent_mark: bool = False
    ) -> tuple[bool, bool]:
        """Make a call; return whether it succeeded and the retry mark."""
        budget = self.budgets[layer]
        budget.deposit(0)
        mark = outgoing_retry_mark(parent_mark and self.uses_mark, budget, 0)
        number = 1
        retried = parent_mark
        while True:
            succeeded, returned_mark = self._run(layer, mark)
            returned_mark = returned_mark and self.uses_mark
            charge_downstream(mark, returned_mark, budget, 0)
            retried = retried or returned_mark
            if succeeded:
                return True, retried
            decision = decide_retry(
                Attempt(number, True, retried and self.uses_mark, 9),
                LOST,
                budget,
                0,
            )
            if isinstance(decision, Failure):
                return False, retried
            number = decision.number
            mark = decision.retried
            retried = True

    def _run(self, layer: int, mark: bool) -> tuple[bool, bool]:
        if layer + 1 == DEPTH:
            self.attempts += 1
            return self._succeeds(), mark
        succeeded, returned_mark = self.call(layer + 1, mark)
        return succeeded and self._succeeds(), returned_mark

    def _succeeds(self) -> bool:
        return self.rng.random() >= self.failure_rate


@settings(derandomize=True, max_examples=60, deadline=None)
@given(
    failure_rate=st.sampled_from([0, 0.01, 0.1, 0.5, 0.9, 1]),
    percent=st.integers(0, 30),
    calls=st.integers(1, 300),
    seed=st.integers(0, 99),
)
def test_attempts_do_not_multiply_over_a_chain_of_failing_layers(
    failure_rate: float, percent: int, calls: int, seed: int
) -> None:
    chain = Chain(failure_rate, percent, seed)
    for _ in range(calls):
        before = chain.attempts
        chain.call()
        assert chain.attempts - before <= 2
    most = calls * (1 + percent / 100) + RESERVE
    assert chain.attempts <= most + 1e-6


def test_attempts_multiply_if_the_mark_is_not_passed_on() -> None:
    chain = Chain(failure_rate=1, percent=10, seed=1, uses_mark=False)
    chain.call()
    assert chain.attempts > 2


@settings(derandomize=True, max_examples=100, deadline=None)
@given(
    reason=st.sampled_from(Reason),
    repeatable=st.booleans(),
    retried=st.booleans(),
)
def test_a_call_refused_as_not_run_has_a_bounded_number_of_attempts(
    reason: Reason, repeatable: bool, retried: bool
) -> None:
    budget = RetryBudget.from_limits(Limits(retry_percent=0), 0)
    sent = 1
    attempt = Attempt(1, repeatable, retried, 9)
    decision = decide_retry(attempt, Failure(reason), budget, 0)
    while isinstance(decision, Retry):
        sent += 1
        assert sent <= MAX_ATTEMPTS
        assert decision.retried == retried
        attempt = attrs.evolve(attempt, number=decision.number)
        decision = decide_retry(attempt, Failure(reason), budget, 0)
    assert decision == Failure(reason)
    assert budget == RetryBudget.from_limits(Limits(retry_percent=0), 0)


def test_a_call_that_may_have_run_is_not_sent_again_unless_repeatable() -> None:
    budget = RetryBudget.from_limits(Limits(), 0)
    assert decide_retry(Attempt(1, False, False, 9), LOST, budget, 0) == LOST
    assert decide_retry(Attempt(1, True, True, 9), LOST, budget, 0) == LOST
    assert decide_retry(Attempt(1, True, False, 0), LOST, budget, 0) == LOST
    assert decide_retry(Attempt(1, True, False, 9), LOST, budget, 0) == Retry(
        2, retried=True
    )


@settings(derandomize=True, max_examples=100, deadline=None)
@given(percent=st.integers(0, 100), steps=st.lists(st.booleans()))
def test_a_retry_budget_is_bounded_by_percentage_and_reserve(
    percent: int, steps: list[bool]
) -> None:
    budget = RetryBudget.from_limits(Limits(retry_percent=percent), 0)
    earned = 0
    spent = 0
    for is_call in steps * 5:
        if is_call:
            budget.deposit(0)
            earned += 1
        else:
            spent += budget.try_spend(0)
    assert spent <= earned * percent / 100 + RESERVE + 1e-6


def test_budgets_of_nodes_that_met_late_keep_to_the_common_reserve() -> None:
    nodes = 40
    reserve = 2 * nodes
    tree = {'services': {'docs': {'retry_reserve': reserve}}}
    of_nodes = [RetryBudgets(Settings.from_tree(1, tree)) for _ in range(nodes)]
    for alone in of_nodes:
        assert alone.of('docs').can_spend(0)
    for budgets in of_nodes:
        budgets.use_nodes(nodes)
    spent = sum(_spend_all(each.of('docs')) for each in of_nodes)
    assert spent == reserve


def test_a_larger_share_of_the_reserve_is_earned_by_calls() -> None:
    limits = Limits(retry_percent=100, retry_reserve=10)
    budget = RetryBudget.from_limits(limits, 0, nodes=5)
    budget.share_reserve(limits, nodes=1)
    assert _spend_all(budget) == 2
    for _ in range(20):
        budget.deposit(0)
    assert _spend_all(budget) == 10


def _spend_all(budget: RetryBudget) -> int:
    spent = 0
    while budget.try_spend(0):
        spent += 1
    return spent
