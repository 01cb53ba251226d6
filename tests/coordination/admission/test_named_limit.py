"""A target gets no more calls a second than it says that it takes."""

import heapq
import math
from collections.abc import Iterator
from typing import Any

import attrs

from daisyline.coordination.admission.limit_events import TargetLimitReported
from daisyline.coordination.calls import call_events as ev
from daisyline.coordination.calls import messages as msg
from daisyline.coordination.calls import target_side_handlers
from daisyline.coordination.calls.target_side import TargetSide
from daisyline.coordination.events import EventLog
from daisyline.state.settings import Settings
from daisyline.state.targets import Phase, Target
from tests.builders import run_message
from tests.support import fixture, function_tests

load_tests = function_tests(__name__)

# A target may get this many times its limit in any window, and some more.
WINDOW_S = 4.0
OVER = 1.5
SLACK = 5
SERVICE_S = 0.06
AT_ONCE_S = 0.05
SLOTS = 6
TARGET = Target(
    'docs', 'v1', 'i1', '127.0.0.1', 80, Phase.READY, started_ms=1, slots=SLOTS
)


@attrs.define
class LoadedTarget:
    """A target that answers after `SERVICE_S`, under more calls than it takes.

    Attributes:
        side: The target side of its node.
        now: Monotonic seconds.
        starts: When calls were started.
        started_calls: The calls that were started.
        refusals: When calls were refused, and after which wait.
        per_s: How many calls arrive in a second.
        may_move: Whether other targets may take the calls.
    """

    side: TargetSide
    now: float = 0
    starts: list[float] = attrs.field(factory=list)
    started_calls: set[str] = attrs.field(factory=set)
    refusals: list[tuple[float, float]] = attrs.field(factory=list)
    per_s: float = 60
    may_move: bool = True
    _offer_at: float = 0
    _ends: list[tuple[float, str]] = attrs.field(factory=list)
    _offered_at: dict[str, float] = attrs.field(factory=dict)

    def name_limit(self, per_s: float | None, target: Target = TARGET) -> None:
        """Report the limit that an answer names."""
        self._handle(TargetLimitReported(target.incarnation, per_s))

    def run(self, seconds: float) -> None:
        """Offer calls at even intervals and end those that run."""
        until = self.now + seconds
        self._offer_at = max(self._offer_at, self.now)
        while self._next_at() < until:
            self.now = self._next_at()
            self._step()
        self.now = until

    def offer(self, run: msg.RunCall) -> None:
        """Offer a call now."""
        self._offered_at[run.call] = self.now
        self._handle(ev.CallMessageReceived('e', run))

    def most_starts(self, since: float) -> int:
        """Return the most starts in a window that begins later than a time."""
        return max(
            sum(start <= other < start + WINDOW_S for other in self.starts)
            for start in self.starts
            if start >= since
        )

    def _next_at(self) -> float:
        end_at = self._ends[0][0] if self._ends else math.inf
        return min(self._offer_at, end_at, max(self.now, self.side.next_at()))

    def _step(self) -> None:
        if self._ends and self._ends[0][0] <= self.now:
            call = heapq.heappop(self._ends)[1]
            self._handle(ev.TargetAnswerHead(call, 200, (), b'', last=True))
        elif self._offer_at <= self.now:
            self._offer_at += 1 / self.per_s
            self._offer()
        else:
            self._apply(target_side_handlers.tick(self.side, self.now))

    def _offer(self) -> None:
        call = f'c{len(self._offered_at)}'
        run = run_message(call, budget_ms=800, may_move=self.may_move)
        self.offer(run)

    def _handle(self, event: Any) -> None:
        self._apply(target_side_handlers.handle(event, self.side, self.now))

    def _apply(self, effects: list[Any]) -> None:
        for effect in effects:
            if isinstance(effect, ev.StartTargetCall):
                self.starts.append(self.now)
                self.started_calls.add(effect.call)
                heapq.heappush(self._ends, (self.now + SERVICE_S, effect.call))
            elif isinstance(effect, ev.SendReply) and isinstance(
                effect.message, msg.CallRefused
            ):
                call = effect.message.call
                waited_s = self.now - self._offered_at[call]
                self.refusals.append((self.now, waited_s))


