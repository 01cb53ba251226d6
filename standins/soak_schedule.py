"""The schedule of a soak run's faults, drawn from its seed."""

import functools
import itertools
import random
from collections.abc import Callable, Container
from typing import Any

import attrs

from standins.soak_slowness import SlowNode, SlowTarget
from standins.target_answers import FAULTY

# The time of the first fault, and the mean time between faults.
FIRST_FAULT_S = 0.5
MEAN_GAP_S = 0.8
MIN_FAULT_S = 0.5
MAX_FAULT_S = 5.0
MIN_DOWN_S = 0.3
MAX_DOWN_S = 2.0
# Longer than the grace period in which a zone that is out may get new calls.
MIN_ZONE_OUT_S = 4.0
MAX_ZONE_OUT_S = 8.0
SLOW_FACTORS = (5, 20)
FAILURE_FRACTIONS = (0.3, 1.0)
PLATFORM_DELAYS_MS = (200, 500, 1000)
READ_LAGS_MS = (500, 3000)
COPY_AGES_S = (1, 3, 10)


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
    """Make a target's process crash, and start it again."""

    place: str
    seconds: float


@attrs.frozen
class PauseNode:
    """Suspend a node's process for some seconds."""

    place: str
    seconds: float


@attrs.frozen
class FailFast:
    """Make a target fail a fraction of its calls immediately."""

    place: str
    seconds: float
    share: float


@attrs.frozen
class TurnCold:
    """Make a target cold again, which it then announces."""

    place: str


@attrs.frozen
class Poison:
    """Send a request that crashes each target that runs it."""

    service: str
    seconds: float


@attrs.frozen
class PlatformDown:
    """Make the platform refuse every request."""

    seconds: float


@attrs.frozen
class PlatformSlow:
    """Delay the platform's answers."""

    seconds: float
    delay_ms: float


@attrs.frozen
class LoseAnswers:
    """Drop the platform's answers to writes."""

    seconds: float


@attrs.frozen
class StaleReads:
    """Make the platform's reads return stale objects."""

    seconds: float
    lag_ms: float


@attrs.frozen
class PlatformReturn:
    """Let the platform come back from an older copy after some seconds."""

    seconds: float
    age_s: float


@attrs.frozen
class SilentCallers:
    """Silence callers' open connections to a node permanently."""

    place: str


@attrs.frozen
class SilentTarget:
    """Silence a node's open connections to its target permanently."""

    place: str


@attrs.frozen
class SilentPlatform:
    """Silence all open connections to the platform permanently."""


@attrs.frozen
class ZoneOut:
    """Take a zone out, and bring it back in after some seconds."""

    zone: str
    seconds: float


@attrs.frozen
class StopNode:
    """Stop a node with SIGTERM, and start it again after it has exited."""

    place: str
    seconds: float


@attrs.frozen
class StopTarget:
    """Stop a target with SIGTERM, and start it again after it has exited."""

    place: str
    seconds: float


@attrs.frozen
class FaultyAnswers:
    """Make a target repeat its answers, break them off or never end them."""

    place: str
    seconds: float
    answers: str


@attrs.frozen
class Scope:
    """What faults can affect.

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
    """A fault and its start time.

    Attributes:
        at: Seconds after the first call.
        fault: One of the faults above.
    """

    at: float
    fault: Any


def draw_schedule(
    seed: int,
    duration_s: float,
    scope: Scope,
    left_out: Container[str] = (),
) -> tuple[Timed, ...]:
    """Draw the faults of a run; equal arguments give equal schedules.

    Every fault begins and ends within the duration. The kinds are drawn in
    shuffled rounds, so that a short run also has many kinds.

    Args:
        seed: The seed of the run.
        duration_s: The duration of the faults, in seconds.
        scope: The nodes, services and zones that faults can affect.
        left_out: The names of kinds that are not drawn.
    """
    rng = random.Random(f'soak-{seed}')
    schedule: list[Timed] = []
    at = FIRST_FAULT_S
    drawn = [kind for kind in KINDS if kind.__name__ not in left_out]
    rounds = (rng.sample(drawn, len(drawn)) for _ in itertools.count())
    kinds = itertools.chain.from_iterable(rounds)
    while at < duration_s:
        fault = _draw_fault(next(kinds), rng, scope, duration_s - at)
        schedule.append(Timed(at, fault))
        at += rng.expovariate(1 / MEAN_GAP_S)
    return tuple(schedule)


def _draw_fault(
    kind: type, rng: random.Random, scope: Scope, remaining_s: float
) -> Any:
    """Draw a fault of a kind; the name of a field decides its distribution."""
    draws: dict[str, Callable[[], Any]] = {
        'place': functools.partial(rng.choice, scope.places),
        'service': functools.partial(rng.choice, scope.services),
        'zone': functools.partial(rng.choice, scope.zones),
        'seconds': functools.partial(_draw_seconds, kind, rng, remaining_s),
        'factor': functools.partial(rng.choice, SLOW_FACTORS),
        'share': functools.partial(rng.choice, FAILURE_FRACTIONS),
        'delay_ms': functools.partial(rng.choice, PLATFORM_DELAYS_MS),
        'lag_ms': functools.partial(rng.choice, READ_LAGS_MS),
        'age_s': functools.partial(rng.choice, COPY_AGES_S),
        'answers': functools.partial(rng.choice, FAULTY),
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
    (
        KillNode,
        KillTarget,
        CrashTarget,
        StopNode,
        StopTarget,
        PlatformReturn,
    )
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
    FaultyAnswers,
    PlatformReturn,
    SlowNode,
)
