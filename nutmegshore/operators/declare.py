"""Acceptance of declared objects through the platform."""

import uuid
from typing import Any

import attrs

from nutmegshore.configuration import ConfigurationTable
from nutmegshore.errors import ErrorKind, ObjectError, VersionConflict
from nutmegshore.platform import Expected, Platform, write_resolved
from nutmegshore.resources import (
    Envelope,
    config_key,
    parse_envelope,
    parse_spec,
    write_envelope,
)

__all__ = ('Declaration', 'Declarer')


@attrs.frozen
class Declaration:
    """An operator's wish to write or, with spec None, to delete an object.

    `expected_generation` is the generation that the operator saw; 0 says that
    the object must not exist, and None skips the check.
    """

    kind: str
    name: str
    spec: Any
    author: str
    reason: str = ''
    expected_generation: int | None = None


class Declarer:
    """Writes declarations to the platform and merges what was accepted."""

    def __init__(self, platform: Platform, table: ConfigurationTable) -> None:
        """Write through a platform client into a configuration table."""
        self._platform = platform
        self._table = table

    async def declare(self, declaration: Declaration) -> Envelope:
        """Accept a declaration, or raise an error and change nothing.

        Raises `InvalidObject` for a faulty spec and `VersionConflict`, with
        the present envelope, where another operator was faster.
        """
        spec = None
        if declaration.spec is not None:
            spec = parse_spec(declaration.kind, declaration.spec)
        key = config_key(declaration.kind, declaration.name)
        stored = await self._platform.read(key)
        present = parse_envelope(stored.body) if stored else None
        _check_generation(declaration, present)
        operation = uuid.uuid4().hex
        envelope = Envelope(
            kind=declaration.kind,
            name=declaration.name,
            generation=present.generation + 1 if present else 1,
            uid=present.uid if present else operation,
            author=declaration.author,
            reason=declaration.reason,
            operation=operation,
            spec=spec,
            is_deleted=spec is None,
        )
        # The condition closes the race with another operator who read the
        # same generation: only one of the two writes can match.
        await write_resolved(
            self._platform,
            key,
            write_envelope(envelope),
            Expected.of(stored) if stored else None,
            operation,
        )
        self._table.merge([envelope])
        return envelope


def _check_generation(
    declaration: Declaration,
    present: Envelope | None,
) -> None:
    is_missing = present is None or present.is_deleted
    if declaration.spec is None and is_missing:
        subject = f'{declaration.kind}/{declaration.name}'
        raise ObjectError(ErrorKind.NOT_FOUND, subject)
    expected = declaration.expected_generation
    found = present.generation if present and not is_missing else 0
    if expected is not None and expected != found:
        subject = f'{declaration.kind}/{declaration.name}'
        raise VersionConflict(
            f'{subject}: expected generation {expected}, found {found}',
            present,
        )
