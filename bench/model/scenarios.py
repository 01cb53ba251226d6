"""What happens to targets and to the load in one run of the model."""

import functools
import math

import attrs

#: How much longer a cold target takes for a call.
COLD_FACTOR = 5.0
#: Calls after which a cold target is warm.
COLD_CALLS = 60
#: Calls that a cold target can bear at once; it fails the rest.
COLD_BEARS = 2
#: How much longer calls take while a neighbour is noisy, and how long it is.
NOISY_FACTOR = 4.0
NOISY_S = 0.3
NOISY_EVERY_S = 0.6
#: Half of the period in which bursts come and go, and their factors.
BURST_S = 0.05
BURST_HIGH = 1.5
BURST_LOW = 0.5
#: How long a target takes to fail a call fast.
FAIL_S = 0.0005


@attrs.frozen
class Steady:
    """An even load on even targets."""


@attrs.frozen
class Bursts:
    """The load changes by a factor of three every few milliseconds."""


@attrs.frozen
class Noisy:
    """Neighbours slow some targets for a while, again and again.

    Attributes:
        every: One target in this many.
    """

    every: int = 6


@attrs.frozen
class Cold:
    """Targets turn cold with no warning.

    Attributes:
        every: One target in this many.
        at_s: When.
    """

    every: int = 6
    at_s: float = 1.0


@attrs.frozen
class FailsFast:
    """A target fails its calls at once, for a second."""

    at_s: float = 1.0
    lasts_s: float = 1.0


@attrs.frozen
class OneZone:
    """All callers stand in one zone."""


@attrs.frozen
class Overload:
    """Twice the load, more than all targets can serve."""

    factor: float = 2.0


Scenario = Overload | Steady | Bursts | Noisy | Cold | FailsFast | OneZone


@functools.singledispatch
def load_factor(scenario: Scenario, now: float) -> float:
    """Return what the load is multiplied by at a time."""
    return 1


@load_factor.register
def _overload(scenario: Overload, now: float) -> float:
    return scenario.factor


@load_factor.register
def _bursts(scenario: Bursts, now: float) -> float:
    return BURST_LOW if int(now / BURST_S) % 2 else BURST_HIGH


@functools.singledispatch
def slowness(scenario: Scenario, target: int, now: float) -> float:
    """Return what a target's service times are multiplied by."""
    return 1


@slowness.register
def _noisy(scenario: Noisy, target: int, now: float) -> float:
    if target % scenario.every:
        return 1
    return NOISY_FACTOR if now % NOISY_EVERY_S < NOISY_S else 1


@functools.singledispatch
def cold_at(scenario: Scenario, target: int) -> float:
    """Return when a target turns cold; infinity means never."""
    return math.inf


@cold_at.register
def _cold(scenario: Cold, target: int) -> float:
    return math.inf if target % scenario.every else scenario.at_s


@functools.singledispatch
def fails(scenario: Scenario, target: int, now: float) -> bool:
    """Return whether a target fails its calls at once."""
    return False


@fails.register
def _fails_fast(scenario: FailsFast, target: int, now: float) -> bool:
    began = scenario.at_s <= now
    return target == 0 and began and now < scenario.at_s + scenario.lasts_s


@functools.singledispatch
def entry_zones(scenario: Scenario) -> int:
    """Return in how many zones callers stand; 0 means all."""
    return 0


@entry_zones.register
def _one_zone(scenario: OneZone) -> int:
    return 1
