"""Where rollouts stand, and the calls that they are judged by."""

import enum
from typing import Any

import attrs

from daisyline.state.facts import Fact
from daisyline.state.rollout_plan import RolloutPlan

FACT_KIND = 'rollout'
FIRST_SHARE = 0.05
# Ranks leave room for each step, and within it for repeating the same step,
# so that a fact can be spread anew before its time is over.
_REPEATS = 1_000_000
_STAGE_RANK = 1_000_000_000_000
_MAX_STEPS = _STAGE_RANK // _REPEATS

_is_count = attrs.validators.and_(
    attrs.validators.instance_of(int), attrs.validators.ge(0)
)


class Stage(enum.StrEnum):
    """Where a rollout stands; a later stage never gives way to an earlier."""

    MOVING = 'moving'
    DONE = 'done'
    ROLLED_BACK = 'rolled-back'

    @property
    def order(self) -> int:
        """Return the stage's place in the order."""
        return tuple(Stage).index(self)


def fact_name_of(plan: RolloutPlan) -> str:
    """Return the name of the fact that says where a rollout stands."""
    return f'{plan.service}/{plan.id}'


@attrs.frozen
class RolloutState:
    """Where a rollout stands; standings of one rollout merge by rank.

    Attributes:
        stage: Moving, done or rolled back.
        step: How many times the share has grown.
        share: The new version's share of calls, 0 to 1.
        elapsed_ms: Milliseconds since the start when this was decided.
        why: One sentence with the numbers that decided it.
        repeat: How many times the same standing was spread anew.
    """

    stage: Stage = attrs.field(default=Stage.MOVING, converter=Stage)
    step: int = attrs.field(
        default=0, validator=[_is_count, attrs.validators.lt(_MAX_STEPS)]
    )
    share: float = attrs.field(
        default=FIRST_SHARE,
        validator=[
            attrs.validators.instance_of((int, float)),
            attrs.validators.ge(0),
            attrs.validators.le(1),
        ],
    )
    elapsed_ms: int = attrs.field(default=0, validator=_is_count)
    why: str = attrs.field(
        default='started', validator=attrs.validators.instance_of(str)
    )
    reissue_count: int = attrs.field(
        default=0, validator=[_is_count, attrs.validators.lt(_REPEATS)]
    )

    @property
    def rank(self) -> int:
        """Return the rank of the fact that carries this standing."""
        step = self.step if self.stage is Stage.MOVING else 0
        return (
            self.stage.order * _STAGE_RANK
            + step * _REPEATS
            + self.reissue_count
        )

    @property
    def progress_key(self) -> tuple[int, int]:
        """Return the stage and step, without the repeats."""
        step = self.step if self.stage is Stage.MOVING else 0
        return (self.stage.order, step)

    @classmethod
    def from_fact(cls, fact: Fact) -> 'RolloutState | None':
        """Read a standing from a fact; None if it does not hold one."""
        try:
            state = cls(*fact.payload)
        except (TypeError, ValueError):
            return None
        return state if state.rank == fact.rank else None

    def to_fact(self, name: str) -> Fact:
        """Return the fact that spreads this standing."""
        payload: tuple[Any, ...] = attrs.astuple(self)
        return Fact(FACT_KIND, name, self.rank, (str(self.stage), *payload[1:]))


@attrs.frozen
class CallSample:
    """One call as the node beside its target saw it end.

    Attributes:
        service: The service called.
        version: The version that the target runs.
        target: The target's instance.
        route: The route, with variable parts taken out.
        ok: Whether the target gave a whole answer that is no failure of its
            own; a refusal for load is no failure.
        service_us: Time that the target took, without the queue, in
            microseconds.
        cold: Whether the target was in a cold start.
        suspect: Whether the target crashed while it ran the call.
    """

    service: str
    version: str
    target: str
    route: str
    succeeded: bool
    service_us: int
    cold: bool = False
    target_crashed: bool = False


@attrs.frozen
class RolloutStatus:
    """Where a rollout stands, for operators."""

    service: str
    id: str
    state: str
    share: float
    why: str
