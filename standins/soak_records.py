"""Records of a soak run: calls, starts at targets, faults and versions."""

from typing import Any

import attrs

from standins.tally import Ending

PLATFORM = 'the platform'


@attrs.frozen
class Start:
    """The start of a call at a target.

    Attributes:
        place: The place of the target.
        instance: The target's instance, new at each start of its process.
        number: The number of this report of the instance, from 1.
        call_id: The value of the `X-Call-Id` header, or empty.
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
    """The start of an instance of a target."""

    place: str
    instance: str
    number: int


@attrs.frozen
class LimitViolation:
    """A limit that was exceeded at a target.

    Attributes:
        place: The place of the target.
        instance: The target's instance.
        number: The number of this report of the instance, from 1.
        limit: `slots`, `connections`, `cold`, `leaving`, `twice` or `body`.
        at: When, in monotonic seconds.
        detail: The value that exceeded it.
    """

    place: str
    instance: str
    number: int
    limit: str
    at: float
    detail: Any


@attrs.frozen
class Attempt:
    """One attempt of a caller to send a call.

    Attributes:
        call_id: The id in `X-Call-Id`; the same in all attempts of a call.
        method: The request's method.
        path: The request's path.
        entry: The place of the node that it was sent to.
        sent_at: When it was sent, in monotonic seconds.
        ended_at: When it ended, in monotonic seconds.
        ending: How it ended for its caller.
        reason: The reason of a refusal, or a description of the failure.
        is_behind: Whether it was sent behind another one on its connection,
            whose answer was awaited.
    """

    call_id: str
    method: str
    path: str
    entry: str
    sent_at: float
    ended_at: float
    ending: Ending
    reason: str = ''
    is_behind: bool = False


@attrs.frozen
class Window:
    """A period in which an unplanned fault may affect calls.

    Attributes:
        kind: The name of the fault.
        place: The place that it hits; `PLATFORM` affects no call.
        begins_at: In monotonic seconds.
        ends_at: In monotonic seconds.
    """

    kind: str
    place: str
    begins_at: float
    ends_at: float


@attrs.frozen
class NodeStop:
    """A planned stop of a node, during which it accepts no new calls.

    Both times are in monotonic seconds.
    """

    place: str
    begins_at: float
    ends_at: float


@attrs.frozen
class ZoneOutPeriod:
    """A period in which a zone was out.

    Attributes:
        zone: The availability zone.
        accepted_at: When the platform's answer to the change arrived, in
            monotonic seconds.
        restored_at: When the change back started, in monotonic seconds.
    """

    zone: str
    accepted_at: float
    restored_at: float


@attrs.frozen
class TargetStop:
    """A planned stop of a target; `signalled_at` is in monotonic seconds."""

    place: str
    instance: str
    signalled_at: float


@attrs.frozen
class SettingsReading:
    """The settings version that a node reported, with its process id."""

    node: str
    pid: int
    version: int
    at: float


@attrs.frozen
class NodeFault:
    """A fault of a program, from its stderr or its unexpected exit."""

    node: str
    line: str


@attrs.frozen
class PeakMemory:
    """The peak resident memory of a node's process, in bytes."""

    node: str
    octets: int


@attrs.define
class Journal:
    """All records of a run.

    Attributes:
        zones: The zone of each place.
        attempts: The attempts of all calls, in the order in which they ended.
        instance_starts: The starts of targets' instances.
        starts: The starts of calls that targets reported.
        limit_violations: The exceeded limits that targets reported.
        windows: The periods of unplanned faults.
        node_stops: Planned stops of nodes.
        zone_out_periods: The periods in which zones were out.
        target_stops: Planned stops of targets.
        settings_readings: The settings versions that nodes reported.
        node_faults: The faults of all processes of the run.
        peak_memory: The peak memory of each process of a node.
        newest_version: The version of the settings at the end of the run.
        faults_ended_at: When the last fault had ended, in monotonic seconds.
        ended_at: When the callers stopped, in monotonic seconds.
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
        """Return all reports of targets."""
        return [*self.instance_starts, *self.starts, *self.limit_violations]
