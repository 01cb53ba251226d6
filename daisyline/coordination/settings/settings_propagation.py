"""Tracks a version of the settings until it is in force on every node."""

from collections.abc import Mapping

import attrs

from daisyline.state.fleet_status import FleetStatus

POLL_S = 0.25


@attrs.define
class SettingsPropagation:
    """The nodes that still have older settings than a version.

    A node that is no longer listed still counts with the version it last had:
    it may have stopped, or it may only be unreachable and go on with the old
    settings.

    Attributes:
        version: The version to wait for, as the rank of its `StoreTime`.
        has_answer: Whether any node has answered.
        node_count: How many nodes were seen.
        outdated_nodes: The names of the nodes with older settings, sorted.
    """

    version: int
    _give_up_at: float
    has_answer: bool = False
    node_count: int = 0
    outdated_nodes: tuple[str, ...] = ()
    _versions: Mapping[str, int] = attrs.field(factory=dict)

    @classmethod
    def from_config(
        cls, version: int, wait_s: float, now: float
    ) -> 'SettingsPropagation':
        """Build it.

        Args:
            version: The version to wait for.
            wait_s: How long to wait, in seconds.
            now: Monotonic seconds.
        """
        return cls(version, now + wait_s)

    @property
    def is_complete(self) -> bool:
        """Return whether every known node has the version or a newer one."""
        return self.has_answer and not self.outdated_nodes

    def observe(self, status: FleetStatus) -> None:
        """Update the versions from the status that a node returned."""
        versions = dict(self._versions)
        for member in status.members:
            versions[member.name] = member.settings_version
        versions[status.name] = status.settings_version
        self._versions = versions
        self.has_answer = True
        self.node_count = len(versions)
        self.outdated_nodes = tuple(
            sorted(
                name for name, held in versions.items() if held < self.version
            )
        )

    def next_poll_s(self, now: float) -> float | None:
        """Return the seconds until the next poll; None if there is none.

        There is none if all nodes have the version or the time is over.
        """
        if self.is_complete or now >= self._give_up_at:
            return None
        return min(POLL_S, self._give_up_at - now)
