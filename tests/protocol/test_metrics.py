"""Metrics are written in the text format that Prometheus parses."""

from prometheus_client.parser import text_string_to_metric_families

from daisyline.protocol.metrics import metrics_text
from daisyline.state.histograms import Latencies
from tests.support import function_tests

load_tests = function_tests(__name__)


def test_the_text_holds_calls_counters_and_gauges() -> None:
    latencies = Latencies.from_config()
    for latency_us in (1000, 2000, 3000):
        latencies.record('docs', 'a"b\n', latency_us)
    text = metrics_text(latencies, {'retries': 4}, {'members': 5}).decode()
    samples = {
        (sample.name, sample.labels.get('quantile')): sample
        for family in text_string_to_metric_families(text)
        for sample in family.samples
    }
    assert samples['daisyline_call_seconds_count', None].value == 3
    total_s = samples['daisyline_call_seconds_sum', None].value
    assert round(total_s * 1000) == 6
    median = samples['daisyline_call_seconds', '0.5']
    assert median.labels['tenant'] == 'a"b\n'
    assert round(median.value * 100_000) in {200, 201}
    assert samples['daisyline_retries_total', None].value == 4
    assert samples['daisyline_members', None].value == 5
