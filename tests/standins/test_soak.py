"""The soak's checks find each kind of violation; a short run has none."""

import subprocess
import sys
from collections.abc import Iterator

import attrs
from hypothesis import given, settings
from hypothesis import strategies as st

from standins.http import LostCall, Message
from standins.soak_calls import (
    AttemptResult,
    KeyedOrder,
    Order,
    PoisonedLookup,
    Upload,
    classify,
    is_resent,
    request_of,
)
from standins.soak_checks import MAX_RSS_BYTES, violations_of
from standins.soak_faults import apply_fault
from standins.soak_records import (
    PLATFORM,
    Attempt,
    InstanceStart,
    Journal,
    LimitViolation,
    NodeFault,
    NodeStop,
    PeakMemory,
    SettingsReading,
    Start,
    TargetStop,
    Window,
    ZoneOutPeriod,
)
from standins.soak_reports import ReportReceiver, record_report
from standins.soak_schedule import KINDS, Scope, draw_schedule
from standins.tally import Ending
from standins.target import is_body_changed
from standins.target_messages import CallReceived
from standins.target_records import Violation as Broken
from standins.target_report import Reporter
from tests.standins.fixtures import Testbed
from tests.support import fixture, function_tests

load_tests = function_tests(__name__)

SCOPE = Scope(('a', 'b', 'c'), ('catalogue', 'docs'), ('ghent-a', 'ghent-b'))
RUN_SEED = 7
RUN_S = 5
RUN_TIMEOUT_S = 120
FAULTS_END_S = 100.0


@attrs.define
class Record:
    """A journal to which a test adds starts and attempts."""

    journal: Journal
    number: int = 0

    def start(self, call: str, at: float, **fields: str) -> None:
        self.number += 1
        defaults = {'place': 'a', 'method': 'GET', 'path': '/stock', **fields}
        start = Start(
            instance='i1', number=self.number, call_id=call, at=at, **defaults
        )
        self.journal.starts.append(start)

    def attempt(
        self, call: str, sent_at: float, ending: Ending, **fields: str | bool
    ) -> None:
        defaults = {'entry': 'b', 'method': 'GET', 'path': '/stock', **fields}
        attempt = Attempt(
            call_id=call,
            sent_at=sent_at,
            ended_at=sent_at + 1,
            ending=ending,
            **defaults,
        )
        self.journal.attempts.append(attempt)

    def violated_checks(self) -> list[str]:
        return [violation.check for violation in violations_of(self.journal)]


@fixture
def record() -> Iterator[Record]:
    """The record of a run without violations: one call, after the faults."""
    journal = Journal(zones={'a': 'ghent-a', 'b': 'ghent-b'}, newest_version=3)
    journal.faults_ended_at = FAULTS_END_S
    journal.settings_readings = [
        SettingsReading(node, 1, 3, 1) for node in ('a', 'b')
    ]
    clean_run = Record(journal)
    clean_run.start('calm', FAULTS_END_S + 20)
    clean_run.attempt('calm', FAULTS_END_S + 20, Ending.ANSWERED)
    yield clean_run


def test_a_clean_run_has_no_violations(record: Record) -> None:
    assert not record.violated_checks()


def test_an_answer_to_another_call_is_a_violation(record: Record) -> None:
    record.attempt('x', 1, Ending.WRONG)
    assert record.violated_checks() == ['own-answer']


def test_a_refused_call_that_ran_is_found(record: Record) -> None:
    record.attempt('x', 1, Ending.NOT_RUN)
    assert not record.violated_checks()
    record.start('x', 1.5)
    assert record.violated_checks() == ['not-run']


def test_a_refusal_after_an_attempt_that_may_have_run_is_no_violation(
    record: Record,
) -> None:
    record.journal.windows.append(Window('KillNode', 'b', 1, 2))
    record.attempt('x', 1, Ending.UNKNOWN)
    record.attempt('x', 2.5, Ending.NOT_RUN)
    record.start('x', 2.6)
    assert not record.violated_checks()


def test_an_order_that_ran_twice_is_found(record: Record) -> None:
    record.start('x', 1)
    record.start('x', 2)
    assert not record.violated_checks()
    record.start('y', 1, method='POST')
    assert not record.violated_checks()
    record.start('y', 2, method='POST', place='b')
    assert record.violated_checks() == ['once']


def test_limits_of_the_contract_are_judged(record: Record) -> None:
    for number, limit in enumerate(('cold', 'slots', 'connections'), start=2):
        broken = LimitViolation('a', 'i1', number, limit, 1, 7)
        record.journal.limit_violations.append(broken)
    assert record.violated_checks() == ['limits', 'limits']


def test_a_request_that_ran_with_another_body_is_found(record: Record) -> None:
    broken = LimitViolation('a', 'i1', 2, 'body', 1, 'upload-1')
    record.journal.limit_violations.append(broken)
    assert record.violated_checks() == ['body']


def test_a_target_compares_a_body_with_the_digest_of_its_caller() -> None:
    request = request_of(Upload('docs'), 'upload-1', 1)
    headers = {name.lower(): text for name, text in request.headers.items()}
    received = attrs.evolve(request, headers=headers)
    assert not is_body_changed(received)
    assert is_body_changed(attrs.evolve(received, body=request.body[1:]))


