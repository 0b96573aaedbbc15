"""Retries when every upstream fails, leaving upstreams and drains."""

import asyncio

from bench.measure import Findings, Measure
from bench.steering_deployments import PATELWADI, VESTFOLD, Deployment
from bench.steering_world import SAMPLE_S, Scenario, World, run_scenario

__all__ = ('measure',)

_SECONDS = 8
_AT_S = 3
_LOAD = 0.3
_AMPLIFICATION_GOAL = 1.1
_LEAVING_GOAL_S = 3


def measure(seed: int) -> Findings:
    """Fail, leave and drain in both deployments."""
    measures = []
    for deployment in (VESTFOLD, PATELWADI):
        measures.append(_amplification(deployment, seed))
        measures.append(_leaving(deployment, seed))
        measures.append(_draining(deployment, seed))
    return Findings(tuple(measures))


def _run(deployment: Deployment, act, seed: int) -> World:
    scenario = Scenario(
        deployment=deployment,
        policy='steering',
        load=_load,
        seconds=_SECONDS,
        lag_s=2,
        act=act,
    )
    return run_scenario(scenario, seed)


def _load(region: str, seconds: float) -> float:
    return _LOAD


async def _fail_all(world: World) -> None:
    await asyncio.sleep(_AT_S)
    for upstream in world.upstreams.by_name.values():
        upstream.crash()


def _amplification(deployment: Deployment, seed: int) -> Measure:
    world = _run(deployment, _fail_all, seed)
    attempts = sum(one.attempts for one in world.upstreams.by_name.values())
    ratio = attempts / len(world.outcomes)
    return Measure(
        name='steering_amplification_{0}'.format(deployment.name),
        value=ratio,
        unit='attempts per request',
        goal='at most 1.1 over all entries when every upstream fails',
        seed=seed,
        is_met=ratio <= _AMPLIFICATION_GOAL,
    )


async def _leave(world: World) -> None:
    await asyncio.sleep(_AT_S)
    name = min(world.upstreams.by_name)
    entry = min(world.entries)
    world.entries[entry].policy.record_leaving(name)


def _leaving(deployment: Deployment, seed: int) -> Measure:
    world = _run(deployment, _leave, seed)
    upstream = world.upstreams.by_name[min(world.upstreams.by_name)]
    late_s = max(upstream.last_started_at - _AT_S, 0)
    return Measure(
        name='steering_leaving_{0}'.format(deployment.name),
        value=late_s,
        unit='s',
        goal='no new work later than 3 s after the first entry knows',
        seed=seed,
        is_met=late_s <= _LEAVING_GOAL_S,
    )


def _drained_zone(world: World) -> str:
    return '{0}-a'.format(world.scenario.deployment.regions[0])


async def _drain(world: World) -> None:
    await asyncio.sleep(_AT_S)
    world.declare('drain', 'd', {'availability_zone': _drained_zone(world)})


def _draining(deployment: Deployment, seed: int) -> Measure:
    world = _run(deployment, _drain, seed)
    done_at = _last_busy_s(world, _drained_zone(world))
    return Measure(
        name='steering_drain_{0}'.format(deployment.name),
        value=done_at - _AT_S,
        unit='s',
        goal='four steps of 1 s and the longest request left',
        seed=seed,
    )


def _last_busy_s(world: World, zone: str) -> float:
    names = [
        name
        for name in world.upstreams.by_name
        if world.table.get(f'config/upstream/{name}').spec.availability_zone
        == zone
    ]
    busy = [
        index
        for index, sample in enumerate(world.samples, 1)
        if any(sample[name] for name in names)
    ]
    return max(busy) * SAMPLE_S
