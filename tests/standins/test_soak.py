"""The soak finds what it must find, and its short run finds nothing."""

import subprocess
import sys
from collections.abc import Iterator

import attrs
from hypothesis import given, settings
from hypothesis import strategies as st

from standins.http import LostCall, Message
from standins.soak_calls import (
    KeyedOrder,
    Order,
    PoisonedLookup,
    Seen,
    is_sent_again,
    judge,
    request_of,
)
from standins.soak_checks import MAX_RSS_BYTES, violations_of
from standins.soak_faults import carry_out
from standins.soak_records import (
    PLATFORM,
    Absence,
    Attempt,
    Begun,
    BrokenLimit,
    Held,
    Journal,
    Leaving,
    Memory,
    NodeFault,
    Start,
    Window,
    ZoneAway,
)
from standins.soak_reports import Reports, note
from standins.soak_schedule import KINDS, Scope, draw_schedule
from standins.tally import Ending
from standins.target_messages import CallReceived
from standins.target_records import Violation as Broken
from standins.target_report import Reporter
from tests.standins.fixtures import Testbed
from tests.support import fixture, function_tests

load_tests = function_tests(__name__)

SCOPE = Scope(('a', 'b', 'c'), ('catalogue', 'docs'), ('ghent-a', 'ghent-b'))
RUN_SEED = 7
RUN_S = 5
RUN_LIMIT_S = 120
FAULTS_END = 100.0


@attrs.define
class Record:
    """A journal to which a test adds what was seen."""

    journal: Journal
    number: int = 0

    def start(self, call: str, at: float, **fields: str) -> None:
        self.number += 1
        known = {'place': 'a', 'method': 'GET', 'path': '/stock', **fields}
        start = Start(
            instance='i1', number=self.number, call_id=call, at=at, **known
        )
        self.journal.starts.append(start)

    def attempt(
        self, call: str, sent_at: float, ending: Ending, **fields: str
    ) -> None:
        known = {'entry': 'b', 'method': 'GET', 'path': '/stock', **fields}
        attempt = Attempt(
            call_id=call,
            sent_at=sent_at,
            ended_at=sent_at + 1,
            ending=ending,
            **known,
        )
        self.journal.attempts.append(attempt)

    def found(self) -> list[str]:
        return [violation.check for violation in violations_of(self.journal)]


@fixture
def record() -> Iterator[Record]:
    """A run in which one call was answered long after the faults."""
    journal = Journal(zones={'a': 'ghent-a', 'b': 'ghent-b'}, newest_version=3)
    journal.faults_ended_at = FAULTS_END
    journal.held = [Held(node, 1, 3, 1) for node in ('a', 'b')]
    clean = Record(journal)
    clean.start('calm', FAULTS_END + 20)
    clean.attempt('calm', FAULTS_END + 20, Ending.ANSWERED)
    yield clean


def test_a_run_in_which_all_was_well_violates_nothing(record: Record) -> None:
    assert not record.found()


def test_another_calls_answer_is_found(record: Record) -> None:
    record.attempt('x', 1, Ending.WRONG)
    assert record.found() == ['own-answer']


def test_a_refused_call_that_ran_is_found(record: Record) -> None:
    record.attempt('x', 1, Ending.NOT_RUN)
    assert not record.found()
    record.start('x', 1.5)
    assert record.found() == ['not-run']


def test_a_refusal_is_not_blamed_for_an_earlier_sending(
    record: Record,
) -> None:
    record.journal.windows.append(Window('KillNode', 'b', 1, 2))
    record.attempt('x', 1, Ending.UNKNOWN)
    record.attempt('x', 2.5, Ending.NOT_RUN)
    record.start('x', 2.6)
    assert not record.found()


def test_an_order_that_ran_twice_is_found(record: Record) -> None:
    record.start('x', 1)
    record.start('x', 2)
    assert not record.found()
    record.start('y', 1, method='POST')
    assert not record.found()
    record.start('y', 2, method='POST', place='b')
    assert record.found() == ['once']


def test_limits_of_the_contract_are_judged(record: Record) -> None:
    for number, limit in enumerate(('cold', 'slots', 'connections'), start=2):
        broken = BrokenLimit('a', 'i1', number, limit, 1, 7)
        record.journal.broken.append(broken)
    assert record.found() == ['limits', 'limits']


