"""The system's own instances in the platform's store."""

import asyncio
import json
import random
from collections.abc import Collection

import attrs

from nutmegshore.clock import Clock
from nutmegshore.counters import Counters
from nutmegshore.errors import PlatformError, VersionConflict
from nutmegshore.peers import Peers
from nutmegshore.store import Expected, Platform, StoredObject, make_operation

__all__ = ('Registry', 'RegistryDependencies')

_PREFIX = 'gateways/'
_FIRST_PAUSE_S = 0.3
_MAX_PAUSE_S = 2
#: Seconds between two looks for entries of instances that are gone.
_SWEEP_S = 60


@attrs.frozen
class RegistryDependencies:
    """What the registry of one gateway takes from outside."""

    store: Platform
    clock: Clock
    rng: random.Random
    counters: Counters


class Registry:
    """Announces this instance, and finds the others.

    Nothing in the store expires by itself, so that an entry says only where
    an instance was started; who lives is found by probing. The live instance
    with the lowest name removes entries of instances that are dead.
    """

    def __init__(
        self,
        dependencies: RegistryDependencies,
        name: str,
        address: str,
        seeds: tuple[str, ...],
    ) -> None:
        """Announce the peer address of an instance under its name.

        `seeds` are peer addresses to try while the store does not answer.
        """
        self._dependencies = dependencies
        self._name = name
        self._address = address
        self.seeds = seeds
        self._is_announced = False

    async def read_seeds(self) -> dict[str, str]:
        """Addresses of the other instances by name."""
        try:
            if not self._is_announced:
                await self._announce()
            listed = await self._dependencies.store.iter_objects(_PREFIX)
        except PlatformError:
            self._dependencies.counters.add('registry_failures')
            return self._unnamed_seeds()
        found = {_name(stored): _address(stored) for stored in listed}
        found.pop(self._name, None)
        return {name: address for name, address in found.items() if address}

    async def run(self, peers: Peers) -> None:
        """Announce until it is done, then remove dead entries."""
        pause_s: float = _FIRST_PAUSE_S
        while not self._is_announced:
            await self._pause(pause_s)
            pause_s = min(2 * pause_s, _MAX_PAUSE_S)
            try:
                await self._announce()
            except PlatformError:
                self._dependencies.counters.add('registry_failures')
        while True:
            await self._pause(_SWEEP_S)
            live = peers.live()
            if len(live) > 1 and min(live) == self._name:
                await self._sweep(live)

    async def _announce(self) -> None:
        body = json.dumps({'address': self._address}).encode()
        operation = make_operation(self._dependencies.rng)
        key = f'{_PREFIX}{self._name}'
        try:
            await self._dependencies.store.write(key, body, None, operation)
        except VersionConflict as conflict:
            present = conflict.present
            if present is not None and _address(present) != self._address:
                await self._dependencies.store.write(
                    key,
                    body,
                    Expected.of(present),
                    operation,
                )
        self._is_announced = True

    async def _pause(self, seconds: float) -> None:
        """Sleep once to twice as long, so that instances take turns."""
        jitter = 1 + self._dependencies.rng.random()
        await self._dependencies.clock.sleep(seconds * jitter)

    async def _sweep(self, live: Collection[str]) -> None:
        """Remove the entries of instances that are dead."""
        store = self._dependencies.store
        try:
            listed = await store.iter_objects(_PREFIX)
            dead = [stored for stored in listed if _name(stored) not in live]
            removals = (
                store.remove(stored.key, Expected.of(stored)) for stored in dead
            )
            await asyncio.gather(*removals)
        except PlatformError:
            self._dependencies.counters.add('registry_failures')

    def _unnamed_seeds(self) -> dict[str, str]:
        return {
            f'seed {address}': address
            for address in self.seeds
            if address != self._address
        }


def _name(stored: StoredObject) -> str:
    return stored.key.removeprefix(_PREFIX)


def _address(stored: StoredObject) -> str:
    try:
        return str(json.loads(stored.body)['address'])
    except (ValueError, LookupError, TypeError):
        return ''
