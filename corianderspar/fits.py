"""Straight lines through measured points, with a point left out."""

from collections.abc import Iterable
from typing import NamedTuple

import numpy as np


class Point(NamedTuple):
    """One measurement: ``y`` at ``x``."""

    x: float
    y: float


class Series(NamedTuple):
    """Measurements of one thing over another.

    Attributes
    ----------
    name : str
        Stable name, used in the capacity page.
    x, y : str
        What the axes are, with units.
    points : tuple of Point
        At least three, in the order of ``x``.
    knee : float
        From this ``x`` on the mechanism holds ``y`` level, and only the
        points from there on are used; 0 for a straight line.
    """

    name: str
    x: str
    y: str
    points: tuple[Point, ...]
    knee: float = 0.0


class Fit(NamedTuple):
    """A straight line through a series.

    Attributes
    ----------
    slope, intercept : float
        ``y = intercept + slope * x``.
    residual : float
        Root mean square of the residuals, in units of ``y``.
    left_out : Point
        The point that was left out of a second fit.
    predicted : float
        What the second fit says of it.
    """

    slope: float
    intercept: float
    residual: float
    left_out: Point
    predicted: float

    def at(self, x: float) -> float:
        """Return the line's value at ``x``."""
        return self.intercept + self.slope * x

    @property
    def error(self) -> float:
        """How far off the prediction was, as a part of the point."""
        if self.left_out.y == 0:
            return 0.0 if self.predicted == 0 else float('inf')
        return abs(self.predicted - self.left_out.y) / abs(self.left_out.y)


class Row(NamedTuple):
    """One measurement with the name of its series and its axes."""

    name: str
    x: str
    y: str
    at: float
    value: float


def group(rows: Iterable[Row]) -> tuple[Series, ...]:
    """Return the series that rows belong to, in order of first sight.

    Examples
    --------
    >>> rows = [Row('a', 'x', 'y', 1, 2.0), Row('a', 'x', 'y', 2, 4.0)]
    >>> group(rows)[0].points
    (Point(x=1, y=2.0), Point(x=2, y=4.0))
    """
    rows_by_series: dict[tuple[str, str, str], list[Row]] = {}
    for row in rows:
        rows_by_series.setdefault(row[:3], []).append(row)
    return tuple(
        Series(*key, tuple(Point(row.at, row.value) for row in found))
        for key, found in rows_by_series.items()
    )


def fit(series: Series) -> Fit:
    """Fit a line; then leave the last point but one out and predict it.

    Parameters
    ----------
    series : Series
        With at least four points, or two from its knee on.

    Raises
    ------
    ValueError
        If there are fewer.

    Examples
    --------
    >>> points = tuple(Point(x, 2.0 * x + 1) for x in (1, 2, 3, 4))
    >>> line = fit(Series('a', 'x', 'y', points))
    >>> round(line.slope, 6), round(line.intercept, 6), line.left_out.x
    (2.0, 1.0, 3)
    >>> round(line.error, 6)
    0.0
    """
    line = _level if series.knee else _line
    points = tuple(point for point in series.points if point.x >= series.knee)
    if len(points) < (2 if series.knee else 4):
        raise ValueError(f'{series.name}: at least four points')
    slope, intercept = line(points)
    residuals = [point.y - (intercept + slope * point.x) for point in points]
    left_out = points[-2]
    others = tuple(point for point in points if point is not left_out)
    other_slope, other_intercept = line(others)
    return Fit(
        slope,
        intercept,
        float(np.sqrt(np.mean(np.square(residuals)))),
        left_out,
        other_intercept + other_slope * left_out.x,
    )


def _level(points: tuple[Point, ...]) -> tuple[float, float]:
    return 0.0, float(np.mean([point.y for point in points]))


def _line(points: tuple[Point, ...]) -> tuple[float, float]:
    # Weighted by 1/y, so that the small points count as much as the large
    # ones and the error is relative all along the line.
    xs = np.array([point.x for point in points])
    ys = np.array([point.y for point in points])
    weights = 1.0 / np.maximum(np.abs(ys), 1e-12)
    slope, intercept = np.polyfit(xs, ys, 1, w=weights)
    return float(slope), float(intercept)
