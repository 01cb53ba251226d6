"""Admission keeps exact counts and decides on each call exactly once."""

import math
from collections import Counter

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from daisyline.coordination.admission.admission import (
    LATE_WAIT_FRACTION,
    Admission,
    Admitted,
    Queued,
)
from daisyline.coordination.admission.breaker import FAILURES_TO_OPEN
from daisyline.coordination.admission.fair_queue import Ticket
from daisyline.coordination.admission.rate_limit import MAX_BURST_STARTS
from daisyline.state.failures import Failure, Outcome, Reason
from daisyline.state.settings import Limits
from daisyline.state.targets import Phase
from tests.support import function_tests

load_tests = function_tests(__name__)

SLOTS = st.integers(min_value=1, max_value=9)
QUEUE = st.integers(min_value=0, max_value=8)
TIME_LEFT_S = st.sampled_from([0, 0.02, 0.3, 5])
ELAPSED_S = st.sampled_from([0, 0.001, 0.02, 0.1, 0.6])
SUCCEEDED = st.sampled_from((True, True, True, True, True, False, None))


class CallLedger(RuleBasedStateMachine):
    """A state machine that offers calls and checks what happens to each."""

    @initialize(slots=SLOTS, queue=QUEUE)
    def start(self, slots: int, queue: int) -> None:
        """Build the admission of a target."""
        self.now: float = 0
        self.contract = Limits(
            slots_per_upstream=slots, queue_per_upstream=queue
        )
        self.admission = Admission.from_limits(self.contract, self.now)
        self.ends: Counter[str] = Counter()
        self.offered: list[str] = []
        self.running: list[str] = []
        self.waiting: dict[str, float] = {}
        self.excess_running = 0

    @rule(
        tenants=st.lists(st.sampled_from('abc'), min_size=1, max_size=6),
        left_s=TIME_LEFT_S,
        may_move=st.booleans(),
    )
    def offer(self, tenants: list[str], left_s: float, may_move: bool) -> None:
        """Offer some calls."""
        for tenant in tenants:
            self._offer(tenant, left_s, may_move)

    @rule(ends=st.lists(SUCCEEDED, min_size=1, max_size=8), service_s=ELAPSED_S)
    def finish(self, ends: list[bool | None], service_s: float) -> None:
        """End some running calls, the oldest first."""
        for succeeded in ends[: len(self.running)]:
            call = self.running.pop(0)
            self.excess_running = max(0, self.excess_running - 1)
            self._record_started(
                self.admission.finish(
                    call, self.now, service_s=service_s, succeeded=succeeded
                )
            )
            self._collect_refusals()

    @rule(which=st.integers(min_value=0))
    def withdraw(self, which: int) -> None:
        """Take a waiting call out."""
        if self.waiting:
            call = sorted(self.waiting)[which % len(self.waiting)]
            assert self.admission.withdraw(call, self.now)
            assert not self.admission.withdraw(call, self.now)
            self.waiting.pop(call)
            self.ends[call] += 1

    @rule(passed_s=ELAPSED_S, timer_is_late=st.booleans())
    def wait(self, passed_s: float, timer_is_late: bool) -> None:
        """Let time pass."""
        self.now += passed_s
        if timer_is_late:
            return
        self._record_refused(self.admission.expire(self.now))
        assert self.admission.next_at() > self.now
        assert all(at > self.now for at in self.waiting.values())

    @rule(slots=SLOTS, queue=QUEUE)
    def change_limits(self, slots: int, queue: int) -> None:
        """Change the contract."""
        self.excess_running = max(0, len(self.running) - slots)
        self.contract = Limits(
            slots_per_upstream=slots, queue_per_upstream=queue
        )
        change = self.admission.set_limits(self.contract, self.now)
        self._record_started(change.started)
        self._record_refused(change.refused)

    @rule(phase=st.sampled_from([Phase.COLD, Phase.READY]))
    def set_phase(self, phase: Phase) -> None:
        """Announce a phase."""
        change = self.admission.set_phase(phase, self.now)
        self._record_started(change.started)
        self._record_refused(change.refused)

    @rule()
    def turn_cold(self) -> None:
        """Reset the admission to a cold target."""
        self.admission.reset_to_cold(self.now)
        assert self.admission.load.limit == 1

    @invariant()
    def counts_are_exact(self) -> None:
        """Compare the counts with the ledger."""
        if not hasattr(self, 'admission'):
            return
        load = self.admission.load
        slots = self.contract.slots_per_upstream
        assert load.running == len(self.running)
        assert load.waiting == len(self.waiting)
        assert len(self.running) <= slots + self.excess_running
        assert 1 <= load.limit <= slots
        assert len(self.waiting) <= self.contract.queue_per_upstream
        ended = {call for call, count in self.ends.items() if count == 1}
        assert ended | set(self.waiting) == set(self.offered)
        assert not ended & set(self.waiting)
        assert len(ended) == self.ends.total()

    def teardown(self) -> None:
        """A leaving target refuses waiting calls and all later ones."""
        if not hasattr(self, 'admission'):
            return
        before = sorted(self.waiting)
        change = self.admission.set_phase(Phase.LEAVING, self.now)
        assert not change.started
        assert sorted(call for call, _ in change.refused) == before
        for _, failure in change.refused:
            assert failure == Failure(Reason.LEAVING, Outcome.NOT_RUN)
        late = self.admission.offer(Ticket('late', 'a', math.inf), self.now)
        assert isinstance(late, Failure)
        assert late.reason == Reason.LEAVING
        assert self.admission.running == len(self.running)

    def _offer(self, tenant: str, left_s: float, may_move: bool) -> None:
        call = str(len(self.offered))
        self.offered.append(call)
        ticket = Ticket(call, tenant, self.now + left_s, may_move)
        decision = self.admission.offer(ticket, self.now)
        if isinstance(decision, Admitted):
            assert left_s > 0
            self._record_started([call])
        elif isinstance(decision, Queued):
            longest_s = self.contract.queue_wait_ms / 1000
            self.waiting[call] = min(ticket.deadline, self.now + longest_s)
        else:
            self._record_refused([(call, decision)])
        self._collect_refusals()

    def _collect_refusals(self) -> None:
        if self.admission.next_at() <= self.now:
            self._record_refused(self.admission.expire(self.now))

    def _record_started(self, calls: list[str]) -> None:
        for call in calls:
            assert self.waiting.pop(call, math.inf) > self.now
            self.ends[call] += 1
            self.running.append(call)

    def _record_refused(self, refused: list[tuple[str, Failure]]) -> None:
        for call, failure in refused:
            assert failure.outcome == Outcome.NOT_RUN
            self.waiting.pop(call, None)
            self.ends[call] += 1


