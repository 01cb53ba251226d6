"""Evidence at a target's node: count calls and send the counts to judges."""

import hashlib
import math
from collections import Counter
from collections.abc import Sequence
from random import Random

import attrs

from daisyline.coordination.evidence_messages import (
    BUCKETS_PER_OCTAVE,
    Evidence,
    EvidenceRow,
)
from daisyline.state.rollout_plan import RolloutPlan
from daisyline.state.rollout_state import CallSample

# Fixed, whatever the outcomes: a block that ended at a failure would bias
# the comparison. In a large fleet a judge hears of more targets, and the
# longer interval keeps it within its budget.
EVIDENCE_INTERVAL_S = 0.5
LARGE_FLEET_INTERVAL_S = 2.0
LARGE_FLEET_MEMBERS = 50
JUDGES = 2
MAX_ROUTES = 10
OTHER_ROUTES = 'other'
# A target that stays cold for longer is judged as if it were warm.
COLD_EXCUSED_S = 60.0
# All calls in flight end with a crash of their target; it counts once.
ONE_CRASH_S = 1.0
_EPOCH_BITS = 32


def judges_of(service: str, members: Sequence[str]) -> list[str]:
    """Return the nodes that judge a service's rollouts.

    The members with the highest hashes are chosen (rendezvous hashing), so a
    lost member moves only the services that it judged.
    """
    return sorted(members, key=lambda name: _score(service, name))[-JUDGES:]


def interval_s(members: int) -> float:
    """Return how often evidence is sent and judged, in seconds."""
    if members > LARGE_FLEET_MEMBERS:
        return LARGE_FLEET_INTERVAL_S
    return EVIDENCE_INTERVAL_S


def _score(service: str, name: str) -> bytes:
    return hashlib.blake2b(f'{service}\n{name}'.encode()).digest()


def bucket_of(service_us: int) -> int:
    """Return the latency bucket; each ends 19% above the one before."""
    return math.ceil(math.log2(max(service_us, 1)) * BUCKETS_PER_OCTAVE)


@attrs.define
class _Route:
    """Counts of one route since the last message."""

    calls: int = 0
    failed: int = 0
    cold_calls: int = 0
    cold_failed: int = 0
    crashes: int = 0
    buckets: Counter[int] = attrs.field(factory=Counter)

    def add(self, sample: CallSample, *, cold: bool) -> None:
        """Count a call that its target survived."""
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
        """Return the counts as part of a message."""
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
    """Counts of the target beside this node for one service's rollout."""

    _node: str
    _epoch: int
    _version: str = ''
    _seq: int = 0
    _crashed_at: float = -math.inf
    _cold_since: float | None = None
    _warm_since: float | None = None
    _routes: dict[str, _Route] = attrs.field(factory=dict)

    @classmethod
    def from_config(cls, node: str, rng: Random) -> 'Collector':
        """Build a collector with a new epoch."""
        return cls(node, rng.getrandbits(_EPOCH_BITS))

    @property
    def has_counts(self) -> bool:
        """Return whether there is something to send."""
        return bool(self._routes)

    def observe(self, sample: CallSample, now: float) -> None:
        """Count a call; those of another version start the counts anew."""
        if sample.version != self._version:
            self._version = sample.version
            self._routes = {}
            self._cold_since = None
        cold = self._is_excused(now) if sample.cold else self._warmed(now)
        if not sample.target_crashed:
            self._route(sample.route).add(sample, cold=cold)
        elif now >= self._crashed_at + ONE_CRASH_S:
            self._crashed_at = now
            self._route(sample.route).crashes += 1

    def take(self, plan: RolloutPlan) -> Evidence:
        """Return the message with the counts, and start anew."""
        self._seq += 1
        rows = tuple(
            counts.to_row(route) for route, counts in self._routes.items()
        )
        self._routes = {}
        return Evidence(
            plan.service,
            plan.id,
            self._version,
            self._node,
            self._epoch,
            self._seq,
            rows,
        )

    def _is_excused(self, now: float) -> bool:
        """Return whether a cold target may still be slow for being cold."""
        self._warm_since = None
        if self._cold_since is None:
            self._cold_since = now
        return now < self._cold_since + COLD_EXCUSED_S

    def _warmed(self, now: float) -> bool:
        """Let a target be excused anew once it was warm for long enough."""
        if self._warm_since is None:
            self._warm_since = now
        if now >= self._warm_since + COLD_EXCUSED_S:
            self._cold_since = None
        return False

    def _route(self, route: str) -> _Route:
        if route not in self._routes and len(self._routes) >= MAX_ROUTES:
            route = OTHER_ROUTES
        return self._routes.setdefault(route, _Route())
