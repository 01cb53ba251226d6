"""Scenarios of the model: how the load and the targets change in a run."""

import functools
import math

import attrs

#: Factor on the service times of a cold target.
COLD_FACTOR = 5.0
#: Number of calls after which a cold target is warm.
COLD_CALLS = 60
#: Concurrent calls that a cold target can serve; it fails any further call.
COLD_MAX_RUNNING = 2
#: Factor on service times while a neighbour is noisy, the duration of each
#: noisy interval and the period at which the intervals repeat.
NOISY_FACTOR = 4.0
NOISY_S = 0.3
NOISY_PERIOD_S = 0.6
#: Half of the period of the bursts, and the load factors of the two halves.
BURST_HALF_PERIOD_S = 0.05
BURST_HIGH_FACTOR = 1.5
BURST_LOW_FACTOR = 0.5
#: Time that a target takes to fail a call in `FailsFast`.
FAST_FAILURE_S = 0.0005


@attrs.frozen
class Steady:
    """A constant mean load on targets of equal speed."""


@attrs.frozen
class Bursts:
    """The load changes by a factor of three every half period."""


@attrs.frozen
class Noisy:
    """Noisy neighbours slow some targets periodically.

    Attributes:
        one_in: One target in this many is affected.
    """

    one_in: int = 6


@attrs.frozen
class Cold:
    """Some targets turn cold without announcing it.

    Attributes:
        one_in: One target in this many is affected.
        at_s: Virtual time at which they turn cold.
    """

    one_in: int = 6
    at_s: float = 1.0


@attrs.frozen
class FailsFast:
    """The first target fails its calls at once for a while.

    Attributes:
        at_s: Virtual time at which the failures start.
        duration_s: How long they last.
    """

    at_s: float = 1.0
    duration_s: float = 1.0


@attrs.frozen
class OneZone:
    """All callers are in one zone."""


@attrs.frozen
class Overload:
    """A load of more than all targets can serve.

    Attributes:
        factor: Factor on the load of the fleet's size.
    """

    factor: float = 2.0


Scenario = Overload | Steady | Bursts | Noisy | Cold | FailsFast | OneZone


@functools.singledispatch
def load_factor(scenario: Scenario, now: float) -> float:
    """Return the factor on the load at a virtual time."""
    return 1


@load_factor.register
def _overload(scenario: Overload, now: float) -> float:
    return scenario.factor


@load_factor.register
def _bursts(scenario: Bursts, now: float) -> float:
    return (
        BURST_LOW_FACTOR
        if int(now / BURST_HALF_PERIOD_S) % 2
        else BURST_HIGH_FACTOR
    )


@functools.singledispatch
def service_time_factor(scenario: Scenario, target: int, now: float) -> float:
    """Return the factor on the service times of a target at a virtual time."""
    return 1


@service_time_factor.register
def _noisy(scenario: Noisy, target: int, now: float) -> float:
    if target % scenario.one_in:
        return 1
    return NOISY_FACTOR if now % NOISY_PERIOD_S < NOISY_S else 1


@functools.singledispatch
def turns_cold_at(scenario: Scenario, target: int) -> float:
    """Return the time at which a target turns cold; infinity means never."""
    return math.inf


@turns_cold_at.register
def _cold(scenario: Cold, target: int) -> float:
    return math.inf if target % scenario.one_in else scenario.at_s


@functools.singledispatch
def is_failing(scenario: Scenario, target: int, now: float) -> bool:
    """Return whether a target fails its calls at once at a virtual time."""
    return False


@is_failing.register
def _fails_fast(scenario: FailsFast, target: int, now: float) -> bool:
    has_started = scenario.at_s <= now
    return (
        target == 0
        and has_started
        and now < scenario.at_s + scenario.duration_s
    )


@functools.singledispatch
def caller_zone_count(scenario: Scenario) -> int:
    """Return the number of zones that have callers; 0 means all zones."""
    return 0


@caller_zone_count.register
def _one_zone(scenario: OneZone) -> int:
    return 1