def test_counts_hold_and_each_call_ends_once_in_any_order_of_events() -> None:
    run_state_machine_as_test(
        CallLedger,
        settings=settings(
            max_examples=300,
            stateful_step_count=50,
            derandomize=True,
            deadline=None,
        ),
    )


def test_a_queue_without_capacity_refuses_calls() -> None:
    admission = Admission.from_limits(Limits(queue_per_upstream=0), 0)
    assert admission.offer(Ticket('a', '', 9), 0) == Admitted()
    refused = admission.offer(Ticket('b', '', 9), 0)
    assert isinstance(refused, Failure)
    assert refused.outcome == Outcome.NOT_RUN


def test_a_call_that_cannot_start_before_its_deadline_is_shed_at_once() -> None:
    admission = Admission.from_limits(Limits(slots_per_upstream=1), 0)
    admission.offer(Ticket('a', '', 9), 0)
    admission.finish('a', 0.1, service_s=0.1, succeeded=True)
    admission.offer(Ticket('b', '', 9), 1)
    shed = admission.offer(Ticket('c', '', 1.15), 1)
    assert isinstance(shed, Failure)
    assert shed.reason == Reason.OVERLOADED
    assert admission.offer(Ticket('d', '', 9), 1) == Queued()
    movable = Ticket('e', '', 9, may_move=True)
    assert admission.offer(movable, 1) == Queued()
    movable = Ticket('f', '', 9, may_move=True)
    assert isinstance(admission.offer(movable, 1), Failure)


def test_a_busy_target_with_a_wrong_estimate_still_serves() -> None:
    admission = Admission.from_limits(Limits(slots_per_upstream=1), 0)
    admission.offer(Ticket('slow', '', 99), 0)
    admission.finish('slow', 50, service_s=50, succeeded=True)
    for number in range(200):
        now = 50 + number
        assert admission.offer(Ticket(str(number), '', now + 1), now) == (
            Admitted()
        )
        admission.finish(str(number), now, service_s=0.01, succeeded=True)
    assert admission.load.service_us < 1_000_000


def test_a_target_that_fails_fast_gets_few_calls_until_it_answers() -> None:
    admission = Admission.from_limits(Limits(), 0)
    ran = 0
    for number in range(1000):
        now = number / 100
        if admission.offer(Ticket(str(number), '', 99), now) == Admitted():
            ran += 1
            admission.finish(str(number), now, service_s=0, succeeded=False)
    assert ran <= 15
    decision = admission.offer(Ticket('well', '', 99), 20)
    assert decision == Admitted()
    admission.finish('well', 20, service_s=0, succeeded=True)
    assert admission.offer(Ticket('next', '', 99), 20) == Admitted()


