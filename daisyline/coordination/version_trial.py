"""Tests a version on trial under the load that it would have in full use.

A version that fails only under load shows no fault if its small share is
spread evenly over time and over many targets, as each is then nearly idle.
"""

import functools
from collections.abc import Sequence

import attrs

from daisyline.coordination.overlay import stable_hash
from daisyline.coordination.policies import Candidate

# The load of a loaded target in a burst, as a multiple of the load of a target
# of another version. With 3 its slots are full if the service as a whole uses
# a third of its capacity.
LOAD_FACTOR = 3.0
# The part of the version's share that goes to its loaded targets. The rest is
# spread over all targets of the version, so that calls keep them warm.
TRIED_PART = 0.75
# The part of each period in which the loaded targets get their bursts.
BURST_PART = 0.2
# The time from one burst to the next, in seconds.
PERIOD_S = 3.0
_CACHED_NAMES = 4096


@attrs.frozen
class VersionTrial:
    """The version that a guarded rollout tries.

    Attributes:
        version: The version; empty if none is on trial.
        began_at: The start of the rollout, in monotonic seconds.
    """

    version: str = ''
    began_at: float = 0

    def is_burst(self, now: float) -> bool:
        """Return whether the loaded targets get a burst now."""
        return (now - self.began_at) % PERIOD_S < BURST_PART * PERIOD_S


def concentrate(
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
    burst = TRIED_PART * share / BURST_PART
    if burst >= 1 - share:
        return candidates
    weights = _base_weights(on_trial, share)
    if trial.is_burst(now):
        loaded = max(1, round(burst * others / LOAD_FACTOR))
        for name in sorted(weights, key=_rank)[:loaded]:
            weights[name] += burst / min(loaded, len(on_trial))
    scale = (1 - sum(weights.values())) / (1 - share)
    return [
        attrs.evolve(one, weight=weights.get(one.node, one.weight * scale))
        for one in candidates
    ]


def _base_weights(
    on_trial: Sequence[Candidate], share: float
) -> dict[str, float]:
    """Return the weights of a version's targets between bursts, by node."""
    each = (1 - TRIED_PART) * share / len(on_trial)
    return dict.fromkeys((one.node for one in on_trial), each)


@functools.lru_cache(maxsize=_CACHED_NAMES)
def _rank(name: str) -> int:
    return stable_hash(f'trial/{name}')
