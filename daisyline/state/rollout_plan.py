"""Rollout plans: what operators request of a rollout."""

import enum
from collections.abc import Mapping
from typing import Any

import attrs

FULL_PERCENT = 100


class PlanState(enum.StrEnum):
    """What operators currently request of a rollout."""

    MOVING = 'moving'
    STOPPED = 'stopped'


@attrs.frozen
class RolloutPlan:
    """A request to move the traffic of a service to another version.

    Attributes:
        service: The service whose version changes.
        id: The id of this rollout; each start has a new one.
        old: The version that traffic is moved from; empty for every version
            but the new one.
        new: The version that traffic is moved to.
        finish_in_s: The time from the start until the rollout has to be
            finished, in seconds.
        state: Moving, or stopped by operators.
        exposed_percent: The largest share of the traffic that the new version
            may get before it has been judged, in percent.
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
        """Return whether the new version's share is limited until judged.

        Such a rollout goes from a small share to all calls in one step.
        """
        return self.exposed_percent < FULL_PERCENT

    def is_old_version(self, version: str) -> bool:
        """Return whether traffic is moved from a version."""
        if self.old:
            return version == self.old
        return version != self.new

    @classmethod
    def from_fields(
        cls, service: str, fields: Mapping[str, Any]
    ) -> 'RolloutPlan':
        """Build the plan from its checked entry in the settings tree."""
        return cls(service=service, **fields)
