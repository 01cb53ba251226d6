"""One node's part in the usage report while the report is enabled."""

import functools
import math
from collections.abc import Mapping
from typing import Any

import attrs

from daisyline.coordination.duties import duty_steps
from daisyline.coordination.duties.duty_config import DutyConfig, Moment
from daisyline.coordination.duties.duty_holder import DutyHolder
from daisyline.coordination.duties.duty_record import DutyNotice
from daisyline.coordination.duties.duty_stages import Candidacy
from daisyline.coordination.duties.duty_store import DutyStore
from daisyline.coordination.duties.report_calls import ReportCalls
from daisyline.coordination.duties.usage_counters import (
    MAX_PHASE_S,
    UsageCounters,
)
from daisyline.coordination.duties.usage_messages import UsageCounts
from daisyline.coordination.duties.window_closing import WindowCloser
from daisyline.coordination.effects import Send
from daisyline.coordination.membership.overlay import stable_hash
from daisyline.state.members import Member

# A node that has just started learns of the holder from other nodes before it
# takes part as a candidate.
START_DELAY_S = 2.0
# How often members are compared with the known holder.
_REVIEW_INTERVAL_S = 0.5
_PHASES = 1024
_MAX_CACHED_HASHES = 4096

Effects = list[Any]


@attrs.define
class UsageDuty:
    """Counts beside the target, and the duty to report those of all nodes.

    Attributes:
        customers: The names of the customers with keys.
        counters: The counts of this node.
        holder: This node's part in the choice of the holder.
        closer: Collects the counts of all nodes, if this node is the holder.
        reports: The calls of the holder.
    """

    _name: str
    _config: DutyConfig
    customers: frozenset[str]
    counters: UsageCounters
    holder: DutyHolder
    closer: WindowCloser
    reports: ReportCalls
    _enabled_at: float
    _failing_since: float = math.inf
    _rank: int | None = None
    _reviewed_at: float = -math.inf

    @classmethod
    def from_config(
        cls,
        config: DutyConfig,
        member: Member,
        customers: frozenset[str],
        at: Moment,
    ) -> 'UsageDuty':
        """Build the part of a node from the present window on."""
        phase = stable_hash(f'duty/phase/{member.name}') % _PHASES / _PHASES
        first = config.window_of(at.wall)
        return cls(
            name=member.name,
            config=config,
            customers=customers,
            counters=UsageCounters(
                config, member.incarnation, phase * MAX_PHASE_S
            ),
            holder=DutyHolder(
                config,
                DutyStore(f'duty-usage-{member.incarnation}-'),
                DutyNotice(newest=first - 1),
                member.name,
                member.incarnation,
            ),
            closer=WindowCloser(config),
            reports=ReportCalls(config, member.name),
            enabled_at=at.now,
        )

    def learn(self, notice: DutyNotice, now: float) -> Effects:
        """Learn of a holder or of a window that is written."""
        token = self.holder.known.token
        effects = self.holder.learn(notice, now)
        self._use_known(token, now)
        return effects

    def change_members(self) -> None:
        """Rank the candidates anew, as nodes have joined or left."""
        self._rank = None

    def next_at(self, members: Mapping[str, Member], at: Moment) -> float:
        """Return when `tick` must be called next, in monotonic seconds."""
        held = self.holder.holding
        next_at = min(
            self.counters.next_at(),
            duty_steps.next_at(self.holder, self._candidacy(members), at),
        )
        if held is None:
            return min(next_at, self._reviewed_at + _REVIEW_INTERVAL_S)
        next_at = min(next_at, self.reports.next_at(held, at))
        if held.must_read or self.holder.store.is_busy:
            # The store's reply comes before a write.
            return next_at
        unconfirmed = self.reports.unconfirmed(held)
        close_at = self.closer.next_at(held, unconfirmed, at)
        return min(next_at, max(close_at, self.holder.store.next_at()))

    def tick(
        self,
        members: Mapping[str, Member],
        suspects: Mapping[str, float],
        at: Moment,
    ) -> Effects:
        """Return the effects that are due."""
        self.closer.review_fleet(len(members), at.now)
        self._review_holder(members, suspects, at)
        token = self.holder.known.token
        was_holding = self.holder.holding is not None
        effects = [
            *self._send_counts(members, at),
            *self._write_windows(members, at),
            *duty_steps.tick(self.holder, self._candidacy(members), at),
        ]
        self.follow(token, at, was_holding=was_holding)
        held = self.holder.holding
        if held is not None:
            effects += self.reports.tick(held, at)
        return effects

    def follow(self, token: int, at: Moment, *, was_holding: bool) -> None:
        """Adapt the other parts after the holder's stage may have changed.

        Args:
            token: The token that was known before.
            at: The present time.
            was_holding: Whether this node was the holder before.
        """
        held = self.holder.holding
        if held is not None and not was_holding:
            self.reports.restart(held)
        self._use_known(token, at.now)

    def last_counts(self, members: Mapping[str, Member], at: Moment) -> Effects:
        """Return the last messages of a node that stops."""
        known = self.holder.known
        message = self.counters.message(known, at, is_leaving=True)
        if message is None or not known.token:
            return []
        return [Send(node, message) for node in self._receivers(members)]

    def accept_counts(self, node: str, message: UsageCounts) -> bool:
        """Take the counts of a node; return whether they are for this one.

        The deputy of the holder gets the holder's own counts.
        """
        if message.token != self.holder.known.token:
            return False
        self.closer.collection.record(node, message)
        return True

    def _use_known(self, token: int, now: float) -> None:
        known = self.holder.known
        if known.token != token:
            self._rank = None
            self._failing_since = math.inf
            self._reviewed_at = -math.inf
            self.counters.send_now(now)
        if known.token:
            self.counters.drop_written(known.newest)
            self.closer.collection.drop_written(known.newest)
        held = self.holder.holding
        if held is not None:
            self.reports.forget(held.record.reports)

    def _send_counts(
        self, members: Mapping[str, Member], at: Moment
    ) -> Effects:
        known = self.holder.known
        if at.now < self.counters.next_at():
            return []
        message = self.counters.message(known, at)
        if message is None or not known.token:
            return []
        return [Send(node, message) for node in self._receivers(members)]

    def _receivers(self, members: Mapping[str, Member]) -> list[str]:
        """Return the nodes that get the counts of this one.

        The counts of the holder would be lost with it, so a deputy, which is
        the candidate after it, gets them too.
        """
        holder = self.holder.known.holder
        others = [one for one in members.values() if one.name != holder]
        if holder != self._name or not others:
            return [holder]
        return [holder, min(others, key=_order_of).name]

    def _write_windows(
        self, members: Mapping[str, Member], at: Moment
    ) -> Effects:
        """Write the reports of the windows that can be closed.

        The write renews the lease. Without a window to close, the lease is
        renewed once for a report whose call would otherwise come too late.
        """
        held = self.holder.holding
        if held is None or held.must_read or self.holder.store.is_busy:
            return []
        if at.now < self.holder.store.next_at():
            return []
        added = self.closer.closable(held, members, self.customers, at)
        unconfirmed = self.reports.unconfirmed(held)
        if not added and not self.closer.must_renew(held, unconfirmed, at):
            return []
        return self.holder.write_reports(added, self.reports.confirmed, at)

    def _review_holder(
        self,
        members: Mapping[str, Member],
        suspects: Mapping[str, float],
        at: Moment,
    ) -> None:
        """Look whether the known holder is still a member."""
        if at.now < self._reviewed_at + _REVIEW_INTERVAL_S:
            return
        self._reviewed_at = at.now
        is_failing = (
            self._is_gone(members) or self.holder.known.holder in suspects
        )
        if not is_failing:
            self._failing_since = math.inf
        elif math.isinf(self._failing_since):
            started_at = self._enabled_at + START_DELAY_S
            self._failing_since = max(at.now, started_at)

    def _is_gone(self, members: Mapping[str, Member]) -> bool:
        """Return whether the known holder has left or has given up."""
        known = self.holder.known
        if known.holder == self._name:
            return self.holder.holding is None
        return known.holder not in members

    def _rank_among(self, members: Mapping[str, Member]) -> int:
        """Return the number of candidates before this node.

        The known holder is none, as it is replaced if it fails.
        """
        own = members.get(self._name)
        if own is None:
            return len(members)
        own_order = _order_of(own)
        return sum(
            _order_of(member) < own_order
            for member in members.values()
            if member.name != self.holder.known.holder
        )

    def _candidacy(self, members: Mapping[str, Member]) -> Candidacy:
        if self._rank is None:
            self._rank = self._rank_among(members)
        return Candidacy(
            rank=self._rank,
            member_count=len(members),
            failing_since=self._failing_since,
        )


def _order_of(member: Member) -> tuple[bool, int]:
    """Return the key that orders candidates.

    All nodes that know the same members agree on the order. Members that
    can't read the platform come last.
    """
    return (member.platform_unreadable, _hash_of(member.name))


@functools.lru_cache(maxsize=_MAX_CACHED_HASHES)
def _hash_of(name: str) -> int:
    return stable_hash(f'duty/usage/{name}')
