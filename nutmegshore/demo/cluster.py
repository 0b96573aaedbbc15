"""The platform, upstreams and entries of one demonstration."""

import asyncio
import contextlib
import random
from collections.abc import Iterator
from http import HTTPStatus
from typing import Any

import attrs
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from nutmegshore.clock import Clock
from nutmegshore.demo.http_request import HttpResult, NotAccepted, send_request
from nutmegshore.demo.ledgers import RunLedger
from nutmegshore.demo.upstreams import StandinUpstream, UpstreamPlace
from nutmegshore.entry import EntryDaemon
from nutmegshore.examples import list_objects
from nutmegshore.fault_counts import list_fault_counts
from nutmegshore.operators.http_client import HttpOperatorClient, Server
from nutmegshore.store import ListedInstance, MemoryStore
from nutmegshore.store.standin import make_standin
from nutmegshore.settings import EntrySettings, parse_settings

__all__ = ('Cluster', 'EntryPlace', 'Profile', 'profile_of')

_LOOPBACK = '127.0.0.1'
_LOOKUP_LIMIT_S = 1
_POLL_S = 0.05
_PORTS_PER_ENTRY = 3
_MAX_PORT_TRIES = 5
_LOOKUP_S = 0.015
_WRITE_S = 0.03
_UPLOAD_S = 0.06
_BULK_S = 0.08
_LOOKUP_BYTES = 2000
_RECEIPT_BYTES = 500
_BULK_BYTES = 300_000

_SETTINGS = """
[instance]
name = {name}
region = {region}
availability_zone = {zone}
[callers]
address = 127.0.0.1
port = {callers}
[operators]
port = {operators}
unauthenticated = yes
[peers]
port = {peers}
cluster = demo
key = key-of-the-demonstration
[platform]
url = http://127.0.0.1:{platform}
[lookup]
lifetime_seconds = {lifetime}
"""


@attrs.frozen
class Profile:
    """How upstreams treat requests: seconds of service, bytes of answer."""

    service_s: float
    answer_bytes: int


_LOOKUP = Profile(_LOOKUP_S, _LOOKUP_BYTES)
_WRITE = Profile(_WRITE_S, _RECEIPT_BYTES)
_UPLOAD = Profile(_UPLOAD_S, _RECEIPT_BYTES)
_BULK = Profile(_BULK_S, _BULK_BYTES)


def profile_of(spec: dict[str, Any]) -> Profile:
    """Profile of a service; bulk is idempotent with the lowest priority."""
    if spec['idempotent']:
        return _LOOKUP if spec.get('hedge') else _BULK
    return _UPLOAD if 'deadline_ms' in spec else _WRITE


@attrs.frozen
class EntryPlace:
    """One entry with the ports that were chosen for it."""

    name: str
    region: str
    zone: str
    callers: int
    operators: int
    peers: int

    @property
    def address(self) -> str:
        """Where callers reach it."""
        return f'{_LOOPBACK}:{self.callers}'

    def settings(self, platform: int, lifetime: float) -> EntrySettings:
        """Settings of the entry."""
        return parse_settings(
            _SETTINGS.format(
                platform=platform,
                lifetime=lifetime,
                **attrs.asdict(self),
            ),
        )

    @property
    def listed(self) -> ListedInstance:
        """The line of this entry in the platform's list."""
        peers = f'{_LOOPBACK}:{self.peers}'
        return ListedInstance(self.name, peers, self.region, self.zone)


