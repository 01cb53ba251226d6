"""Least-squares lines through measured points, and their extrapolation."""

import math
import statistics

import attrs

THOUSAND = 1000
MIN_POINTS = 4

Points = tuple[tuple[float, float], ...]


@attrs.frozen
class Line:
    """A least-squares line.

    Attributes:
        slope: Increase of the value per unit of the size.
        intercept: The value at 0.
        residual: Root mean square of the distances from the points.
    """

    slope: float
    intercept: float
    residual: float

    @classmethod
    def from_points(cls, points: Points) -> 'Line':
        """Fit a line to points.

        Raises:
            ValueError: If there are fewer than four points.
        """
        if len(points) < MIN_POINTS:
            raise ValueError('a slope is fitted to at least four points')
        fitted = statistics.linear_regression(*zip(*points, strict=True))
        squares = [
            (measured - fitted.intercept - fitted.slope * at) ** 2
            for at, measured in points
        ]
        residual = math.sqrt(statistics.fmean(squares))
        return cls(fitted.slope, fitted.intercept, residual)

    def value_at(self, size: float) -> float:
        """Return the line's value at a size."""
        return self.intercept + self.slope * size


@attrs.frozen
class Series:
    """Values measured at several sizes.

    Attributes:
        name: Name of the measured quantity, with its unit.
        axis: Name of the size that was varied.
        points: Pairs of the size and the value.
        target: The size to which the line is extrapolated.
    """

    name: str
    axis: str
    points: Points
    target: float

    @property
    def line(self) -> Line:
        """Return the line through the points."""
        return Line.from_points(self.points)

    @property
    def value_at_target(self) -> float:
        """Return the line's value at the target size."""
        return self.line.value_at(self.target)

    def cells(self) -> tuple[str, ...]:
        """Return the cells of its row in the table."""
        line = self.line
        measured = ', '.join(_point(*point) for point in self.points)
        fitted = map(format_short, (line.slope, line.intercept, line.residual))
        at_target = _point(self.target, self.value_at_target)
        return (self.name, self.axis, measured, *fitted, at_target)


@attrs.frozen
class TargetSize:
    """The size that the system must support, and derived rates.

    Attributes:
        upstreams: Number of targets of all services.
        services: Number of services.
        calls_s: Calls per second of the whole system.
        depth: Number of calls in the deepest chain of nested calls.
        changes_a_day: Settings changes per day.
        restarts_a_day: Restarts per day.
        failures_a_day: Failures per day.
    """

    upstreams: int = 1100
    services: int = 57
    calls_s: float = 170_000
    depth: int = 11
    changes_a_day: int = 2300
    restarts_a_day: int = 81
    failures_a_day: int = 2

    @property
    def upstreams_per_service(self) -> float:
        """Return the mean number of upstreams of a service."""
        return self.upstreams / self.services

    @property
    def node_calls_s(self) -> float:
        """Return calls per second of a node if the rate includes inner calls.

        Each call has one entry node and one target, so a node handles this
        rate as an entry node and the same rate as a target's node.
        """
        return self.calls_s / self.upstreams

    @property
    def deepest_calls_s(self) -> float:
        """Return calls per second of a node if all calls have full depth."""
        return self.node_calls_s * self.depth


def format_short(measured: float) -> str:
    """Format a number with three significant digits."""
    form = ',.0f' if abs(measured) >= THOUSAND else '.3g'
    return format(measured, form)


def markdown_table(
    header: tuple[str, ...], rows: list[tuple[str, ...]]
) -> list[str]:
    """Return the lines of a table in Markdown."""
    rule = tuple('---' for _ in header)
    joined = (' | '.join(cells) for cells in (header, rule, *rows))
    return [f'| {line} |' for line in joined]


def _point(at: float, measured: float) -> str:
    where = format(at, ',.4g')
    return f'{where}: {format_short(measured)}'


def format_series_table(measured: list[Series]) -> list[str]:
    """Return the lines of the table of several series."""
    header = (
        'measured',
        'against',
        'points',
        'slope',
        'at 0',
        'residual',
        'at the target',
    )
    return markdown_table(header, [series.cells() for series in measured])
