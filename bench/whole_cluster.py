"""Nine whole entries of a deployment on virtual time, with their callers."""

import asyncio
import functools
import itertools
import random

import attrs

from bench.caps_fleet import JudgedStore
from bench.peers_cluster import ReplicaPlatform
from bench.whole_ledgers import Call, Ledgers, Receiver, Starts, now
from bench.whole_objects import SHIFT_KEY, list_first
from nutmegshore.callers import CallerRequest
from nutmegshore.clock import VirtualClock
from nutmegshore.configuration import ConfigurationTable
from nutmegshore.counters import Counters
from nutmegshore.entry.components import EntryComponents
from nutmegshore.entry.dependencies import EntryDependencies, EntryOptions
from nutmegshore.errors import (
    ErrorKind,
    ObjectError,
    PlatformError,
    RequestError,
)
from nutmegshore.examples.deployments import DEPLOYMENTS
from nutmegshore.operators.declare import Declaration, Declarer
from nutmegshore.peers import (
    LinkNetwork,
    Member,
    MeshOptions,
    MeshPeers,
    first_incarnation,
)
from nutmegshore.store import ListedInstance
from nutmegshore.resources import Entry as EntrySpec
from nutmegshore.resources import (
    Envelope,
    Upstream,
    write_envelope,
)
from nutmegshore.upstreams import AnswerHead
from nutmegshore.upstreams.memory import MemoryUpstream, MemoryUpstreams

__all__ = ('CRASH', 'Entry', 'Whole')

CRASH = '/crash'
_LIFETIME_S = 3
_NEAR_S = 0.001
_STORE_S = 0.005
_BITS = 64
_SERVICE_S = 0.1
#: Longer than a stop takes besides, so that it must wait for these.
_BULK_S = 3
_POLL_S = 0.2


class _Upstreams(MemoryUpstreams):
    """One entry's client: records what it sends, and obeys partitions."""

    def __init__(self, whole: 'Whole', local: Member, clock: VirtualClock):
        super().__init__(clock, whole.rng, self._delay)
        self.by_name = whole.upstreams
        self._whole = whole
        self._local = local
        self.table = ConfigurationTable()

    async def send(self, name, upstream, request, receiver) -> AnswerHead:
        """Run the request in the named upstream unless it is cut off."""
        place = Member(name, upstream.region, '')
        if self._whole.network.is_cut(self._local, place):
            raise RequestError(ErrorKind.UPSTREAM_UNREACHABLE, name)
        entry = self._local.name
        sent = (now(), entry, name, request.request_id)
        self._whole.ledgers.sends.append(sent)
        whole = self._whole
        ends = (self._local.region, upstream.region)
        if request.service == whole.lookups and ends == whole.regions[:2]:
            self._judge_use()
        return await super().send(name, upstream, request, receiver)

    def _judge_use(self) -> None:
        # Without a declared shift in force at the entry, nothing caps what
        # spills over: seeds 17 and 59 sent one such request each after the
        # deletion of the shift was in force everywhere.
        shift = self.table.get(SHIFT_KEY)
        if shift is not None and not shift.is_deleted:
            self._whole.ledgers.judge.use(self._local.name)

    def _delay(self, name: str) -> float:
        is_near = self._whole.region_by_upstream[name] == self._local.region
        return _NEAR_S if is_near else self._whole.far_s


@attrs.define(eq=False)
class Entry:
    """One run of an entry; a start under the same name is another run."""

    run: int
    name: str
    region: str
    clock: VirtualClock
    platform: ReplicaPlatform
    peers: MeshPeers
    components: EntryComponents
    declarer: Declarer
    calls: set[asyncio.Task] = attrs.field(factory=set)
    #: Whether its listener is closed, so that callers are turned away.
    is_closed: bool = False

    def record(self, ledgers: Ledgers, newer: list[Envelope]) -> None:
        """Record what the table took."""
        for one in newer:
            ledgers.merges.append((now(), self.run, one.key, one.generation))


