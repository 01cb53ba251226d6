"""Orders a target's announcements and ignores those that arrive late."""

import math
from collections import deque

import attrs

from daisyline.coordination.departures.start_hold import StartHold
from daisyline.state.departures import Incarnation
from daisyline.state.targets import Phase, Target

# A registered start counts as silent after this time without an announcement,
# in seconds: two of the intervals at which targets announce themselves.
SILENCE_S = 3.0
# The least time between two announcements that prove that a start is alive, in
# seconds; less than the interval of announcements.
CONTENDER_DELAY_S = 1.0
# The number of replaced starts that are remembered, and of those that left.
MAX_REPLACED = 16
MAX_LEFT = 64


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
    again; only a newer start replaces it. Which start is newer follows from the
    times that targets report. They come from clocks that may be set back, so a
    start that seems older is registered too if it goes on announcing itself
    while the registered one is silent.

    Attributes:
        _latest: The newest announcement.
        _latest_at: When it came, in monotonic seconds.
        _contender: The newest announcement of a start that seems older, since
            the registered one has become silent.
        _contender_at: When the first of them came, in monotonic seconds.
        _replaced: The starts that were replaced by newer ones; never
            registered again.
        _left: The starts that have announced that they leave, oldest first.
            One need not have announced itself to this process before. The
            value is the time in Unix milliseconds up to which a departure
            that states no start holds for the starts of its instance.
        _is_confirmed: Whether the registered start has announced itself more
            than once.
        start_hold: Holds back a start that may have left before.
    """

    _latest: Announcement | None = None
    _latest_at: float = -math.inf
    _contender: Announcement | None = None
    _contender_at: float = -math.inf
    _replaced: deque[Incarnation] = attrs.field(
        factory=lambda: deque(maxlen=MAX_REPLACED)
    )
    _left: dict[Incarnation, float] = attrs.field(factory=dict)
    _is_confirmed: bool = False
    start_hold: StartHold = attrs.field(factory=StartHold)

    @classmethod
    def from_start(cls, process_ms: int) -> 'Registration':
        """Build the registration of a node without a target.

        Args:
            process_ms: When this process started, in Unix milliseconds.
        """
        return cls(start_hold=StartHold(process_ms))

    @property
    def latest(self) -> Announcement | None:
        """Return the newest announcement, as leaving if its start left."""
        return self._latest

    @property
    def latest_at(self) -> float:
        """Return when the newest announcement came, in monotonic seconds."""
        return self._latest_at

    @property
    def is_confirmed(self) -> bool:
        """Return whether the registered start has announced itself twice.

        A single announcement may be older than its start's departure.
        """
        return self._is_confirmed

    def accept(self, announcement: Announcement, now: float) -> bool:
        """Store an announcement; return False if it is outdated.

        Args:
            announcement: The announcement.
            now: Monotonic seconds.
        """
        if not self._is_stale(announcement):
            self._record_replaced(announcement.target)
        elif not self._has_replaced_silent(announcement, now):
            return False
        known = self._latest
        announced = announcement.target.incarnation
        self._is_confirmed = (
            known is not None and known.target.incarnation == announced
        )
        self._latest = announcement
        self._latest_at = now
        self._contender = None
        return True

    def mark_leaving(
        self, instance: str, started_ms: int
    ) -> Announcement | None:
        """Mark an instance as leaving, if it is the registered one.

        Its start is remembered in any case, as an announcement that was sent
        before may still arrive.

        Args:
            instance: The leaving instance.
            started_ms: When it started, in milliseconds; 0 if it isn't known.

        Returns:
            The updated announcement, or None if another instance or a newer
            start is registered.
        """
        self.record_left((instance, started_ms))
        latest = self._latest
        if latest is None or latest.target.instance != instance:
            return None
        if started_ms and started_ms < latest.target.started_ms:
            return None
        self.record_left(latest.target.incarnation)
        self._latest = _as_leaving(latest)
        return self._latest

    def has_left(self, target: Target, process_started_ms: int) -> bool:
        """Return whether a start of a target has announced that it leaves.

        A leave may not state the start. It then holds for every start of the
        instance that is older than this process, and so older than the leave.

        Args:
            target: The target.
            process_started_ms: When this process started, in Unix milliseconds.
        """
        if target.incarnation in self._left:
            return True
        until_ms = self._left.get((target.instance, 0), -math.inf)
        return target.started_ms <= min(until_ms, process_started_ms)

    def record_left(
        self, incarnation: Incarnation, until_ms: float = math.inf
    ) -> None:
        """Remember a start that has announced that it leaves.

        Args:
            incarnation: The instance and its start; 0 if it isn't known.
            until_ms: When an earlier process heard a departure that does not
                state the start, in Unix milliseconds.
        """
        self._left[incarnation] = until_ms
        if len(self._left) > MAX_LEFT:
            self._left.pop(next(iter(self._left)))

    def _has_replaced_silent(
        self, announcement: Announcement, now: float
    ) -> bool:
        """Return whether a start that seems older replaces a silent one.

        It has to announce itself twice, some time apart, as announcements that
        were delayed on the way arrive together.
        """
        assert self._latest is not None
        announced = announcement.target.incarnation
        if (
            announced == self._latest.target.incarnation
            or announced in self._replaced
            or now < self._latest_at + SILENCE_S
        ):
            return False
        contender = self._contender
        if contender is None or contender.target.incarnation != announced:
            self._contender = announcement
            self._contender_at = now
            return False
        if announcement.sequence <= contender.sequence:
            return False
        self._contender = announcement
        return now >= self._contender_at + CONTENDER_DELAY_S

    def _record_replaced(self, target: Target) -> None:
        known = None if self._latest is None else self._latest.target
        if known is not None and known.incarnation != target.incarnation:
            self._replaced.append(known.incarnation)

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


def _as_leaving(announcement: Announcement) -> Announcement:
    target = attrs.evolve(announcement.target, phase=Phase.LEAVING)
    return attrs.evolve(announcement, target=target, cold_s=0)
