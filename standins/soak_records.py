"""What a soak run saw: calls, starts at targets, faults and versions."""

from typing import Any

import attrs

from standins.tally import Ending

PLATFORM = 'the platform'


@attrs.frozen
class Start:
    """A call that a target began to run.

    Attributes:
        place: The place of the target.
        instance: The target's instance, new at each start of its process.
        number: Counts what the instance reported, from 1.
        call_id: The `X-Call-Id` header, or empty.
        method: The request's method.
        path: The request's path.
        at: When, in monotonic seconds.
    """

    place: str
    instance: str
    number: int
    call_id: str
    method: str
    path: str
    at: float


@attrs.frozen
class InstanceStart:
    """An instance of a target that has begun to serve."""

    place: str
    instance: str
    number: int


@attrs.frozen
class LimitViolation:
    """A limit that a target saw broken.

    Attributes:
        place: The place of the target.
        instance: The target's instance.
        number: Counts what the instance reported, from 1.
        limit: `slots`, `connections`, `cold`, `leaving` or `twice`.
        at: When, in monotonic seconds.
        detail: The value that broke it.
    """

    place: str
    instance: str
    number: int
    limit: str
    at: float
    detail: Any


@attrs.frozen
class Attempt:
    """One sending of a call by its caller.

    Attributes:
        call_id: The id in `X-Call-Id`; a re-sent call keeps it.
        method: The request's method.
        path: The request's path.
        entry: The place of the node that it was sent to.
        sent_at: When, in monotonic seconds.
        ended_at: When it ended, in monotonic seconds.
        ending: How it ended for its caller.
        reason: The reason of a refusal, or what was wrong.
    """

    call_id: str
    method: str
    path: str
    entry: str
    sent_at: float
    ended_at: float
    ending: Ending
    reason: str = ''


@attrs.frozen
class Window:
    """A time in which an unplanned fault may touch calls.

    Attributes:
        kind: The name of the fault.
        place: The place that it hits; `PLATFORM` touches no call.
        begins_at: In monotonic seconds.
        ends_at: In monotonic seconds.
    """

    kind: str
    place: str
    begins_at: float
    ends_at: float


@attrs.frozen
class NodeStop:
    """A time in which a node takes no new calls, as it was told to stop."""

    place: str
    begins_at: float
    ends_at: float


@attrs.frozen
class ZoneOutPeriod:
    """A time in which a zone was out.

    Attributes:
        zone: The availability zone.
        accepted_at: When the platform's acceptance was known.
        back_at: When the change back was begun.
    """

    zone: str
    accepted_at: float
    restored_at: float


@attrs.frozen
class TargetStop:
    """A target that was told to leave."""

    place: str
    instance: str
    signalled_at: float


@attrs.frozen
class SettingsReading:
    """The settings that one process of a node held at a moment."""

    node: str
    process: int
    version: int
    at: float


@attrs.frozen
class NodeFault:
    """A line of a node's stderr that tells of a fault of its program."""

    node: str
    line: str


@attrs.frozen
class PeakMemory:
    """The most resident memory that a node's process had, in bytes."""

    node: str
    octets: int


@attrs.define
class Journal:
    """All that a run saw.

    Attributes:
        zones: The zone of each place.
        attempts: The calls' sendings, as they ended.
        begun: The instances of targets that reported.
        starts: The starts that targets reported.
        broken: The limits that targets saw broken.
        windows: Unplanned faults.
        absences: Planned stops of nodes.
        zones_away: Times in which zones were out.
        leaving: Planned stops of targets.
        held: Versions of settings that nodes held, as read.
        node_faults: Faults in nodes' stderr.
        memory: Memory of nodes' processes.
        newest_version: The last version of the settings at the end.
        faults_ended_at: When the last fault was over, in monotonic seconds.
        ended_at: When the callers stopped sending.
        pending: Calls that never ended for their caller.
    """

    zones: dict[str, str] = attrs.field(factory=dict)
    attempts: list[Attempt] = attrs.field(factory=list)
    instance_starts: list[InstanceStart] = attrs.field(factory=list)
    starts: list[Start] = attrs.field(factory=list)
    limit_violations: list[LimitViolation] = attrs.field(factory=list)
    windows: list[Window] = attrs.field(factory=list)
    node_stops: list[NodeStop] = attrs.field(factory=list)
    zone_out_periods: list[ZoneOutPeriod] = attrs.field(factory=list)
    target_stops: list[TargetStop] = attrs.field(factory=list)
    settings_readings: list[SettingsReading] = attrs.field(factory=list)
    node_faults: list[NodeFault] = attrs.field(factory=list)
    peak_memory: list[PeakMemory] = attrs.field(factory=list)
    newest_version: int = 0
    faults_ended_at: float = 0
    ended_at: float = 0
    pending: int = 0

    @property
    def reports(self) -> list[InstanceStart | Start | LimitViolation]:
        """Return all that targets reported."""
        return [*self.instance_starts, *self.starts, *self.limit_violations]
