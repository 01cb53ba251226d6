"""Latency histograms lose no count and stay within bounded memory."""

import tracemalloc
from random import Random

from hdrh.histogram import HdrHistogram
from hypothesis import given, settings
from hypothesis import strategies as st

from daisyline.state.histograms import (
    MAX_LATENCY_US,
    MAX_SERIES,
    PERCENTILES,
    Latencies,
)
from tests.support import function_tests

load_tests = function_tests(__name__)

_MEGABYTE = 1_000_000
_values_us = st.lists(
    st.integers(0, 2 * MAX_LATENCY_US), min_size=1, max_size=40
)


def test_merged_histograms_equal_one_of_all_calls() -> None:
    @settings(derandomize=True, max_examples=20, deadline=None)
    @given(_values_us, _values_us)
    def check(first_us: list[int], second_us: list[int]) -> None:
        merged, other, combined = (Latencies.from_config() for _ in range(3))
        for latency in first_us:
            merged.record('docs', 'a', latency)
        for latency in second_us:
            other.record('docs', 'a', latency)
        for latency in first_us + second_us:
            combined.record('docs', 'a', latency)
        merged.merge(other.encode())
        assert merged.encode() == combined.encode()

    check()


def test_percentiles_agree_with_the_library() -> None:
    @settings(derandomize=True, max_examples=20, deadline=None)
    @given(_values_us)
    def check(values_us: list[int]) -> None:
        latencies = Latencies.from_config()
        for latency in values_us:
            latencies.record('docs', 'a', latency)
        library_histogram = HdrHistogram.decode(latencies.encode()['docs', 'a'])
        assert latencies.percentiles()['docs', 'a'] == {
            percentile: library_histogram.get_value_at_percentile(percentile)
            for percentile in PERCENTILES
        }

    check()


def test_tenants_beyond_the_bound_are_counted_together() -> None:
    latencies = Latencies.from_config(max_series=2)
    for tenant in ('a', 'b', 'c', 'd', 'a'):
        latencies.record('docs', tenant, 1000)
    assert latencies.keys() == [
        ('docs', 'a'),
        ('docs', 'b'),
        ('docs', 'other'),
    ]
    assert latencies.count('docs', 'a') == 2
    assert latencies.count('docs', 'other') == 2


def test_histograms_of_many_tenants_stay_under_eight_megabytes() -> None:
    rng = Random(1)
    tracemalloc.start()
    latencies = Latencies.from_config()
    for tenant in range(2 * MAX_SERIES):
        latencies.record('docs', str(tenant), rng.randrange(MAX_LATENCY_US))
    traced_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert traced_bytes < 8 * _MEGABYTE
