"""Status of each declared object, merged from an entry's components."""

from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import Any

import attrs

from nutmegshore.configuration import ConfigurationTable
from nutmegshore.resources import Envelope, config_key
from nutmegshore.steering import Origin

__all__ = (
    'STATUS_PREFIX',
    'ObjectStatus',
    'StatusBoard',
    'StatusPart',
    'status_key',
)

STATUS_PREFIX = 'status/'


@attrs.frozen
class StatusPart:
    """What one component of the entry reports about one object.

    `done` counts the effects of the object, by measure. `progress` is the
    share of the work that is complete, 0 to 1, or None for an object whose
    work has no end. `held_back_by` lists what the object waits for.
    """

    kind: str
    name: str
    done: Mapping[str, float] = attrs.field(factory=dict)
    progress: float | None = None
    held_back_by: tuple[str, ...] = ()
    origins: tuple[Origin, ...] = ()
    conflicts: tuple[str, ...] = ()
    problems: tuple[str, ...] = ()

    @property
    def key(self) -> str:
        """Key of the object in the store."""
        return config_key(self.kind, self.name)


@attrs.frozen
class ObjectStatus:
    """Status of one object as seen from one region.

    `in_force_since` is wall time in seconds since 1970, 0 for an object that
    is not in force. `generation` is the one in force and `in_force_at` names
    the members known to have adopted it. The other fields combine those of
    each `StatusPart`; `progress` is the lowest of them.
    """

    kind: str
    name: str
    region: str
    generation: int = 0
    in_force_since: float = 0
    in_force_at: tuple[str, ...] = ()
    done: Mapping[str, float] = attrs.field(factory=dict)
    progress: float | None = None
    held_back_by: tuple[str, ...] = ()
    origins: tuple[Origin, ...] = ()
    conflicts: tuple[str, ...] = ()
    problems: tuple[str, ...] = ()


#: Returns the current reports of one component, on any number of objects.
StatusProvider = Callable[[], Iterable[StatusPart]]
#: Names the members that are known to have an envelope in force.
MembersOf = Callable[[Envelope], Iterable[str]]


class StatusBoard:
    """Merges the reports of components with the configuration in force.

    board = StatusBoard(table, 'west', time.time, spread.confirmed_by)
    board.add_provider(drains.iter_status_parts)
    board.iter_statuses()
    """

    def __init__(
        self,
        table: ConfigurationTable,
        region: str,
        wall_s: Callable[[], float],
        members_of: MembersOf,
    ) -> None:
        """Subscribe to the table; `wall_s` returns seconds since 1970."""
        self.region = region
        self._table = table
        self._wall_s = wall_s
        self._members_of = members_of
        self._providers: list[StatusProvider] = []
        self._since: dict[str, float] = {}
        self._record_since(list(table.iter_all()))
        table.subscribe(self._record_since)

    def add_provider(self, provider: StatusProvider) -> None:
        """Include the reports of one more component."""
        self._providers.append(provider)

    def iter_statuses(self) -> list[ObjectStatus]:
        """Status of every object in force or reported with problems."""
        by_key: dict[str, list[StatusPart]] = {}
        for part in self._iter_parts():
            by_key.setdefault(part.key, []).append(part)
        statuses = [
            self._of_envelope(envelope, by_key.pop(envelope.key, []))
            for envelope in self._table.iter_all()
            if not envelope.is_deleted
        ]
        # The remaining reports have no object in force, such as a stored
        # object that fails its checks; a deleted object needs no status.
        statuses.extend(
            _join(
                ObjectStatus(parts[0].kind, parts[0].name, self.region), parts
            )
            for key, parts in sorted(by_key.items())
            if any(found.problems for found in parts)
        )
        return statuses

    def _iter_parts(self) -> Iterator[StatusPart]:
        for provider in self._providers:
            yield from provider()

    def _of_envelope(
        self,
        envelope: Envelope,
        parts: list[StatusPart],
    ) -> ObjectStatus:
        status = ObjectStatus(
            kind=envelope.kind,
            name=envelope.name,
            region=self.region,
            generation=envelope.generation,
            in_force_since=self._since.get(envelope.key, 0),
            in_force_at=tuple(sorted(self._members_of(envelope))),
        )
        return _join(status, parts)

    def _record_since(self, newer: list[Envelope]) -> None:
        now_s = self._wall_s()
        self._since.update({envelope.key: now_s for envelope in newer})


def _join(status: ObjectStatus, parts: list[StatusPart]) -> ObjectStatus:
    done: dict[str, float] = {}
    for part in parts:
        for measure, amount in part.done.items():
            done[measure] = done.get(measure, 0) + amount
    shares = [found.progress for found in parts]
    known = [share for share in shares if share is not None]
    return attrs.evolve(
        status,
        done=done,
        progress=min(known, default=None),
        held_back_by=_collect(parts, 'held_back_by'),
        origins=_collect(parts, 'origins'),
        conflicts=_collect(parts, 'conflicts'),
        problems=_collect(parts, 'problems'),
    )


def _collect(parts: list[StatusPart], field: str) -> tuple[Any, ...]:
    """Distinct values of a field over all parts, in order."""
    found = (value for part in parts for value in getattr(part, field))
    return tuple(dict.fromkeys(found))


def status_key(status: ObjectStatus) -> str:
    """Key of a status in the store."""
    return f'{STATUS_PREFIX}{status.kind}/{status.name}/{status.region}'
