"""Fits of measured figures over the size, with their residuals."""

import math
from collections.abc import Mapping

import attrs

__all__ = ('Fit', 'fit_best', 'fit_line', 'fit_power')

_FEWEST = 3


@attrs.frozen
class Fit:
    """A line a + b x or a power a x**b through measured points.

    `residual` is the largest distance of a point from the fit, as a share of
    the largest measured value.
    """

    form: str
    start: float
    slope: float
    residual: float

    def at(self, size: float) -> float:
        """Value of the fit at a size."""
        if self.form == 'power':
            return self.start * size**self.slope
        return self.start + self.slope * size


def fit_line(points: Mapping[float, float]) -> Fit:
    """Least squares of a + b x; raises `ValueError` below three points."""
    start, slope = _least_squares(points)
    return _with_residual(Fit('line', start, slope, 0), points)


def fit_power(points: Mapping[float, float]) -> Fit:
    """Least squares of a x**b over logarithms; values must be above 0."""
    sizes = map(math.log, points)
    logs = dict(zip(sizes, map(math.log, points.values()), strict=True))
    start, slope = _least_squares(logs)
    return _with_residual(Fit('power', math.exp(start), slope, 0), points)


def fit_best(points: Mapping[float, float]) -> Fit:
    """The fit with the smaller residual; a line where a value is 0."""
    line = fit_line(points)
    if min(points.values()) <= 0:
        return line
    return min(line, fit_power(points), key=lambda fit: fit.residual)


def _least_squares(points: Mapping[float, float]) -> tuple[float, float]:
    if len(points) < _FEWEST:
        raise ValueError('a fit needs three sizes')
    middle = sum(points) / len(points)
    average = sum(points.values()) / len(points)
    spread = sum((size - middle) ** 2 for size in points)
    slope = (
        sum((size - middle) * (points[size] - average) for size in points)
        / spread
    )
    return average - slope * middle, slope


def _with_residual(fit: Fit, points: Mapping[float, float]) -> Fit:
    largest = max(map(abs, points.values())) or 1
    gaps = [fit.at(size) - found for size, found in points.items()]
    worst = max(map(abs, gaps))
    return attrs.evolve(fit, residual=worst / largest)
