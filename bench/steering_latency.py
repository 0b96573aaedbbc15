"""Callers' latency and headroom of one deployment against other policies."""

import itertools

from bench.measure import Findings, Measure, Table
from bench.steering_baselines import BASELINES
from bench.steering_deployments import Deployment
from bench.steering_figures import (
    PERCENTILES,
    least_headroom,
    percentile_ms,
    pooled_ms,
)
from bench.steering_world import Scenario, World, run_scenario

__all__ = ('measure_latency',)

_ByPolicy = dict[str, dict[str, float]]
_ByLag = dict[float, _ByPolicy]

_LOAD = 0.8
_SECONDS = 7
_LAGS_S = (0, 2, 10)
_SERVICE_TIME_S = 0.05
_LAGGING = 'least reported load'
_GOAL = 'at least as good as the best baseline at the same lag'


def measure_latency(deployment: Deployment, seed: int) -> Findings:
    """Offer 0.8 of the slots at nine entries, with lagging reports."""
    by_lag = _run_all(deployment, seed)
    measures = tuple(
        _compare(deployment, lag_s, figure, by_lag[lag_s], seed)
        for lag_s, figure in itertools.product(_LAGS_S, bound_names())
    )
    return Findings(measures, (_table(deployment, by_lag, seed),))


def _table(deployment: Deployment, by_lag: _ByLag, seed: int) -> Table:
    bound = pooled_ms(deployment, _LOAD, _SERVICE_TIME_S, seed)
    rows = [('-', 'M/M/k bound', *_cells(bound.values()), '-', '-')]
    rows.extend(
        (str(lag_s), policy, *_cells(figures.values()))
        for lag_s, found in by_lag.items()
        for policy, figures in found.items()
    )
    title = 'Latency at load 0.8, {0}'.format(deployment.name)
    return Table(title, ('lag s', 'policy', *bound_names()), tuple(rows))


def _run_all(deployment: Deployment, seed: int) -> _ByLag:
    # Reports do not matter to these two, so one run serves for every lag.
    steady = {
        policy: _run(deployment, policy, 0, seed)
        for policy in BASELINES
        if policy != _LAGGING
    }
    return {
        lag_s: {
            'steering': _run(deployment, 'steering', lag_s, seed),
            **steady,
            _LAGGING: _run(deployment, _LAGGING, lag_s, seed),
        }
        for lag_s in _LAGS_S
    }


def bound_names() -> tuple[str, ...]:
    """Names of the figures of one run."""
    names = ['p{0} ms'.format(percent) for percent in PERCENTILES]
    return (*names, 'answered', 'least headroom')


def _run(
    deployment: Deployment,
    policy: str,
    lag_s: float,
    seed: int,
) -> dict[str, float]:
    world = run_scenario(
        Scenario(
            deployment=deployment,
            policy=policy,
            load=_steady,
            seconds=_SECONDS,
            lag_s=lag_s,
            service_time_s=_SERVICE_TIME_S,
        ),
        seed,
    )
    return dict(zip(bound_names(), _figures(world), strict=True))


def _figures(world: World) -> tuple[float, ...]:
    answered = [one for one in world.outcomes if one.failure is None]
    return (
        *(percentile_ms(world, percent) for percent in PERCENTILES),
        len(answered) / len(world.outcomes),
        least_headroom(world),
    )


def _steady(region: str, seconds: float) -> float:
    return _LOAD


def _compare(
    deployment: Deployment,
    lag_s: float,
    figure: str,
    found: _ByPolicy,
    seed: int,
) -> Measure:
    baselines = {
        policy: figures[figure]
        for policy, figures in found.items()
        if policy in BASELINES
    }
    own = found['steering'][figure]
    name, _, unit = figure.partition(' ')
    if unit == 'ms':
        is_met = own <= min(baselines.values())
    else:
        is_met = own >= max(baselines.values())
    return Measure(
        name='steering_{0}_{1}_lag{2}'.format(deployment.name, name, lag_s),
        value=own,
        unit=unit if unit == 'ms' else 'share',
        goal=_GOAL,
        seed=seed,
        is_met=is_met,
        baselines=baselines,
    )


def _cells(values) -> tuple[str, ...]:
    return tuple(format(value, '.4g') for value in values)
