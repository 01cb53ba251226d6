"""Evidence for the judges of a rollout: counts of calls at one node's target.

Each node counts the calls that end at its own target and sends the counts to
the judges at regular intervals.
"""

import hashlib
import math
from collections import Counter
from collections.abc import Sequence
from random import Random

import attrs

from daisyline.coordination.rollouts.evidence_messages import (
    BUCKETS_PER_OCTAVE,
    Evidence,
    EvidenceRow,
)
from daisyline.state.rollout_plan import RolloutPlan
from daisyline.state.rollout_state import CallSample

# The intervals don't depend on the outcomes of calls, as a block that ended at
# a failure would bias the comparison. In a large fleet a judge gets messages
# about more targets, and the longer interval limits its work.
EVIDENCE_INTERVAL_S = 0.5
LARGE_FLEET_INTERVAL_S = 2.0
LARGE_FLEET_MEMBERS = 50
JUDGE_COUNT = 2
MAX_ROUTES = 10
OTHER_ROUTES = 'other'
# Calls of a target that stays cold for longer count as if it were warm.
MAX_COLD_S = 60.0
# A crash ends all calls in flight at its target. Calls that report a crash
# within this time after the first are counted as the same crash.
CRASH_WINDOW_S = 1.0
_EPOCH_BITS = 32


def choose_judges(service: str, members: Sequence[str]) -> list[str]:
    """Return the names of the nodes that judge a service's rollouts.

    The members with the highest hashes are chosen (rendezvous hashing), so a
    lost member moves only the services that it judged.
    """
    return sorted(members, key=lambda name: _score(service, name))[
        -JUDGE_COUNT:
    ]


def evidence_interval_s(members: int) -> float:
    """Return the interval of sending and judging evidence, in seconds."""
    if members > LARGE_FLEET_MEMBERS:
        return LARGE_FLEET_INTERVAL_S
    return EVIDENCE_INTERVAL_S


def _score(service: str, name: str) -> bytes:
    return hashlib.blake2b(f'{service}\n{name}'.encode()).digest()


def bucket_of(service_us: int) -> int:
    """Return the latency bucket of a time in microseconds.

    The upper limit of each bucket is 19% above that of the one before.
    """
    return math.ceil(math.log2(max(service_us, 1)) * BUCKETS_PER_OCTAVE)


@attrs.define
class _RouteTally:
    """Counts of one route since the last message."""

    calls: int = 0
    failed: int = 0
    cold_calls: int = 0
    cold_failed: int = 0
    crashes: int = 0
    buckets: Counter[int] = attrs.field(factory=Counter)

    def add(self, sample: CallSample, *, cold: bool) -> None:
        """Count a call during which the target did not crash."""
        failed = 0 if sample.succeeded else 1
        if cold:
            self.cold_calls += 1
            self.cold_failed += failed
            return
        self.calls += 1
        self.failed += failed
        if sample.succeeded:
            self.buckets[bucket_of(sample.service_us)] += 1

    def to_row(self, route: str) -> EvidenceRow:
        """Return the counts as a row of a message."""
        return EvidenceRow(
            route,
            self.calls,
            self.failed,
            self.cold_calls,
            self.cold_failed,
            self.crashes,
            tuple(sorted(self.buckets.items())),
        )


@attrs.define
class Collector:
    """Counts the calls of this node's own target for one service's rollout."""

    _node: str
    _epoch: int
    _version: str = ''
    _seq: int = 0
    _crashed_at: float = -math.inf
    _cold_since: float | None = None
    _warm_since: float | None = None
    _tallies: dict[str, _RouteTally] = attrs.field(factory=dict)

    @classmethod
    def from_config(cls, node: str, rng: Random) -> 'Collector':
        """Build a collector without counts, with a random epoch."""
        return cls(node, rng.getrandbits(_EPOCH_BITS))

    @property
    def has_counts(self) -> bool:
        """Return whether there are counts to send."""
        return bool(self._tallies)

    def record_call(self, sample: CallSample, now: float) -> None:
        """Count a call, after dropping counts of another version."""
        if sample.version != self._version:
            self._version = sample.version
            self._tallies = {}
            self._cold_since = None
        cold = (
            self._counts_as_cold(now) if sample.cold else self._record_warm(now)
        )
        if not sample.target_crashed:
            self._tally_of(sample.route).add(sample, cold=cold)
        elif now >= self._crashed_at + CRASH_WINDOW_S:
            self._crashed_at = now
            self._tally_of(sample.route).crashes += 1

    def take_evidence(self, plan: RolloutPlan) -> Evidence:
        """Return a message with the counts and reset them."""
        self._seq += 1
        rows = tuple(
            counts.to_row(route) for route, counts in self._tallies.items()
        )
        self._tallies = {}
        return Evidence(
            plan.service,
            plan.id,
            self._version,
            self._node,
            self._epoch,
            self._seq,
            rows,
        )

    def _counts_as_cold(self, now: float) -> bool:
        """Record a call of a cold target; return whether it counts as cold.

        It does until `MAX_COLD_S` after the target was first seen cold.
        """
        self._warm_since = None
        if self._cold_since is None:
            self._cold_since = now
        return now < self._cold_since + MAX_COLD_S

    def _record_warm(self, now: float) -> bool:
        """Record a call of a warm target and return False.

        A target that has been warm for `MAX_COLD_S` may count as cold again.
        """
        if self._warm_since is None:
            self._warm_since = now
        if now >= self._warm_since + MAX_COLD_S:
            self._cold_since = None
        return False

    def _tally_of(self, route: str) -> _RouteTally:
        if route not in self._tallies and len(self._tallies) >= MAX_ROUTES:
            route = OTHER_ROUTES
        return self._tallies.setdefault(route, _RouteTally())
