"""The faults of a soak run that slow a process down."""

import attrs


@attrs.frozen
class SlowNode:
    """Let a node's process run for a small share of the time only."""

    place: str
    seconds: float
    factor: float


@attrs.frozen
class SlowTarget:
    """Make a target's calls take many times longer."""

    place: str
    seconds: float
    factor: float
