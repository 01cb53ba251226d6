"""The pace that a target reports: how long its work takes at present."""

import math

import attrs

NORMAL_PACE_PERCENT = 100
#: An older report is requested again, in seconds. Other processes on the host
#: change the pace several times a second.
MAX_REPORT_AGE_S = 0.03
#: At this percentage of the usual time the target counts as slow, and calls
#: that another target can take are refused.
SLOW_PACE_PERCENT = 160
#: After this many seconds without an answer to a probe, the target is assumed
#: to work at its usual pace.
PROBE_TIMEOUT_S = 0.04


@attrs.define
class Pace:
    """The pace that a target reported last.

    Attributes:
        percent: How long work takes, in percent of the usual time.
        probed_at: When the outstanding probe was sent, in monotonic seconds;
            infinity if there is none.
    """

    percent: int = NORMAL_PACE_PERCENT
    _reported_at: float = -math.inf
    probed_at: float = math.inf

    def record_report(self, percent: int, now: float) -> None:
        """Store a report of the target."""
        self.percent = percent
        self._reported_at = now

    def is_fresh(self, now: float) -> bool:
        """Return whether the last report is recent enough to be used."""
        return now - self._reported_at < MAX_REPORT_AGE_S

    @property
    def is_slow(self) -> bool:
        """Return whether work takes much longer than usual."""
        return self.percent >= SLOW_PACE_PERCENT

    @property
    def probe_timeout_at(self) -> float:
        """Return when the outstanding probe times out, in monotonic seconds."""
        return self.probed_at + PROBE_TIMEOUT_S