def test_work_in_a_zone_is_judged_while_it_is_away(record: Record) -> None:
    record.journal.zones_away.append(ZoneAway('ghent-a', 10, 20))
    for at in (9, 12.9, 20.1):
        record.start('x', at)
    record.start('y', 15, place='b')
    assert not record.found()
    record.start('x', 13.1)
    assert record.found() == ['zone']


def test_a_zone_change_counts_from_the_end_of_an_outage(
    record: Record,
) -> None:
    record.journal.zones_away.append(ZoneAway('ghent-a', 10, 30))
    record.journal.windows.append(Window('PlatformDown', PLATFORM, 11, 15))
    record.journal.windows.append(Window('StaleReads', PLATFORM, 15, 29))
    record.start('x', 17.9)
    assert not record.found()
    record.start('x', 18.1)
    assert record.found() == ['zone']


def test_work_for_a_leaving_target_is_judged(record: Record) -> None:
    record.journal.leaving.append(Leaving('a', 'i1', FAULTS_END + 17.5))
    assert not record.found()
    record.journal.leaving.append(Leaving('a', 'i1', FAULTS_END + 16.9))
    assert record.found() == ['leaving']


def test_a_loss_needs_a_fault_on_the_way_of_the_call(record: Record) -> None:
    record.attempt('x', 5, Ending.UNKNOWN)
    record.start('x', 5.5)
    window = Window('KillNode', 'a', 1, 5.1)
    record.journal.windows = [window]
    assert not record.found()
    apart = (
        attrs.evolve(window, ends_at=4.9),
        attrs.evolve(window, begins_at=6.1, ends_at=7),
        attrs.evolve(window, place=PLATFORM),
        attrs.evolve(window, place='c'),
    )
    for other in apart:
        record.journal.windows = [other]
        assert record.found() == ['cut']


def test_a_doubt_told_again_is_judged_once(record: Record) -> None:
    record.attempt('x', 5, Ending.UNKNOWN)
    record.attempt('x', 7, Ending.UNKNOWN)
    assert record.found() == ['cut']
    record.start('x', 7.5)
    assert record.found() == ['cut', 'cut']


def test_where_a_call_ran_later_does_not_tell_where_it_was_lost(
    record: Record,
) -> None:
    record.journal.windows = [Window('PauseNode', 'c', 1, 5.1)]
    record.attempt('x', 5, Ending.UNKNOWN)
    record.attempt('x', 7, Ending.ANSWERED)
    record.start('x', 7.5)
    assert not record.found()
    record.start('x', 5.5)
    assert record.found() == ['cut']


def test_a_silent_connection_excuses_just_what_waited(record: Record) -> None:
    record.journal.windows.append(Window('SilentTarget', 'b', 1, 30))
    record.attempt('x', 5, Ending.CUT)
    assert not record.found()
    lost = attrs.evolve(record.journal.attempts[-1], ended_at=5.9)
    record.journal.attempts.append(lost)
    assert record.found() == ['cut']


def test_a_stop_excuses_just_calls_sent_after_it(record: Record) -> None:
    record.journal.absences.append(Absence('b', 5, 8))
    record.attempt('x', 4.9, Ending.CUT)
    record.attempt('y', 7.9, Ending.CUT)
    assert not record.found()
    record.attempt('z', 4.7, Ending.CUT)
    assert record.found() == ['cut']
    record.start('x', 4.99)
    assert record.found() == ['cut', 'cut']


def test_a_start_of_an_earlier_sending_does_not_undo_the_excuse(
    record: Record,
) -> None:
    record.journal.absences.append(Absence('b', 5, 8))
    record.attempt('x', 3, Ending.NOT_RUN)
    record.start('x', 2.9)
    record.attempt('x', 6, Ending.CUT)
    assert not record.found()


def test_a_fourth_crash_of_one_request_is_found(record: Record) -> None:
    for at in (1, 2, 3):
        record.attempt('p', at - 0.5, Ending.FAILED, path='/poison/p')
        record.start('p', at, path='/poison/p')
    assert not record.found()
    record.start('p', 4, path='/poison/p')
    assert record.found() == ['poison']
    record.journal.windows.append(Window('KillNode', 'a', 2.5, 3.5))
    assert not record.found()


def test_settings_never_go_back_and_all_nodes_hold_the_newest(
    record: Record,
) -> None:
    held = record.journal.held
    held.append(Held('a', 1, 2, 2))
    held.append(Held('a', 1, 3, 3))
    assert record.found() == ['settings']
    held.append(Held('b', 2, 2, 4))
    assert record.found() == ['settings', 'settings']


