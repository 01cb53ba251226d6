"""The time in which a holder may act after a write of its object."""

import math

import attrs

from daisyline.coordination.duties.duty_config import Moment

# Steps of the time of day back by less than this are corrections, not a
# suspension.
_MAX_STEP_BACK_S = 0.1


@attrs.frozen
class Lease:
    """A lease that begins with the start of a successful conditional write.

    Both clocks must say that it lasts: the monotonic clock may not count a
    suspension, and the time of day may be set.

    Attributes:
        duration_s: How long it lasts, in seconds.
        started: When the write was started; None if there is no lease.
    """

    duration_s: float
    started: Moment | None = None

    @property
    def ends_at(self) -> float:
        """Return when the lease ends, in monotonic seconds."""
        if self.started is None:
            return -math.inf
        return self.started.now + self.duration_s

    def is_valid(self, at: Moment) -> bool:
        """Return whether the holder may act."""
        if self.started is None:
            return False
        elapsed_s = at.now - self.started.now
        wall_s = at.wall - self.started.wall
        return (
            0 <= elapsed_s < self.duration_s
            and -_MAX_STEP_BACK_S <= wall_s < self.duration_s
        )
