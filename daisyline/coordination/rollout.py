"""Rollouts: evidence goes to judges, verdicts spread as facts."""

import math
from collections.abc import Mapping, Sequence
from random import Random
from typing import Any

import attrs

from daisyline.state.rollout_state import (
    FIRST_SHARE,
    RolloutPlan,
    RolloutStatus,
    Sample,
)


@attrs.define
class Rollouts:
    """All rollouts as one node knows and judges them."""

    _node: str
    _rng: Random
    _plans: dict[str, RolloutPlan] = attrs.field(factory=dict)
    _members: tuple[str, ...] = ()

    @classmethod
    def from_config(cls, node: str, rng: Random, now: float) -> 'Rollouts':
        """Build the rollouts of a node."""
        return cls(node, rng)

    def replace_plans(
        self, plans: Mapping[str, RolloutPlan], now: float
    ) -> list[Any]:
        """Take over the plans of new settings, by service."""
        self._plans = dict(plans)
        return []

    def replace_members(self, names: Sequence[str]) -> None:
        """Take over the live nodes, this one included."""
        self._members = tuple(names)

    def observe(self, sample: Sample, now: float) -> None:
        """Count a call that ended at the target beside this node."""

    def handle(self, event: Any, now: float) -> list[Any]:
        """Take in evidence, a changed fact or an answer of the platform."""
        return []

    def tick(self, now: float) -> list[Any]:
        """Do what is due."""
        return []

    def next_at(self) -> float:
        """Return when `tick` has something to do next."""
        return math.inf

    def shares(self, service: str) -> Mapping[str, float] | None:
        """Return each version's share of calls; None without a rollout."""
        plan = self._plans.get(service)
        if plan is None:
            return None
        return {plan.new: FIRST_SHARE, plan.old: 1 - FIRST_SHARE}

    def stopped(self, service: str, version: str) -> bool:
        """Return whether a version gets no calls any more."""
        return False

    def status(self) -> list[RolloutStatus]:
        """Return where each rollout stands, for operators."""
        return [
            RolloutStatus(plan.service, plan.id, 'moving', FIRST_SHARE, '')
            for plan in self._plans.values()
        ]
