"""Load balancing policies of an entry node."""

import functools
import random
from collections.abc import Callable, Sequence

import attrs


@attrs.frozen
class Candidate:
    """A target that calls of one service may go to.

    Attributes:
        node: The node beside the target.
        version: The version that the target runs.
        zone: The availability zone of the target.
        weight: The relative share of calls that the target gets. Includes
            the ramp of a returning zone and the share of the version. A
            target with weight 0 gets no calls.
    """

    node: str
    version: str
    zone: str
    weight: float


@attrs.frozen
class Estimate:
    """The present load of a target, as estimated by an entry node.

    Attributes:
        outstanding: Calls that this node has sent to the target and that
            have not ended.
        load: Calls at the target per slot that it may use, including the
            call that is to be sent.
        wait_s: The expected time that a new call takes at the target, in
            seconds, including the round trip.
    """

    outstanding: int
    load: float
    wait_s: float


Estimator = Callable[[Candidate], Estimate]


@attrs.frozen
class WeightedRandom:
    """Pick a random target by weight and ignore the load."""


@attrs.frozen
class LeastOutstanding:
    """Pick the target with the fewest of this node's calls per weight."""


@attrs.frozen
class PowerOfTwo:
    """Draw two targets by weight and pick the one with the lower load."""


@attrs.frozen
class ExpectedWait:
    """Draw targets by weight and pick the one with the shortest wait.

    Attributes:
        sample_size: The number of targets drawn. It is small so that entry
            nodes with the same stale reports do not all pick one target.
    """

    sample_size: int = 3


@attrs.frozen
class ZoneAwareWait:
    """Draw targets inside and outside the local zone; pick the shortest wait.

    The first target is drawn by weight. The others must have at least its
    weight, so that a target with a low weight gets no more than its share,
    even if it is idle and in the local zone.

    Attributes:
        zone: The local zone.
        sample_size: The number of targets drawn inside the zone, and outside
            it as well.
    """

    zone: str
    sample_size: int = 4


Policy = (
    WeightedRandom
    | LeastOutstanding
    | PowerOfTwo
    | ExpectedWait
    | ZoneAwareWait
)


@functools.singledispatch
def choose(
    policy: Policy,
    candidates: Sequence[Candidate],
    estimate: Estimator,
    rng: random.Random,
) -> Candidate:
    """Pick one of the candidates.

    Args:
        policy: The policy that decides.
        candidates: At least one target; all have a positive weight.
        estimate: Returns the estimated load of a candidate.
        rng: The source of random numbers.

    Raises:
        TypeError: If the policy is of an unknown type.
    """
    raise TypeError('unknown type of policy')


@choose.register
def _weighted_random(
    policy: WeightedRandom,
    candidates: Sequence[Candidate],
    estimate: Estimator,
    rng: random.Random,
) -> Candidate:
    return _draw(candidates, rng)


@choose.register
def _least_outstanding(
    policy: LeastOutstanding,
    candidates: Sequence[Candidate],
    estimate: Estimator,
    rng: random.Random,
) -> Candidate:
    loads = [
        (estimate(candidate).outstanding + 1) / candidate.weight
        for candidate in candidates
    ]
    fewest = min(loads)
    ties = [
        candidate
        for candidate, load in zip(candidates, loads, strict=True)
        if load <= fewest
    ]
    return _draw(ties, rng)


@choose.register
def _power_of_two(
    policy: PowerOfTwo,
    candidates: Sequence[Candidate],
    estimate: Estimator,
    rng: random.Random,
) -> Candidate:
    drawn = _draw_distinct(candidates, 2, rng)
    return min(drawn, key=lambda candidate: estimate(candidate).load)


@choose.register
def _expected_wait(
    policy: ExpectedWait,
    candidates: Sequence[Candidate],
    estimate: Estimator,
    rng: random.Random,
) -> Candidate:
    drawn = _draw_distinct(candidates, policy.sample_size, rng)
    return min(drawn, key=lambda candidate: estimate(candidate).wait_s)


@choose.register
def _near_wait(
    policy: ZoneAwareWait,
    candidates: Sequence[Candidate],
    estimate: Estimator,
    rng: random.Random,
) -> Candidate:
    first = _draw(candidates, rng)
    eligible = [one for one in candidates if one.weight >= first.weight]
    local = [one for one in eligible if one.zone == policy.zone]
    remote = [one for one in eligible if one.zone != policy.zone]
    drawn = [
        first,
        *rng.sample(local, min(len(local), policy.sample_size)),
        *rng.sample(remote, min(len(remote), policy.sample_size)),
    ]
    return min(drawn, key=lambda candidate: estimate(candidate).wait_s)


def _draw(candidates: Sequence[Candidate], rng: random.Random) -> Candidate:
    """Draw one candidate by weight."""
    weights = [candidate.weight for candidate in candidates]
    return rng.choices(candidates, weights)[0]


def _draw_distinct(
    candidates: Sequence[Candidate], count: int, rng: random.Random
) -> list[Candidate]:
    """Draw distinct candidates by weight, none lighter than the first.

    A candidate with a low weight is then picked only if it is drawn first,
    so that it gets no more than its share, even if it is idle.
    """
    first = _draw(candidates, rng)
    drawn = [first]
    remaining = [
        candidate
        for candidate in candidates
        if candidate.weight >= first.weight and candidate is not first
    ]
    while remaining and len(drawn) < count:
        candidate = _draw(remaining, rng)
        remaining.remove(candidate)
        drawn.append(candidate)
    return drawn
