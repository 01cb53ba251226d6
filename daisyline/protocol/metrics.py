"""Metrics in the Prometheus text format.

The client library takes memory, so this module is imported only when metrics
are requested.
"""

from collections.abc import Iterator, Mapping

import attrs
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    SummaryMetricFamily,
)
from prometheus_client.exposition import CONTENT_TYPE_LATEST, generate_latest
from prometheus_client.metrics_core import Metric
from prometheus_client.registry import Collector, CollectorRegistry

from daisyline.state.histograms import Latencies

CONTENT_TYPE = CONTENT_TYPE_LATEST
_US_PER_S = 1_000_000
_PERCENT = 100
_LABELS = ('service', 'tenant')


@attrs.define(eq=False)
class _NodeMetrics(Collector):
    """All metrics of a node, collected for one request."""

    _latencies: Latencies
    _counters: Mapping[str, float]
    _gauges: Mapping[str, float]

    def collect(self) -> Iterator[Metric]:
        """Yield the latencies per service and tenant, counters and gauges."""
        yield self._calls()
        for name, total in self._counters.items():
            yield CounterMetricFamily(f'daisyline_{name}', name, value=total)
        for name, current in self._gauges.items():
            yield GaugeMetricFamily(f'daisyline_{name}', name, value=current)

    def _calls(self) -> Metric:
        metric = SummaryMetricFamily(
            'daisyline_call_seconds',
            'Time from a call to the end of its answer.',
            labels=_LABELS,
        )
        for key, percentiles in self._latencies.percentiles().items():
            labels = dict(zip(_LABELS, key, strict=True))
            for percentile, latency_us in percentiles.items():
                quantile = format(percentile / _PERCENT, 'g')
                metric.add_sample(
                    metric.name,
                    labels | {'quantile': quantile},
                    latency_us / _US_PER_S,
                )
            metric.add_metric(
                key,
                count_value=self._latencies.count(*key),
                sum_value=self._latencies.total_us(*key) / _US_PER_S,
            )
        return metric


def metrics_text(
    latencies: Latencies,
    counters: Mapping[str, float],
    gauges: Mapping[str, float],
) -> bytes:
    """Return a node's metrics in the Prometheus text format.

    Args:
        latencies: Histograms per service and tenant.
        counters: Values that only increase, by name without the prefix.
        gauges: Values that go up and down, by name without the prefix.
    """
    registry = CollectorRegistry()
    registry.register(_NodeMetrics(latencies, counters, gauges))
    return generate_latest(registry)
