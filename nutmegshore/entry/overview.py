"""Status and explanations of an entry for its operator listener."""

import functools
import math
from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import Any

import attrs

from nutmegshore.caps import CapStatus
from nutmegshore.configuration import ConfigurationTable
from nutmegshore.entry.components import EntryComponents
from nutmegshore.operators import (
    ConflictReport,
    RouteExplanation,
    Providers,
    StatusBoard,
    StatusPart,
    read_statuses,
)
from nutmegshore.store import Platform
from nutmegshore.resources import Drain, Envelope, Limit, Shift
from nutmegshore.steering import (
    DrainProgress,
    DrainState,
    find_conflicts,
)
from nutmegshore.steering import Explanation as SteeringExplanation

__all__ = ('is_region_reporter', 'make_providers', 'make_status_board')

_CAPPED = (('shift', Shift), ('limit', Limit))


def make_status_board(
    components: EntryComponents,
    wall_s: Callable[[], float],
) -> StatusBoard:
    """Make the board with the status of each object.

    The status combines caps, shifts, drains and configuration problems.
    """
    board = StatusBoard(
        components.table,
        components.dependencies.peers.local.region,
        wall_s,
        functools.partial(_members_of, components),
    )
    board.add_provider(functools.partial(_cap_parts, components))
    board.add_provider(functools.partial(_shift_parts, components))
    board.add_provider(functools.partial(_drain_parts, components))
    board.add_provider(functools.partial(_problem_parts, components))
    return board


def make_providers(
    components: EntryComponents,
    board: StatusBoard,
    platform: Platform,
) -> Providers:
    """Make the providers of the resource API from the components."""
    return Providers(
        explain=functools.partial(_explain, components),
        find_conflicts=_find_conflicts,
        iter_statuses=board.iter_statuses,
        read_statuses=functools.partial(read_statuses, platform),
        why_not_ready=functools.partial(_why_not_ready, components),
        why_not_healthy=functools.partial(_why_not_healthy, components),
    )


def is_region_reporter(components: EntryComponents) -> bool:
    """Whether this entry writes the statuses of its region."""
    local = components.dependencies.peers.local
    names = [
        name
        for name, member in components.dependencies.peers.live().items()
        if member.region == local.region
    ]
    return min(names) == local.name


def _why_not_ready(components: EntryComponents) -> str:
    return '' if components.follower.is_ready else 'configuration not complete'


def _why_not_healthy(components: EntryComponents) -> str:
    failures = components.follower.failures
    return repr(failures[0]) if failures else ''


def _requests_remaining(components: EntryComponents) -> dict[str, int]:
    """Requests of the region in flight in drained upstreams, by drain."""
    estimate = components.steering.components.estimate
    remaining = dict.fromkeys(components.table.by_name(Drain), 0)
    for upstream, origin in components.steering.plan.drained.items():
        remaining[origin.name] = remaining.get(
            origin.name, 0
        ) + estimate.in_flight(upstream)
    return remaining


def _members_of(
    components: EntryComponents, envelope: Envelope
) -> Iterable[str]:
    return components.follower.confirmations(envelope.key, envelope.generation)


def _cap_parts(components: EntryComponents) -> Iterator[StatusPart]:
    for kind, spec_type in _CAPPED:
        for name in components.table.by_name(spec_type):
            statuses = components.caps.status(kind, name)
            yield StatusPart(
                kind,
                name,
                done=_cap_figures(statuses),
                held_back_by=_cap_obstacles(statuses),
            )


def _cap_figures(statuses: Iterable[CapStatus]) -> Mapping[str, float]:
    fields = ('in_force', 'owned', 'lent', 'borrowed', 'used')
    return {
        '_'.join((status.measure, field)): getattr(status, field)
        for status in statuses
        for field in fields
    }


def _cap_obstacles(statuses: Iterable[CapStatus]) -> tuple[str, ...]:
    return tuple(
        ': '.join((status.measure, status.held_back.value))
        for status in statuses
        if status.held_back.value
    )


