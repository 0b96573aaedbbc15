"""Goodput at twice the capacity, recovery, and overload of other regions."""

from bench.measure import Chart, Findings, Measure, Table
from bench.steering_baselines import BASELINES
from bench.steering_deployments import PATELWADI, VESTFOLD, Deployment
from bench.steering_world import Outcome, Scenario, World, run_scenario

__all__ = ('measure',)

_Runs = dict[tuple[Deployment, str], World]

_BEGIN_S = 3
_END_S = 7
_SECONDS = 13
_SERVICE_TIME_S = 0.1
_TWICE = 2
_NORMAL = 0.6
_QUEUE_LIMIT = 10
_GOODPUT_GOAL = 0.95
_RECOVERY_GOAL_S = 10
_FULL = 0.99
_STEP_S = 0.25


def measure(seed: int) -> Findings:
    """Overload all regions of both deployments, then only one region."""
    runs = {
        (deployment, policy): _run(deployment, policy, _everywhere, seed)
        for deployment in (VESTFOLD, PATELWADI)
        for policy in ('steering', *BASELINES)
    }
    measures: list[Measure] = []
    for deployment in (VESTFOLD, PATELWADI):
        measures.extend(_judge(deployment, _by_policy(runs, deployment), seed))
        spilled = _run(deployment, 'steering', _first_region, seed)
        measures.append(_judge_regions(spilled, seed))
    chart = Chart(
        'Answered requests at twice the capacity',
        'seconds',
        'answers per second',
        {
            policy: _per_step(world)
            for policy, world in _by_policy(runs, PATELWADI).items()
        },
    )
    return Findings(tuple(measures), (_table(runs),), (chart,))


def _by_policy(runs: _Runs, deployment: Deployment) -> dict[str, World]:
    return {
        policy: world
        for (found, policy), world in runs.items()
        if found is deployment
    }


def _run(deployment: Deployment, policy: str, load, seed: int) -> World:
    return run_scenario(
        Scenario(
            deployment=deployment,
            policy=policy,
            load=load,
            seconds=_SECONDS,
            lag_s=2,
            service_time_s=_SERVICE_TIME_S,
            queue_limit=_QUEUE_LIMIT,
        ),
        seed,
    )


def _everywhere(region: str, seconds: float) -> float:
    return _TWICE if _BEGIN_S <= seconds < _END_S else _NORMAL


def _first_region(region: str, seconds: float) -> float:
    is_first = region in {VESTFOLD.regions[0], PATELWADI.regions[0]}
    return _everywhere(region, seconds) if is_first else _NORMAL


def _goodput(world: World) -> float:
    """Answers in the overload as a share of what the slots can serve."""
    deployment = world.scenario.deployment
    answered = [
        one
        for one in world.outcomes
        if one.failure is None and _BEGIN_S <= one.ended_at < _END_S
    ]
    slots = deployment.slots * deployment.upstreams
    return len(answered) / (slots * (_END_S - _BEGIN_S) / _SERVICE_TIME_S)


def _recovery_s(world: World) -> float:
    """Time from the end of the overload to the last step below 99%."""
    late = _END_S
    step = _END_S
    while step < _SECONDS - 1:
        began = [one for one in world.outcomes if _is_in(one, step)]
        answered = [one for one in began if one.failure is None]
        if len(answered) < _FULL * len(began):
            late = step + _STEP_S
        step += _STEP_S
    return late - _END_S


def _is_in(one: Outcome, step: float) -> bool:
    return step <= one.began_at < step + _STEP_S


def _refused(world: World) -> int:
    return sum(one.refused for one in world.upstreams.by_name.values())


def _judge(
    deployment: Deployment,
    worlds: dict[str, World],
    seed: int,
) -> list[Measure]:
    goodput = {policy: _goodput(world) for policy, world in worlds.items()}
    recovery = {policy: _recovery_s(world) for policy, world in worlds.items()}
    own_goodput = goodput.pop('steering')
    own_recovery = recovery.pop('steering')
    return [
        Measure(
            name='steering_goodput_{0}'.format(deployment.name),
            value=own_goodput,
            unit='of capacity',
            goal='at least 0.95 at twice the capacity',
            seed=seed,
            is_met=own_goodput >= _GOODPUT_GOAL,
            baselines=goodput,
        ),
        Measure(
            name='steering_recovery_{0}'.format(deployment.name),
            value=own_recovery,
            unit='s',
            goal='full goodput within 10 s after the overload',
            seed=seed,
            is_met=own_recovery <= _RECOVERY_GOAL_S,
            baselines=recovery,
        ),
    ]


def _judge_regions(world: World, seed: int) -> Measure:
    refused = _refused(world)
    return Measure(
        name='region_overload_{0}'.format(world.scenario.deployment.name),
        value=refused,
        unit='requests',
        goal='0 requests above slots + queue while one region is overloaded',
        seed=seed,
        is_met=not refused,
    )


def _per_step(world: World) -> list[tuple[float, float]]:
    counts = [0 for _ in range(_SECONDS + 1)]
    for one in world.outcomes:
        if one.failure is None and one.ended_at < len(counts):
            counts[int(one.ended_at)] += 1
    return list(enumerate(counts))


def _table(runs: _Runs) -> Table:
    rows = tuple(
        (
            deployment.name,
            policy,
            format(_goodput(world), '.3f'),
            format(_recovery_s(world), '.2f'),
            str(_refused(world)),
        )
        for (deployment, policy), world in runs.items()
    )
    columns = ('deployment', 'policy', 'goodput', 'recovery s', 'refused')
    return Table('Twice the capacity for 4 s', columns, rows)
