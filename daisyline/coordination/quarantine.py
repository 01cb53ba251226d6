"""Quarantine: stop a request that crashes each target that runs it."""

import hashlib
from collections.abc import Sequence
from random import Random

import attrs

from daisyline.coordination.events import EventLog, Quarantined
from daisyline.coordination.fact_events import FactChanged, PutFact
from daisyline.state.facts import Fact

FACT_KIND = 'quarantine'
FACT_TTL_MS = 86_400_000
# Requests that are remembered after a crash.
MAX_REQUESTS = 1024
# Crashes of a target that ran nothing else leave no doubt after so many,
ALONE_CRASHES = 2
# or after one, if the request was also in flight at so many others.
SHARED_CRASHES = 2
_DIGEST_BYTES = 16
_LENGTH_BYTES = 8
_EPOCH_BITS = 32


def fingerprint(method: bytes, path: bytes, body: bytes) -> str:
    """Return what two sendings of one request have in common."""
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in (method, path, body):
        digest.update(len(part).to_bytes(_LENGTH_BYTES, 'big'))
        digest.update(part)
    return digest.hexdigest()


@attrs.frozen
class Report:
    """What one node knows at first hand of one request.

    Attributes:
        alone: Crashes of targets that ran nothing else.
        shared: Crashes of targets that ran other requests too.
        cleared_alone: How many of `alone`, over all nodes, were known when
            the request last ran to its end here.
        cleared_total: The same of both sorts together.
        changes: Grows with each change.
    """

    alone: int = 0
    shared: int = 0
    cleared_alone: int = 0
    cleared_total: int = 0
    changes: int = 0


@attrs.define
class Suspect:
    """Reports of all nodes about one request that was in flight at a crash."""

    _reports: dict[str, Report] = attrs.field(factory=dict)

    @property
    def crashes(self) -> int:
        """Return the crashes of targets that ran the request."""
        return sum(one.alone + one.shared for one in self._reports.values())

    @property
    def alone(self) -> int:
        """Return the crashes of targets that ran nothing else."""
        return sum(one.alone for one in self._reports.values())

    @property
    def cleared(self) -> int:
        """Return how many of the crashes a success has excused."""
        return max(
            (one.cleared_total for one in self._reports.values()), default=0
        )

    @property
    def is_suspect(self) -> bool:
        """Return whether it crashed a target since it last succeeded."""
        return self.crashes > self.cleared

    @property
    def is_blocked(self) -> bool:
        """Return whether the crashes leave no doubt."""
        cleared = max(
            (one.cleared_alone for one in self._reports.values()), default=0
        )
        alone = self.alone - cleared
        shared = self.crashes - self.cleared - alone
        if alone >= ALONE_CRASHES:
            return True
        return alone > 0 and shared >= SHARED_CRASHES

    def report_of(self, source: str) -> Report:
        """Return what a source last reported."""
        return self._reports.get(source, Report())

    def merge(self, source: str, report: Report) -> None:
        """Take over a report unless a newer one of its source is known."""
        if report.changes > self.report_of(source).changes:
            self._reports[source] = report


@attrs.define
class Quarantine:
    """Counts the crashes of each request over the whole fleet.

    Every node reports only what it saw itself, in a fact of its own that
    only grows; adding the reports up gives the same result in any order.

    A request in flight at a crash is a suspect and runs alone from then on,
    so a second crash is its own fault. Once it runs to its end anywhere, it
    is a suspect no more.
    """

    _source: str
    _log: EventLog | None = None
    _suspects: dict[str, Suspect] = attrs.field(factory=dict)
    _watched: set[str] = attrs.field(factory=set)

    @classmethod
    def from_config(
        cls, node: str, rng: Random, log: EventLog | None = None
    ) -> 'Quarantine':
        """Build an empty quarantine; a restarted node is a new source."""
        return cls(f'{node}.{rng.getrandbits(_EPOCH_BITS):x}', log)

    @property
    def is_empty(self) -> bool:
        """Return whether no fingerprint needs to be looked up."""
        return not self._watched

    def record_crash(
        self, in_flight: Sequence[str], target: str, now: float
    ) -> list[PutFact]:
        """Take note that a target crashed while it ran these requests."""
        requests = dict.fromkeys(in_flight)
        is_alone = len(requests) == 1
        effects = []
        for request in requests:
            held = self._suspect(request).report_of(self._source)
            if is_alone:
                report = attrs.evolve(held, alone=held.alone + 1)
            else:
                report = attrs.evolve(held, shared=held.shared + 1)
            effects.append(self._put(request, report, now, target))
        return effects

    def record_success(self, request: str, now: float) -> list[PutFact]:
        """Take note that a target ran a request to its end."""
        if request not in self._watched:
            return []
        suspect = self._suspects[request]
        report = attrs.evolve(
            suspect.report_of(self._source),
            cleared_alone=suspect.alone,
            cleared_total=suspect.crashes,
        )
        return [self._put(request, report, now)]

    def is_blocked(self, request: str, now: float) -> bool:
        """Return whether a request is refused everywhere."""
        return request in self._watched and self._suspects[request].is_blocked

    def must_run_alone(self, request: str, now: float) -> bool:
        """Return whether a request may only run with no other beside it."""
        return request in self._watched

    def facts_about(self, request: str) -> list[Fact]:
        """Return what this node saw itself, to send ahead of the request."""
        suspect = self._suspects.get(request)
        if suspect is None:
            return []
        report = suspect.report_of(self._source)
        return [self._fact(request, report)] if report.changes else []

    def handle(self, event: FactChanged, now: float) -> None:
        """Take in another node's report."""
        fact = event.fact
        if fact.kind != FACT_KIND:
            return
        request, _, source = fact.name.partition('/')
        try:
            report = Report(*fact.payload, changes=fact.rank)
        except TypeError:
            return
        self._merge(request, source, report, now)

    def _put(
        self, request: str, report: Report, now: float, target: str = ''
    ) -> PutFact:
        report = attrs.evolve(report, changes=report.changes + 1)
        self._merge(request, self._source, report, now, target)
        return PutFact(self._fact(request, report))

    def _fact(self, request: str, report: Report) -> Fact:
        *payload, rank = attrs.astuple(report)
        name = f'{request}/{self._source}'
        return Fact(FACT_KIND, name, rank, payload, FACT_TTL_MS)

    def _merge(
        self,
        request: str,
        source: str,
        report: Report,
        now: float,
        target: str = '',
    ) -> None:
        was_blocked = self.is_blocked(request, now)
        suspect = self._suspect(request)
        suspect.merge(source, report)
        if suspect.is_suspect:
            self._watched.add(request)
        else:
            self._watched.discard(request)
        if self._log is not None and suspect.is_blocked and not was_blocked:
            self._log.add(
                Quarantined(
                    now,
                    target=target,
                    fingerprint=request,
                    crashes=suspect.crashes,
                )
            )

    def _suspect(self, request: str) -> Suspect:
        """Return what is known of a request; the oldest makes room."""
        if request not in self._suspects:
            if len(self._suspects) >= MAX_REQUESTS:
                forgotten = self._least_needed()
                self._suspects.pop(forgotten)
                self._watched.discard(forgotten)
            self._suspects[request] = Suspect()
        return self._suspects[request]

    def _least_needed(self) -> str:
        """Return the oldest request that is not blocked, else the oldest."""
        for request, suspect in self._suspects.items():
            if not suspect.is_blocked:
                return request
        return next(iter(self._suspects))
