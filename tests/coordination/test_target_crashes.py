"""Crashes of a target count only for requests that nobody answered since."""

import random
from typing import Any

import attrs

from daisyline.coordination import node_handlers
from daisyline.coordination.calls import call_events as ev
from daisyline.coordination.calls import entry_handlers
from daisyline.coordination.calls import messages as msg
from daisyline.coordination.calls.fingerprint import fingerprint
from daisyline.coordination.membership.fact_events import FactChanged
from daisyline.coordination.node_core import NodeCore
from daisyline.state.facts import Fact
from daisyline.state.members import Member
from daisyline.state.settings import Settings
from daisyline.state.targets import Target
from tests.builders import run_message
from tests.support import function_tests

load_tests = function_tests(__name__)

PAGE = fingerprint(b'GET', b'/page', b'')
TARGET = Target('docs', 'v1', 'i1', '127.0.0.1', 9000, started_ms=1)


def _core(number: int) -> NodeCore:
    member = Member(f'n{number}', '127.0.0.1', 7400, 'ghent-a', 'flanders', 1)
    rng = random.Random(number)
    core = NodeCore.from_config(member, 'test', (), rng, 0)
    core.target_side.use_settings(Settings.from_tree(1, {'services': {}}), 0)
    node_handlers.handle(ev.TargetAnnounced(TARGET, 1), core, 0)
    return core


def _offer(
    core: NodeCore, call: str, now: float, path: bytes = b'/page'
) -> list[Any]:
    run = run_message(
        call,
        tenant='default',
        budget_ms=30_000,
        settings_version=0,
        path=path,
    )
    event = ev.CallMessageReceived('entry', run)
    return node_handlers.handle(event, core, now)


def _crash(core: NodeCore) -> None:
    _offer(core, 'c', 1)
    failed = ev.TargetCallFailed('c', True, True, 'closed')
    node_handlers.handle(failed, core, 1.3)


def _restart(core: NodeCore, now: float) -> None:
    started = attrs.evolve(TARGET, started_ms=2)
    node_handlers.handle(ev.TargetAnnounced(started, 1), core, now)


def _tell(source: NodeCore, *cores: NodeCore) -> None:
    for fact in _facts(source):
        for core in cores:
            node_handlers._apply_all([FactChanged(fact)], core, 4)


def test_a_request_answered_since_its_interruption_is_not_suspect() -> None:
    core, entry = _core(0), _core(1)
    _crash(core)
    puts = entry.quarantine.record_late_answer(PAGE, 2)
    core.crashes.apply_fact(FactChanged(puts[0].fact), 2)
    _restart(core, 4)
    assert core.quarantine.is_empty


def test_a_zone_that_crashes_and_returns_blocks_no_request() -> None:
    cores = [_core(0), _core(1)]
    for core in cores:
        _crash(core)
    for core in cores:
        _restart(core, 4)
        _tell(core, *cores)
    assert all(core.quarantine.must_run_alone(PAGE, 4) for core in cores)
    assert not any(core.quarantine.is_blocked(PAGE, 4) for core in cores)


def test_a_crash_counts_although_its_target_returns_after_its_lease() -> None:
    core = _core(0)
    _crash(core)
    node_handlers.tick(core, 3)
    assert core.quarantine.must_run_alone(PAGE, 3)


def test_the_loss_of_a_suspect_that_ran_alone_is_reported_at_once() -> None:
    # Until the target starts again, a re-send could crash other targets.
    core = _core(0)
    core.quarantine.record_crash([PAGE], 't', 0)
    _crash(core)
    assert core.quarantine.is_blocked(PAGE, 1.3)


def test_a_busy_target_is_kept_free_for_a_retrial() -> None:
    core = _core(0)
    _offer(core, 'busy', 0.5, b'/other')
    for at in (1, 2):
        core.quarantine.record_crash([PAGE], 't', at)
    _offer(core, 'claim', 8)
    assert _offer(core, 'early', 10)[0].message.reason == 'overloaded'
    assert _offer(core, 'late', 11, b'/other')[0].message.reason == 'overloaded'
    head = ev.TargetAnswerHead('busy', 200, (), b'', last=True)
    node_handlers.handle(head, core, 11.1)
    started = _offer(core, 'retrial', 11.2)
    assert ev.StartTargetCall in map(type, started)


def test_a_blocked_request_runs_again_at_the_node_that_claimed_it() -> None:
    core = _core(0)
    for at in (1, 2):
        core.quarantine.record_crash([PAGE], 't', at)
    refused = _offer(core, 'first', 8)[-1].message
    assert refused.reason == 'quarantined'
    started = _offer(core, 'second', 10)
    assert ev.StartTargetCall in map(type, started)
    head = ev.TargetAnswerHead('second', 200, (), b'', last=True)
    node_handlers.handle(head, core, 11)
    assert core.quarantine.is_empty


def _entry_of_two_targets() -> NodeCore:
    """Return a node that knows a target beside n0 and one beside n7."""
    core = _core(0)
    members = [
        Member(f'n{number}', '127.0.0.1', 7400 + number, 'a', 'b', 1, 1, TARGET)
        for number in (0, 7)
    ]
    core.entry.update_members(members, (), 0)
    return core


def _accept(core: NodeCore, call: str) -> list[Any]:
    request = ev.RequestReceived(
        call, 'docs', 't', b'GET', b'/page', (), b'', '', 9
    )
    return core.entry.accept(request, 1)


def test_an_entry_node_sends_a_blocked_request_to_the_claimant() -> None:
    core, claimant = _entry_of_two_targets(), _core(7)
    for at in (1, 2):
        claimant.quarantine.record_crash([PAGE], 't', at)
    puts = claimant.quarantine.claim_retrial(PAGE, 8)
    blocked = claimant.quarantine.record_crash([PAGE], 't', 9)
    for put in (*blocked, *puts):
        core.crashes.apply_fact(FactChanged(put.fact), 9)
    sent = [_accept(core, str(number))[0].node for number in range(9)]
    assert set(sent) == {'n7'}


def test_an_entry_node_tells_of_an_answer_after_a_lost_target() -> None:
    core = _entry_of_two_targets()
    first = _accept(core, 'c')[0].node
    lost = msg.CallRefused('c', 'target-lost', 'unknown', reached_target=True)
    answer = msg.AnswerHead('c', 200, (), b'', True, 0, 0, 1, 0)
    received = ev.CallMessageReceived(first, lost)
    second = entry_handlers.handle(received, core.entry, 2)[-1].node
    assert second != first
    node_handlers.handle(ev.CallMessageReceived(second, answer), core, 2)
    assert 'quarantine-answered' in {fact.kind for fact in _facts(core)}


def _facts(core: NodeCore) -> tuple[Fact, ...]:
    return tuple(core.fleet.facts.values())
