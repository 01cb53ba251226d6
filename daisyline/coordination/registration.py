"""Orders a target's announcements and ignores those that arrive late."""

import attrs

from daisyline.state.targets import Phase, Target


@attrs.frozen
class Announcement:
    """A target's announcement of itself.

    Attributes:
        target: The target.
        sequence: Increases with each announcement of one process start; 0 if
            the target doesn't number its announcements.
        cold_s: For how long the target stays cold, in seconds; 0 if it sends
            another announcement once it is warm.
    """

    target: Target
    sequence: int = 0
    cold_s: float = 0


@attrs.define
class Registration:
    """The newest announcement of the target beside this node.

    A process start that has announced that it is leaving is never registered
    again; only a newer start replaces it.
    """

    _latest: Announcement | None = None

    def accept(self, announcement: Announcement) -> bool:
        """Store an announcement; return False if it is outdated."""
        if self._is_stale(announcement):
            return False
        self._latest = announcement
        return True

    def mark_leaving(
        self, instance: str, started_ms: int
    ) -> Announcement | None:
        """Mark an instance as leaving, if it is the registered one.

        Args:
            instance: The leaving instance.
            started_ms: When it started, in milliseconds; 0 if it isn't known.

        Returns:
            The updated announcement, or None if another instance or a newer
            start is registered.
        """
        latest = self._latest
        if latest is None or latest.target.instance != instance:
            return None
        if started_ms and started_ms < latest.target.started_ms:
            return None
        target = attrs.evolve(latest.target, phase=Phase.LEAVING)
        self._latest = attrs.evolve(latest, target=target, cold_s=0)
        return self._latest

    def _is_stale(self, announcement: Announcement) -> bool:
        if self._latest is None:
            return False
        known, announced = self._latest.target, announcement.target
        if known.incarnation != announced.incarnation:
            return announced.started_ms < known.started_ms
        if known.phase == Phase.LEAVING and announced.phase != Phase.LEAVING:
            return True
        sequence = announcement.sequence
        return 0 < sequence <= self._latest.sequence
