"""Counts of endings and latencies of the calls to one service."""

import enum

import attrs
from hdrh.histogram import HdrHistogram

LOWEST_US = 1
HIGHEST_US = 60_000_000
DIGITS = 3
US_PER_MS = 1000
US_PER_S = 1_000_000


class Ending(enum.StrEnum):
    """How a call ended for the caller."""

    ANSWERED = 'answered'
    FAILED = 'failed'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'
    CUT = 'cut'
    WRONG = 'wrong'


def _histogram() -> HdrHistogram:
    return HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)


def _no_endings() -> dict[Ending, int]:
    return dict.fromkeys(Ending, 0)


@attrs.define
class Tally:
    """The endings and latencies of the calls to one service.

    Latencies count from the scheduled time of sending, so that they include
    the delay of a late caller.

    Attributes:
        sent: The number of calls sent.
        endings: The number of calls by ending.
        latencies: The latencies of answered calls, in microseconds.
    """

    sent: int = 0
    endings: dict[Ending, int] = attrs.field(factory=_no_endings)
    latencies: HdrHistogram = attrs.field(factory=_histogram)

    @property
    def pending(self) -> int:
        """Return the number of calls that have not ended."""
        return self.sent - sum(self.endings.values())

    def end(self, ending: Ending, seconds: float) -> None:
        """Record the end of a call and its latency, in seconds."""
        self.endings[ending] += 1
        assert self.pending >= 0
        if ending == Ending.ANSWERED:
            latency_us = max(LOWEST_US, round(seconds * US_PER_S))
            self.latencies.record_value(min(latency_us, HIGHEST_US))

    def percentile_ms(self, percentile: float) -> float:
        """Return a percentile of the latencies, in milliseconds."""
        return self.latencies.get_value_at_percentile(percentile) / US_PER_MS

    def add(self, other: 'Tally') -> None:
        """Add the calls of another tally."""
        self.sent += other.sent
        for ending, count in other.endings.items():
            self.endings[ending] += count
        self.latencies.add(other.latencies)
