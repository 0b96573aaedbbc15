"""The resource API, independent of its transport."""

import itertools
from collections.abc import Iterable, Mapping
from typing import Any

import attrs

from nutmegshore.configuration import ConfigurationTable
from nutmegshore.counters import Counters
from nutmegshore.errors import ErrorKind, ObjectError, PlatformError
from nutmegshore.logs import get_logger
from nutmegshore.operators.changes import ChangeLog, TableChanges
from nutmegshore.operators.declare import (
    Declaration,
    Declarer,
    check_declaration,
    make_proposed,
)
from nutmegshore.operators.providers import Providers
from nutmegshore.operators.status import ObjectStatus
from nutmegshore.resources import (
    SPEC_TYPES,
    Envelope,
    InvalidObject,
    check_references,
    config_key,
    write_spec,
)

__all__ = ('DryRun', 'OperatorApi', 'Preview')


@attrs.frozen
class Preview:
    """What one declaration would change.

    `change` is one of create, update, delete, unchanged, refused. `before`
    and `after` contain the fields that differ. A declaration with `faults` is
    refused; one with `warnings` is accepted.
    """

    kind: str
    name: str
    change: str
    generation: int
    before: dict[str, Any] = attrs.field(factory=dict)
    after: dict[str, Any] = attrs.field(factory=dict)
    faults: tuple[str, ...] = ()
    warnings: tuple[str, ...] = ()


@attrs.frozen
class DryRun:
    """Previews of several declarations, and the resulting conflicts."""

    previews: tuple[Preview, ...]
    conflicts: tuple[Any, ...]


class OperatorApi:
    """Operations that one entry offers to operators.

    The caller of this class has checked access; the author of a declaration
    comes from the credential.
    """

    def __init__(
        self,
        declarer: Declarer,
        table: ConfigurationTable,
        changes: ChangeLog,
        providers: Providers,
        counters: Counters,
    ) -> None:
        """Answer from the table, the change log and the providers."""
        self._declarer = declarer
        self._table = table
        self._changes = changes
        self.providers = providers
        self.counters = counters
        self._log = get_logger('operators')

    def get(self, kind: str, name: str) -> Envelope:
        """The object in force, or raise not_found."""
        envelope = self._table.get(config_key(kind, name))
        if envelope is None or envelope.is_deleted:
            raise ObjectError(ErrorKind.NOT_FOUND, f'{kind}/{name}')
        return envelope

    def iter_objects(self, kind: str = '') -> list[Envelope]:
        """Objects in force, of one kind or of all."""
        if kind and kind not in SPEC_TYPES:
            known = ', '.join(SPEC_TYPES)
            message = f'kind {kind}: expected one of {known}'
            raise ObjectError(ErrorKind.NOT_FOUND, message)
        return [
            envelope
            for envelope in self._table.iter_all()
            if not envelope.is_deleted and kind in {'', envelope.kind}
        ]

    async def declare(self, declaration: Declaration) -> Envelope:
        """Accept a declaration; logs who changed what and why."""
        try:
            envelope = await self._declarer.declare(declaration)
        except (ObjectError, PlatformError) as error:
            self.counters.add('operator_failures', reason=error.kind.value)
            raise
        self.counters.add('operator_changes', kind=envelope.kind)
        self._log.info(
            'object_deleted' if envelope.is_deleted else 'object_written',
            kind=envelope.kind,
            name=envelope.name,
            generation=envelope.generation,
            author=envelope.author,
            reason=envelope.reason,
        )
        return envelope

    async def watch(self, after: str) -> TableChanges:
        """Changes after a position; waits for the first."""
        return await self._changes.wait(after)

    def dry_run(self, declarations: Iterable[Declaration]) -> DryRun:
        """Preview the combined effect of declarations; changes nothing."""
        proposals = [self._propose(proposal) for proposal in declarations]
        by_key = {found.key: found for found in self._table.iter_all()}
        by_key.update(
            {
                proposal.key: proposal
                for proposal in proposals
                if isinstance(proposal, Envelope)
            },
        )
        previews = tuple(
            self._preview(proposal, by_key) for proposal in proposals
        )
        conflicts = self.providers.find_conflicts(by_key)
        return DryRun(previews, tuple(conflicts))

    async def read_statuses(
        self,
        kind: str = '',
        name: str = '',
    ) -> list[ObjectStatus]:
        """Statuses by region of all objects, of a kind or of one object.

        Those of the local region are current. Those of other regions are as
        their writers stored them, and are omitted while the platform is down.
        """
        local = [
            status
            for status in self.providers.iter_statuses()
            if kind in {'', status.kind} and name in {'', status.name}
        ]
        own = {status.region for status in local}
        try:
            stored = await self.providers.read_statuses(kind, name)
        except PlatformError as error:
            self.counters.add('status_read_failures', reason=error.kind.value)
            stored = []
        local.extend(status for status in stored if status.region not in own)
        return local

    def _propose(self, declaration: Declaration) -> 'Envelope | Preview':
        present = self._table.get(
            config_key(declaration.kind, declaration.name),
        )
        try:
            spec = check_declaration(declaration)
        except InvalidObject as error:
            return Preview(
                declaration.kind,
                declaration.name,
                'refused',
                present.generation if present else 0,
                faults=tuple(str(fault) for fault in error.faults),
            )
        return make_proposed(declaration, spec, present)

    def _preview(
        self,
        proposal: 'Envelope | Preview',
        by_key: Mapping[str, Envelope],
    ) -> Preview:
        if isinstance(proposal, Preview):
            return proposal
        present = self._table.get(proposal.key)
        before, after = _differences(present, proposal)
        warnings = (
            check_references(proposal.spec, by_key) if proposal.spec else []
        )
        return Preview(
            kind=proposal.kind,
            name=proposal.name,
            change=_change(present, proposal),
            generation=proposal.generation - 1,
            before=before,
            after=after,
            warnings=tuple(str(warning) for warning in warnings),
        )


def _change(present: Envelope | None, proposal: Envelope) -> str:
    is_missing = present is None or present.is_deleted
    if proposal.is_deleted:
        return 'unchanged' if is_missing else 'delete'
    if is_missing:
        return 'create'
    return 'unchanged' if present.spec == proposal.spec else 'update'


def _differences(
    present: Envelope | None,
    proposal: Envelope,
) -> tuple[dict[str, Any], dict[str, Any]]:
    old = _spec_fields(present)
    new = _spec_fields(proposal)
    differing = [
        field
        for field in dict.fromkeys(itertools.chain(old, new))
        if old.get(field) != new.get(field)
    ]
    return (
        {field: old[field] for field in differing if field in old},
        {field: new[field] for field in differing if field in new},
    )


def _spec_fields(envelope: Envelope | None) -> dict[str, Any]:
    if envelope is None or envelope.spec is None:
        return {}
    return write_spec(envelope.spec)
