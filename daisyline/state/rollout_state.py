"""The state of rollouts, and samples of the calls that they are judged by."""

import enum
from typing import Any

import attrs

from daisyline.state.facts import Fact
from daisyline.state.rollout_plan import RolloutPlan

FACT_KIND = 'rollout'
FIRST_SHARE = 0.05
# A rank is made of the stage, the step and the number of reissues. Reissues
# raise the rank, so that a fact can be spread again before it expires.
_MAX_REISSUES = 1_000_000
_RANKS_PER_STAGE = 1_000_000_000_000
_MAX_STEPS = _RANKS_PER_STAGE // _MAX_REISSUES

_is_count = attrs.validators.and_(
    attrs.validators.instance_of(int), attrs.validators.ge(0)
)


class Stage(enum.StrEnum):
    """The stage of a rollout; it never returns to an earlier one."""

    MOVING = 'moving'
    DONE = 'done'
    ROLLED_BACK = 'rolled-back'

    @property
    def order(self) -> int:
        """Return the position of the stage among all stages."""
        return tuple(Stage).index(self)


def fact_name_of(plan: RolloutPlan) -> str:
    """Return the name of the fact that holds a rollout's state."""
    return f'{plan.service}/{plan.id}'


@attrs.frozen
class RolloutState:
    """The state of a rollout; of two states the one of larger rank is kept.

    Attributes:
        stage: Moving, done or rolled back.
        step: How many times the share has grown.
        share: The new version's share of calls, 0 to 1.
        elapsed_ms: The time from the start of the rollout to this decision,
            in milliseconds.
        why: One sentence with the numbers that led to the decision.
        reissue_count: How many times the same state was spread again.
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
        default=0, validator=[_is_count, attrs.validators.lt(_MAX_REISSUES)]
    )

    @property
    def rank(self) -> int:
        """Return the rank of the fact that holds this state."""
        step = self.step if self.stage is Stage.MOVING else 0
        return (
            self.stage.order * _RANKS_PER_STAGE
            + step * _MAX_REISSUES
            + self.reissue_count
        )

    @property
    def progress_key(self) -> tuple[int, int]:
        """Return the position of the stage and the step.

        Unlike the rank it is the same for each reissue of a state.
        """
        step = self.step if self.stage is Stage.MOVING else 0
        return (self.stage.order, step)

    @classmethod
    def from_fact(cls, fact: Fact) -> 'RolloutState | None':
        """Return the state in a fact; None if the fact is malformed."""
        try:
            state = cls(*fact.payload)
        except (TypeError, ValueError):
            return None
        return state if state.rank == fact.rank else None

    def to_fact(self, name: str) -> Fact:
        """Return the fact that spreads this state under a name."""
        payload: tuple[Any, ...] = attrs.astuple(self)
        return Fact(FACT_KIND, name, self.rank, (str(self.stage), *payload[1:]))


@attrs.frozen
class CallSample:
    """The outcome of one call, as the node beside its target observed it.

    Attributes:
        service: The service that was called.
        version: The version that the target runs.
        target: The target's instance name.
        route: The path of the call with its variable parts removed.
        succeeded: Whether the target sent a complete answer that reports no
            failure of its own; a refusal because of load is no failure.
        service_us: The time that the target took, without the time in the
            queue, in microseconds.
        cold: Whether the target was in a cold start or slowed by its host.
        target_crashed: Whether the target crashed while it ran the call.
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
    """The status of a rollout, as reported to operators.

    Attributes:
        service: The service whose version changes.
        id: The rollout's id.
        state: The rollout's stage.
        share: The new version's share of calls, 0 to 1.
        why: One sentence with the numbers that led to the last decision.
    """

    service: str
    id: str
    state: str
    share: float
    why: str