def test_faults_and_memory_of_nodes_are_found(record: Record) -> None:
    record.journal.memory.append(Memory('a', MAX_RSS_BYTES))
    assert not record.found()
    record.journal.memory.append(Memory('a', MAX_RSS_BYTES + 1))
    record.journal.node_faults.append(NodeFault('a', 'fault: KeyError()'))
    assert record.found() == ['fault', 'memory']


def test_calls_must_be_answered_again_in_time(record: Record) -> None:
    record.attempt('x', FAULTS_END + 9.9, Ending.FAILED)
    assert not record.found()
    record.attempt('x', FAULTS_END + 10.1, Ending.FAILED)
    assert record.found() == ['recovery']
    record.journal.pending = 1
    assert record.found() == ['recovery', 'recovery']
    record.journal.pending = 0
    record.journal.attempts.clear()
    assert record.found() == ['recovery']


def test_a_lost_report_is_found(record: Record) -> None:
    record.journal.begun.append(Begun('a', 'i2', 2))
    assert record.found() == ['records']


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


def test_a_schedule_has_every_kind_and_each_can_be_carried_out() -> None:
    schedule = draw_schedule(1, 60, SCOPE)
    assert {type(timed.fault) for timed in schedule} == set(KINDS)
    for kind in KINDS:
        assert carry_out.dispatch(kind) is not carry_out.dispatch(object)


def test_a_caller_knows_its_own_answer() -> None:
    def answer(call: str, status: int, **headers: str) -> Message:
        body = f'{{"call": "{call}"}}'.encode()
        return Message(status=status, headers=headers, body=body)

    own = {'x-call-id': 'c'}
    refusal = {'daisyline-outcome': 'not-run', 'daisyline-reason': 'leaving'}
    assert judge(answer('c', 200, **own), 'c') == Seen(Ending.ANSWERED)
    assert judge(answer('c', 500, **own), 'c').ending == Ending.FAILED
    assert judge(answer('d', 200, **own), 'c').ending == Ending.WRONG
    assert judge(answer('c', 500), 'c').ending == Ending.WRONG
    refused = judge(answer('', 503, **refusal), 'c')
    assert refused == Seen(Ending.NOT_RUN, 'leaving')
    assert (
        judge(LostCall(sent=True, answer_begun=True), 'c').ending == Ending.CUT
    )


def test_just_orders_with_a_key_are_sent_again_when_in_doubt() -> None:
    doubt, known = Seen(Ending.UNKNOWN), Seen(Ending.FAILED)
    keyed = KeyedOrder('docs')
    request = request_of(keyed, 'keyed-1', 1)
    assert request.headers['Idempotency-Key'] == 'keyed-1'
    assert [is_sent_again(keyed, seen) for seen in (doubt, known)] == [
        True,
        False,
    ]
    assert not is_sent_again(Order('docs'), doubt)
    assert is_sent_again(PoisonedLookup('docs'), doubt)


def test_a_target_reports_before_a_call_runs(testbed: Testbed) -> None:
    journal = Journal()
    reports = Reports(
        testbed.loop, {9000: 'a'}, lambda report: note(report, journal)
    )
    reporter = Reporter.from_config(9000, 'i1', reports.port)
    reporter.report_serving()
    reporter.report_start(CallReceived(None, 'c', 'POST', '/orders'), 2.5)
    reporter.report_violations([Broken('slots', 3, 7)])
    reporter.report_violations([Broken('slots', 3, 7)])
    # On loopback a datagram is there once it has been sent.
    reports.ready(readable=True, writable=False)
    assert journal.begun == [Begun('a', 'i1', 1)]
    assert journal.starts == [Start('a', 'i1', 2, 'c', 'POST', '/orders', 2.5)]
    assert journal.broken == [BrokenLimit('a', 'i1', 3, 'slots', 3, 7)]


def test_a_short_run_violates_nothing() -> None:
    words = ('--seed', str(RUN_SEED), '--duration', str(RUN_S))
    run = subprocess.run(
        [sys.executable, '-m', 'standins.soak', *words],
        capture_output=True,
        text=True,
        timeout=RUN_LIMIT_S,
        check=False,
    )
    assert run.returncode == 0, run.stdout + run.stderr