def test_a_zone_gets_no_new_calls_while_it_is_out(record: Record) -> None:
    record.journal.zone_out_periods.append(ZoneOutPeriod('ghent-a', 10, 20))
    for at in (9, 12.9, 20.1):
        record.start('x', at)
    record.start('y', 15, place='b')
    assert not record.violated_checks()
    record.start('x', 13.1)
    assert record.violated_checks() == ['zone']


def test_the_grace_period_of_a_zone_starts_after_a_platform_outage(
    record: Record,
) -> None:
    record.journal.zone_out_periods.append(ZoneOutPeriod('ghent-a', 10, 30))
    record.journal.windows.append(Window('PlatformDown', PLATFORM, 11, 15))
    record.journal.windows.append(Window('StaleReads', PLATFORM, 15, 29))
    record.start('x', 17.9)
    assert not record.violated_checks()
    record.start('x', 18.1)
    assert record.violated_checks() == ['zone']


def test_a_leaving_target_gets_no_new_calls(record: Record) -> None:
    record.journal.target_stops.append(
        TargetStop('a', 'i1', FAULTS_END_S + 17.5)
    )
    assert not record.violated_checks()
    record.journal.target_stops.append(
        TargetStop('a', 'i1', FAULTS_END_S + 16.9)
    )
    assert record.violated_checks() == ['leaving']


def test_a_lost_call_needs_a_fault_on_its_path(record: Record) -> None:
    record.attempt('x', 5, Ending.UNKNOWN)
    record.start('x', 5.5)
    window = Window('KillNode', 'a', 1, 5.1)
    record.journal.windows = [window]
    assert not record.violated_checks()
    unrelated = (
        attrs.evolve(window, ends_at=4.9),
        attrs.evolve(window, begins_at=6.1, ends_at=7),
        attrs.evolve(window, place=PLATFORM),
        attrs.evolve(window, place='c'),
    )
    for other in unrelated:
        record.journal.windows = [other]
        assert record.violated_checks() == ['cut']


def test_a_repeated_unknown_outcome_is_one_violation(record: Record) -> None:
    record.attempt('x', 5, Ending.UNKNOWN)
    record.attempt('x', 7, Ending.UNKNOWN)
    assert record.violated_checks() == ['cut']
    record.start('x', 7.5)
    assert record.violated_checks() == ['cut', 'cut']


def test_a_start_of_a_later_attempt_does_not_locate_a_lost_one(
    record: Record,
) -> None:
    record.journal.windows = [Window('PauseNode', 'c', 1, 5.1)]
    record.attempt('x', 5, Ending.UNKNOWN)
    record.attempt('x', 7, Ending.ANSWERED)
    record.start('x', 7.5)
    assert not record.violated_checks()
    record.start('x', 5.5)
    assert record.violated_checks() == ['cut']


def test_a_silent_connection_explains_only_long_attempts(
    record: Record,
) -> None:
    record.journal.windows.append(Window('SilentTarget', 'b', 1, 30))
    record.attempt('x', 5, Ending.CUT)
    assert not record.violated_checks()
    lost = attrs.evolve(record.journal.attempts[-1], ended_at=5.9)
    record.journal.attempts.append(lost)
    assert record.violated_checks() == ['cut']


def test_a_planned_stop_explains_only_calls_sent_after_it(
    record: Record,
) -> None:
    record.journal.node_stops.append(NodeStop('b', 5, 8))
    record.attempt('x', 4.9, Ending.CUT)
    record.attempt('y', 7.9, Ending.CUT)
    assert not record.violated_checks()
    record.attempt('z', 4.7, Ending.CUT)
    assert record.violated_checks() == ['cut']
    record.start('x', 4.99)
    assert record.violated_checks() == ['cut', 'cut']


def test_a_start_of_an_earlier_attempt_is_not_in_progress(
    record: Record,
) -> None:
    record.journal.node_stops.append(NodeStop('b', 5, 8))
    record.attempt('x', 3, Ending.NOT_RUN)
    record.start('x', 2.9)
    record.attempt('x', 6, Ending.CUT)
    assert not record.violated_checks()


def test_a_fourth_crash_of_one_request_is_a_violation(record: Record) -> None:
    for at in (1, 2, 3):
        record.attempt('p', at - 0.5, Ending.FAILED, path='/poison/p')
        record.start('p', at, path='/poison/p')
    assert not record.violated_checks()
    record.start('p', 4, path='/poison/p')
    assert record.violated_checks() == ['poison']
    record.journal.windows.append(Window('KillNode', 'a', 2.5, 3.5))
    assert not record.violated_checks()


def test_settings_only_advance_and_all_nodes_end_on_the_newest(
    record: Record,
) -> None:
    readings = record.journal.settings_readings
    readings.append(SettingsReading('a', 1, 2, 2))
    readings.append(SettingsReading('a', 1, 3, 3))
    assert record.violated_checks() == ['settings']
    readings.append(SettingsReading('b', 2, 2, 4))
    assert record.violated_checks() == ['settings', 'settings']


