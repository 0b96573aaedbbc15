"""Many entries with mesh and configuration on virtual time."""

import asyncio
import itertools
import random

import attrs

from nutmegshore.clock import VirtualClock
from nutmegshore.configuration import (
    ConfigurationFollower,
    ConfigurationTable,
    next_generation,
)
from nutmegshore.counters import Counters
from nutmegshore.errors import PlatformError
from nutmegshore.peers import (
    LinkNetwork,
    Member,
    MeshOptions,
    MeshPeers,
    first_incarnation,
)
from nutmegshore.peers.memory_link import MemoryLink
from nutmegshore.store import (
    Changes,
    Expected,
    ListedInstance,
    MemoryPlatform,
    MemoryStore,
    StoredObject,
    write_resolved,
)
from nutmegshore.resources import (
    Envelope,
    InvalidObject,
    config_key,
    parse_envelope,
    parse_spec,
    write_envelope,
)

__all__ = ('Cluster', 'Process', 'ReplicaPlatform')

_REGIONS = ('west', 'north', 'south')
_NEAR_S = 0.001
_FAR_S = 0.055
_SEED_BITS = 64
_STEP_S = 0.1


class ReplicaPlatform(MemoryPlatform):
    """A client that can be served by a replica that lags behind."""

    def __init__(self, store: MemoryStore, clock: VirtualClock) -> None:
        """Start at the head of the store."""
        super().__init__(store, clock)
        self.frozen: tuple[int, dict[str, StoredObject]] | None = None

    def freeze(self) -> None:
        """Serve reads from the store as it is now."""
        self.frozen = (self._store.position, dict(self._store.by_key))

    async def iter_objects(self, prefix: str) -> list[StoredObject]:
        """Read from the frozen state, if any."""
        listing = await super().iter_objects(prefix)
        if self.frozen is None:
            return listing
        found = sorted(self.frozen[1].items())
        return [stored for key, stored in found if key.startswith(prefix)]

    async def read_position(self) -> int:
        """Read the position of the frozen state, if any."""
        position = await super().read_position()
        return position if self.frozen is None else self.frozen[0]

    async def read_seeds(self) -> dict[str, str]:
        """Read the list as address by name."""
        listed = await self.read_instances()
        return {one.name: one.address for one in listed}

    async def watch(self, prefix: str, after: int) -> Changes:
        """Wait while frozen, then watch."""
        while self.frozen is not None:
            await self._clock.sleep(1)
        return await super().watch(prefix, after)


@attrs.define(eq=False)
class Process:
    """One run of an entry; a restart is another process."""

    name: str
    clock: VirtualClock
    platform: ReplicaPlatform
    table: ConfigurationTable
    peers: MeshPeers
    follower: ConfigurationFollower
    #: First time at which the table held a (key, generation) or above.
    seen_at: dict[tuple[str, int], float] = attrs.field(factory=dict)

    def record(self, newer: list[Envelope]) -> None:
        """Record what the table took, and when."""
        now = asyncio.get_running_loop().time()
        for envelope in newer:
            self.seen_at[envelope.key, envelope.generation] = now

    @property
    def is_ready(self) -> bool:
        """Whether the process would accept requests."""
        return self.follower.is_ready

    @property
    def is_paused(self) -> bool:
        """Whether the process is stopped."""
        return self.clock.is_paused

    def pause(self, seconds: float) -> None:
        """Stop the process for a while."""
        self.clock.pause(seconds)

    def set_store_down(self, *, is_down: bool) -> None:
        """Cut this process off from the store, or end that."""
        self.platform.faults.is_down = is_down

    def links(self) -> dict[str, MemoryLink]:
        """Links that are up, by name."""
        return self.peers.components.router.links

    def generations(self) -> dict[str, int]:
        """Generations in force."""
        return {one.key: one.generation for one in self.table.iter_all()}


