"""The settings of the usage report, and the times that follow from them."""

import math

import attrs

# The wait of a candidate in leases. The part above 1 covers clocks that run
# at different rates and the time between a decision and its call.
_TAKEOVER_LEASES = 7 / 6
# Shares of the time until a report is due. Together with the wait of a
# candidate they leave a new holder a fifth of that time for its call.
_SETTLE_SHARE = 0.05
_CLOSE_SHARE = 0.3
_OVERDUE_SHARE = 0.35
_STEP_SHARE = 0.1
_RESERVE_SHARE = 0.2
_MAX_SETTLE_S = 0.5
# Beyond these candidates, each waits for a whole takeover of the one before.
_FAST_CANDIDATES = 3
# Older windows are neither kept nor reported, as their reports are overdue by
# minutes. Nodes and the holder must use the same number: a message begins with
# the oldest windows, and the holder waits for those that it reports.
MAX_OPEN_WINDOWS = 60
# Other duties may share the limit of calls.
_CALL_RATE_SHARE = 0.5


@attrs.frozen
class Moment:
    """A reading of both clocks of this machine.

    Attributes:
        now: Monotonic seconds.
        wall: Seconds since the start of 1970.
    """

    now: float
    wall: float

    def monotonic_of(self, wall: float) -> float:
        """Return when the time of day will be reached, in monotonic seconds."""
        return self.now + wall - self.wall


@attrs.frozen
class DutyConfig:
    """The settings of the usage report.

    Attributes:
        window_s: The length of a window, in seconds.
        late_s: How long after the end of a window its report is due, in
            seconds.
        lease_s: How long a holder may act after its last write, in seconds.
        is_fenced: Whether the platform rejects calls of earlier holders.
        calls_per_s: How many duty calls all nodes may make per second; None
            if this is not limited.
    """

    window_s: float
    late_s: float
    lease_s: float = 3.0
    is_fenced: bool = True
    calls_per_s: float | None = None

    @property
    def takeover_wait_s(self) -> float:
        """Return how long the object must not change before a claim."""
        return self.lease_s * _TAKEOVER_LEASES

    @property
    def settle_s(self) -> float:
        """Return when nodes send their final counts after a window's end."""
        return min(_MAX_SETTLE_S, self.late_s * _SETTLE_SHARE)

    @property
    def close_s(self) -> float:
        """Return when a window is closed without counts that are missing."""
        return self.late_s * _CLOSE_SHARE

    @property
    def overdue_s(self) -> float:
        """Return when a window that is not written lets candidates act."""
        return self.late_s * _OVERDUE_SHARE

    @property
    def collect_s(self) -> float:
        """Return how long a new holder waits for counts."""
        return self.late_s * _STEP_SHARE

    @property
    def reserve_s(self) -> float:
        """Return the time before a report is due that its call may need."""
        return self.late_s * _RESERVE_SHARE

    @property
    def first_call_wait_s(self) -> float:
        """Return how long a new holder makes no call after its claim.

        Without fencing, late calls of the holder before it would be executed
        after newer ones.
        """
        return 0 if self.is_fenced else self.reserve_s

    @property
    def call_interval_s(self) -> float:
        """Return the shortest time between two calls."""
        if self.calls_per_s is None:
            return 0
        return 1 / (self.calls_per_s * _CALL_RATE_SHARE)

    def candidate_delay_s(self, rank: int) -> float:
        """Return how long a candidate waits for those before it.

        Args:
            rank: The number of candidates before it.
        """
        step_s = self.late_s * _STEP_SHARE
        if rank < _FAST_CANDIDATES:
            return rank * step_s
        further = rank - _FAST_CANDIDATES + 1
        return further * (self.takeover_wait_s + step_s)

    def window_of(self, wall: float) -> int:
        """Return the number of the window at a time of day."""
        return math.floor(wall / self.window_s)

    def end_of(self, window: int) -> float:
        """Return the time of day at which a window ends."""
        return (window + 1) * self.window_s
