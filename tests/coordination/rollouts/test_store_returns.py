"""A rollout goes on when the store comes back from an older copy."""

from random import Random
from typing import Any

import attrs

from daisyline.coordination.effects import (
    PlatformRead,
    PlatformReply,
    PlatformWrite,
)
from daisyline.coordination.membership.fact_events import FactChanged, PutFact
from daisyline.coordination.membership.fleet_events import StoreReturned
from daisyline.coordination.rollouts.rollout import Rollouts
from daisyline.coordination.rollouts.rollout_record import (
    LATE_WRITE_S,
    REWRITE_WINDOW_S,
    object_content,
)
from daisyline.state.rollout_plan import RolloutPlan
from daisyline.state.rollout_state import RolloutState, Stage
from tests.support import function_tests

load_tests = function_tests(__name__)

PLAN = RolloutPlan('docs', 'v2.57', '', 'v2', 60)
WRITTEN_AGAIN = attrs.evolve(PLAN, id='v2.19')
VERDICT = RolloutState(Stage.ROLLED_BACK, 0, 0, 900, 'bad')
RETURN = StoreReturned(2, 1)


def _judge(state: RolloutState = VERDICT) -> Rollouts:
    """Return the only judge of a rollout in a state, in step with the store."""
    rollouts = Rollouts.from_config('n1', Random(1), 0)
    rollouts.replace_plans({'docs': PLAN}, 0)
    rollouts.handle(FactChanged(state.to_fact('docs/v2.57')), 0)
    rollouts.tick(0)
    _let_read(rollouts, 3, 200, object_content(PLAN, state))
    return rollouts


def _let_read(
    rollouts: Rollouts, now: float, status: int, content: Any = None
) -> list[Any]:
    """Answer the read that is due; return the effects."""
    reads = [
        effect
        for effect in rollouts.tick(now)
        if isinstance(effect, PlatformRead)
    ]
    reply = PlatformReply(reads[0].token, status, 18, content, 2)
    return rollouts.handle(reply, now)


def test_a_verdict_stays_for_an_order_that_is_written_again() -> None:
    # Guards against a bad version that is brought in again.
    rollouts = _judge()
    rollouts.handle(RETURN, 4)
    effects = rollouts.replace_plans({'docs': WRITTEN_AGAIN}, 5)
    assert effects == [PutFact(VERDICT.to_fact('docs/v2.19'))]
    assert rollouts.is_rolled_back('docs', 'v2')
    write = _let_read(rollouts, 6, 200)[0]
    assert isinstance(write, PlatformWrite)
    assert write.version == 18
    assert write.content['id'] == 'v2.19'
    assert write.content['state'] == 'rolled-back'


def test_another_order_of_the_same_version_is_judged_anew() -> None:
    rollouts = _judge()
    rollouts.replace_plans({'docs': WRITTEN_AGAIN}, 5)
    assert not rollouts.is_rolled_back('docs', 'v2')
    rollouts = _judge()
    rollouts.handle(RETURN, 4)
    rollouts.replace_plans({'docs': WRITTEN_AGAIN}, 4 + REWRITE_WINDOW_S)
    assert not rollouts.is_rolled_back('docs', 'v2')


def test_a_verdict_is_written_soon_after_its_order() -> None:
    rollouts = _judge()
    rollouts.handle(RETURN, 4)
    now: float = 4
    # The order is not written again yet.
    while now < 4 + REWRITE_WINDOW_S - 1:
        now = rollouts.next_at()
        write = _let_read(rollouts, now, 404)[0]
        rollouts.handle(PlatformReply(write.token, 404, era=2), now)
        assert rollouts.next_at() <= now + 1
    now = rollouts.next_at()
    write = _let_read(rollouts, now, 200)[0]
    rollouts.handle(PlatformReply(write.token, 200, 21, era=2), now)
    # A write of the older era may still be carried out late.
    assert 0 < rollouts.next_at() - now <= LATE_WRITE_S


def test_a_conflict_is_followed_by_a_read_at_once() -> None:
    # Guards against a verdict that waits until a lost reply would be given up.
    rollouts = _judge()
    rollouts.handle(RETURN, 4)
    write = _let_read(rollouts, 5, 200)[0]
    rollouts.handle(PlatformReply(write.token, 409, 20, era=2), 5)
    assert rollouts.next_at() <= 6
    assert _let_read(rollouts, 6, 200)


def test_a_moving_rollout_keeps_its_share_and_its_judge() -> None:
    step = RolloutState(Stage.MOVING, 2, 0.25, 900, 'no failures')
    rollouts = _judge(step)
    rollouts.handle(RETURN, 4)
    rollouts.replace_plans({'docs': WRITTEN_AGAIN}, 5)
    assert rollouts.shares('docs') == {'': 0.75, 'v2': 0.25}
    assert rollouts.status()[0].id == 'v2.19'
