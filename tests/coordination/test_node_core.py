"""What the joined decisions of a node make of what its target does."""

import random
from typing import Any

from daisyline.coordination import call_events as ev
from daisyline.coordination import events as log
from daisyline.coordination import node_events
from daisyline.coordination.effects import PlatformReply
from daisyline.coordination.node_core import NodeCore
from daisyline.coordination.quarantine import fingerprint
from daisyline.coordination.reader_role import SETTINGS_KIND
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
    core.owner.use_settings(Settings.from_tree(1, {'services': {}}), 0)
    target = Target('docs', 'v1', 'i1', '127.0.0.1', 9000, Phase.READY)
    node_events.handle(ev.TargetAnnounced(target), core, 0)
    for number in range(WARM_CALLS):
        call = f'warm-{number}'
        _offer(core, call, b'/warm')
        _hear(core, ev.TargetHead(call, 200, (), b'', last=True))
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
    return _hear(core, ev.FromNode(node, run))


def _hear(core: NodeCore, event: Any) -> list[Any]:
    return node_events.handle(event, core, 1)


def test_a_crash_counts_once_for_all_the_calls_that_it_cuts() -> None:
    core = _core()
    paths = (b'/poison', b'/list', b'/stock')
    for path in paths:
        started = _offer(core, path.decode(), path)
        assert [type(effect) for effect in started] == [ev.StartTarget]
    for path in paths:
        _hear(core, ev.TargetFailed(path.decode(), True, True, 'closed'))
    for path in paths:
        suspect = core.quarantine._suspects[fingerprint(b'GET', path, b'')]
        assert (suspect.crashes, suspect.alone) == (1, 0)


def test_a_later_crash_of_the_same_call_counts_again() -> None:
    core = _core()
    for moment in (1.0, 3.0):
        _offer(core, 'c', b'/poison')
        failed = ev.TargetFailed('c', True, True, 'closed')
        node_events.handle(failed, core, moment)
    suspect = core.quarantine._suspects[fingerprint(b'GET', b'/poison', b'')]
    assert (suspect.crashes, suspect.alone) == (2, 2)


def test_a_node_that_stood_still_takes_its_own_calls_at_once() -> None:
    core = _core()
    for call in ('before', 'after'):
        started = _offer(core, call, b'/list', core.name)
        assert [type(effect) for effect in started] == [ev.StartTarget]
        _hear(core, ev.TargetHead(call, 200, (), b'', last=True))
        _hear(core, ev.Paused(1))


def test_a_store_that_is_lost_and_regained_is_logged_once_each() -> None:
    core = _core()
    seen: list[tuple[str, str, int]] = []

    def note(event: Any) -> None:
        if isinstance(event, log.PlatformRead):
            seen.append((event.kind, event.state, event.status))

    core.events.add_sink(note)
    now = 2.0
    for status in (503, 503, 200, 200):
        listing = _platform_call(core, now)
        reply = PlatformReply(listing.token, status, 7, [])
        node_events.handle(reply, core, now)
        now = max(core.next_at(), now) + 10
    assert seen == [
        ('settings', 'lost', 503),
        ('settings', 'regained', 200),
    ]


def _platform_call(core: NodeCore, now: float) -> Any:
    """Return the next read of settings that the node makes."""
    for _ in range(100):
        for effect in node_events.tick(core, now):
            if getattr(effect, 'kind', '') == SETTINGS_KIND:
                return effect
        now = core.next_at()
    raise AssertionError('no read was made')
