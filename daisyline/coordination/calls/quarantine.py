"""Quarantine of requests that crash each target that runs them."""

import hashlib
from collections.abc import Sequence
from random import Random

import attrs

from daisyline.coordination.events import EventLog, Quarantined
from daisyline.coordination.membership.fact_events import FactChanged, PutFact
from daisyline.state.facts import Fact

FACT_KIND = 'quarantine'
FACT_TTL_MS = 86_400_000
# Maximum number of requests whose crashes are remembered.
MAX_HISTORIES = 1024
# A request is blocked after this many crashes of targets that ran nothing else.
MIN_SOLE_CRASHES = 2
# One such crash is enough if the request was also in flight at this many
# crashes of targets that ran other requests too.
MIN_SHARED_CRASHES = 2
_DIGEST_BYTES = 16
_LENGTH_BYTES = 8
_SOURCE_ID_BITS = 32


def fingerprint(method: bytes, path: bytes, body: bytes) -> str:
    """Return a digest that is the same each time a request is sent.

    The length of each part is hashed as well, so that moving bytes from one
    part to the next changes the digest.
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in (method, path, body):
        digest.update(len(part).to_bytes(_LENGTH_BYTES, 'big'))
        digest.update(part)
    return digest.hexdigest()


@attrs.frozen
class CrashReport:
    """What one node observed of one request at its own target.

    Attributes:
        sole_crashes: Crashes of targets that ran nothing else.
        shared_crashes: Crashes of targets that ran other requests too.
        cleared_sole_crashes: How many sole crashes, over all nodes, were known
            when the request last completed here.
        cleared_crashes: How many crashes of either sort were known then.
        revision: Grows with each change of the report.
    """

    sole_crashes: int = 0
    shared_crashes: int = 0
    cleared_sole_crashes: int = 0
    cleared_crashes: int = 0
    revision: int = 0


@attrs.define
class CrashHistory:
    """The reports of all nodes about one request in flight at a crash."""

    _reports: dict[str, CrashReport] = attrs.field(factory=dict)

    @property
    def crashes(self) -> int:
        """Return the number of crashes of targets that ran the request."""
        return sum(
            report.sole_crashes + report.shared_crashes
            for report in self._reports.values()
        )

    @property
    def sole_crashes(self) -> int:
        """Return the number of crashes of targets that ran nothing else."""
        return sum(report.sole_crashes for report in self._reports.values())

    @property
    def cleared_crashes(self) -> int:
        """Return how many of the crashes a later success has cleared."""
        return max(
            (report.cleared_crashes for report in self._reports.values()),
            default=0,
        )

    @property
    def is_suspect(self) -> bool:
        """Return whether a target crashed since the request last completed."""
        return self.crashes > self.cleared_crashes

    @property
    def is_blocked(self) -> bool:
        """Return whether enough crashes followed the latest success to block.

        See `MIN_SOLE_CRASHES` and `MIN_SHARED_CRASHES`.
        """
        cleared_sole = max(
            (report.cleared_sole_crashes for report in self._reports.values()),
            default=0,
        )
        uncleared_sole = self.sole_crashes - cleared_sole
        uncleared_shared = self.crashes - self.cleared_crashes - uncleared_sole
        if uncleared_sole >= MIN_SOLE_CRASHES:
            return True
        return uncleared_sole > 0 and uncleared_shared >= MIN_SHARED_CRASHES

    def report_from(self, source: str) -> CrashReport:
        """Return the latest report of a source, empty if there is none."""
        return self._reports.get(source, CrashReport())

    def merge(self, source: str, report: CrashReport) -> None:
        """Store a report if it is newer than the stored one of its source."""
        if report.revision > self.report_from(source).revision:
            self._reports[source] = report


@attrs.define
class Quarantine:
    """Counts the crashes of each request over the whole fleet.

    Every node reports only the crashes of its own target, in a fact of its own
    whose numbers only grow. The sum of the reports is therefore the same in
    whatever order they arrive.

    A request in flight at a crash becomes a suspect. From then on it runs
    alone, so that only it can be the cause of a second crash. It stops being a
    suspect when it completes at any target.
    """

    _source: str
    _log: EventLog | None = None
    _histories: dict[str, CrashHistory] = attrs.field(factory=dict)
    _suspected: set[str] = attrs.field(factory=set)

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
        self, in_flight: Sequence[str], target: str, now: float
    ) -> list[PutFact]:
        """Record that a target crashed while it ran these requests.

        Args:
            in_flight: The fingerprints of the requests.
            target: The target's name, for the event log.
            now: Monotonic seconds.

        Returns:
            The facts to spread.
        """
        fingerprints = dict.fromkeys(in_flight)
        is_alone = len(fingerprints) == 1
        effects = []
        for request in fingerprints:
            previous = self._history_of(request).report_from(self._source)
            if is_alone:
                report = attrs.evolve(
                    previous, sole_crashes=previous.sole_crashes + 1
                )
            else:
                report = attrs.evolve(
                    previous, shared_crashes=previous.shared_crashes + 1
                )
            effects.append(self._record_report(request, report, now, target))
        return effects

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
        return [self._record_report(request, report, now)]

    def is_blocked(self, request: str, now: float) -> bool:
        """Return whether a request is refused at every node."""
        return (
            request in self._suspected and self._histories[request].is_blocked
        )

    def must_run_alone(self, request: str, now: float) -> bool:
        """Return whether a target may run no other request beside this one."""
        return request in self._suspected

    def facts_about(self, request: str) -> list[Fact]:
        """Return the fact with this node's own report, if there is one.

        The fact is meant to be sent ahead of the request.
        """
        history = self._histories.get(request)
        if history is None:
            return []
        report = history.report_from(self._source)
        return [self._fact(request, report)] if report.revision else []

    def handle(self, event: FactChanged, now: float) -> None:
        """Merge another node's report; other or malformed facts are ignored."""
        fact = event.fact
        if fact.kind != FACT_KIND:
            return
        request, _, source = fact.name.partition('/')
        try:
            report = CrashReport(*fact.payload, revision=fact.rank)
        except TypeError:
            return
        self._merge_report(request, source, report, now)

    def _record_report(
        self, request: str, report: CrashReport, now: float, target: str = ''
    ) -> PutFact:
        report = attrs.evolve(report, revision=report.revision + 1)
        self._merge_report(request, self._source, report, now, target)
        return PutFact(self._fact(request, report))

    def _fact(self, request: str, report: CrashReport) -> Fact:
        *payload, rank = attrs.astuple(report)
        name = f'{request}/{self._source}'
        return Fact(FACT_KIND, name, rank, payload, FACT_TTL_MS)

    def _merge_report(
        self,
        request: str,
        source: str,
        report: CrashReport,
        now: float,
        target: str = '',
    ) -> None:
        was_blocked = self.is_blocked(request, now)
        history = self._history_of(request)
        history.merge(source, report)
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
                evicted = self._request_to_evict()
                self._histories.pop(evicted)
                self._suspected.discard(evicted)
            self._histories[request] = CrashHistory()
        return self._histories[request]

    def _request_to_evict(self) -> str:
        """Return the oldest request that is not blocked, else the oldest."""
        for request, history in self._histories.items():
            if not history.is_blocked:
                return request
        return next(iter(self._histories))
