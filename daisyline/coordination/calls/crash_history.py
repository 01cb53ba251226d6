"""What all nodes together know about a request in flight at a crash."""

import hashlib
from typing import Any

import attrs

# A request is blocked after this many crashes of targets that ran nothing else,
# if each of the runs began when the crash before it was known.
MIN_SOLE_CHAIN = 2
# It is also blocked after this many crashes of any sort, one of them of a target
# that ran nothing else. Runs that begin before a crash is known can't be told
# from targets that crash together, so this bounds what such runs can cost.
MIN_CRASHES = 3
# How often a blocked request is tried again, over all nodes. A request may reach
# targets three times later than 3 s after its third crash; one of these is left
# for a run that begins before the third crash is known everywhere.
MAX_RETRIALS = 2
# How long a request is blocked before each of the retrials, in seconds from the
# block or from the claim of the retrial before. The first is short, as a request
# that was blocked in error should run again within 15 s.
RETRIAL_DELAYS_S = (3.0, 12.0)
# How much later a node may claim a retrial if it has reported a crash of its own
# target, in seconds. A target that breaks off its answers looks as if it crashed,
# and could use up all retrials.
REPORTER_DELAY_S = 2.0
_MAX_MOMENTS = 4


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


@attrs.frozen
class RetrialReport:
    """What one node knows of the order of crashes, and its retrials.

    Attributes:
        sole_chain: The length of the longest chain of sole crashes that ends
            with one of this node's target. Each run of a chain began when the
            crash before it was known, so targets that crash together add one.
        cleared_sole_chain: The longest chain, over all nodes, that was known
            when the request last completed here.
        claimed: The number of the last retrial that this node has claimed.
        cleared_claimed: The number of the last retrial, over all nodes, that
            was known when the request last completed here.
        revision: Grows with each change of the report.
    """

    sole_chain: int = 0
    cleared_sole_chain: int = 0
    claimed: int = 0
    cleared_claimed: int = 0
    revision: int = 0


Report = CrashReport | RetrialReport


@attrs.define
class CrashHistory:
    """The reports of all nodes about one request in flight at a crash.

    The numbers of each report only grow, and sums and maxima of them are used,
    so that the order in which reports arrive doesn't matter. Only the times at
    which this node learned of them differ between nodes; they decide how long
    a chain this node reports and when it claims a retrial, not what is blocked.
    """

    _crashes: dict[str, CrashReport] = attrs.field(factory=dict)
    _retrials: dict[str, RetrialReport] = attrs.field(factory=dict)
    _chain_moments: tuple[tuple[float, int], ...] = ()
    _changed_at: float = 0
    _reported_at: float = 0

    @property
    def reported_at(self) -> float:
        """Return when the last report came, in monotonic seconds."""
        return self._reported_at

    @property
    def crashes(self) -> int:
        """Return the number of crashes of targets that ran the request."""
        return sum(
            report.sole_crashes + report.shared_crashes
            for report in self._crashes.values()
        )

    @property
    def sole_crashes(self) -> int:
        """Return the number of crashes of targets that ran nothing else."""
        return sum(report.sole_crashes for report in self._crashes.values())

    @property
    def cleared_crashes(self) -> int:
        """Return how many of the crashes a later success has cleared."""
        return max(
            (report.cleared_crashes for report in self._crashes.values()),
            default=0,
        )

    @property
    def sole_chain(self) -> int:
        """Return the length of the longest chain of sole crashes."""
        return max(
            (report.sole_chain for report in self._retrials.values()), default=0
        )

    @property
    def claimed(self) -> int:
        """Return the number of the last retrial that any node has claimed."""
        return max(
            (report.claimed for report in self._retrials.values()), default=0
        )

    @property
    def is_suspect(self) -> bool:
        """Return whether a target crashed since the request last completed."""
        return self.crashes > self.cleared_crashes

    @property
    def is_blocked(self) -> bool:
        """Return whether enough crashes followed the latest success to block.

        See `MIN_SOLE_CHAIN` and `MIN_CRASHES`.
        """
        cleared_sole = max(
            (report.cleared_sole_crashes for report in self._crashes.values()),
            default=0,
        )
        if self.sole_crashes <= cleared_sole:
            return False
        cleared_chain = max(
            (report.cleared_sole_chain for report in self._retrials.values()),
            default=0,
        )
        return (
            self.sole_chain - cleared_chain >= MIN_SOLE_CHAIN
            or self.crashes - self.cleared_crashes >= MIN_CRASHES
        )

    def report_from(self, source: str) -> CrashReport:
        """Return the latest report of a source, empty if there is none."""
        return self._crashes.get(source, CrashReport())

    def retrials_from(self, source: str) -> RetrialReport:
        """Return the latest retrials of a source, empty if there are none."""
        return self._retrials.get(source, RetrialReport())

    def merge(self, source: str, report: Report, now: float) -> None:
        """Store a report if it is newer than the stored one of its source."""
        is_crash = isinstance(report, CrashReport)
        reports: dict[str, Any] = self._crashes if is_crash else self._retrials
        held = reports.get(source)
        if held is not None and report.revision <= held.revision:
            return
        before = (self.is_blocked, self.claimed, self.sole_chain)
        reports[source] = report
        self._reported_at = now
        if (self.is_blocked, self.claimed) != before[:2]:
            self._changed_at = now
        if self.sole_chain != before[2]:
            moment = (now, self.sole_chain)
            self._chain_moments = (*self._chain_moments, moment)[-_MAX_MOMENTS:]

    def chain_known_at(self, moment: float) -> int:
        """Return the longest chain that this node knew at a moment."""
        known = [chain for at, chain in self._chain_moments if at <= moment]
        return known[-1] if known else 0

    def next_retrial(self, source: str, now: float) -> int:
        """Return the number of the retrial that a source may claim, or 0."""
        cleared = max(
            (report.cleared_claimed for report in self._retrials.values()),
            default=0,
        )
        made = self.claimed - cleared
        if not self.is_blocked or made >= MAX_RETRIALS:
            return 0
        has_crashed = self.report_from(source).revision > 0
        delay_s = RETRIAL_DELAYS_S[made] + REPORTER_DELAY_S * has_crashed
        return self.claimed + 1 if now >= self._changed_at + delay_s else 0

    def retrial_source(self, request: str) -> str:
        """Return the source that holds the last retrial; empty if none does.

        Sources that claim the same retrial at once are ordered by a hash.
        """
        number = self.claimed
        claimants = [
            source
            for source, report in self._retrials.items()
            if number and report.claimed == number
        ]
        return min(
            claimants,
            key=lambda source: _rank(f'{request}/{number}/{source}'),
            default='',
        )


def _rank(claim: str) -> bytes:
    return hashlib.blake2b(claim.encode()).digest()
