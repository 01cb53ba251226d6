"""A store, the API for reports and the process of a node, as models."""

from collections.abc import Callable
from typing import Any

import attrs

from daisyline.coordination.duties.duties import Duties
from daisyline.coordination.duties.duty_config import DutyConfig
from daisyline.coordination.duties.duty_events import ReportUsage
from daisyline.coordination.effects import PlatformRead, PlatformReply
from daisyline.state.facts import Fact
from daisyline.state.members import Member

CONFIG = DutyConfig(window_s=5, late_s=10, lease_s=3, calls_per_s=50)
NEVER = float('inf')


@attrs.define
class FakeStore:
    """The object of the duty, with conditional writes."""

    revision: int = 0
    version: int = 0
    content: Any = None
    writes: int = 0
    reads: int = 0

    def apply(self, effect: Any) -> PlatformReply:
        """Execute a read or a write."""
        if isinstance(effect, PlatformRead):
            self.reads += 1
            if not self.version:
                return PlatformReply(effect.token, 404)
            return PlatformReply(effect.token, 200, self.version, self.content)
        self.writes += 1
        if effect.version != self.version:
            return PlatformReply(effect.token, 409, self.version)
        self.revision += 1
        self.version = self.revision
        self.content = effect.content
        return PlatformReply(effect.token, 200, self.version)


@attrs.define
class FakeApi:
    """Executes reports and checks what must never occur.

    Attributes:
        reports: The accepted counts, by window.
        accepted: Time, holder, token and window of each accepted call.
    """

    is_fenced: bool = True
    highest: int = 0
    reports: dict[int, dict[str, int]] = attrs.field(factory=dict)
    accepted: list[tuple[float, str, int, int]] = attrs.field(factory=list)
    _holders: dict[int, str] = attrs.field(factory=dict)
    _refused: set[tuple[str, int]] = attrs.field(factory=set)

    def execute(self, call: ReportUsage, now: float) -> int:
        """Execute a call and return the status."""
        owner = self._holders.setdefault(call.token, call.holder)
        assert owner == call.holder, 'two holders have the same token'
        if self.is_fenced and call.token < self.highest:
            return 409
        assert call.token >= self.highest, 'a lower token than was seen'
        self.highest = call.token
        counts = self.reports.setdefault(call.window, dict(call.counts))
        assert counts == call.counts, 'two reports of a window differ'
        self._check_order(call.holder, now)
        self.accepted.append((now, call.holder, call.token, call.window))
        return 200

    def record_answer(
        self, call: ReportUsage, status: int, is_suspended: bool
    ) -> None:
        """Record whether a holder now knows that its token was refused."""
        if status == 409 and not is_suspended:
            self._refused.add((call.holder, call.token))

    def check_sent(self, call: ReportUsage) -> None:
        """Check a call that a node sends now."""
        key = (call.holder, call.token)
        assert key not in self._refused, 'a refused token is used again'

    def _check_order(self, holder: str, now: float) -> None:
        """Check that holders do not act in the order A, B, A in a lease."""
        has_other = False
        for at, earlier, _token, _window in reversed(self.accepted):
            if at <= now - CONFIG.lease_s:
                return
            has_other = has_other or earlier != holder
            assert earlier != holder or not has_other, 'holders act A, B, A'


@attrs.define(eq=False)
class SimulatedNode:
    """One process of a node; its clock does not count suspensions."""

    member: Member
    duties: Duties
    suspended_s: float = 0
    suspended_at: float = 0
    is_running: bool = True
    is_suspended: bool = False
    is_cut: bool = False
    lost_at: float = NEVER
    facts: dict[Any, Fact] = attrs.field(factory=dict)
    pending: list[Callable[[], None]] = attrs.field(factory=list)
    drops: int = 0

    def update_lost(self, now: float) -> None:
        """Record since when other nodes get no answer from this one."""
        is_lost = self.is_cut or self.is_suspended or not self.is_running
        self.lost_at = min(self.lost_at, now) if is_lost else NEVER

    def merge(self, fact: Fact) -> bool:
        """Keep a fact unless it is known; return whether it was kept."""
        held = self.facts.get(fact.key)
        if held is not None and not fact.supersedes(held):
            return False
        self.facts[fact.key] = fact
        return True

    def reaches(self, other: 'SimulatedNode') -> bool:
        """Return whether messages pass between two nodes."""
        return self is other or not (self.is_cut or other.is_cut)
