"""How fast work goes at a target now, as the target says."""

import math

import attrs

USUAL_PERCENT = 100
#: A pace that was said longer ago is asked for again, in seconds; neighbours
#: on a host change it several times a second.
FRESH_S = 0.03
#: Work that takes so much longer than usual goes elsewhere, in percent.
SLOW_PERCENT = 160
#: A target that hasn't answered by then is taken for one at its usual pace.
ANSWER_S = 0.04


@attrs.define
class Pace:
    """The pace that a target has last said.

    Attributes:
        percent: How long work takes there; 100 is usual.
        asked_at: When it was asked, in monotonic seconds; infinity if no
            answer is awaited.
    """

    percent: int = USUAL_PERCENT
    _said_at: float = -math.inf
    asked_at: float = math.inf

    def note(self, percent: int, now: float) -> None:
        """Keep what the target has said."""
        self.percent = percent
        self._said_at = now

    def is_fresh(self, now: float) -> bool:
        """Return whether it was said a moment ago."""
        return now - self._said_at < FRESH_S

    @property
    def is_slow(self) -> bool:
        """Return whether work takes much longer than usual."""
        return self.percent >= SLOW_PERCENT

    @property
    def overdue_at(self) -> float:
        """Return when an answer is waited for no longer."""
        return self.asked_at + ANSWER_S
