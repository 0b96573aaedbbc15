"""Validation of declared objects and their storage on the platform."""

import json
import random
from collections.abc import Callable
from typing import Any

import attrs

from nutmegshore.configuration import ConfigurationTable
from nutmegshore.errors import ErrorKind, ObjectError, VersionConflict
from nutmegshore.resources import (
    Envelope,
    InvalidObject,
    Spec,
    config_key,
    parse_envelope,
    parse_spec,
    write_envelope,
)
from nutmegshore.resources.check import check_name, check_spec
from nutmegshore.resources.envelope import MAX_GENERATION
from nutmegshore.store import (
    Expected,
    Platform,
    StoredObject,
    make_operation,
    write_resolved,
)

__all__ = ('Declaration', 'Declarer', 'check_declaration', 'make_proposed')


@attrs.frozen
class Declaration:
    """An operator's request to write or, with spec None, delete an object.

    `expected_generation` is the generation that the operator saw; 0 says that
    the object must not exist, and None skips the check.
    """

    kind: str
    name: str
    spec: Any
    author: str
    reason: str = ''
    expected_generation: int | None = None

    @property
    def subject(self) -> str:
        """Kind and name as `kind/name`, for messages."""
        return f'{self.kind}/{self.name}'


@attrs.frozen
class _Found:
    """The present state of the object that a declaration changes.

    `stored` is the platform's object, readable or not, `envelope` the newest
    readable one, and `generation` the highest that is known.
    """

    stored: StoredObject | None
    envelope: Envelope | None
    generation: int

    @property
    def shown_generation(self) -> int:
        """Generation that an operator expects; 0 for a missing object."""
        if self.envelope is None or self.envelope.is_deleted:
            return 0
        return self.envelope.generation


class Declarer:
    """Writes declarations to the platform and merges what was accepted.

    `rng` must not repeat its numbers after a restart, since it makes the
    operation ids that settle lost answers: pass `random.SystemRandom()`
    outside of sessions.
    """

    def __init__(
        self,
        platform: Platform,
        table: ConfigurationTable,
        rng: random.Random | None = None,
        check_ready: Callable[[], None] | None = None,
    ) -> None:
        """Write through a platform client into a configuration table.

        `check_ready` raises an error while the table lacks what peers have.
        """
        self._check_ready = check_ready
        self._platform = platform
        self._table = table
        self._rng = rng or random.SystemRandom()

    async def declare(self, declaration: Declaration) -> Envelope:
        """Accept a declaration, or raise an error and change nothing.

        Raises `InvalidObject` for a faulty spec and `VersionConflict`, with
        the present envelope, where another operator was faster. After
        `PlatformAnswerLost` the declaration may be in the store.
        """
        spec = check_declaration(declaration)
        if self._check_ready is not None:
            self._check_ready()
        found = await self._find(declaration)
        _check_generation(declaration, found)
        envelope = self._next_envelope(declaration, spec, found)
        # The condition closes the race with another operator who read the
        # same generation: only one of the two writes can match.
        try:
            await write_resolved(
                self._platform,
                envelope.key,
                write_envelope(envelope),
                Expected.of(found.stored) if found.stored else None,
                envelope.operation,
            )
        except VersionConflict as conflict:
            winner = _parse_or_none(envelope.key, conflict.present)
            raise _conflict(declaration, winner) from conflict
        self._table.merge([envelope])
        return envelope

    async def _find(self, declaration: Declaration) -> _Found:
        """Read the store, and fall back on the object in force.

        This write overwrites a stored object that is unreadable or older than
        the one in force, and so repairs it; the generation continues from the
        highest that is known.
        """
        key = config_key(declaration.kind, declaration.name)
        stored = await self._platform.read(key)
        candidates = [_parse_or_none(key, stored), self._table.get(key)]
        known = [envelope for envelope in candidates if envelope]
        newest = max(known, key=_generation, default=None)
        generation = max(_claimed(stored), _generation(newest))
        return _Found(stored, newest, generation)

    def _next_envelope(
        self,
        declaration: Declaration,
        spec: Spec | None,
        found: _Found,
    ) -> Envelope:
        operation = make_operation(self._rng)
        return Envelope(
            kind=declaration.kind,
            name=declaration.name,
            generation=found.generation + 1,
            uid=found.envelope.uid if found.envelope else operation,
            author=declaration.author,
            reason=declaration.reason,
            operation=operation,
            spec=spec,
            is_deleted=spec is None,
        )


def check_declaration(declaration: Declaration) -> Spec | None:
    """Check kind, name and spec; raises `InvalidObject` with every fault."""
    check_name(declaration.kind, declaration.name)
    if declaration.spec is None:
        return None
    spec = parse_spec(
        declaration.kind,
        declaration.spec,
        declaration.subject,
    )
    faults = check_spec(spec)
    if faults:
        raise InvalidObject(declaration.subject, faults)
    return spec


def _check_generation(declaration: Declaration, found: _Found) -> None:
    expected = declaration.expected_generation
    allowed = {found.shown_generation}
    if found.envelope is not None:
        allowed.add(found.envelope.generation)
    if expected is not None and expected not in allowed:
        raise _conflict(declaration, found.envelope)
    if declaration.spec is None and not found.shown_generation:
        if found.stored is None or found.envelope is not None:
            raise ObjectError(ErrorKind.NOT_FOUND, declaration.subject)


def _conflict(
    declaration: Declaration,
    present: Envelope | None,
) -> VersionConflict:
    found = 'no readable object'
    if present is not None:
        what = 'deleted' if present.is_deleted else 'written'
        found = f'generation {present.generation} {what} by {present.author}'
    expected = declaration.expected_generation
    expectation = (
        '' if expected is None else f'expected generation {expected}, '
    )
    return VersionConflict(
        f'{declaration.subject}: {expectation}found {found}',
        present,
    )


def _parse_or_none(key: str, stored: Any) -> Envelope | None:
    if stored is None:
        return None
    try:
        envelope = parse_envelope(stored.body)
    except InvalidObject:
        return None
    return envelope if envelope.key == key else None


def _generation(envelope: Envelope | None) -> int:
    return envelope.generation if envelope else 0


def _claimed(stored: StoredObject | None) -> int:
    """Generation that a stored object claims, readable or not."""
    try:
        raw = json.loads(stored.body) if stored else {}
    except (ValueError, RecursionError):
        return 0
    generation = raw.get('generation') if isinstance(raw, dict) else 0
    if isinstance(generation, bool) or not isinstance(generation, int):
        return 0
    # The generation after a larger one would be out of range.
    return generation if 0 < generation < MAX_GENERATION else 0


def make_proposed(
    declaration: Declaration,
    spec: Spec | None,
    present: Envelope | None,
) -> Envelope:
    """Envelope that acceptance would create; used by the dry run."""
    return Envelope(
        kind=declaration.kind,
        name=declaration.name,
        generation=_generation(present) + 1,
        uid=present.uid if present else '',
        author=declaration.author,
        reason=declaration.reason,
        operation='',
        spec=spec,
        is_deleted=spec is None,
    )
