"""Fixtures: mesh members on memory links."""

import random

import attrs
import pytest
import structlog

from nutmegshore.clock import VirtualClock
from nutmegshore.counters import Counters
from nutmegshore.peers import (
    LinkNetwork,
    Member,
    MeshOptions,
    MeshPeers,
    first_incarnation,
)


@attrs.define
class _Net:
    """A network with its members."""

    network: LinkNetwork = attrs.field(factory=LinkNetwork)
    clocks: dict = attrs.field(factory=dict)
    meshes: dict = attrs.field(factory=dict)
    listed: dict = attrs.field(factory=dict)

    async def seeds(self):
        return dict(self.listed)

    def start(self, name, region='west', key=b'key', **options):
        seed = options.pop('seed', name)
        rng = random.Random(seed)
        clock = VirtualClock()
        zone = options.pop('zone', f'{region}-a')
        local = Member(name, region, zone, first_incarnation(rng))
        mesh = MeshPeers(
            local,
            self.network.join(local, clock),
            MeshOptions(options.pop('cluster', 'c'), key, **options),
            self.seeds,
            (clock, rng, Counters()),
        )
        self.clocks[name] = clock
        self.meshes[name] = mesh
        self.listed[name] = name
        mesh.start()
        return mesh

    def start_many(self, count, **options):
        for index in range(count):
            region = ('west', 'north', 'south')[index % 3]
            self.start('m{0:02}'.format(index), region, **options)

    async def kill(self, name):
        self.network.kill(name)
        await self.meshes.pop(name).stop()

    def views(self):
        return {name: set(mesh.live()) for name, mesh in self.meshes.items()}

    def dead(self):
        return {
            name: {record.member.name for record in mesh.membership.dead()}
            for name, mesh in self.meshes.items()
        }

    def incarnations(self):
        return {
            name: mesh.local.incarnation for name, mesh in self.meshes.items()
        }

    def total(self, name, metric):
        counters = self.meshes[name].components.counters
        return counters.total(metric)

    def totals(self, metric):
        return [self.total(name, metric) for name in self.meshes]

    def failures(self):
        return [
            failure
            for mesh in self.meshes.values()
            for failure in mesh.components.tasks.failures
        ]


@pytest.fixture
def net():
    """Empty network of mesh members."""
    return _Net()


@pytest.fixture
def log_lines():
    """Lines that a test logs through structlog, as maps."""
    with structlog.testing.capture_logs() as lines:
        yield lines
