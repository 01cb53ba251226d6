"""Policies by which an entry node picks a target, as data."""

import functools
import random
from collections.abc import Callable, Sequence

import attrs


@attrs.frozen
class Candidate:
    """A target that calls of one service may go to.

    Attributes:
        node: The node beside it.
        version: The version that it runs.
        zone: The availability zone it stands in.
        weight: Its share of calls; folds the ramp of a returning zone and
            the share of its version in. 0 means never.
    """

    node: str
    version: str
    zone: str
    weight: float


@attrs.frozen
class Estimate:
    """A target's load as an entry node sees it now.

    Attributes:
        outstanding: Calls that this node has sent it and that go on.
        load: Calls it holds for each slot that it may use, with a new one.
        wait_s: Seconds that a new call would take there, the way included.
    """

    outstanding: int
    load: float
    wait_s: float


Estimator = Callable[[Candidate], Estimate]


@attrs.frozen
class WeightedRandom:
    """Pick by weight, without regard to load."""


@attrs.frozen
class LeastOutstanding:
    """Pick the target with the fewest calls of our own for its weight."""


@attrs.frozen
class PowerOfTwo:
    """Draw two by weight and take the one with the smaller load."""


@attrs.frozen
class ExpectedWait:
    """Draw some by weight and take the one with the shortest wait.

    Attributes:
        draws: How many are drawn; few enough that entries don't herd.
    """

    draws: int = 3


@attrs.frozen
class NearWait:
    """Draw some of the own zone and some others; take the shortest wait.

    One is drawn by weight, and none that is lighter beside it, so that a
    light candidate gets no more than its share however near and idle it is.

    Attributes:
        zone: The own zone.
        draws: How many are drawn of each.
    """

    zone: str
    draws: int = 4


Policy = (
    WeightedRandom | LeastOutstanding | PowerOfTwo | ExpectedWait | NearWait
)


@functools.singledispatch
def choose(
    policy: Policy,
    candidates: Sequence[Candidate],
    estimate: Estimator,
    rng: random.Random,
) -> Candidate:
    """Pick one of at least one candidate; all have a positive weight."""
    raise TypeError('not a policy')


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
    drawn = _draw_some(candidates, 2, rng)
    return min(drawn, key=lambda candidate: estimate(candidate).load)


@choose.register
def _expected_wait(
    policy: ExpectedWait,
    candidates: Sequence[Candidate],
    estimate: Estimator,
    rng: random.Random,
) -> Candidate:
    drawn = _draw_some(candidates, policy.draws, rng)
    return min(drawn, key=lambda candidate: estimate(candidate).wait_s)


@choose.register
def _near_wait(
    policy: NearWait,
    candidates: Sequence[Candidate],
    estimate: Estimator,
    rng: random.Random,
) -> Candidate:
    first = _draw(candidates, rng)
    heavy = [one for one in candidates if one.weight >= first.weight]
    near = [one for one in heavy if one.zone == policy.zone]
    far = [one for one in heavy if one.zone != policy.zone]
    drawn = [
        first,
        *rng.sample(near, min(len(near), policy.draws)),
        *rng.sample(far, min(len(far), policy.draws)),
    ]
    return min(drawn, key=lambda candidate: estimate(candidate).wait_s)


def _draw(candidates: Sequence[Candidate], rng: random.Random) -> Candidate:
    """Draw one by weight."""
    weights = [candidate.weight for candidate in candidates]
    return rng.choices(candidates, weights)[0]


def _draw_some(
    candidates: Sequence[Candidate], count: int, rng: random.Random
) -> list[Candidate]:
    """Draw different ones by weight, none lighter than the first.

    A light candidate is then picked only if it is drawn first, so that it
    gets no more than its share however idle it is.
    """
    first = _draw(candidates, rng)
    drawn = [first]
    left = [
        candidate
        for candidate in candidates
        if candidate.weight >= first.weight and candidate is not first
    ]
    while left and len(drawn) < count:
        candidate = _draw(left, rng)
        left.remove(candidate)
        drawn.append(candidate)
    return drawn