class Whole:
    """A session's store, network, upstreams, entries and callers."""

    def __init__(self, deployment: str, seed: int) -> None:
        """Name the members; nothing runs before `boot`."""
        self.rng = random.Random(seed)
        found = DEPLOYMENTS[deployment]
        self.deployment = deployment
        self.regions = found.regions
        self.far_s = found.delay_ms / 1000
        names = tuple(found.loads)
        self.lookups = names[0]
        self.orders = names[1]
        self.bulk = names[-1]
        self.ledgers = Ledgers()
        self.store = JudgedStore(self.ledgers.judge)
        self.store.faults.delay_s = _STORE_S
        self.network = LinkNetwork()
        self.upstreams: dict[str, MemoryUpstream] = {}
        self.region_by_upstream: dict[str, str] = {}
        self.by_name: dict[str, Entry] = {}
        #: Of all entries that ever ran.
        self.counters: list[Counters] = []
        self.region_by_entry: dict[str, str] = {}
        self._runs = 0
        self._ids = 0
        self._tasks: set[asyncio.Task] = set()
        self._declare_all(list_first(deployment))

    async def boot(self) -> None:
        """Start all entries and wait until they are ready."""
        for name in self.region_by_entry:
            self.start(name)
        while not all(
            one.components.follower.is_ready for one in self.entries()
        ):
            await asyncio.sleep(_POLL_S)

    def entries(self) -> list[Entry]:
        """Entries that run, in the order of their names."""
        return [one for _, one in sorted(self.by_name.items())]

    def start(self, name: str) -> None:
        """Start an entry under a name."""
        region = self.region_by_entry[name]
        clock = VirtualClock()
        rng = random.Random(self.rng.getrandbits(_BITS))
        local = Member(name, region, f'{region}-a', first_incarnation(rng))
        platform = ReplicaPlatform(self.store, clock)
        dependencies = self._dependencies(local, platform, clock, rng)
        components = EntryComponents(dependencies, EntryOptions(_LIFETIME_S))
        dependencies.upstreams.on_report = components.record_report
        dependencies.upstreams.table = components.table
        self.counters.append(dependencies.counters)
        self._runs += 1
        declarer = Declarer(
            platform, components.table, rng, components.check_ready
        )
        entry = Entry(
            self._runs,
            name,
            region,
            clock,
            platform,
            dependencies.peers,
            components,
            declarer,
        )
        components.table.subscribe(
            functools.partial(entry.record, self.ledgers)
        )
        self.by_name[name] = entry
        dependencies.peers.start()
        self.spawn(components.start())

    def spawn(self, work) -> asyncio.Task:
        """Run work that ends with the session; its failure is recorded."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._ended)
        return task

    def kill(self, name: str) -> None:
        """End an entry without a sign."""
        entry = self.by_name.pop(name, None)
        if entry is None:
            return
        self.network.kill(name)
        entry.platform.faults.is_down = True
        for task in entry.calls:
            task.cancel()
        self.spawn(self._end(entry))

    async def stop_by_plan(self, name: str) -> None:
        """Leave, wait for the look-up lifetime, stop."""
        entry = self.by_name[name]
        began = now()
        entry.components.leave()
        await entry.clock.sleep(_LIFETIME_S)
        # As the daemon does, the listener closes before the parts stop; what
        # it has accepted by then reaches the forwarder.
        entry.is_closed = True
        await entry.clock.sleep(_NEAR_S)
        if self.by_name.get(name) is not entry:
            return
        await entry.components.stop()
        if self.by_name.get(name) is not entry:
            # Killed meanwhile: what that cuts is not the stop's doing.
            return
        self.ledgers.stops.append((name, began, now()))
        # What is still in flight now ends with the process.
        self.by_name.pop(name)
        for task in entry.calls:
            task.cancel()
        await entry.peers.stop()
        self.network.kill(name)

    async def stop(self) -> None:
        """End the session; a request in flight is let finish before."""
        for name in list(self.by_name):
            self.kill(name)
        await asyncio.sleep(1)
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def declare(self, name, subject, spec, expected=None) -> bool:
        """Declare through an entry; True where it was accepted."""
        entry = self.by_name.get(name)
        if entry is None or entry.clock.is_paused:
            return False
        self.ledgers.asked.append((now(), 'config/{0}/{1}'.format(*subject)))
        wish = Declaration(*subject, spec, f'by-{name}', 'bench', expected)
        try:
            envelope = await entry.declarer.declare(wish)
        except (PlatformError, ObjectError, RequestError):
            return False
        self.ledgers.accepted.append((now(), name, envelope))
        return True

    async def call(self, entry: Entry, service, target, key='') -> Call:
        """Send one request through an entry; returns how it ended."""
        self._ids += 1
        call = Call(f'r{self._ids}', service, key, entry.name, now())
        call.is_crashing = CRASH in target
        if entry.is_closed:
            call.kind = 'closed'
            return call
        self.ledgers.calls.append(call)
        task = asyncio.ensure_future(self._forward(entry, call, target))
        entry.calls.add(task)
        task.add_done_callback(entry.calls.discard)
        await asyncio.wait([task])
        call.ended_at = now()
        if task.cancelled():
            call.kind = 'cancelled'
        elif task.exception():
            failure = task.exception()
            call.kind = getattr(failure, 'kind', ErrorKind.MALFORMED_REQUEST)
            call.kind = call.kind.value
            call.outcome = failure.answer.outcome
        return call

    async def _forward(self, entry: Entry, call: Call, target: str) -> None:
        await entry.clock.gate()
        request = CallerRequest(
            request_id=call.request_id,
            service=call.service,
            method='POST' if call.service == self.orders else 'GET',
            target=target,
            headers=(),
            idempotency_key=call.key,
        )
        await entry.components.forwarder.forward(request, Receiver(call))
        await entry.clock.gate()

    async def _end(self, entry: Entry) -> None:
        await entry.components.stop()
        await entry.peers.stop()

    def _ended(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception():
            self.ledgers.failures.append(repr(task.exception()))

    def _dependencies(self, local, platform, clock, rng) -> EntryDependencies:
        dependencies = EntryDependencies(
            platform,
            None,
            _Upstreams(self, local, clock),
            clock,
            rng,
        )
        peers = MeshPeers(
            local,
            self.network.join(local, clock),
            MeshOptions('bench', b'key', size_hint=len(self.region_by_entry)),
            platform.read_seeds,
            (clock, rng, dependencies.counters),
        )
        return attrs.evolve(dependencies, peers=peers)

    def _declare_all(self, envelopes: list[Envelope]) -> None:
        for envelope in envelopes:
            body = write_envelope(envelope)
            self.store.apply(envelope.key, body, None, envelope.operation)
            self._take(envelope)
        self.store.instances = [
            ListedInstance(name, name, region, f'{region}-a')
            for name, region in self.region_by_entry.items()
        ]
        for one, other in itertools.product(self.regions, repeat=2):
            delay = _NEAR_S if one == other else self.far_s
            self.network.set_delay(one, other, delay)

    def _service_s(self, service: str) -> float:
        return _BULK_S if service == self.bulk else _SERVICE_S

    def _take(self, envelope: Envelope) -> None:
        name = envelope.name
        spec = envelope.spec
        if isinstance(spec, EntrySpec):
            self.region_by_entry[name] = spec.region
        elif isinstance(spec, Upstream):
            self.region_by_upstream[name] = spec.region
            self.upstreams[name] = MemoryUpstream(
                slots=spec.slots,
                service_time_s=self._service_s(spec.service),
                queue_limit=spec.slots,
                crash_mark=CRASH,
                run_counts=Starts(name, self.ledgers),
            )
