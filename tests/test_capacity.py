"""Tests of the curve fits for the capacity page."""

import pytest

from bench.capacity_fit import fit_best, fit_line, fit_power


def test_a_line_is_fitted_and_extrapolated():
    """Guards against an extrapolation that misses a known line."""
    fit = fit_line({9: 19, 30: 61, 90: 181})
    assert fit.at(550) == pytest.approx(1101)
    assert fit.residual == pytest.approx(0, abs=1e-9)


def test_a_power_law_is_fitted_and_extrapolated():
    """Guards against quadratic growth extrapolated as a line."""
    points = {9: 243, 30: 2700, 90: 24300}
    assert fit_power(points).at(550) == pytest.approx(907500)
    assert fit_best(points).form == 'power'


def test_the_residual_is_that_of_the_worst_point():
    """Guards against a curve that is reported as a good linear fit."""
    fit = fit_line({1: 0, 2: 3, 3: 0})
    assert fit.residual == pytest.approx(2 / 3)


def test_two_points_are_refused():
    """Guards against a slope that no third size confirms."""
    with pytest.raises(ValueError, match='three sizes'):
        fit_line({9: 1, 30: 2})
