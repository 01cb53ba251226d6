"""Let a version on trial meet the load that it would have in full use.

A version that is bad only under load looks good while its small share is
spread over many targets and over the whole time, each of them nearly idle.
"""

import functools
from collections.abc import Sequence

import attrs

from daisyline.coordination.overlay import stable_hash
from daisyline.coordination.policies import Candidate

# How many times the load of one of the others a tried target gets, so that its
# slots fill up though the service as a whole is at a third of its room.
LOAD_FACTOR = 3.0
# The part of the version's share that goes to the tried targets. The others
# get the rest, so that calls keep them warm.
TRIED_PART = 0.75
# Tried targets get their calls in bursts: in this part of each period.
BURST_PART = 0.2
PERIOD_S = 3.0
_CACHED_NAMES = 4096


@attrs.frozen
class Trial:
    """A version that a guarded rollout tries.

    Attributes:
        version: The version; empty if there is none.
        began_at: When its rollout began, in monotonic seconds.
    """

    version: str = ''
    began_at: float = 0

    def is_burst(self, now: float) -> bool:
        """Return whether the tried targets get calls now."""
        return (now - self.began_at) % PERIOD_S < BURST_PART * PERIOD_S


def concentrate(
    candidates: Sequence[Candidate], trial: Trial, now: float
) -> Sequence[Candidate]:
    """Return the candidates with most of a version's share on few targets.

    Over a period the version gets its share. All entries choose the same
    targets, by a hash of their names, and about the same times.

    Args:
        candidates: The targets of a service, weighed by the shares of
            versions, which sum to 1.
        trial: The version on trial.
        now: Monotonic seconds.
    """
    tried = [one for one in candidates if one.version == trial.version]
    others = len(candidates) - len(tried)
    if not trial.version or not tried or not others:
        return candidates
    share = sum(one.weight for one in tried) / sum(
        one.weight for one in candidates
    )
    burst = TRIED_PART * share / BURST_PART
    if burst >= 1 - share:
        return candidates
    weights = _trickle(tried, share)
    if trial.is_burst(now):
        busy = max(1, round(burst * others / LOAD_FACTOR))
        for name in sorted(weights, key=_rank)[:busy]:
            weights[name] += burst / min(busy, len(tried))
    rest = (1 - sum(weights.values())) / (1 - share)
    return [
        attrs.evolve(one, weight=weights.get(one.node, one.weight * rest))
        for one in candidates
    ]


def _trickle(tried: Sequence[Candidate], share: float) -> dict[str, float]:
    """Return the weights by which all tried targets get calls all the time."""
    each = (1 - TRIED_PART) * share / len(tried)
    return dict.fromkeys((one.node for one in tried), each)


@functools.lru_cache(maxsize=_CACHED_NAMES)
def _rank(name: str) -> int:
    return stable_hash(f'trial/{name}')
