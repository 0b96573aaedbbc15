"""Table of the declared objects in force in a process."""

import hashlib
from collections.abc import Callable, Iterable, Iterator
from typing import TypeVar

from nutmegshore.resources import Envelope

__all__ = ('ConfigurationTable', 'next_generation')

_SpecType = TypeVar('_SpecType')
Subscriber = Callable[[list[Envelope]], None]
_DIGEST_BYTES = 16


class ConfigurationTable:
    """Declared objects by key; a merge never lowers a generation.

    `merge` keeps the higher generation of each key, so the order of arrival,
    repeats and stale sources do not matter. Equal generations with different
    uids can only come from a writer that bypassed the operator API; every
    instance keeps the higher (uid, operation), so that all agree.

        table = ConfigurationTable()
        table.subscribe(rebuild_plan)
        table.merge(envelopes)
    """

    def __init__(self) -> None:
        """Start without objects."""
        self._by_key: dict[str, Envelope] = {}
        # Cache for `by_name`, which each look-up calls: sorting all objects
        # every time took milliseconds at 2,750 objects.
        self._by_type: dict[type, dict[str, Envelope]] = {}
        self._digest = 0
        self._subscribers: list[Subscriber] = []

    def merge(self, envelopes: Iterable[Envelope]) -> list[Envelope]:
        """Keep the newer envelopes, notify the subscribers and return them."""
        newer = [
            envelope for envelope in envelopes if self._keep_newer(envelope)
        ]
        if newer:
            for subscriber in self._subscribers:
                subscriber(newer)
        return newer

    def subscribe(self, subscriber: Subscriber) -> None:
        """Call the subscriber with each batch of newer objects."""
        self._subscribers.append(subscriber)

    def get(self, key: str) -> Envelope | None:
        """Return the object in force, which may be a tombstone."""
        return self._by_key.get(key)

    def iter_all(self) -> Iterator[Envelope]:
        """Iterate over all objects in key order, tombstones included."""
        return (envelope for _, envelope in sorted(self._by_key.items()))

    def by_name(self, spec_type: type[_SpecType]) -> dict[str, Envelope]:
        """Objects of one spec type that are not deleted, by name."""
        found = self._by_type.get(spec_type)
        if found is None:
            found = {
                envelope.name: envelope
                for envelope in self.iter_all()
                if isinstance(envelope.spec, spec_type)
            }
            self._by_type[spec_type] = found
        return dict(found)

    def digest(self) -> bytes:
        """Hash of all keys, generations, uids and operations, in any order."""
        return self._digest.to_bytes(_DIGEST_BYTES, 'big')

    def _keep_newer(self, envelope: Envelope) -> bool:
        present = self._by_key.get(envelope.key)
        if present is not None:
            if _rank(envelope) <= _rank(present):
                return False
            self._digest ^= _hash(present)
        self._digest ^= _hash(envelope)
        self._by_key[envelope.key] = envelope
        self._by_type.clear()
        return True


def _rank(envelope: Envelope) -> tuple[int, str, str]:
    return (envelope.generation, envelope.uid, envelope.operation)


def _hash(envelope: Envelope) -> int:
    text = f'{envelope.key}\0{envelope.generation}\0{envelope.uid}'
    text = f'{text}\0{envelope.operation}'
    digest = hashlib.blake2b(text.encode(), digest_size=_DIGEST_BYTES)
    return int.from_bytes(digest.digest(), 'big')


def next_generation(
    in_force: Envelope | None,
    stored: Envelope | None,
) -> int:
    """Return the generation for the next write of an object.

    The stored generation alone is not enough: an object that vanished from
    the store, or was set back there, is still in force with its generation,
    and a write below that would be accepted and never take effect.
    """
    known = [one.generation for one in (in_force, stored) if one is not None]
    return max(known, default=0) + 1
