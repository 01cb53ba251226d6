"""A rollout as operators asked for it."""

import enum
from collections.abc import Mapping
from typing import Any

import attrs


class PlanState(enum.StrEnum):
    """What operators want of a rollout now."""

    MOVING = 'moving'
    STOPPED = 'stopped'


@attrs.frozen
class RolloutPlan:
    """What operators want: traffic of a service moves to another version.

    Attributes:
        service: The service whose version changes.
        id: Names this rollout; a new start has a new one.
        old: The version that traffic leaves.
        new: The version that traffic moves to.
        finish_in_s: Seconds from the start until the move has to be done.
        state: Moving, or stopped by operators.
    """

    service: str
    id: str
    old: str
    new: str
    finish_in_s: int
    state: PlanState = attrs.field(
        default=PlanState.MOVING, converter=PlanState
    )

    @classmethod
    def from_fields(
        cls, service: str, fields: Mapping[str, Any]
    ) -> 'RolloutPlan':
        """Build the plan from its checked entry in the settings tree."""
        return cls(service=service, **fields)
