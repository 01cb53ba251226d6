"""Targets as their nodes know them and as other nodes see them."""

import enum

import attrs


class Phase(enum.StrEnum):
    """Where a target is in its life."""

    COLD = 'cold'
    READY = 'ready'
    LEAVING = 'leaving'


@attrs.frozen
class Target:
    """A target instance as it announced itself to the node beside it.

    Attributes:
        service: The service that it is an upstream of.
        version: The version of the service that it runs.
        instance: A name that is new at each start of the target.
        host: The IP number it listens on.
        port: The TCP port it listens on.
        phase: Cold, ready or leaving.
        started_ms: When it started, in Unix milliseconds; 0 if it doesn't
            say. An instance may start again under its name.
        slots: Calls that it runs at once; 0 if the settings say.
    """

    service: str
    version: str
    instance: str
    host: str
    port: int
    phase: Phase = attrs.field(default=Phase.READY, converter=Phase)
    started_ms: int = 0
    slots: int = 0

    @property
    def incarnation(self) -> tuple[str, int]:
        """Return what is new at each start of the target."""
        return (self.instance, self.started_ms)


@attrs.frozen
class LoadReport:
    """What a target's node last said of its load; it rides on answers.

    Attributes:
        running: Calls that hold a slot.
        waiting: Calls in the queue.
        limit: Slots that may be used now, at most the contract's.
        service_us: Smoothed service time of one call, in microseconds.
        pace_percent: How long work takes there now; 100 is usual.
    """

    running: int = 0
    waiting: int = 0
    limit: int = 1
    service_us: int = 0
    pace_percent: int = 100
