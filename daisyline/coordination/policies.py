"""Policies by which an entry node picks a target, as data."""

import functools
import random
from collections.abc import Sequence

import attrs


@attrs.frozen
class Option:
    """A target that may be picked, as the router sees it now.

    Attributes:
        node: The node beside it.
        weight: Its share of calls among equally loaded targets; positive.
        outstanding: Calls that this node has sent it and that go on.
        load: Calls that it holds, from its last report and own sends since.
        wait_s: Seconds that a new call would wait there and be served.
    """

    node: str
    weight: float
    outstanding: int
    load: float
    wait_s: float


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


Policy = WeightedRandom | LeastOutstanding | PowerOfTwo | ExpectedWait


@functools.singledispatch
def choose(
    policy: Policy, options: Sequence[Option], rng: random.Random
) -> Option:
    """Pick one of at least one option."""
    raise TypeError('not a policy')


@choose.register
def _weighted_random(
    policy: WeightedRandom, options: Sequence[Option], rng: random.Random
) -> Option:
    return _draw(options, rng)


@choose.register
def _least_outstanding(
    policy: LeastOutstanding, options: Sequence[Option], rng: random.Random
) -> Option:
    fewest = min(_per_weight(option) for option in options)
    ties = [option for option in options if _per_weight(option) <= fewest]
    return _draw(ties, rng)


@choose.register
def _power_of_two(
    policy: PowerOfTwo, options: Sequence[Option], rng: random.Random
) -> Option:
    drawn = _draw_some(options, 2, rng)
    return min(drawn, key=lambda option: option.load)


@choose.register
def _expected_wait(
    policy: ExpectedWait, options: Sequence[Option], rng: random.Random
) -> Option:
    drawn = _draw_some(options, policy.draws, rng)
    return min(drawn, key=lambda option: option.wait_s)


def _per_weight(option: Option) -> float:
    return (option.outstanding + 1) / option.weight


def _draw(options: Sequence[Option], rng: random.Random) -> Option:
    """Draw one by weight."""
    mark = rng.random() * sum(option.weight for option in options)
    for option in options:
        mark -= option.weight
        if mark < 0:
            return option
    return options[-1]


def _draw_some(
    options: Sequence[Option], count: int, rng: random.Random
) -> list[Option]:
    """Draw different ones by weight."""
    left = list(options)
    drawn = []
    while left and len(drawn) < count:
        option = _draw(left, rng)
        left.remove(option)
        drawn.append(option)
    return drawn
