"""A rollout as operators asked for it."""

import enum
from collections.abc import Mapping
from typing import Any

import attrs

FULL_PERCENT = 100


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
        old: The version that traffic leaves; empty for all but the new one.
        new: The version that traffic moves to.
        finish_in_s: Seconds from the start until the move has to be done.
        state: Moving, or stopped by operators.
        exposed_percent: The most of the traffic that the new version may get
            before it has been judged, in percent.
    """

    service: str
    id: str
    old: str
    new: str
    finish_in_s: int
    state: PlanState = attrs.field(
        default=PlanState.MOVING, converter=PlanState
    )
    exposed_percent: int = FULL_PERCENT

    @property
    def is_guarded(self) -> bool:
        """Return whether it goes from a small share to all calls at once."""
        return self.exposed_percent < FULL_PERCENT

    def is_old_version(self, version: str) -> bool:
        """Return whether traffic leaves a version."""
        if self.old:
            return version == self.old
        return version != self.new

    @classmethod
    def from_fields(
        cls, service: str, fields: Mapping[str, Any]
    ) -> 'RolloutPlan':
        """Build the plan from its checked entry in the settings tree."""
        return cls(service=service, **fields)
