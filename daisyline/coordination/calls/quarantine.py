"""Quarantine of requests that crash each target that runs them."""

import contextlib
import math
from collections.abc import Sequence
from random import Random

import attrs

from daisyline.coordination.calls.crash_history import (
    CrashHistory,
    CrashReport,
    Report,
    RetrialReport,
)
from daisyline.coordination.events import EventLog, Quarantined
from daisyline.coordination.membership.fact_events import FactChanged, PutFact
from daisyline.state.facts import Fact

FACT_KIND = 'quarantine'
RETRIALS_KIND = 'quarantine-retrials'
# Tells that a request was answered after its connection to a target was lost.
ANSWERED_KIND = 'quarantine-answered'
FACT_TTL_MS = 86_400_000
_FACT_TTL_S = FACT_TTL_MS / 1000
# A crash is reported at most 10 s after the loss, when the target has restarted.
ANSWERED_TTL_MS = 30_000
# Maximum number of requests whose crashes are remembered.
MAX_HISTORIES = 1024
# The wait between the claim of a retrial and its run, in seconds, in which all
# nodes learn of the claim. Gossip takes up to about a second.
CLAIM_WAIT_S = 1.5
_SOURCE_ID_BITS = 32


@attrs.define
class Quarantine:
    """Counts the crashes of each request over the whole fleet.

    Every node reports only the crashes of its own target, in a fact of its own
    whose numbers only grow. The sum of the reports is therefore the same in
    whatever order they arrive.

    A request in flight at a crash becomes a suspect. From then on it runs
    alone, so that only it can be the cause of a second crash. It stops being a
    suspect when it completes at any target.

    A blocked request is tried again a few times. The node beside a target claims
    a retrial and runs it once the others know of the claim.
    """

    _source: str
    _log: EventLog | None = None
    _histories: dict[str, CrashHistory] = attrs.field(factory=dict)
    _suspected: set[str] = attrs.field(factory=set)
    _claimed_at: dict[str, float] = attrs.field(factory=dict)
    _answers: int = 0

    @classmethod
    def from_config(
        cls, node: str, rng: Random, log: EventLog | None = None
    ) -> 'Quarantine':
        """Build an empty quarantine.

        The source of its reports includes a random number, so that the reports
        of a restarted node don't replace those from before the restart.
        """
        return cls(f'{node}.{rng.getrandbits(_SOURCE_ID_BITS):x}', log)

    @property
    def is_empty(self) -> bool:
        """Return whether there are no suspects, so no lookup is needed."""
        return not self._suspected

    def record_crash(
        self,
        in_flight: Sequence[str],
        target: str,
        now: float,
        began_at: float = math.inf,
    ) -> list[PutFact]:
        """Record that a target crashed while it ran these requests.

        Args:
            in_flight: The fingerprints of the requests.
            target: The target's name, for the event log.
            now: Monotonic seconds.
            began_at: When the last of the runs began, in monotonic seconds.

        Returns:
            The facts to spread.
        """
        fingerprints = dict.fromkeys(in_flight)
        is_alone = len(fingerprints) == 1
        effects = []
        for request in fingerprints:
            history = self._history_of(request)
            if is_alone:
                effects.append(
                    self._extend_chain(request, history, now, began_at)
                )
            report = history.report_from(self._source)
            report = attrs.evolve(
                report,
                sole_crashes=report.sole_crashes + is_alone,
                shared_crashes=report.shared_crashes + (not is_alone),
            )
            effects.append(self._record_report(request, report, now, target))
        # A push sends all that is queued, so one is enough.
        return [*effects[:-1], attrs.evolve(effects[-1], is_urgent=True)]

    def record_success(self, request: str, now: float) -> list[PutFact]:
        """Record that a target completed a request; return facts to spread."""
        if request not in self._suspected:
            return []
        history = self._histories[request]
        report = attrs.evolve(
            history.report_from(self._source),
            cleared_sole_crashes=history.sole_crashes,
            cleared_crashes=history.crashes,
        )
        retrials = attrs.evolve(
            history.retrials_from(self._source),
            cleared_sole_chain=history.sole_chain,
            cleared_claimed=history.claimed,
        )
        return [
            self._record_report(request, one, now) for one in (report, retrials)
        ]

    def record_late_answer(self, request: str, now: float) -> list[PutFact]:
        """Record an answer to a request that an earlier target was lost with.

        The crash of that target may not be known yet. The node beside it, which
        reports the crash, is told by a fact.
        """
        if request in self._suspected:
            return self.record_success(request, now)
        self._answers += 1
        name = f'{request}/{self._source}'
        fact = Fact(ANSWERED_KIND, name, self._answers, (), ANSWERED_TTL_MS)
        return [PutFact(fact, is_urgent=True)]

    def claim_retrial(self, request: str, now: float) -> list[PutFact]:
        """Claim a retrial of a blocked request if one is due.

        To be called only while a target could run it.
        """
        if not self.is_blocked(request, now):
            return []
        history = self._histories[request]
        number = history.next_retrial(self._source, now)
        if not number:
            return []
        self._claimed_at[request] = now
        claim = attrs.evolve(
            history.retrials_from(self._source), claimed=number
        )
        put = self._record_report(request, claim, now)
        return [attrs.evolve(put, is_urgent=True)]

    def may_retry(self, request: str, now: float) -> bool:
        """Return whether this node holds a retrial that has not run yet."""
        claimed_at = self._claimed_at.get(request, math.inf)
        if now < claimed_at + CLAIM_WAIT_S:
            return False
        return self._histories[request].retrial_source(request) == self._source

    def end_retrial(self, request: str, began_at: float) -> None:
        """Note that a run of a request that began then ended in any way."""
        claimed_at = self._claimed_at.get(request, math.inf)
        if began_at >= claimed_at + CLAIM_WAIT_S:
            self._claimed_at.pop(request)

    def retrial_node(self, request: str) -> str:
        """Return the node that claimed the last retrial of a blocked request.

        The result is empty for a request that is not blocked, or if no node has
        claimed a retrial.
        """
        if not self.is_blocked(request, 0):
            return ''
        source = self._histories[request].retrial_source(request)
        return source.rpartition('.')[0]

    def is_blocked(self, request: str, now: float) -> bool:
        """Return whether a request is refused at every node."""
        return (
            self.must_run_alone(request, now)
            and self._histories[request].is_blocked
        )

    def must_run_alone(self, request: str, now: float) -> bool:
        """Return whether a target may run no other request beside this one.

        A suspect is forgotten when the facts about it have expired.
        """
        if request not in self._suspected:
            return False
        if now < self._histories[request].reported_at + _FACT_TTL_S:
            return True
        self._forget(request)
        return False

    def handle(self, event: FactChanged, now: float) -> list[PutFact]:
        """Merge another node's report; other or malformed facts are ignored.

        Returns:
            The facts to spread if a request that this node reported was
            answered since.
        """
        fact = event.fact
        request, _, source = fact.name.partition('/')
        if fact.kind == ANSWERED_KIND:
            return self._clear_own(request, now)
        kind = CrashReport if fact.kind == FACT_KIND else RetrialReport
        if fact.kind in {FACT_KIND, RETRIALS_KIND}:
            with contextlib.suppress(TypeError):
                report = kind(*fact.payload, revision=fact.rank)
                self._merge_report(request, source, report, now)
        return []

    def _clear_own(self, request: str, now: float) -> list[PutFact]:
        history = self._histories.get(request)
        if history is None or not history.report_from(self._source).revision:
            return []
        return self.record_success(request, now)

    def _extend_chain(
        self, request: str, history: CrashHistory, now: float, began_at: float
    ) -> PutFact:
        report = history.retrials_from(self._source)
        chain = history.chain_known_at(min(now, began_at)) + 1
        report = attrs.evolve(report, sole_chain=max(chain, report.sole_chain))
        return self._record_report(request, report, now)

    def _record_report(
        self, request: str, report: Report, now: float, target: str = ''
    ) -> PutFact:
        report = attrs.evolve(report, revision=report.revision + 1)
        self._merge_report(request, self._source, report, now, target)
        return PutFact(self._fact(request, report))

    def _fact(self, request: str, report: Report) -> Fact:
        *payload, rank = attrs.astuple(report)
        name = f'{request}/{self._source}'
        is_crash = isinstance(report, CrashReport)
        kind = FACT_KIND if is_crash else RETRIALS_KIND
        return Fact(kind, name, rank, payload, FACT_TTL_MS)

    def _merge_report(
        self,
        request: str,
        source: str,
        report: Report,
        now: float,
        target: str = '',
    ) -> None:
        was_blocked = self.is_blocked(request, now)
        history = self._history_of(request)
        history.merge(source, report, now)
        if history.is_suspect:
            self._suspected.add(request)
        else:
            self._suspected.discard(request)
        if self._log is not None and history.is_blocked and not was_blocked:
            self._log.add(
                Quarantined(
                    now,
                    target=target,
                    fingerprint=request,
                    crashes=history.crashes,
                )
            )

    def _history_of(self, request: str) -> CrashHistory:
        """Return the history of a request, a new one if it has none.

        If `MAX_HISTORIES` is reached, the new one replaces another.
        """
        if request not in self._histories:
            if len(self._histories) >= MAX_HISTORIES:
                self._forget(self._request_to_evict())
            self._histories[request] = CrashHistory()
        return self._histories[request]

    def _forget(self, request: str) -> None:
        self._histories.pop(request)
        self._suspected.discard(request)
        self._claimed_at.pop(request, None)

    def _request_to_evict(self) -> str:
        """Return the oldest request that is not blocked, else the oldest."""
        for request, history in self._histories.items():
            if not history.is_blocked:
                return request
        return next(iter(self._histories))
