"""What a node tells operators of the fleet."""

from typing import Any

import attrs

from daisyline.state.rollout_state import RolloutStatus


@attrs.frozen
class MemberStatus:
    """A node as another node sees it.

    Attributes:
        name: The node's name.
        zone: Its availability zone.
        region: The region of that zone.
        settings_version: The settings in force there.
        service: The service of the target beside it; empty without one.
        version: The version that the target runs.
        phase: Cold, ready or leaving.
        running: Calls that hold a slot.
        waiting: Calls in the queue.
        limit: Slots that may be used now.
        operators: The URL of its operators' port, if it is told.
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
    """The fleet as one node sees it."""

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
        at: When, as the node gives it.
        kind: What sort of decision.
        what: One sentence.
        numbers: Everything else that was recorded.
        node: The node that recorded it.
    """

    at: float
    kind: str
    what: str
    numbers: dict[str, Any] = attrs.field(factory=dict)
    node: str = ''