def test_an_expired_call_is_not_started_by_a_late_timer() -> None:
    admission = Admission.from_limits(Limits(slots_per_upstream=1), 0)
    admission.offer(Ticket('a', '', 9), 0)
    assert admission.offer(Ticket('b', '', 9), 0) == Queued()
    assert not admission.finish('a', 5, service_s=5, succeeded=True)
    assert admission.next_at() <= 5
    refused = admission.expire(5)
    assert refused == [('b', Failure(Reason.QUEUE_TIMEOUT))]


def test_a_new_instance_after_a_leaving_one_is_served() -> None:
    admission = Admission.from_limits(Limits(), 0)
    for number in range(5):
        admission.offer(Ticket(str(number), '', 9), 0)
        admission.finish(str(number), 0, service_s=0, succeeded=False)
    admission.set_phase(Phase.LEAVING, 0)
    admission.reset_to_cold(0)
    admission.set_phase(Phase.READY, 0)
    assert admission.offer(Ticket('new', '', 9), 0) == Admitted()
    assert admission.load.limit == 1


def test_a_target_that_announces_cold_has_one_slot_until_it_is_ready() -> None:
    admission = Admission.from_limits(Limits(slots_per_upstream=9), 0)
    admission.set_phase(Phase.COLD, 0)
    for number in range(50):
        admission.offer(Ticket(f'c{number}', 't', 1e9), number)
        admission.finish(f'c{number}', number, service_s=0.01, succeeded=True)
    assert admission.load.limit == 1
    admission.set_phase(Phase.READY, 50)
    for number in range(50, 100):
        admission.offer(Ticket(f'c{number}', 't', 1e9), number)
        admission.finish(f'c{number}', number, service_s=0.01, succeeded=True)
    assert admission.load.limit == 9


def test_a_cold_rate_that_is_set_later_replaces_the_single_slot() -> None:
    admission = Admission.from_limits(Limits(), 0, announces_cold=True)
    admission.set_phase(Phase.COLD, 0)
    assert admission.load.limit == 1
    limits = Limits(slots_per_upstream=9, cold_calls_per_s=20)
    admission.set_limits(limits, 0)
    assert admission.load.limit == 9
    for number in range(MAX_BURST_STARTS):
        ticket = Ticket(f'c{number}', 't', 9)
        assert admission.offer(ticket, 0) == Admitted()
    assert admission.offer(Ticket('late', 't', 9), 0) == Queued()


def test_a_movable_call_waits_a_few_starts_at_a_cold_target() -> None:
    admission = Admission.from_limits(
        Limits(slots_per_upstream=9, cold_calls_per_s=20),
        0,
        announces_cold=True,
    )
    admission.set_phase(Phase.COLD, 0)
    answers = [
        admission.offer(Ticket(f'c{number}', 't', 9, may_move=True), 0)
        for number in range(MAX_BURST_STARTS + 10)
    ]
    assert set(answers[:MAX_BURST_STARTS]) == {Admitted()}
    assert set(answers[MAX_BURST_STARTS : MAX_BURST_STARTS + 3]) == {Queued()}
    assert isinstance(answers[-1], Failure)


def test_a_call_that_is_late_is_refused_while_its_caller_has_time_left() -> (
    None
):
    limits = Limits(slots_per_upstream=1, queue_wait_ms=10_000)
    admission = Admission.from_limits(limits, 0)
    admission.offer(Ticket('first', 't', 99), 0)
    admission.offer(Ticket('late', 't', 8, objective=0), 0)
    admission.offer(Ticket('in-time', 't', 8, objective=4), 0)
    assert admission.next_at() == 8 * LATE_WAIT_FRACTION
    refused = [call for call, _ in admission.expire(2)]
    assert refused == ['late']
    assert admission.next_at() == 4 + 4 * LATE_WAIT_FRACTION


def test_a_call_that_was_withdrawn_is_not_refused_afterwards() -> None:
    admission = Admission.from_limits(Limits(slots_per_upstream=1), 0)
    for number in range(FAILURES_TO_OPEN - 1):
        admission.offer(Ticket(f'c{number}', 't', 9), 0)
        admission.finish(f'c{number}', 0, service_s=0, succeeded=False)
    admission.offer(Ticket('a', 't', 9), 0)
    assert admission.offer(Ticket('b', 't', 9), 0) == Queued()
    # The failure that opens the breaker also refuses the waiting calls.
    admission.finish('a', 0, service_s=0, succeeded=False)
    admission.withdraw('b', 0)
    assert not admission.expire(0)