@fixture
def loaded_target() -> Iterator[LoadedTarget]:
    """Yield a target with six slots that is offered 60 calls a second."""
    side = TargetSide.from_config('n', 'z', EventLog.from_config())
    side.use_settings(Settings.from_tree(1, {'services': {'docs': {}}}), 0)
    side.use_target(TARGET, 0)
    yield LoadedTarget(side)


def test_a_target_that_names_a_limit_gets_no_more_calls_than_that(
    loaded_target: LoadedTarget,
) -> None:
    loaded_target.run(3)
    for per_s in (7.4, 0.25, 40.0, 2.0):
        loaded_target.name_limit(per_s)
        named_at = loaded_target.now
        loaded_target.run(12)
        most = loaded_target.most_starts(named_at)
        assert most <= OVER * per_s * WINDOW_S + SLACK, per_s
        taken = sum(start >= named_at for start in loaded_target.starts)
        assert taken >= int(0.9 * 12 * per_s), per_s


def test_calls_beyond_a_named_limit_are_refused_at_once(
    loaded_target: LoadedTarget,
) -> None:
    loaded_target.per_s = 200
    loaded_target.run(3)
    loaded_target.name_limit(7.4)
    named_at = loaded_target.now
    loaded_target.run(4)
    arrived_later = [
        waited_s
        for at, waited_s in loaded_target.refusals
        if at - waited_s > named_at
    ]
    assert arrived_later
    assert max(arrived_later) < AT_ONCE_S
    at_naming = [at for at, _wait in loaded_target.refusals if at == named_at]
    assert at_naming


def test_a_limit_ends_when_it_is_named_no_longer(
    loaded_target: LoadedTarget,
) -> None:
    loaded_target.name_limit(2)
    loaded_target.run(5)
    loaded_target.name_limit(0)
    ended_at = loaded_target.now
    loaded_target.run(4)
    assert loaded_target.most_starts(ended_at) > 0.9 * 4 * loaded_target.per_s


def test_a_limit_that_is_unreadable_changes_nothing(
    loaded_target: LoadedTarget,
) -> None:
    loaded_target.name_limit(None)
    loaded_target.run(4)
    assert loaded_target.most_starts(0) > 0.9 * 4 * loaded_target.per_s
    loaded_target.name_limit(2)
    loaded_target.name_limit(None)
    named_at = loaded_target.now
    loaded_target.run(5)
    assert loaded_target.most_starts(named_at) <= OVER * 2 * WINDOW_S + SLACK


def test_a_limit_never_passes_on_to_the_next_start_of_a_target(
    loaded_target: LoadedTarget,
) -> None:
    loaded_target.name_limit(2)
    loaded_target.run(5)
    replaced = attrs.evolve(TARGET, started_ms=2)
    loaded_target.side.use_target(replaced, loaded_target.now)
    loaded_target.name_limit(2)
    started_at = loaded_target.now
    loaded_target.run(4)
    assert loaded_target.most_starts(started_at) > 0.9 * 4 * loaded_target.per_s


def test_a_limited_target_seems_as_slow_as_its_limit(
    loaded_target: LoadedTarget,
) -> None:
    loaded_target.run(3)
    for per_s in (7.4, 40.0, 0.25):
        loaded_target.name_limit(per_s)
        load = loaded_target.side.load
        reported_per_s = load.limit * 1_000_000 / load.service_us
        assert 0.6 * per_s < reported_per_s < 1.1 * per_s


def test_a_limited_target_starts_more_urgent_calls_first(
    loaded_target: LoadedTarget,
) -> None:
    loaded_target.may_move = False
    loaded_target.run(1)
    loaded_target.name_limit(2)
    loaded_target.run(1)
    urgent = run_message('urgent', budget_ms=800, priority=0)
    loaded_target.offer(urgent)
    loaded_target.run(0.6)
    assert 'urgent' in loaded_target.started_calls
