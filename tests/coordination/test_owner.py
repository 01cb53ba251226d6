"""The target's side of calls: what a re-send under a key gets."""

from collections.abc import Iterator
from typing import Any

from daisyline.coordination import call_events as ev
from daisyline.coordination import messages as msg
from daisyline.coordination import owner_events
from daisyline.coordination.events import EventLog
from daisyline.coordination.owner import Owner
from daisyline.state.settings import Settings
from daisyline.state.targets import Target
from tests.support import fixture, function_tests

load_tests = function_tests(__name__)


@fixture
def owner() -> Iterator[Owner]:
    """A node beside a target that is ready."""
    made = Owner.from_config('n', 'z', EventLog.from_config())
    made.use_settings(Settings.from_tree(1, {'services': {'docs': {}}}), 0)
    made.use_target(Target('docs', 'v1', 'i', '127.0.0.1', 1), 0)
    yield made


def _only(effects: list[Any]) -> Any:
    assert len(effects) == 1
    return effects[0]


def _order(call: str, body: bytes) -> ev.FromNode:
    run = msg.Run(
        call=call,
        attempt=1,
        service='docs',
        tenant='t',
        budget_ms=5000,
        repeatable=False,
        key='k',
        retried=False,
        may_move=False,
        settings_version=1,
        method=b'POST',
        path=b'/order',
        headers=(),
        body=body,
    )
    return ev.FromNode('e', run)


def test_a_key_used_again_for_another_request_gets_no_answer_of_the_first(
    owner: Owner,
) -> None:
    started = _only(owner_events.handle(_order('c1', b'goggles'), owner, 1))
    assert isinstance(started, ev.StartTarget)
    head = ev.TargetHead('c1', 200, (), b'sold', last=True)
    owner_events.handle(head, owner, 2)
    again = _only(owner_events.handle(_order('c2', b'goggles'), owner, 3))
    assert again.message.body == b'sold'
    other = _only(owner_events.handle(_order('c3', b'gloves'), owner, 3))
    assert isinstance(other.message, msg.Refused)
    assert other.message.outcome == 'not-run'


def test_a_re_send_while_the_first_runs_does_not_run(owner: Owner) -> None:
    owner_events.handle(_order('c1', b''), owner, 1)
    refusal = _only(owner_events.handle(_order('c2', b''), owner, 2))
    assert (refusal.message.reason, refusal.message.outcome) == (
        'duplicate',
        'unknown',
    )
