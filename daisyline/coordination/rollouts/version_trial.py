"""Tests a version on trial under the load that it would have in full use.

A version that fails only under load shows no fault if its small share is
spread evenly over time and over many targets, as each is then nearly idle.
"""

import functools
from collections.abc import Sequence

import attrs

from daisyline.coordination.membership.overlay import stable_hash
from daisyline.coordination.routing.policies import Candidate

# The load of a loaded target in a burst, as a multiple of the load of a target
# of another version. With 3 its slots are full if the service as a whole uses
# a third of its capacity.
BURST_LOAD_FACTOR = 3.0
# The part of the version's share that goes to its loaded targets. The rest is
# spread over all targets of the version, so that calls keep them warm.
BURST_SHARE_FRACTION = 0.75
# The most of a service's calls that a burst takes.
MAX_BURST_CALLS_FRACTION = 0.75
# The part of each period in which the loaded targets get their bursts. It is
# short enough that one target of a small service is loaded as well.
BURST_TIME_FRACTION = 0.1
# The time from one burst to the next, in seconds.
BURST_PERIOD_S = 3.0
_RANK_CACHE_SIZE = 4096


@attrs.frozen
class VersionTrial:
    """The version that a guarded rollout tries.

    Attributes:
        version: The version; empty if none is on trial.
        started_at: The start of the rollout, in monotonic seconds.
    """

    version: str = ''
    started_at: float = 0

    def is_burst(self, now: float) -> bool:
        """Return whether the loaded targets get a burst now."""
        return (
            now - self.started_at
        ) % BURST_PERIOD_S < BURST_TIME_FRACTION * BURST_PERIOD_S


def concentrate_share(
    candidates: Sequence[Candidate], trial: VersionTrial, now: float
) -> Sequence[Candidate]:
    """Shift most of a version's share to bursts at a few of its targets.

    Over a period the version gets its share of calls. All entry nodes select
    the same targets, by a hash of their names, at about the same times.

    Args:
        candidates: The targets of a service, weighted by the shares of
            versions, which sum to 1.
        trial: The version on trial.
        now: Monotonic seconds.

    Returns:
        The candidates with new weights, or unchanged if no version is on
        trial or its share is too large for bursts.
    """
    on_trial = [one for one in candidates if one.version == trial.version]
    others = len(candidates) - len(on_trial)
    if not trial.version or not on_trial or not others:
        return candidates
    share = sum(one.weight for one in on_trial) / sum(
        one.weight for one in candidates
    )
    burst = _burst_weight(share)
    if burst >= 1 - share:
        return candidates
    weights = _base_weights(on_trial, share - burst * BURST_TIME_FRACTION)
    if trial.is_burst(now):
        loaded = max(1, round(burst * others / BURST_LOAD_FACTOR))
        for name in sorted(weights, key=_rank)[:loaded]:
            weights[name] += burst / min(loaded, len(on_trial))
    scale = (1 - sum(weights.values())) / (1 - share)
    return [
        attrs.evolve(one, weight=weights.get(one.node, one.weight * scale))
        for one in candidates
    ]


def _burst_weight(share: float) -> float:
    """Return the fraction of a service's calls that a burst takes."""
    burst = BURST_SHARE_FRACTION * share / BURST_TIME_FRACTION
    return min(burst, MAX_BURST_CALLS_FRACTION)


def _base_weights(
    on_trial: Sequence[Candidate], share: float
) -> dict[str, float]:
    """Return the equal weights of targets with a share in common, by node."""
    each = share / len(on_trial)
    return dict.fromkeys((one.node for one in on_trial), each)


@functools.lru_cache(maxsize=_RANK_CACHE_SIZE)
def _rank(name: str) -> int:
    return stable_hash(f'trial/{name}')
