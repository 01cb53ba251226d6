"""The duties of one node; none while its settings do not enable them."""

from collections.abc import Callable, Mapping
from typing import Any

import attrs

from daisyline.coordination import events as log
from daisyline.coordination.duties.duty_config import DutyConfig, Moment
from daisyline.coordination.duties.duty_record import (
    FACT_KIND,
    USAGE_DUTY,
    DutyNotice,
)
from daisyline.coordination.duties.usage_duty import UsageDuty
from daisyline.state.facts import Fact
from daisyline.state.members import Member
from daisyline.state.settings import Settings

_NEVER = float('inf')
# Messages of many nodes are handled together before windows are looked at.
_BATCH_S = 0.02
_NO_CUSTOMERS = frozenset(('', 'default'))


Facts = Mapping[tuple[str, str], Fact]


def _no_facts() -> Facts:
    return {}


def _no_suspects() -> Mapping[str, float]:
    return {}


@attrs.define
class Duties:
    """Enables the usage report as the settings say, and drives it.

    Attributes:
        own_member: This node.
        events: Where decisions are recorded.
        config: The settings of the usage report; None if there is none.
        wall_clock: Returns the seconds since the start of 1970.
        members: Returns the live members, by name.
        suspects: Returns the suspected members.
        facts: Returns the facts that this node holds.
        usage: The usage report; None while it is not enabled.
    """

    own_member: Member
    events: log.EventLog
    config: DutyConfig | None = None
    wall_clock: Callable[[], float] = float
    members: Callable[[], Mapping[str, Member]] = dict
    suspects: Callable[[], Mapping[str, float]] = _no_suspects
    facts: Callable[[], Facts] = _no_facts
    usage: UsageDuty | None = None
    _next_at: float = _NEVER

    def next_at(self) -> float:
        """Return when `tick` must be called next, in monotonic seconds."""
        return self._next_at

    def moment(self, now: float) -> Moment:
        """Return the readings of both clocks."""
        return Moment(now, self.wall_clock())

    def use_settings(self, settings: Settings, now: float) -> None:
        """Enable or disable the report and use the present customers."""
        customers = customers_with_keys(settings)
        if self.config is None or not customers:
            self.usage = None
            self._next_at = _NEVER
            return
        if self.usage is not None:
            self.usage.customers = customers
            return
        self.usage = UsageDuty.from_config(
            self.config, self.own_member, customers, self.moment(now)
        )
        self.schedule(now)
        notice = DutyNotice.from_fact(self.facts().get((FACT_KIND, USAGE_DUTY)))
        if notice is not None:
            self.usage.learn(notice, now)

    def schedule(self, at: float) -> None:
        """Call `tick` no later than a time in monotonic seconds."""
        self._next_at = min(self._next_at, at)

    def schedule_batch(self, now: float) -> None:
        """Call `tick` once the messages that arrive now are handled."""
        self.schedule(now + _BATCH_S)

    def tick(self, now: float) -> list[Any]:
        """Return the effects that are due."""
        usage = self.usage
        if usage is None:
            self._next_at = _NEVER
            return []
        at = self.moment(now)
        members = self.members()
        effects = usage.tick(members, self.suspects(), at)
        next_at = usage.next_at(members, at)
        # Work that became due in this tick is done in the next one.
        self._next_at = max(next_at, now + _BATCH_S)
        return effects

    def leave(self, now: float) -> list[Any]:
        """Return the last counts of this node, and stop to be the holder."""
        usage = self.usage
        self.usage = None
        self._next_at = _NEVER
        if usage is None:
            return []
        self.config = None
        return usage.last_counts(self.members(), self.moment(now))

    def change_members(self, now: float) -> None:
        """Take account of nodes that have joined or left."""
        if self.usage is not None:
            self.usage.change_members()
            self.schedule(now)

    def record_start(self, call: str, customer: str, now: float) -> None:
        """Count a call that is passed to the target."""
        if self.usage is None or customer in _NO_CUSTOMERS:
            return
        self.usage.counters.record_start(call, customer, self.moment(now))
        self.schedule(self.usage.counters.next_at())

    def record_declined(self, call: str) -> None:
        """Take back a call that the target did not execute."""
        if self.usage is not None:
            self.usage.counters.record_declined(call)

    def record_end(self, call: str) -> None:
        """Forget a call that has ended at the target."""
        if self.usage is not None:
            self.usage.counters.record_end(call)

    def counters(self) -> Mapping[str, float]:
        """Return the metrics that only increase; none without duties."""
        if self.usage is None:
            return {}
        return {
            'duty_takeovers_total': self.usage.holder.takeovers,
            'duty_store_calls_total': self.usage.holder.store.calls,
            'usage_reports_total': self.usage.reports.reported,
            'usage_reports_refused_total': self.usage.reports.refused,
            'usage_late_calls_total': self.usage.closer.collection.late_calls,
            'usage_dropped_calls_total': self.usage.counters.dropped,
        }

    def gauges(self) -> Mapping[str, float]:
        """Return the metrics that go up and down; none without duties."""
        if self.usage is None:
            return {}
        held = self.usage.holder.holding
        unconfirmed = (
            [] if held is None else self.usage.reports.unconfirmed(held)
        )
        return {
            'duty_held': int(held is not None),
            'duty_token': self.usage.holder.known.token,
            'usage_unconfirmed_reports': len(unconfirmed),
        }


def customers_with_keys(settings: Settings) -> frozenset[str]:
    """Return the names of the customers that have keys."""
    tenants = settings.tree.get('tenants', {})
    return frozenset(
        name for name, entry in tenants.items() if entry.get('keys')
    )