def _shift_parts(components: EntryComponents) -> Iterator[StatusPart]:
    tally = components.steering.components.shifts
    for name, counts in tally.by_name.items():
        obstacle = tally.held_back_by(name)
        yield StatusPart(
            'shift',
            name,
            done={result.value: count for result, count in counts.items()},
            held_back_by=(obstacle,) if obstacle else (),
        )


def _drain_parts(components: EntryComponents) -> Iterator[StatusPart]:
    paced = set()
    for progress in components.steering.drain_progress():
        paced.add(progress.origin.name)
        yield _paced_drain_part(progress)
    for name, remaining in _requests_remaining(components).items():
        if name not in paced:
            lookup_s = _lookup_remaining_s(components, name)
            yield StatusPart(
                'drain',
                name,
                done={
                    'requests_left': remaining,
                    'lookup_seconds_left': math.ceil(lookup_s),
                },
                progress=0 if remaining or lookup_s else 1,
            )


def _lookup_remaining_s(components: EntryComponents, name: str) -> float:
    """Seconds until no caller uses a look-up answer that names the entry.

    An answer sent before a member applied the drain stays valid for its
    whole lifetime from then.
    """
    drain = components.table.by_name(Drain)[name]
    if not drain.spec.entry:
        return 0
    confirmed = components.follower.confirmations(drain.key, drain.generation)
    now = components.dependencies.clock.now()
    latest = max(confirmed.values(), default=now)
    return max(latest + components.lookup_lifetime_s - now, 0)


def _paced_drain_part(progress: DrainProgress) -> StatusPart:
    share = progress.moved / progress.total if progress.total else 1
    is_held = progress.state is DrainState.HELD
    return StatusPart(
        'drain',
        progress.origin.name,
        done={'moved': progress.moved, 'total': progress.total},
        progress=share,
        held_back_by=(progress.reason,) if is_held else (),
        origins=(progress.origin,),
    )


def _problem_parts(components: EntryComponents) -> Iterator[StatusPart]:
    for problem in components.follower.problems:
        _, kind, name = problem.key.split('/', 2)
        text = ': '.join((problem.kind.value, problem.detail))
        yield StatusPart(kind, name, problems=(text,))


def _find_conflicts(by_key: Mapping[str, Envelope]) -> list[ConflictReport]:
    table = ConfigurationTable()
    table.merge(by_key.values())
    found = {
        (conflict.winner, conflict.loser): ConflictReport(
            _kind_and_name(conflict.winner),
            _kind_and_name(conflict.loser),
            conflict.reason,
        )
        for envelope in by_key.values()
        for conflict in find_conflicts(table, envelope)
    }
    return [conflict for _, conflict in sorted(found.items())]


def _kind_and_name(key: str) -> str:
    """Return the kind and name from an object's key in the store."""
    return key.partition('/')[2]


def _explain(
    components: EntryComponents,
    service: str,
    region: str,
) -> list[RouteExplanation]:
    services = (
        [service] if service else sorted(components.steering.plan.services)
    )
    region = region or components.dependencies.peers.local.region
    return [
        _to_route_explanation(components.steering.explain(name, region), region)
        for name in services
        if name in components.steering.plan.services
    ]


def _to_route_explanation(
    found: SteeringExplanation, region: str
) -> RouteExplanation:
    chosen = [
        {
            'region': choice.region,
            'upstreams': sorted(choice.upstreams),
            'origins': _origins(choice.origins),
        }
        for choice in found.chosen
    ]
    moved = [{'shifts': _origins(found.shifts)}] if found.shifts else []
    skipped = [
        {'skipped': choice.region, 'origins': _origins(choice.origins)}
        for choice in found.skipped
    ]
    return RouteExplanation(found.service, region, (*chosen, *moved, *skipped))


def _origins(origins: Iterable[Any]) -> list[dict[str, Any]]:
    return [attrs.asdict(origin) for origin in origins]
