"""Which of a target's announcements hold, when old ones arrive late."""

import attrs

from daisyline.state.targets import Phase, Target


@attrs.frozen
class Announcement:
    """What a target says of itself.

    Attributes:
        target: The target.
        sequence: Grows with each announcement of one start; 0 if the target
            doesn't count them.
        cold_s: For how long it stays cold, in seconds; 0 if it says so anew
            when it is warm.
    """

    target: Target
    sequence: int = 0
    cold_s: float = 0


@attrs.define
class Registration:
    """The newest announcement of the target beside a node.

    A start that has said that it leaves never comes back; only a newer start
    takes its place.
    """

    _latest: Announcement | None = None

    def accept(self, announcement: Announcement) -> bool:
        """Keep an announcement; return whether it is news or a renewal."""
        if self._is_stale(announcement):
            return False
        self._latest = announcement
        return True

    def leaving(self, instance: str, started_ms: int) -> Announcement | None:
        """Return the announcement that an instance leaves, if it is here.

        Args:
            instance: The instance that says so.
            started_ms: When it started; 0 if it doesn't say.
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
        known, said = self._latest.target, announcement.target
        if known.incarnation != said.incarnation:
            return said.started_ms < known.started_ms
        if known.phase == Phase.LEAVING and said.phase != Phase.LEAVING:
            return True
        sequence = announcement.sequence
        return 0 < sequence <= self._latest.sequence
