"""Tests of the line fit, the series tables and the target size."""

import math

from hypothesis import given, settings
from hypothesis import strategies as st

from bench.capacity_fit import Line, Series, TargetSize, markdown_table
from tests.support import function_tests

load_tests = function_tests(__name__)

numbers = st.floats(min_value=-1000, max_value=1000)


def test_points_on_a_line_give_that_line() -> None:
    @settings(max_examples=100, derandomize=True)
    @given(slope=numbers, intercept=numbers)
    def check(slope: float, intercept: float) -> None:
        sizes = (25, 50, 100, 200)
        points = tuple((size, intercept + slope * size) for size in sizes)
        line = Line.from_points(points)
        assert math.isclose(line.slope, slope, abs_tol=1e-6)
        assert math.isclose(line.intercept, intercept, abs_tol=1e-6)
        assert math.isclose(line.residual, 0, abs_tol=1e-6)
        expected = intercept + slope * 1100
        assert math.isclose(line.value_at(1100), expected, abs_tol=1e-3)

    check()


def test_residual_is_the_root_mean_square_of_the_distances() -> None:
    points = ((0, 1), (1, -1), (2, -1), (3, 1))
    line = Line.from_points(points)
    assert math.isclose(line.slope, 0, abs_tol=1e-9)
    assert math.isclose(line.residual, 1)


def test_fewer_than_four_points_give_no_slope() -> None:
    try:
        Line.from_points(((0, 1), (1, 2), (2, 3)))
    except ValueError as error:
        assert 'four points' in str(error)
    else:
        raise AssertionError('three points were fitted')


def test_series_is_extrapolated_to_its_target() -> None:
    points = ((0, 1), (1, 3), (2, 5), (3, 7))
    series = Series('bytes', 'members', points, 100)
    assert math.isclose(series.value_at_target, 201)
    assert series.cells()[-1] == '100: 201'


def test_call_rates_of_a_node_follow_from_the_target_size() -> None:
    size = TargetSize()
    assert math.isclose(size.node_calls_s * size.upstreams, size.calls_s)
    assert math.isclose(size.deepest_calls_s, 1700)
    assert round(size.upstreams_per_service) == 19


def test_table_has_a_rule_below_its_header() -> None:
    lines = markdown_table(('a', 'b'), [('1', '2')])
    assert lines == ['| a | b |', '| --- | --- |', '| 1 | 2 |']
