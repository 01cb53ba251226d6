"""Follow a change until it is in force on every node."""

from collections.abc import Mapping

import attrs

from daisyline.state.fleet_status import FleetStatus

POLL_S = 0.25


@attrs.define
class SettingsPropagation:
    """The nodes that lack a version of the settings, as one node sees them.

    A node that was seen and then is no longer known may have stopped, or may
    only be out of reach and run on with what it held, so it counts as before.

    Attributes:
        version: The version that is wanted.
        asked: Whether any node has answered.
        total: How many nodes there are.
        lacking: The names of those that hold older settings.
    """

    version: int
    _until: float
    has_answer: bool = False
    node_count: int = 0
    outdated_nodes: tuple[str, ...] = ()
    _held: Mapping[str, int] = attrs.field(factory=dict)

    @classmethod
    def from_config(cls, version: int, wait_s: float, now: float) -> 'InForce':
        """Build it for a version and a time to wait, in seconds."""
        return cls(version, now + wait_s)

    @property
    def is_complete(self) -> bool:
        """Return whether every node that is known holds the version."""
        return self.has_answer and not self.outdated_nodes

    def observe(self, status: FleetStatus) -> None:
        """Take in what a node says of all nodes."""
        held = dict(self._held)
        for member in status.members:
            held[member.name] = member.settings_version
        held[status.name] = status.settings_version
        self._held = held
        self.has_answer = True
        self.node_count = len(held)
        self.outdated_nodes = tuple(
            sorted(name for name, had in held.items() if had < self.version)
        )

    def next_poll_s(self, now: float) -> float | None:
        """Return how long to wait before asking again; None at the end."""
        if self.is_complete or now >= self._until:
            return None
        return min(POLL_S, self._until - now)
