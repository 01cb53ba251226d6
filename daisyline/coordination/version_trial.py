"""Let a version on trial meet the load that it would have in full use.

A version that is bad only under load looks good while its small share is
spread over many targets, each of them nearly idle.
"""

import functools
from collections.abc import Sequence

import attrs

from daisyline.coordination.overlay import stable_hash
from daisyline.coordination.policies import Candidate

# How many times the load of one of the others a tried target gets; hosts of one
# service differ in load by about so much when it is busy.
LOAD_FACTOR = 2.0
# The part of the version's share that goes to the tried targets. The others
# get the rest, so that calls keep them warm.
TRIED_PART = 0.75
_CACHED_NAMES = 4096


def concentrate(
    candidates: Sequence[Candidate], version: str
) -> Sequence[Candidate]:
    """Return the candidates with most of a version's share on few targets.

    All entries choose the same ones, by a hash of their names.

    Args:
        candidates: The targets of a service, weighed by shares of versions.
        version: The version on trial; empty if there is none.
    """
    tried = [one for one in candidates if one.version == version]
    others = len(candidates) - len(tried)
    if not version or len(tried) < 2 or not others:
        return candidates
    part = sum(one.weight for one in tried) / sum(
        one.weight for one in candidates
    )
    busy = max(1, round(part * others / LOAD_FACTOR))
    if busy >= len(tried):
        return candidates
    weights = _weights(sorted(tried, key=_rank), busy)
    return [
        attrs.evolve(one, weight=weights.get(one.node, one.weight))
        for one in candidates
    ]


def _weights(ranked: Sequence[Candidate], busy: int) -> dict[str, float]:
    """Share the weight of all between the first ones and the others."""
    weight = sum(one.weight for one in ranked)
    idle_weight = weight * (1 - TRIED_PART) / (len(ranked) - busy)
    weights = {one.node: idle_weight for one in ranked}
    weights.update(
        (one.node, weight * TRIED_PART / busy) for one in ranked[:busy]
    )
    return weights


def _rank(candidate: Candidate) -> int:
    return _hash(candidate.node)


@functools.lru_cache(maxsize=_CACHED_NAMES)
def _hash(name: str) -> int:
    return stable_hash(f'trial/{name}')
