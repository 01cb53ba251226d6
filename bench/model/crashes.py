"""A model of targets that crash, without a network, to judge blocks by.

Twelve targets in three zones of two racks serve popular pages. Gossip takes a
fixed time, and a crash is reported when its target starts again.
"""

import functools
import heapq
import random
from collections.abc import Callable

import attrs

TARGETS = 12
ZONES = 3
PAGES = 6
CALLS_PER_S = 10.0
WORK_S = 0.6
DOWN_S = 2.5
GOSSIP_S = 0.5
RETRY_S = 0.02
CRASHES_TO_STOP = 3
GRACE_S = 3.0
POISON = -1
POISON_WORK_S = 0.1
POISON_EVERY_S = 1.0
POISON_FROM_S = 19.5
INCIDENT_S = 20.0
INCIDENT_END_S = 50.0
BAD_VERSION_MEAN_S = 4.0
BAD_VERSION_ONE_IN = 4
END_S = 140.0


@attrs.frozen
class Crash:
    """One target's crash as reported; times in seconds."""

    began_at: float
    reported_at: float
    is_sole: bool
    chain: int


@attrs.frozen
class Way:
    """A way of judging whether a request is blocked.

    Attributes:
        sole: Block after this many sole crashes, counted alone.
        together_s: Reports within this time count as one; 0 if each counts.
        chain: Block after a chain of this many sole crashes; 0 if never.
        crashes: Block after this many crashes, one of them sole; 0 if never.
        reports_suspects_at_once: Whether the loss of a suspect that ran alone
            is reported before the target starts again.
        later_answers: Whether an answer since the crash ends suspicion.
        retrials: The delays of the retrials, in seconds.
    """

    sole: int = 0
    together_s: float = 0
    chain: int = 0
    crashes: int = 0
    reports_suspects_at_once: bool = False
    later_answers: bool = False
    retrials: tuple[float, ...] = ()


@attrs.define
class Evidence:
    """What is known of one request."""

    crashes: list[Crash] = attrs.field(factory=list)
    made: int = 0
    since: float = -1

    def known(self, now: float) -> list[Crash]:
        """Return the crashes that all nodes know of."""
        return [
            one for one in self.crashes if one.reported_at + GOSSIP_S <= now
        ]


def is_blocked(way: Way, known: list[Crash]) -> bool:
    """Return whether a request with these crashes is blocked."""
    sole = [one for one in known if one.is_sole]
    if way.crashes and sole and len(known) >= way.crashes:
        return True
    if way.chain and max((one.chain for one in sole), default=0) >= way.chain:
        return True
    count = 0
    last = -END_S
    for at in sorted(one.reported_at for one in sole):
        if not way.together_s or at > last + way.together_s:
            count += 1
            last = at
    return bool(way.sole) and (
        count >= way.sole or (count > 0 and len(known) - len(sole) >= 2)
    )


@attrs.define
class Run:
    """A request at a target."""

    page: int
    began_at: float
    may_retry: bool
    has_lost: bool = False


_Event = tuple[float, int, Callable[[], None]]


