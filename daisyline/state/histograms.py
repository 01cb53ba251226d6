"""Latency histograms for each tenant of each service."""

import attrs
from hdrh.histogram import HdrHistogram

LOWEST_US = 1
HIGHEST_US = 60_000_000
SIGNIFICANT_DIGITS = 2
MAX_SERIES = 50
OTHER_TENANT = 'other'
PERCENTILES = (50.0, 90.0, 99.0, 99.9)

Series = tuple[str, str]


def _empty() -> HdrHistogram:
    return HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)


@attrs.define
class Latencies:
    """Histograms per service and tenant, in microseconds.

    A tenant beyond the bound is counted under `other` of its service, so
    memory stays bounded whatever tenants callers name.
    """

    _max_series: int = MAX_SERIES
    _series: dict[Series, HdrHistogram] = attrs.field(factory=dict)

    @classmethod
    def from_config(cls, max_series: int = MAX_SERIES) -> 'Latencies':
        """Build histograms for at most a number of services and tenants."""
        return cls(max_series)

    def record(self, service: str, tenant: str, latency_us: int) -> None:
        """Count one call; a latency out of range counts as the nearest."""
        held = self._series.get((service, tenant))
        if held is None:
            held = self._series_for(service, tenant)
        held.record_value(min(max(latency_us, LOWEST_US), HIGHEST_US))

    def keys(self) -> list[Series]:
        """Return the services and tenants that have been counted."""
        return sorted(self._series)

    def encode(self) -> dict[Series, str]:
        """Return each histogram in the library's base64 form."""
        return {
            key: held.encode().decode('ascii')
            for key, held in self._series.items()
        }

    def merge(self, encoded: dict[Series, str]) -> None:
        """Add another node's histograms; no count is lost or rounded."""
        for (service, tenant), text in encoded.items():
            self._series_for(service, tenant).decode_and_add(text)

    def percentiles(self) -> dict[Series, dict[float, int]]:
        """Return microseconds at each percentile of each histogram."""
        return {
            key: {
                percentile: int(held.get_value_at_percentile(percentile))
                for percentile in PERCENTILES
            }
            for key, held in self._series.items()
        }

    def count(self, service: str, tenant: str) -> int:
        """Return how many calls were counted for one tenant."""
        held = self._series.get((service, tenant))
        return held.get_total_count() if held else 0

    def _series_for(self, service: str, tenant: str) -> HdrHistogram:
        """Return a tenant's histogram, or its service's `other`."""
        key = (service, tenant)
        if key not in self._series and len(self._series) >= self._max_series:
            key = (service, OTHER_TENANT)
        if key not in self._series:
            self._series[key] = _empty()
        return self._series[key]
