"""Functions that other components of an entry give the listener."""

from collections.abc import Awaitable, Callable, Iterable, Mapping
from typing import Any

import attrs

from nutmegshore.operators.status import ObjectStatus
from nutmegshore.resources import Envelope

__all__ = ('ConflictReport', 'RouteExplanation', 'Providers')


_Statuses = Awaitable[Iterable[ObjectStatus]]


@attrs.frozen
class ConflictReport:
    """Two intents that cannot both hold, and the one that takes precedence.

    Intents are named as kind/name; `about` says what they disagree on.
    """

    winner: str
    loser: str
    about: str


@attrs.frozen
class RouteExplanation:
    """Where requests of a service go and which objects put them there.

    `regions` are in order, each a map that JSON can hold.
    """

    service: str
    region: str
    regions: tuple[Mapping[str, Any], ...]


def _explain_nothing(service: str, region: str) -> list[RouteExplanation]:
    return []


def _find_no_conflicts(by_key: Mapping[str, Envelope]) -> list[ConflictReport]:
    return []


def _nothing_wrong() -> str:
    return ''


def _no_statuses() -> list[ObjectStatus]:
    return []


async def _read_no_statuses(kind: str, name: str) -> list[ObjectStatus]:
    return []


@attrs.frozen
class Providers:
    """Functions of other components; each default reports nothing.

    `explain(service, region)` lists explanations; '' stands for all.
    `find_conflicts(by_key)` lists the conflicts among the given objects.
    `iter_statuses()` lists the local region's status of every object, and
    `read_statuses(kind, name)` the statuses that all regions stored.
    `why_not_ready()` and `why_not_healthy()` return a reason, or ''.
    """

    explain: Callable[[str, str], Iterable[RouteExplanation]] = _explain_nothing
    find_conflicts: Callable[
        [Mapping[str, Envelope]],
        Iterable[ConflictReport],
    ] = _find_no_conflicts
    iter_statuses: Callable[[], Iterable[ObjectStatus]] = _no_statuses
    read_statuses: Callable[[str, str], _Statuses] = _read_no_statuses
    why_not_ready: Callable[[], str] = _nothing_wrong
    why_not_healthy: Callable[[], str] = _nothing_wrong
