"""Latency histograms for each tenant of each service."""

import bisect
import itertools

import attrs
from hdrh.histogram import HdrHistogram

LOWEST_US = 1
HIGHEST_US = 60_000_000
SIGNIFICANT_DIGITS = 2
MAX_SERIES = 50
OTHER_TENANT = 'other'
PERCENTILES = (50.0, 90.0, 99.0, 99.9)

_PERCENT = 100
_HALF = 0.5

Series = tuple[str, str]


@attrs.define
class _Calls:
    """One histogram and the exact sum of what it counted."""

    histogram: HdrHistogram = attrs.field(
        factory=lambda: HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
    )
    total_us: int = 0

    def percentiles(self) -> dict[float, int]:
        """Return microseconds at each percentile.

        It agrees with the library's `get_value_at_percentile`, which walks
        the counts in Python once for each percentile and would hold up the
        loop for longer.
        """
        held = self.histogram
        totals = list(itertools.accumulate(held.counts[: held.counts_len]))
        return {
            percentile: int(
                held.get_highest_equivalent_value(
                    held.get_value_from_index(
                        bisect.bisect_left(
                            totals, _rank(totals[-1], percentile)
                        )
                    )
                )
            )
            for percentile in PERCENTILES
        }


def _rank(count: int, percentile: float) -> int:
    """Return which call, counted from the fastest, is at a percentile."""
    return max(1, int(count * percentile / _PERCENT + _HALF))


@attrs.define
class Latencies:
    """Histograms per service and tenant, in microseconds.

    A tenant beyond the bound is counted under `other` of its service, so
    memory stays bounded whatever tenants callers name.
    """

    _max_series: int = MAX_SERIES
    _series: dict[Series, _Calls] = attrs.field(factory=dict)

    @classmethod
    def from_config(cls, max_series: int = MAX_SERIES) -> 'Latencies':
        """Build histograms for at most a number of services and tenants."""
        return cls(max_series)

    def record(self, service: str, tenant: str, latency_us: int) -> None:
        """Count one call; a latency out of range counts as the nearest."""
        held = self._series.get((service, tenant))
        if held is None:
            held = self._series_for(service, tenant)
        within = min(max(latency_us, LOWEST_US), HIGHEST_US)
        held.histogram.record_value(within)
        held.total_us += within

    def keys(self) -> list[Series]:
        """Return the services and tenants that have been counted."""
        return sorted(self._series)

    def encode(self) -> dict[Series, str]:
        """Return each histogram in the library's base64 form."""
        return {
            key: held.histogram.encode().decode('ascii')
            for key, held in self._series.items()
        }

    def merge(self, encoded: dict[Series, str]) -> None:
        """Add another node's histograms; no count is lost or rounded.

        The sum of latencies is taken from the histogram, to two digits.
        """
        for (service, tenant), text in encoded.items():
            other = HdrHistogram.decode(text)
            held = self._series_for(service, tenant)
            held.histogram.add(other)
            held.total_us += int(
                other.get_mean_value() * other.get_total_count()
            )

    def percentiles(self) -> dict[Series, dict[float, int]]:
        """Return microseconds at each percentile of each histogram."""
        return {
            key: held.percentiles()
            for key, held in self._series.items()
            if held.histogram.get_total_count()
        }

    def count(self, service: str, tenant: str) -> int:
        """Return how many calls were counted for one tenant."""
        held = self._series.get((service, tenant))
        return held.histogram.get_total_count() if held else 0

    def total_us(self, service: str, tenant: str) -> int:
        """Return the sum of one tenant's latencies, in microseconds."""
        held = self._series.get((service, tenant))
        return held.total_us if held else 0

    def _series_for(self, service: str, tenant: str) -> _Calls:
        """Return a tenant's histogram, or its service's `other`."""
        key = (service, tenant)
        if key not in self._series and len(self._series) >= self._max_series:
            key = (service, OTHER_TENANT)
        if key not in self._series:
            self._series[key] = _Calls()
        return self._series[key]