def test_faults_and_excess_memory_of_nodes_are_violations(
    record: Record,
) -> None:
    record.journal.peak_memory.append(PeakMemory('a', MAX_RSS_BYTES))
    assert not record.violated_checks()
    record.journal.peak_memory.append(PeakMemory('a', MAX_RSS_BYTES + 1))
    record.journal.node_faults.append(NodeFault('a', 'fault: KeyError()'))
    assert record.violated_checks() == ['fault', 'memory']


def test_calls_must_be_answered_within_the_recovery_time(
    record: Record,
) -> None:
    record.attempt('x', FAULTS_END_S + 9.9, Ending.FAILED)
    assert not record.violated_checks()
    record.attempt('x', FAULTS_END_S + 10.1, Ending.FAILED)
    assert record.violated_checks() == ['recovery']
    record.journal.pending = 1
    assert record.violated_checks() == ['recovery', 'recovery']
    record.journal.pending = 0
    record.journal.attempts.clear()
    assert record.violated_checks() == ['recovery']


def test_a_lost_report_is_a_violation(record: Record) -> None:
    record.journal.instance_starts.append(InstanceStart('a', 'i2', 2))
    assert record.violated_checks() == ['records']


@settings(derandomize=True, max_examples=30)
@given(st.integers(), st.floats(1, 120))
def test_a_schedule_follows_from_its_seed(seed: int, duration_s: float) -> None:
    schedule = draw_schedule(seed, duration_s, SCOPE)
    assert schedule == draw_schedule(seed, duration_s, SCOPE)
    assert schedule != draw_schedule(seed + 1, duration_s, SCOPE)
    for timed in schedule:
        ends_at = timed.at + getattr(timed.fault, 'seconds', 0)
        assert 0 < timed.at <= ends_at
        assert ends_at <= duration_s + 0.001


def test_a_schedule_has_every_kind_and_each_can_be_applied() -> None:
    schedule = draw_schedule(1, 60, SCOPE)
    assert {type(timed.fault) for timed in schedule} == set(KINDS)
    for kind in KINDS:
        assert apply_fault.dispatch(kind) is not apply_fault.dispatch(object)


def test_a_caller_classifies_its_own_answers() -> None:
    def answer(call: str, status: int, **headers: str) -> Message:
        body = f'{{"call": "{call}"}}'.encode()
        return Message(status=status, headers=headers, body=body)

    own = {'x-call-id': 'c'}
    refusal = {'daisyline-outcome': 'not-run', 'daisyline-reason': 'leaving'}
    assert classify(answer('c', 200, **own), 'c') == AttemptResult(
        Ending.ANSWERED
    )
    assert classify(answer('c', 500, **own), 'c').ending == Ending.FAILED
    assert classify(answer('d', 200, **own), 'c').ending == Ending.WRONG
    assert classify(answer('c', 500), 'c').ending == Ending.WRONG
    refused = classify(answer('', 503, **refusal), 'c')
    assert refused == AttemptResult(Ending.NOT_RUN, 'leaving')
    assert (
        classify(LostCall(sent=True, answer_begun=True), 'c').ending
        == Ending.CUT
    )


def test_only_orders_with_a_key_are_resent_after_an_unknown_outcome() -> None:
    unknown, failed = (
        AttemptResult(Ending.UNKNOWN),
        AttemptResult(Ending.FAILED),
    )
    keyed = KeyedOrder('docs')
    request = request_of(keyed, 'keyed-1', 1)
    assert request.headers['Idempotency-Key'] == 'keyed-1'
    assert [is_resent(keyed, result) for result in (unknown, failed)] == [
        True,
        False,
    ]
    assert not is_resent(Order('docs'), unknown)
    assert is_resent(PoisonedLookup('docs'), unknown)


def test_a_target_reports_before_a_call_runs(testbed: Testbed) -> None:
    journal = Journal()
    reports = ReportReceiver(
        testbed.loop, {9000: 'a'}, lambda report: record_report(report, journal)
    )
    reporter = Reporter.from_config(9000, 'i1', reports.port)
    reporter.report_serving()
    reporter.report_start(CallReceived(None, 'c', 'POST', '/orders'), 2.5)
    reporter.report_violations([Broken('slots', 3, 7)])
    reporter.report_violations([Broken('slots', 3, 7)])
    # On loopback a datagram is in the receive buffer when the send returns.
    reports.handle_ready(readable=True, writable=False)
    assert journal.instance_starts == [InstanceStart('a', 'i1', 1)]
    assert journal.starts == [Start('a', 'i1', 2, 'c', 'POST', '/orders', 2.5)]
    assert journal.limit_violations == [
        LimitViolation('a', 'i1', 3, 'slots', 3, 7)
    ]


def test_a_short_run_has_no_violations() -> None:
    arguments = ('--seed', str(RUN_SEED), '--duration', str(RUN_S))
    run = subprocess.run(
        [sys.executable, '-m', 'standins.soak', *arguments],
        capture_output=True,
        text=True,
        timeout=RUN_TIMEOUT_S,
        check=False,
    )
    assert run.returncode == 0, run.stdout + run.stderr