class Cluster:
    """Everything of a demonstration but its callers.

    cluster = Cluster('vestfold', clock, random.Random(7), 1)
    await cluster.start()
    ...
    await cluster.stop()
    """

    def __init__(
        self,
        deployment: str,
        clock: Clock,
        rng: random.Random,
        lifetime: float,
    ) -> None:
        """Build the upstreams; nothing listens before `start`."""
        self.declared = list_objects(deployment)
        self.runs = RunLedger()
        self.store = MemoryStore()
        self._clock = clock
        self._lifetime = lifetime
        self.upstreams = dict(self._make_upstreams(rng))
        self.places: list[EntryPlace] = []
        self.daemons: dict[str, EntryDaemon] = {}
        self._started: list[tuple[str, EntryDaemon]] = []
        self._platform: HTTPServer | None = None

    def specs(self, kind: str) -> dict[str, dict[str, Any]]:
        """Specs of the declared objects of one kind by name."""
        return {
            found['name']: found['spec']
            for found in self.declared
            if found['kind'] == kind
        }

    async def start(self) -> None:
        """Start all parts, declare all objects and wait for readiness."""
        for upstream in self.upstreams.values():
            upstream.start()
        sockets = bind_sockets(0, _LOOPBACK)
        self._platform = HTTPServer(make_standin(self.store))
        self._platform.add_sockets(sockets)
        port = sockets[0].getsockname()[1]
        names = self.specs('entry')
        starting = [self._start_entry(name, port) for name in names]
        self.places = await asyncio.gather(*starting)
        self.store.instances = [place.listed for place in self.places]
        await self._until_ready(self.places[0])
        await self._declare_all()
        await asyncio.gather(
            *(self._until_listed(place) for place in self.places),
        )

    async def declare(
        self,
        kind: str,
        name: str,
        spec: dict[str, Any] | None,
        reason: str,
    ) -> None:
        """Write an object at the first entry, or delete it with None."""
        port = self.places[0].operators
        client = HttpOperatorClient(Server(f'http://{_LOOPBACK}:{port}'))
        try:
            await client.write(kind, name, spec, None, reason)
        except BaseException:
            client.close()
            raise
        client.close()

    async def stop_entry(self, name: str) -> None:
        """Stop one entry as planned and take it from the platform's list."""
        await self.daemons.pop(name).stop()
        self.store.instances = [
            place.listed for place in self.places if place.name in self.daemons
        ]

    async def stop(self) -> None:
        """Stop all parts."""
        stopping = [daemon.stop() for daemon in self.daemons.values()]
        await asyncio.gather(*stopping, return_exceptions=True)
        for upstream in self.upstreams.values():
            upstream.kill()
        if self._platform is not None:
            self._platform.stop()

    def list_faults(self) -> list[str]:
        """List what entries counted as faults of their own code.

        Entries that have stopped count too.
        """
        return [
            f'{name}: {counted}'
            for name, daemon in self._started
            for counted in list_fault_counts(daemon.counters)
        ]

    def _make_upstreams(
        self,
        rng: random.Random,
    ) -> Iterator[tuple[str, StandinUpstream]]:
        services = self.specs('service')
        for name, spec in self.specs('upstream').items():
            service = services[spec['service']]
            profile = profile_of(service)
            place = UpstreamPlace(
                name=name,
                service=spec['service'],
                region=spec['region'],
                slots=spec['slots'],
                is_idempotent=service['idempotent'],
                service_s=profile.service_s,
                answer_bytes=profile.answer_bytes,
            )
            drawn = random.Random(rng.random())
            yield name, StandinUpstream(place, self.runs, self._clock, drawn)

    async def _start_entry(self, name: str, platform: int) -> EntryPlace:
        """Start an entry; another process can take a free port before it."""
        tries = 0
        while True:
            tries += 1
            place = _choose_place(name, self.specs('entry')[name])
            daemon = EntryDaemon(place.settings(platform, self._lifetime))
            self.daemons[name] = daemon
            self._started.append((name, daemon))
            try:
                await daemon.start()
            except OSError:
                await daemon.stop()
                if tries == _MAX_PORT_TRIES:
                    raise
                continue
            return place

    async def _declare_all(self) -> None:
        addresses = {
            **{name: up.address for name, up in self.upstreams.items()},
            **{place.name: place.address for place in self.places},
        }
        fields = {'upstream': 'address', 'entry': 'caller_address'}
        pending = list(self.declared)
        while pending:
            found = pending.pop(0)
            spec = found['spec']
            field = fields.get(found['kind'])
            if field:
                spec = {**spec, field: addresses[found['name']]}
            await self.declare(found['kind'], found['name'], spec, 'demo')

    async def _until_ready(self, place: EntryPlace) -> None:
        """Wait until an entry takes writes; the caller limits it."""
        address = f'{_LOOPBACK}:{place.operators}'
        while (await self._ask(address, '/ready')).status != HTTPStatus.OK:
            await self._clock.sleep(_POLL_S)

    async def _until_listed(self, place: EntryPlace) -> None:
        """Wait until an entry lists all entries; the caller limits it."""
        addresses = [other.address.encode() for other in self.places]
        body = b''
        while not all(address in body for address in addresses):
            await self._clock.sleep(_POLL_S)
            with contextlib.suppress(NotAccepted):
                body = (await self._ask(place.address, '/lookup')).body

    async def _ask(self, address: str, path: str) -> HttpResult:
        head = f'GET {path} HTTP/1.1\r\nHost: demo\r\nConnection: close\r\n\r\n'
        return await send_request(address, head, b'', _LOOKUP_LIMIT_S)


def _choose_place(name: str, spec: dict[str, Any]) -> EntryPlace:
    """Choose free ports, all bound at once so that none is drawn twice."""
    held = [bind_sockets(0, _LOOPBACK)[0] for _ in range(_PORTS_PER_ENTRY)]
    ports = [sock.getsockname()[1] for sock in held]
    for sock in held:
        sock.close()
    return EntryPlace(name, spec['region'], spec['availability_zone'], *ports)