@attrs.define
class Model:
    """The targets, the requests and what is known of them.

    Attributes:
        false_blocks: Pages that were blocked, each time.
        blocked_s: How long pages were blocked, in seconds.
        refused: Requests for pages that were refused as blocked.
        poison_crashes: Crashes that the poison caused.
        late_runs: Runs of the poison later than 3 s after its third crash.
    """

    way: Way
    rng: random.Random
    incident: str
    has_poison: bool
    now: float = 0
    false_blocks: int = 0
    blocked_s: float = 0
    refused: int = 0
    poison_crashes: int = 0
    late_runs: int = 0
    _third_at: float = END_S
    _blocked: dict[int, float] = attrs.field(factory=dict)
    _up: list[bool] = attrs.field(
        factory=lambda: [True for _ in range(TARGETS)]
    )
    _runs: list[list[Run]] = attrs.field(
        factory=lambda: [[] for _ in range(TARGETS)]
    )
    _evidence: dict[int, Evidence] = attrs.field(factory=dict)
    _events: list[_Event] = attrs.field(factory=list)
    _count: int = 0

    def run(self) -> None:
        """Play the incident from start to end."""
        self._at(0, self._next_call)
        self._at(INCIDENT_S, self._begin_incident)
        if self.has_poison:
            self._at(POISON_FROM_S, self._send_poison)
        while self._events and self._events[0][0] < END_S:
            at, _, action = heapq.heappop(self._events)
            self.now = at
            action()
        for since in self._blocked.values():
            self.blocked_s += END_S - since

    def _at(self, at: float, action: Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self._events, (at, self._count, action))

    def _next_call(self) -> None:
        weights = [1 / (page + 1) for page in range(PAGES)]
        page = self.rng.choices(range(PAGES), weights)[0]
        self._send(Run(page, self.now, may_retry=True))
        self._at(self.now + self.rng.expovariate(CALLS_PER_S), self._next_call)

    def _send_poison(self) -> None:
        self._send(Run(POISON, self.now, may_retry=True))
        self._at(self.now + POISON_EVERY_S, self._send_poison)

    def _begin_incident(self) -> None:
        if self.incident == 'zone':
            lost = range(0, TARGETS, ZONES)
        elif self.incident == 'rack':
            lost = range(0, TARGETS, 2 * ZONES)
        else:
            lost = range(0)
        for target in lost:
            self._crash(target)
        if self.incident == 'version':
            for target in range(0, TARGETS, BAD_VERSION_ONE_IN):
                self._crash_again(target)

    def _crash_again(self, target: int) -> None:
        if self.now < INCIDENT_END_S:
            pause_s = self.rng.expovariate(1 / BAD_VERSION_MEAN_S)
            again = functools.partial(self._crash_again, target)
            self._at(self.now + pause_s, again)
            if self._up[target] and self.now > INCIDENT_S:
                self._crash(target)

    def _send(self, run: Run) -> None:
        evidence = self._evidence.get(run.page)
        known = evidence.known(self.now) if evidence else []
        blocked = is_blocked(self.way, known)
        self._record_block(run.page, blocked)
        if blocked and evidence and not self._takes_retrial(evidence):
            self.refused += run.page != POISON
            return
        free = [
            target
            for target in range(TARGETS)
            if self._up[target] and not (known and self._runs[target])
        ]
        if not free:
            return
        target = self.rng.choice(free)
        run.began_at = self.now
        self._runs[target].append(run)
        if run.page == POISON:
            crash = functools.partial(self._crash_by, target, run)
            self._at(self.now + POISON_WORK_S, crash)
        else:
            end = functools.partial(self._end, target, run)
            self._at(self.now + WORK_S, end)

    def _takes_retrial(self, evidence: Evidence) -> bool:
        """Return whether a retrial is due, and count it."""
        if evidence.made >= len(self.way.retrials):
            return False
        if self.now < evidence.since + self.way.retrials[evidence.made]:
            return False
        evidence.made += 1
        evidence.since = self.now
        return True

    def _record_block(self, page: int, blocked: bool) -> None:
        if blocked and page not in self._blocked and page != POISON:
            self.false_blocks += 1
            self._blocked[page] = self.now
        if blocked and self._evidence[page].since < 0:
            self._evidence[page].since = self.now
        if not blocked and page in self._blocked:
            self.blocked_s += self.now - self._blocked.pop(page)

    def _end(self, target: int, run: Run) -> None:
        if run not in self._runs[target]:
            return
        self._runs[target].remove(run)
        evidence = self._evidence.get(run.page)
        if evidence is None:
            return
        known = evidence.known(self.now)
        is_told = self.way.later_answers and run.has_lost
        if known or is_told:
            # Crashes of runs that began before this answer are cleared.
            evidence.crashes = [
                one
                for one in evidence.crashes
                if one not in known
                and not (is_told and one.began_at <= run.began_at)
            ]
            evidence.made = 0
            evidence.since = -1
            self._record_block(run.page, blocked=False)

    def _crash_by(self, target: int, run: Run) -> None:
        if run in self._runs[target]:
            self.poison_crashes += 1
            if self.poison_crashes == CRASHES_TO_STOP:
                self._third_at = self.now
            self.late_runs += run.began_at > self._third_at + GRACE_S
            self._crash(target)

    def _crash(self, target: int) -> None:
        lost = self._runs[target]
        self._runs[target] = []
        self._up[target] = False
        start = functools.partial(self._up.__setitem__, target, True)
        self._at(self.now + DOWN_S, start)
        pages = {run.page for run in lost}
        for page in pages:
            self._report(page, lost, is_sole=len(pages) == 1)
        for run in lost:
            known = self._evidence[run.page].known(self.now)
            if run.may_retry and not known:
                again = Run(run.page, 0, may_retry=False, has_lost=True)
                self._at(
                    self.now + RETRY_S, functools.partial(self._send, again)
                )

    def _report(self, page: int, lost: list[Run], *, is_sole: bool) -> None:
        evidence = self._evidence.setdefault(page, Evidence())
        began_at = max(run.began_at for run in lost if run.page == page)
        before = evidence.known(began_at)
        chain = max((one.chain for one in before if one.is_sole), default=0)
        reported_at = self.now + DOWN_S
        if self.way.reports_suspects_at_once and is_sole and before:
            reported_at = self.now
        evidence.crashes.append(
            Crash(began_at, reported_at, is_sole, chain + is_sole)
        )
