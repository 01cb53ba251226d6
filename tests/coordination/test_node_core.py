"""Tests of the parts of a node together, driven by events of its target."""

import random
from typing import Any

from daisyline.coordination import events as log
from daisyline.coordination import node_handlers
from daisyline.coordination.calls import call_events as ev
from daisyline.coordination.calls.fingerprint import fingerprint
from daisyline.coordination.duties.duty_config import DutyConfig
from daisyline.coordination.effects import (
    CheckPresence,
    PlatformReply,
    PresenceChecked,
)
from daisyline.coordination.node_core import NodeCore
from daisyline.coordination.settings.reader_role import SETTINGS_KIND
from daisyline.state.members import Member
from daisyline.state.settings import Settings
from daisyline.state.targets import Phase, Target
from tests.builders import run_message
from tests.support import function_tests

load_tests = function_tests(__name__)

WARM_CALLS = 50


def _core() -> NodeCore:
    me = Member('n1', '127.0.0.1', 7400, 'ghent-a', 'flanders', 1)
    core = NodeCore.from_config(me, 'test', (), random.Random(1), 0)
    core.target_side.use_settings(Settings.from_tree(1, {'services': {}}), 0)
    target = Target('docs', 'v1', 'i1', '127.0.0.1', 9000, Phase.READY)
    node_handlers.handle(ev.TargetAnnounced(target), core, 0)
    for number in range(WARM_CALLS):
        call = f'warm-{number}'
        _offer(core, call, b'/warm')
        _handle(core, ev.TargetAnswerHead(call, 200, (), b'', last=True))
    return core


def _offer(
    core: NodeCore, call: str, path: bytes, node: str = 'entry'
) -> list[Any]:
    run = run_message(
        call,
        tenant='default',
        budget_ms=3000,
        settings_version=0,
        path=path,
    )
    return _handle(core, ev.CallMessageReceived(node, run))


def _handle(core: NodeCore, event: Any) -> list[Any]:
    return node_handlers.handle(event, core, 1)


def test_calls_are_counted_for_customers_unless_they_were_declined() -> None:
    # Guards against reports that miss calls or include some that never ran.
    core = _core()
    assert core.duties.usage is None
    core.duties.config = DutyConfig(window_s=5, late_s=10)
    core.duties.wall_clock = lambda: 12.0
    tenants = {'tenants': {'default': {}, 'acme': {'keys': ['h']}}}
    core.duties.use_settings(Settings.from_tree(2, tenants), 0)
    for call in ('ran', 'declined', 'unsent'):
        run = run_message(call, tenant='acme')
        _handle(core, ev.CallMessageReceived('entry', run))
    failed = ev.TargetCallFailed
    _handle(core, failed('declined', True, False, '', declined=True))
    _handle(core, failed('unsent', False, False, ''))
    _handle(core, ev.TargetAnswerHead('ran', 200, (), b'', last=True))
    _offer(core, 'anonymous', b'/')
    assert core.duties.usage is not None
    assert core.duties.usage.counters._totals == {2: {'acme': 1}}
    assert not core.duties.usage.counters._running


def _lose(core: NodeCore, call: str, now: float, *, is_present: bool) -> None:
    """Close the connection of a call, and check the target if asked to."""
    failed = ev.TargetCallFailed(call, True, True, 'closed')
    for effect in node_handlers.handle(failed, core, now):
        if isinstance(effect, CheckPresence):
            checked = PresenceChecked(effect.number, is_present)
            node_handlers.handle(checked, core, now)


def test_answers_that_a_running_target_breaks_off_are_no_crash() -> None:
    # Guards against a sound request that is blocked on all nodes, as the
    # answers to it break off where targets report no start time.
    core = _core()
    for moment in (1, 2, 3):
        _offer(core, 'c', b'/list')
        _lose(core, 'c', moment, is_present=True)
    assert core.quarantine.is_empty
    assert not core.crashes._unproved


def test_a_crash_counts_once_for_all_calls_that_it_interrupts() -> None:
    core = _core()
    paths = (b'/poison', b'/list', b'/stock')
    for path in paths:
        started = _offer(core, path.decode(), path)
        assert [type(effect) for effect in started] == [ev.StartTargetCall]
    for path in paths:
        _lose(core, path.decode(), 1, is_present=False)
    for path in paths:
        suspect = core.quarantine._histories[fingerprint(b'GET', path, b'')]
        assert (suspect.crashes, suspect.sole_crashes) == (1, 0)


def test_a_later_crash_of_the_same_call_counts_again() -> None:
    core = _core()
    for moment in (1.0, 3.0):
        _offer(core, 'c', b'/poison')
        _lose(core, 'c', moment, is_present=False)
    suspect = core.quarantine._histories[fingerprint(b'GET', b'/poison', b'')]
    assert (suspect.crashes, suspect.sole_crashes) == (2, 2)


def test_a_node_accepts_its_own_calls_right_after_a_suspension() -> None:
    core = _core()
    for call in ('before', 'after'):
        started = _offer(core, call, b'/list', core.name)
        assert [type(effect) for effect in started] == [ev.StartTargetCall]
        _handle(core, ev.TargetAnswerHead(call, 200, (), b'', last=True))
        _handle(core, ev.ProcessPaused(1))


def test_loss_and_return_of_the_platform_are_logged_once_each() -> None:
    core = _core()
    seen: list[tuple[str, str, int]] = []

    def record(event: Any) -> None:
        if isinstance(event, log.PlatformRead):
            seen.append((event.kind, event.state, event.status))

    core.events.add_sink(record)
    now = 2.0
    for status in (503, 503, 200, 200):
        effect = _next_settings_read(core, now)
        reply = PlatformReply(effect.token, status, 7, [])
        node_handlers.handle(reply, core, now)
        now = max(core.next_at(), now) + 10
    assert seen == [
        ('settings', 'lost', 503),
        ('settings', 'regained', 200),
    ]


def _next_settings_read(core: NodeCore, now: float) -> Any:
    """Run timers until the node reads settings and return that effect."""
    for _ in range(100):
        for effect in node_handlers.tick(core, now):
            if getattr(effect, 'kind', '') == SETTINGS_KIND:
                return effect
        now = core.next_at()
    raise AssertionError('the node made no read')


def test_a_target_that_leaves_by_an_answer_stays_out_when_announced_ready() -> (
    None
):
    core = _core()
    target = core.target_side.target
    assert target is not None
    _handle(core, ev.TargetLeaving(*target.incarnation))
    _handle(core, ev.TargetAnnounced(target, sequence=9))
    refused = _offer(core, 'late', b'/list')[0].message
    assert (refused.reason, refused.outcome) == ('leaving', 'not-run')
    candidates = core.entry.table.candidates('docs', 1)
    assert all(not candidate.weight for candidate in candidates)
