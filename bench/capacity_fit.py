"""Straight lines through measured points, and the size they are taken to."""

import math
import statistics

import attrs

THOUSAND = 1000
LEAST_POINTS = 4

Points = tuple[tuple[float, float], ...]


@attrs.frozen
class Line:
    """A least-squares line.

    Attributes:
        slope: What one unit of the first axis adds.
        intercept: The value at 0.
        residual: Root mean square of the distances from the points.
    """

    slope: float
    intercept: float
    residual: float

    @classmethod
    def from_points(cls, points: Points) -> 'Line':
        """Fit a line.

        Raises:
            ValueError: If there are fewer than four points.
        """
        if len(points) < LEAST_POINTS:
            raise ValueError('a slope is fitted to at least four points')
        fitted = statistics.linear_regression(*zip(*points, strict=True))
        squares = [
            (measured - fitted.intercept - fitted.slope * at) ** 2
            for at, measured in points
        ]
        residual = math.sqrt(statistics.fmean(squares))
        return cls(fitted.slope, fitted.intercept, residual)

    def at(self, size: float) -> float:
        """Return the line's value at a size."""
        return self.intercept + self.slope * size


@attrs.frozen
class Series:
    """What was measured against one size.

    Attributes:
        name: What was measured, with its unit.
        axis: What was varied.
        points: Pairs of the size and the value.
        target: The size that the line is taken to.
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
    def at_target(self) -> float:
        """Return the line's value at the target."""
        return self.line.at(self.target)

    def cells(self) -> tuple[str, ...]:
        """Return the cells of the row that shows it."""
        line = self.line
        measured = ', '.join(_point(*point) for point in self.points)
        fitted = map(format_short, (line.slope, line.intercept, line.residual))
        at_target = _point(self.target, self.at_target)
        return (self.name, self.axis, measured, *fitted, at_target)


@attrs.frozen
class TargetSize:
    """The size that the system has to carry, and what follows from it."""

    upstreams: int = 1100
    services: int = 57
    calls_s: float = 170_000
    depth: int = 11
    changes_a_day: int = 2300
    restarts_a_day: int = 81
    failures_a_day: int = 2

    @property
    def per_service(self) -> float:
        """Return the upstreams of one service."""
        return self.upstreams / self.services

    @property
    def node_calls_s(self) -> float:
        """Return calls a second of a node if inner calls are counted in.

        Each call has one entry and one target, so a node is the entry of so
        many and the target's node of as many.
        """
        return self.calls_s / self.upstreams

    @property
    def deepest_calls_s(self) -> float:
        """Return the same if each is an outer call of the full depth."""
        return self.node_calls_s * self.depth


def format_short(measured: float) -> str:
    """Return a number with three significant digits."""
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
    """Return the table of some series."""
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
