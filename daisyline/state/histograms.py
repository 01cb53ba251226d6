"""Latency histograms per service and tenant."""

import bisect
import itertools

import attrs
from hdrh.histogram import HdrHistogram

MIN_LATENCY_US = 1
MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 2
MAX_SERIES = 50
OTHER_TENANT = 'other'
PERCENTILES = (50.0, 90.0, 99.0, 99.9)

_PERCENT = 100
_HALF = 0.5

SeriesKey = tuple[str, str]


@attrs.define
class _SeriesHistogram:
    """One histogram and the exact sum of the latencies recorded in it."""

    histogram: HdrHistogram = attrs.field(
        factory=lambda: HdrHistogram(
            MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS
        )
    )
    total_us: int = 0

    def percentiles(self) -> dict[float, int]:
        """Return the latency at each percentile, in microseconds.

        The result equals that of the library's `get_value_at_percentile`,
        which iterates over the counts in Python once per percentile and
        blocks the event loop for longer.
        """
        histogram = self.histogram
        totals = list(
            itertools.accumulate(histogram.counts[: histogram.counts_len])
        )
        return {
            percentile: int(
                histogram.get_highest_equivalent_value(
                    histogram.get_value_from_index(
                        bisect.bisect_left(
                            totals, _rank(totals[-1], percentile)
                        )
                    )
                )
            )
            for percentile in PERCENTILES
        }


def _rank(count: int, percentile: float) -> int:
    """Return the rank of the call at a percentile; the fastest has rank 1."""
    return max(1, int(count * percentile / _PERCENT + _HALF))


@attrs.define
class Latencies:
    """Latency histograms per service and tenant, in microseconds.

    Once there are `max_series` histograms, calls of new tenants are counted
    under the tenant `other` of their service. Memory stays bounded because
    the names of tenants come from callers' headers.
    """

    _max_series: int = MAX_SERIES
    _series: dict[SeriesKey, _SeriesHistogram] = attrs.field(factory=dict)

    @classmethod
    def from_config(cls, max_series: int = MAX_SERIES) -> 'Latencies':
        """Build an empty set that holds at most `max_series` histograms.

        Each service can have one more, for its tenant `other`.
        """
        return cls(max_series)

    def record(self, service: str, tenant: str, latency_us: int) -> None:
        """Record one call's latency, clamped to the histogram's range."""
        series = self._series.get((service, tenant))
        if series is None:
            series = self._series_for(service, tenant)
        clamped_us = min(max(latency_us, MIN_LATENCY_US), MAX_LATENCY_US)
        series.histogram.record_value(clamped_us)
        series.total_us += clamped_us

    def keys(self) -> list[SeriesKey]:
        """Return the sorted pairs of service and tenant with a histogram."""
        return sorted(self._series)

    def encode(self) -> dict[SeriesKey, str]:
        """Return each histogram in the library's base64 form."""
        return {
            key: series.histogram.encode().decode('ascii')
            for key, series in self._series.items()
        }

    def merge(self, encoded: dict[SeriesKey, str]) -> None:
        """Add another node's encoded histograms; counts stay exact.

        The sum of latencies is computed from the histogram's mean, so it is
        accurate to two significant digits only.
        """
        for (service, tenant), text in encoded.items():
            other = HdrHistogram.decode(text)
            series = self._series_for(service, tenant)
            series.histogram.add(other)
            series.total_us += int(
                other.get_mean_value() * other.get_total_count()
            )

    def percentiles(self) -> dict[SeriesKey, dict[float, int]]:
        """Return each histogram's latency at each percentile.

        Latencies are in microseconds; empty histograms are left out.
        """
        return {
            key: series.percentiles()
            for key, series in self._series.items()
            if series.histogram.get_total_count()
        }

    def count(self, service: str, tenant: str) -> int:
        """Return how many calls of one tenant were recorded."""
        series = self._series.get((service, tenant))
        return series.histogram.get_total_count() if series else 0

    def total_us(self, service: str, tenant: str) -> int:
        """Return the sum of one tenant's latencies, in microseconds."""
        series = self._series.get((service, tenant))
        return series.total_us if series else 0

    def _series_for(self, service: str, tenant: str) -> _SeriesHistogram:
        """Return a tenant's histogram, or that of its service's `other`."""
        key = (service, tenant)
        if key not in self._series and len(self._series) >= self._max_series:
            key = (service, OTHER_TENANT)
        if key not in self._series:
            self._series[key] = _SeriesHistogram()
        return self._series[key]
