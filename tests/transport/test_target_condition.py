"""What answers say of their target's condition is reported once it changes."""

from typing import Any

import attrs

from daisyline.coordination.admission.limit_events import TargetLimitReported
from daisyline.coordination.calls.call_events import TargetLeaving
from daisyline.platform.wire import DIALECT
from daisyline.protocol.http_messages import Head
from daisyline.state.targets import Target
from daisyline.transport.target_condition import TargetCondition
from tests.support import function_tests

load_tests = function_tests(__name__)

TARGET = Target('shop', 'v1', 'i1', '127.0.0.1', 80, started_ms=1)


def _limited(limit: bytes, status: int = 200) -> Head:
    return Head(status, ((b'Server-Limit', limit),))


def test_a_limit_is_reported_when_it_is_named_changed_and_ended() -> None:
    events: list[Any] = []
    condition = TargetCondition(events.append, DIALECT)
    heads = (Head(200, ()), _limited(b'7.5'), _limited(b'7.5'))
    for head in (*heads, _limited(b'6', status=503), Head(200, ())):
        condition.report(TARGET, head)
    assert events == [
        TargetLimitReported(TARGET.incarnation, 7.5, '7.5'),
        TargetLimitReported(TARGET.incarnation, 6.0, '6'),
        TargetLimitReported(TARGET.incarnation, 0, ''),
    ]


def test_a_limit_never_passes_on_to_another_start_of_a_target() -> None:
    events: list[Any] = []
    condition = TargetCondition(events.append, DIALECT)
    condition.report(TARGET, _limited(b'7.5'))
    condition.report(attrs.evolve(TARGET, started_ms=2), Head(200, ()))
    assert [event.incarnation for event in events] == [TARGET.incarnation]


def test_an_answer_of_another_instance_says_nothing_of_the_target() -> None:
    events: list[Any] = []
    condition = TargetCondition(events.append, DIALECT)
    condition.report(TARGET, _limited(b'1', status=421))
    assert not events


def test_a_target_that_says_it_leaves_is_reported_once() -> None:
    events: list[Any] = []
    condition = TargetCondition(events.append, DIALECT)
    leaving = Head(200, ((b'Server-Leaving', b'1'),))
    for head in (Head(200, ()), leaving, leaving, Head(200, ())):
        condition.report(TARGET, head)
    assert events == [TargetLeaving(*TARGET.incarnation)]
    for said in (b'0', b'yes', b''):
        other = TargetCondition(events.append, DIALECT)
        other.report(TARGET, Head(200, ((b'Server-Leaving', said),)))
    assert len(events) == 1
