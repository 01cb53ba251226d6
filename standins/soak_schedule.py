"""The faults of a soak run, drawn from its seed."""

import functools
import itertools
import random
from collections.abc import Callable, Iterator
from typing import Any

import attrs

# The first fault comes so soon, and the others at this mean distance, in s.
FIRST_FAULT_S = 0.5
MEAN_GAP_S = 0.8
MIN_FAULT_S = 0.5
MAX_FAULT_S = 5.0
MIN_DOWN_S = 0.3
MAX_DOWN_S = 2.0
# A zone is out for longer than the seconds in which it may get new work.
MIN_ZONE_OUT_S = 4.0
MAX_ZONE_OUT_S = 8.0
SLOW_FACTORS = (5, 20)
FAILURE_FRACTIONS = (0.3, 1.0)
PLATFORM_DELAYS_MS = (200, 500, 1000)
READ_LAGS_MS = (500, 3000)


@attrs.frozen
class KillNode:
    """Kill a node, and start it again after some seconds."""

    place: str
    seconds: float


@attrs.frozen
class KillTarget:
    """Kill a target, and start it again after some seconds."""

    place: str
    seconds: float


@attrs.frozen
class CrashTarget:
    """Let a target crash by itself, and start it again."""

    place: str
    seconds: float


@attrs.frozen
class PauseNode:
    """Stop a node's process from running for some seconds."""

    place: str
    seconds: float


@attrs.frozen
class SlowTarget:
    """Make a target's calls take many times longer."""

    place: str
    seconds: float
    factor: float


@attrs.frozen
class FailFast:
    """Let a target fail a share of its calls at once."""

    place: str
    seconds: float
    share: float


@attrs.frozen
class TurnCold:
    """Let a target be cold again, which it then announces."""

    place: str


@attrs.frozen
class Poison:
    """Send a request that crashes each target that runs it."""

    service: str
    seconds: float


@attrs.frozen
class PlatformDown:
    """Let the platform refuse every request."""

    seconds: float


@attrs.frozen
class PlatformSlow:
    """Let the platform answer later."""

    seconds: float
    delay_ms: float


@attrs.frozen
class LoseAnswers:
    """Let the platform lose the answers to writes."""

    seconds: float


@attrs.frozen
class StaleReads:
    """Let the platform's reads show the past."""

    seconds: float
    lag_ms: float


@attrs.frozen
class SilentCallers:
    """Let callers' open connections to a node go silent for good."""

    place: str


@attrs.frozen
class SilentTarget:
    """Let a node's open connections to its target go silent for good."""

    place: str


@attrs.frozen
class SilentPlatform:
    """Let all nodes' open connections to the platform go silent for good."""


@attrs.frozen
class ZoneOut:
    """Take a zone out, and in again after some seconds."""

    zone: str
    seconds: float


@attrs.frozen
class StopNode:
    """Tell a node to stop, and start it again once it has."""

    place: str
    seconds: float


@attrs.frozen
class StopTarget:
    """Tell a target to leave, and start it again once it has."""

    place: str
    seconds: float


@attrs.frozen
class Scope:
    """What faults can hit.

    Attributes:
        places: The names of the nodes, with a target beside each.
        services: The services called.
        zones: The availability zones.
    """

    places: tuple[str, ...]
    services: tuple[str, ...]
    zones: tuple[str, ...]


@attrs.frozen
class Timed:
    """A fault and when it begins.

    Attributes:
        at: Seconds after the first call.
        fault: One of the faults above.
    """

    at: float
    fault: Any


def draw_schedule(
    seed: int, duration_s: float, scope: Scope
) -> tuple[Timed, ...]:
    """Draw the faults of a run; the same seed gives the same ones.

    Every fault begins and ends within the duration. The kinds come in shuffled
    rounds, so that a short run has many of them too.
    """
    rng = random.Random(f'soak-{seed}')
    schedule: list[Timed] = []
    at = FIRST_FAULT_S
    kinds = _shuffled_rounds(rng)
    while at < duration_s:
        fault = _draw_fault(next(kinds), rng, scope, duration_s - at)
        schedule.append(Timed(at, fault))
        at += rng.expovariate(1 / MEAN_GAP_S)
    return tuple(schedule)


def _shuffled_rounds(rng: random.Random) -> Iterator[type]:
    rounds = (_shuffled_kinds(rng) for _ in itertools.count())
    return itertools.chain.from_iterable(rounds)


def _shuffled_kinds(rng: random.Random) -> list[type]:
    return rng.sample(KINDS, len(KINDS))


def _draw_fault(
    kind: type, rng: random.Random, scope: Scope, remaining_s: float
) -> Any:
    """Draw the fields of one fault, each by its name."""
    draws: dict[str, Callable[[], Any]] = {
        'place': functools.partial(rng.choice, scope.places),
        'service': functools.partial(rng.choice, scope.services),
        'zone': functools.partial(rng.choice, scope.zones),
        'seconds': functools.partial(_draw_seconds, kind, rng, remaining_s),
        'factor': functools.partial(rng.choice, SLOW_FACTORS),
        'share': functools.partial(rng.choice, FAILURE_FRACTIONS),
        'delay_ms': functools.partial(rng.choice, PLATFORM_DELAYS_MS),
        'lag_ms': functools.partial(rng.choice, READ_LAGS_MS),
    }
    fields = {field.name: draws[field.name]() for field in attrs.fields(kind)}
    return kind(**fields)


def _draw_seconds(kind: type, rng: random.Random, remaining_s: float) -> float:
    if kind is ZoneOut:
        seconds = rng.uniform(MIN_ZONE_OUT_S, MAX_ZONE_OUT_S)
    elif kind in _DOWN_KINDS:
        seconds = rng.uniform(MIN_DOWN_S, MAX_DOWN_S)
    else:
        seconds = rng.uniform(MIN_FAULT_S, MAX_FAULT_S)
    return min(seconds, remaining_s)


_DOWN_KINDS = frozenset(
    (KillNode, KillTarget, CrashTarget, StopNode, StopTarget)
)
KINDS = (
    KillNode,
    KillTarget,
    CrashTarget,
    PauseNode,
    SlowTarget,
    FailFast,
    TurnCold,
    Poison,
    PlatformDown,
    PlatformSlow,
    LoseAnswers,
    StaleReads,
    SilentCallers,
    SilentTarget,
    SilentPlatform,
    ZoneOut,
    StopNode,
    StopTarget,
)
