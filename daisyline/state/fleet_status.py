"""The status of the fleet, as a node reports it to operators."""

from typing import Any

import attrs

from daisyline.state.rollout_state import RolloutStatus


@attrs.frozen
class MemberStatus:
    """The status of one node, as the reporting node knows it.

    Attributes:
        name: The node's name.
        zone: Its availability zone.
        region: The region of that zone.
        settings_version: The version of the settings in force on the node.
        service: The service of the target beside it; empty without a target.
        version: The version that the target runs.
        phase: The target's phase: cold, ready or leaving.
        running: How many calls hold a slot.
        waiting: How many calls are in the queue.
        limit: How many slots may be used now.
        operators: The URL of the node's operators' port; empty if unknown.
    """

    name: str
    zone: str = ''
    region: str = ''
    settings_version: int = 0
    service: str = ''
    version: str = ''
    phase: str = ''
    running: int = 0
    waiting: int = 0
    limit: int = 0
    operators: str = ''


@attrs.frozen
class FleetStatus:
    """The status of the fleet, as the node `name` knows it."""

    name: str
    cluster: str = ''
    zone: str = ''
    region: str = ''
    settings_version: int = 0
    members: tuple[MemberStatus, ...] = ()
    rollouts: tuple[RolloutStatus, ...] = ()


@attrs.frozen
class RecordedEvent:
    """One decision that a node recorded.

    Attributes:
        at: The Unix time in seconds, by the node's clock.
        kind: The kind of the event.
        what: The event as one sentence.
        numbers: The other recorded values, by name.
        node: The node that recorded it.
    """

    at: float
    kind: str
    what: str
    numbers: dict[str, Any] = attrs.field(factory=dict)
    node: str = ''
