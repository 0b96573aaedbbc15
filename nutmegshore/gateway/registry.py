"""Registers and discovers gateways through the platform's store."""

import asyncio
import json
import random
from collections.abc import Collection

import attrs

from nutmegshore.clock import Clock
from nutmegshore.counters import Counters
from nutmegshore.errors import PlatformError, VersionConflict
from nutmegshore.peers import Peers
from nutmegshore.platform import fields
from nutmegshore.platform.json_reader import read_json
from nutmegshore.platform.registration import is_address
from nutmegshore.store import Expected, Platform, StoredObject, make_operation

__all__ = ('Registry', 'RegistryDependencies')

_PREFIX = 'gateways/'
_BODY = 'body'
_MIN_RETRY_S = 0.3
_MAX_RETRY_S = 2
#: Least seconds between two sweeps for entries of dead instances.
_SWEEP_INTERVAL_S = 60


@attrs.frozen
class RegistryDependencies:
    """Dependencies of the registry of one gateway."""

    store: Platform
    clock: Clock
    rng: random.Random
    counters: Counters


class Registry:
    """Announces this instance and discovers the others.

    Entries in the store do not expire, so an entry only says where an
    instance was started; peers probe each other for liveness. The live
    instance with the lowest name removes the entries of dead ones.
    """

    def __init__(
        self,
        dependencies: RegistryDependencies,
        name: str,
        address: str,
        seeds: tuple[str, ...],
    ) -> None:
        """Prepare to announce the peer address of an instance.

        `seeds` are peer addresses to try while the store is unreachable.
        """
        self._dependencies = dependencies
        self._name = name
        self._address = address
        self.seeds = seeds
        self._is_announced = False

    async def read_seeds(self) -> dict[str, str]:
        """Peer addresses of the other instances, by name."""
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
        """Retry the announcement until it succeeds, then sweep dead entries."""
        pause_s: float = _MIN_RETRY_S
        while not self._is_announced:
            await self._pause(pause_s)
            pause_s = min(2 * pause_s, _MAX_RETRY_S)
            try:
                await self._announce()
            except PlatformError:
                self._dependencies.counters.add('registry_failures')
        while True:
            await self._pause(_SWEEP_INTERVAL_S)
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
        """Sleep for 1 to 2 times `seconds`, to spread the instances' calls."""
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
    """Return the peer address in an entry; '' if it names none."""
    try:
        body = fields.read_object({_BODY: read_json(stored.body)}, _BODY)
        address = fields.read_string(body, 'address')
    except PlatformError:
        return ''
    return address if is_address(address) else ''
