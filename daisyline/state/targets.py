"""Targets as announced to their nodes, and the load that nodes report."""

import enum

import attrs


class Phase(enum.StrEnum):
    """The phase of a target's life cycle.

    Attributes:
        COLD: The target runs but is still slow, so its node limits its calls.
        READY: The target takes calls up to its limits.
        LEAVING: The target is about to stop and gets no new calls.
    """

    COLD = 'cold'
    READY = 'ready'
    LEAVING = 'leaving'


@attrs.frozen
class Target:
    """A target instance as it announced itself to the node beside it.

    Attributes:
        service: The service that the target is an upstream of.
        version: The version of the service that the target runs.
        instance: The instance's name; usually new at each start.
        host: The IP address that the target listens on.
        port: The TCP port that the target listens on.
        phase: Cold, ready or leaving.
        started_ms: The time of the target's start, in Unix milliseconds; 0
            if it is not announced. It distinguishes successive starts that use
            the same instance name.
        slots: How many calls the target can run at once; 0 if the target
            doesn't announce it, in which case the settings apply.
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
        """Return the key that differs between starts of the target."""
        return (self.instance, self.started_ms)


@attrs.frozen
class LoadReport:
    """The load of a target, which its node reports with each answer.

    Attributes:
        running: How many calls hold a slot.
        waiting: How many calls are in the queue.
        limit: How many slots may be used now; at most the configured number.
        service_us: Smoothed service time of one call, in microseconds.
        pace_percent: The time that work takes now, in percent of the usual
            time.
    """

    running: int = 0
    waiting: int = 0
    limit: int = 1
    service_us: int = 0
    pace_percent: int = 100