class Cluster:
    """A session's store, network and processes."""

    def __init__(self, size: int, seed: int, store_delay_s: float = 0.005):
        """Name the members; nothing runs before `boot`."""
        self.rng = random.Random(seed)
        self.size = size
        self.names = ['e{0:03}'.format(index) for index in range(size)]
        self.store = MemoryStore()
        self.store.faults.delay_s = store_delay_s
        self.network = LinkNetwork()
        self.set_far_delay()
        self.by_name: dict[str, Process] = {}
        self.ended: list[Process] = []
        self.list_instances(self.names)

    def set_far_delay(self, seconds: float = _FAR_S) -> None:
        """Set the one-way delay between regions."""
        for one, other in itertools.product(_REGIONS, repeat=2):
            delay = _NEAR_S if one == other else seconds
            self.network.set_delay(one, other, delay)

    def region_of(self, name: str) -> str:
        """Region of a member."""
        return _REGIONS[self.names.index(name) % len(_REGIONS)]

    def list_instances(self, names: list[str]) -> None:
        """Set the platform's list of instances."""
        self.store.instances = [
            ListedInstance(name, name, self.region_of(name), 'a')
            for name in names
        ]

    def start(self, name: str) -> Process:
        """Start a process under a name."""
        clock = VirtualClock()
        platform = ReplicaPlatform(self.store, clock)
        region = self.region_of(name)
        # The store is in the first region.
        if region != _REGIONS[0]:
            platform.faults.delay_s = 2 * _FAR_S
        rng = random.Random(self.rng.getrandbits(_SEED_BITS))
        local = Member(name, region, f'{region}-a', first_incarnation(rng))
        outer = (clock, rng, Counters())
        process = self._build(local, platform, outer)
        process.table.subscribe(process.record)
        self.by_name[name] = process
        process.peers.start()
        process.follower.start()
        return process

    async def boot(self, timeout_s: float = 60) -> float:
        """Start all; returns the seconds until all are ready."""
        began = asyncio.get_running_loop().time()
        for name in self.names:
            self.start(name)
        while not self.is_ready():
            await asyncio.sleep(_STEP_S)
            passed = asyncio.get_running_loop().time() - began
            if passed > timeout_s:
                raise RuntimeError('boot takes too long')
        return asyncio.get_running_loop().time() - began

    def is_ready(self) -> bool:
        """Whether every process is ready."""
        return all(one.is_ready for one in self.by_name.values())

    async def kill(self, name: str) -> None:
        """End a process without a sign."""
        process = self.by_name.pop(name, None)
        if process is None:
            return
        self.network.kill(name)
        await process.follower.stop()
        await process.peers.stop()
        self.ended.append(process)

    async def stop(self) -> None:
        """End all processes."""
        await asyncio.gather(*[self.kill(name) for name in self.names])

    async def declare(
        self,
        writer: str,
        key: tuple[str, str],
        raw: dict | None,
    ) -> Envelope:
        """Write an object as an operator would through this entry."""
        process = self.by_name[writer]
        kind, name = key
        stored = await process.platform.read(config_key(kind, name))
        present = _parse(stored)
        in_force = process.table.get(config_key(kind, name))
        operation = self.rng.randbytes(8).hex()
        envelope = Envelope(
            kind=kind,
            name=name,
            generation=next_generation(in_force, present),
            uid=present.uid if present else operation,
            author=writer,
            reason='bench',
            operation=operation,
            spec=None if raw is None else parse_spec(kind, raw),
            is_deleted=raw is None,
        )
        await write_resolved(
            process.platform,
            envelope.key,
            write_envelope(envelope),
            Expected.of(stored) if stored else None,
            operation,
        )
        process.table.merge([envelope])
        return envelope

    async def try_declare(
        self,
        writer: str,
        key: tuple[str, str],
        raw: dict | None,
    ) -> Envelope | None:
        """Declare; None where it is not known to be accepted."""
        try:
            return await self.declare(writer, key, raw)
        except (PlatformError, ValueError, KeyError):
            return None

    def failures(self) -> list[BaseException]:
        """What ended tasks of any process."""
        found = []
        for process in (*self.by_name.values(), *self.ended):
            found.extend(process.peers.components.tasks.failures)
            found.extend(process.follower.failures)
        return found

    def _build(
        self,
        local: Member,
        platform: ReplicaPlatform,
        outer: tuple[VirtualClock, random.Random, Counters],
    ) -> Process:
        peers = MeshPeers(
            local,
            self.network.join(local, outer[0]),
            MeshOptions('bench', b'key', size_hint=self.size),
            platform.read_seeds,
            outer,
        )
        table = ConfigurationTable()
        follower = ConfigurationFollower(
            table,
            platform,
            peers,
            outer,
            size_hint=self.size,
        )
        name = local.name
        return Process(name, outer[0], platform, table, peers, follower)


def _parse(stored: StoredObject | None) -> Envelope | None:
    if stored is None:
        return None
    try:
        return parse_envelope(stored.body)
    except InvalidObject:
        # Only a write past the operator API leaves such a body; a declared
        # object replaces it.
        return None
