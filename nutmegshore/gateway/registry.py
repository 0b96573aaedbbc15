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
#: Seconds over which the instances of a fleet announce themselves again after
#: a restore of the store; only instances that start read the entries.
_RESTORE_SPREAD_S = 5


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
        self._unannounced = asyncio.Event()
        self._unannounced.set()
        self._restore_spread_s = float(0)

    async def read_seeds(self) -> dict[str, str]:
        """Peer addresses of the other instances, by name."""
        try:
            if self._unannounced.is_set():
                await self._announce()
            listed = await self._dependencies.store.iter_objects(_PREFIX)
        except PlatformError:
            self._dependencies.counters.add('registry_failures')
            return self._unnamed_seeds()
        found = {_name(stored): _address(stored) for stored in listed}
        found.pop(self._name, None)
        return {name: address for name, address in found.items() if address}

    async def run(self, peers: Peers) -> None:
        """Keep the announcement in the store, and sweep dead entries."""
        await asyncio.gather(self._keep_announced(), self._keep_swept(peers))

    def handle_restore(self) -> None:
        """Announce again: a restored store may have lost the entry."""
        self._restore_spread_s = _RESTORE_SPREAD_S
        self._unannounced.set()

    async def _keep_announced(self) -> None:
        """Announce this instance whenever the store may lack its entry."""
        while True:
            await self._unannounced.wait()
            spread_s = self._restore_spread_s * self._dependencies.rng.random()
            await self._dependencies.clock.sleep(spread_s)
            await self._retry_announcement()

    async def _retry_announcement(self) -> None:
        pause_s: float = _MIN_RETRY_S
        while self._unannounced.is_set():
            await self._pause(pause_s)
            pause_s = min(2 * pause_s, _MAX_RETRY_S)
            try:
                await self._announce()
            except PlatformError:
                self._dependencies.counters.add('registry_failures')

    async def _keep_swept(self, peers: Peers) -> None:
        """Remove the entries of dead instances, once a minute."""
        while True:
            await self._pause(_SWEEP_INTERVAL_S)
            live = peers.live()
            if len(live) > 1 and min(live) == self._name:
                await self._sweep(live)

    async def _announce(self) -> None:
        # Cleared before the write: a restore that it crosses sets it again.
        self._unannounced.clear()
        try:
            await self._write_entry()
        except PlatformError:
            self._unannounced.set()
            raise

    async def _write_entry(self) -> None:
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
