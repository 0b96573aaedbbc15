"""Tests of the gossip between gateways, on virtual time."""

import asyncio
import collections
import contextlib
import random

import attrs
import pytest

from nutmegshore.balancing import Balancer, BalancerDependencies
from nutmegshore.clock import VirtualClock, run_virtual
from nutmegshore.counters import Counters
from nutmegshore.errors import ErrorKind, LinkError
from nutmegshore.gateway.messages import (
    LoadReport,
    LoadSummary,
    RestoreAnswer,
    StateChanges,
    StateReply,
    StateRequest,
)
from nutmegshore.gateway.objects import KnownObjects
from nutmegshore.gateway.peering import Peering
from nutmegshore.gateway.state import FleetState
from nutmegshore.peers import Member, MemoryNetwork
from nutmegshore.quarantine import Quarantine, fingerprint
from nutmegshore.store import Change, Changes, StoredObject, StorePosition
from nutmegshore.upstreams import UpstreamReport
from tests.gateway.peering_parts import CUSTOMER, make_dependencies

_PREFIX = 'servers/'
#: Seconds within which the users want a configuration in force.
_APPLY_S = 2


def _make_known():
    known = KnownObjects()
    known.position = StorePosition(1, 10)
    known.digest = 1
    return known


class PlainOrder:
    """The order of a store that is never restored."""

    def is_withdrawn(self, era):
        return False


@attrs.define(eq=False)
class PlainFollower:
    """What the peering sees of a follower."""

    clock: object
    prefix: str = _PREFIX
    bound_s: float = _APPLY_S
    known: KnownObjects = attrs.field(factory=_make_known)
    is_store_reachable: bool = True
    is_listed: bool = True
    listed_at: float = 0
    checks: int = 0
    applied: list = attrs.field(factory=list)
    is_relayed: bool = False
    is_current: bool = True
    on_news: object = None
    view: object = attrs.field(factory=lambda: PlainView(0))
    order: object = attrs.field(factory=PlainOrder)

    has_leases = False
    may_lack_entries = False
    awaits_word = False

    @property
    def feed(self):
        return self

    def set_relayed(self, *, is_relayed, needs_listing=False):
        self.is_relayed = is_relayed

    @property
    def age_s(self):
        return self.clock.now() - self.listed_at

    @property
    def outages(self):
        return self

    def told(self):
        return PlainAnswers()

    def record_told(self, told):
        """Count nothing: outages have tests of their own."""

    def check(self):
        self.checks += 1
        if self.is_store_reachable:
            self.listed_at = self.clock.now()
            self.on_news('listing')

    def apply_from_peer(self, listing, sender='', told=None):
        self.applied.append(listing)
        return True


@attrs.frozen
class PlainAnswers:
    """What a follower tells of the store's answers."""

    age_s: float = 0
    steady_s: float = 0


@attrs.define
class PlainView:
    """What the peering sees of the age of a replica."""

    age_s: float
    hops: list = attrs.field(factory=list)

    @property
    def seen_s(self):
        return self.age_s

    def confirm_at(self, shown_at):
        now = asyncio.get_running_loop().time()
        self.age_s = min(self.age_s, now - shown_at)


@attrs.define(eq=False)
class Gateway:
    """One gateway's peering and its dependencies."""

    clock: VirtualClock
    follower: PlainFollower
    peering: Peering
    load: object
    task: asyncio.Task
    quarantine: Quarantine
    peers: object
    chooser: object
    limits: object
    state: FleetState
    quotas: object


class Fleet(collections.UserDict):
    """Gateways by name; `start` adds one."""

    def __init__(self, build):
        super().__init__()
        self._build = build
        self.network = MemoryNetwork()

    def start(self, name, region='west'):
        self[name] = self._build(self.network, name, region)


@pytest.fixture
def run_fleet(make_log, upstream):
    """Context manager that runs the peering of several gateways."""

    def build(network, name, region):
        clock = VirtualClock()
        peers = network.join(Member(name, region, f'{region}-a'), clock)
        state = FleetState(clock)
        registered = [upstream('u1', born_ms=1)]
        state.replace_upstreams(registered, is_after_outage=False)
        rng = random.Random(7)
        balancer_dependencies = BalancerDependencies(
            clock, rng, name, region, lambda _: list(peers.live()), 0.15
        )
        balancer = Balancer(state, balancer_dependencies)
        quarantine = Quarantine(
            peers,
            clock,
            Counters(),
            lambda service: {'u1', 'u2', 'u3'},
            lambda upstream: False,
        )
        dependencies = make_dependencies(
            peers, balancer, quarantine, (clock, rng), make_log(clock)
        )
        follower = PlainFollower(clock)
        peering = Peering(dependencies, [follower])
        task = asyncio.ensure_future(peering.run())
        load = balancer.candidate_builder.load
        chooser = balancer.region_chooser
        return Gateway(
            clock,
            follower,
            peering,
            load,
            task,
            quarantine,
            peers,
            chooser,
            balancer.candidate_builder.limits,
            state,
            dependencies.quotas,
        )

    @contextlib.asynccontextmanager
    async def running(*names):
        fleet = Fleet(build)
        for name in names:
            fleet.start(name)
        try:
            yield fleet
        finally:
            for gateway in fleet.values():
                gateway.task.cancel()

    return running


def test_the_fleet_lists_each_kind_together(run_fleet):
    """Guards against every gateway listing by itself, and against changes that
    no watch delivers staying unseen."""

    async def session():
        async with run_fleet('g1', 'g2', 'g3') as fleet:
            await asyncio.sleep(30)
            checks = [one.follower.checks for one in fleet.values()]
            assert 15 <= sum(checks) <= 35

    run_virtual(session)


@pytest.mark.parametrize('bound_s', [2, 2.5, 5])
def test_a_kind_is_listed_within_its_bound(run_fleet, bound_s):
    """Guards against a change without a watch that is found too late, and
    against listings that no bound asks for."""

    async def session():
        async with run_fleet('g1', 'g2', 'g3') as fleet:
            followers = [one.follower for one in fleet.values()]
            for follower in followers:
                follower.bound_s = bound_s
            ages = []
            for _ in range(300):
                await asyncio.sleep(0.1)
                ages.append(min(one.age_s for one in followers))
            checks = sum(one.checks for one in followers)
            return max(ages), checks

    oldest, checks = run_virtual(session)
    assert oldest < bound_s
    assert checks <= 2 * 30 / bound_s


@pytest.mark.parametrize(
    'odd',
    [
        LoadReport(True, {'u1': 'x'}, {}),
        LoadReport(True, {'u1': float('nan')}, {}),
        LoadReport(True, {'u1': 10**30}, {}),
        LoadReport(True, {7: 1}, {}),
        LoadReport(True, {}, {_PREFIX: 7}),
        LoadReport(True, {}, {_PREFIX: [1, 2]}),
        LoadReport(True, {}, {_PREFIX: [1, 2, float('inf')]}),
        LoadReport(True, {}, {}, 0, ['x', 1]),
        LoadReport(True, {}, {}, 0, [], {'orders': 'x'}),
        LoadReport(True, {}, {}, 0, [], {'orders': [{}]}),
        LoadReport(True, {}, {}, 0, [], {}, {'u1': [1]}),
        LoadReport(True, {}, {}, 0, [], {}, {'u1': [[], 1]}),
        LoadReport(True, {}, {}, 0, [], {}, {'u1': [float('nan'), 1]}),
        LoadSummary([{}], {}, {}),
        LoadSummary(['g2'], {'u1': None}, {}),
        LoadReport(True, {}, {}, ages={_PREFIX: 'x'}),
        LoadReport(True, {}, {}, answers={_PREFIX: [1]}),
        LoadReport(True, {}, {}, sent_at=float('nan')),
        LoadReport(True, {}, {}, quotas={'c1': 1}),
        LoadReport(True, {}, {}, quotas={'c1': [1, 'x']}),
        LoadReport(True, {}, {}, quotas={7: [1, 1]}),
        LoadReport(True, {}, {}, quota_coverage=[1, float('nan')]),
        LoadSummary([], {}, {}, quotas={'c1': [float('inf')]}),
        StateReply(_PREFIX, 11, [], age_s=float('nan')),
        StateChanges(_PREFIX, 10, 11, [], sent_at=float('inf')),
        RestoreAnswer(_PREFIX, 1, age_s=float('nan')),
        RestoreAnswer(_PREFIX, 1, held_s=float('inf')),
    ],
    ids=str,
)
def test_an_odd_report_of_a_peer_is_dropped_whole(run_fleet, odd):
    """Guards against LOST: what a peer's report had of another type was kept,
    and ended the task that sends this gateway's reports later on."""

    async def session():
        async with run_fleet('g1', 'g2') as fleet:
            await asyncio.sleep(1)
            with pytest.raises(LinkError):
                fleet['g1'].peers.deliver('g3', odd)
            await asyncio.sleep(70)
            assert not fleet['g1'].task.done()
            assert fleet['g1'].peering.roster.is_ready('g3') is False
            assert 'g3' not in fleet['g1'].peering.report_ages()

    run_virtual(session)


def test_others_check_where_the_first_has_no_store(run_fleet):
    """Guards against a fleet that relies on a gateway without the store."""

    async def session():
        async with run_fleet('g1', 'g2', 'g3') as fleet:
            fleet['g1'].follower.is_store_reachable = False
            await asyncio.sleep(10)
            assert fleet['g2'].follower.checks >= 3

    run_virtual(session)


def test_a_gateway_that_lacks_a_change_checks(run_fleet):
    """Guards against a timer that starts anew with each report of a peer that
    agrees: a configuration on leafscale-gj scale-2 was missed so."""

    async def session():
        async with run_fleet('g1', 'g2', 'g3') as fleet:
            await asyncio.sleep(2)
            ahead = fleet['g1'].follower
            ahead.known.position = StorePosition(1, 11)
            ahead.known.digest = 2
            before = fleet['g3'].follower.checks
            await asyncio.sleep(_APPLY_S)
            assert fleet['g3'].follower.checks > before

    run_virtual(session)


def test_a_gateway_without_the_store_takes_state_from_a_peer(run_fleet):
    """Guards against a refused gateway that misses a drain."""

    async def session():
        async with run_fleet('g1', 'g2') as fleet:
            stored = StoredObject('servers/a', b'{}', 'uid', 11, '')
            changes = Changes(12, (Change(stored.key, stored),), 1)
            fleet['g1'].follower.known.apply(changes)
            fleet['g2'].follower.is_store_reachable = False
            await asyncio.sleep(2)
            applied = fleet['g2'].follower.applied
            assert applied[0] == changes

    run_virtual(session)


def test_counts_of_requests_reach_the_others(run_fleet):
    """Guards against gateways that fill an upstream without each other."""

    async def session():
        async with run_fleet('g1', 'g2') as fleet:
            fleet['g1'].load.get('u1').in_flight = 2
            await asyncio.sleep(1)
            assert fleet['g2'].load.estimate('u1') == 2

    run_virtual(session)


def test_a_silent_or_unready_gateway_is_not_named(run_fleet, lines):
    """Guards against look-up answers that name a dead gateway."""

    async def session():
        async with run_fleet('g1', 'g2') as fleet:
            fleet['g2'].peering.is_ready = True
            await asyncio.sleep(1)
            assert fleet['g1'].peering.is_named('g2')
            fleet['g2'].task.cancel()
            await asyncio.sleep(2)
            assert not fleet['g1'].peering.is_named('g2')

    run_virtual(session)
    changes = [line['change'] for line in lines.named('peer_changed')]
    assert changes[-1] == 'silent'


def test_a_gateway_that_starts_receives_verdicts(run_fleet):
    """Guards against a restarted gateway at which a crash-causing request
    takes two more upstreams."""
    bad = fingerprint('orders', 'GET', 'a.example/orders/bad', b'')

    async def session():
        async with run_fleet('g1') as fleet:
            for name in ('u1', 'u2'):
                quarantine = fleet['g1'].quarantine
                quarantine.finished(bad, name, ErrorKind.UPSTREAM_LOST)
            await asyncio.sleep(1)
            fleet.start('g2')
            await asyncio.sleep(1)
            return [one.quarantine.refused_s(bad) for one in fleet.values()]

    known, received = run_virtual(session)
    assert known > 500
    assert received == pytest.approx(known, abs=1)


def _start_large(fleet, count=24):
    """Start gateways in two regions, too many for reports to all."""
    for index in range(count):
        region = ('west', 'north')[index % 2]
        fleet.start('g{0:02}'.format(index), region)
    for gateway in fleet.values():
        gateway.peering.is_ready = True


def _is_west(name):
    return int(name[1:]) % 2 == 0


def _aggregators(fleet):
    peers = fleet['g00'].peers
    return [name for one in peers.regions() for name in peers.aggregators(one)]


def test_counts_of_a_large_fleet_reach_all_gateways(run_fleet):
    """Guards against counts that are lost or added twice on the way through
    the aggregators, and against one's own counts among those of others."""

    async def session():
        async with run_fleet() as fleet:
            _start_large(fleet)
            for gateway in fleet.values():
                gateway.load.get('u1').in_flight = 2
            await asyncio.sleep(3)
            return [one.load.estimate('u1') for one in fleet.values()]

    assert set(run_virtual(session)) == {48}


@pytest.mark.parametrize('count', [3, 24, 96])
def test_limits_of_upstreams_reach_all_gateways(run_fleet, count):
    """Guards against gateways that an upstream in need has not told, and
    against one that keeps to a limit that has ended."""

    async def session():
        async with run_fleet() as fleet:
            _start_large(fleet, count)
            await asyncio.sleep(2)
            found = []
            for max_rate in (1.5, 0.5, None):
                report = UpstreamReport(max_rate=max_rate)
                fleet['g02'].limits.handle_report('u1', report)
                await asyncio.sleep(1.5)
                found.append(
                    {one.limits.max_rate('u1') for one in fleet.values()}
                )
            return found

    assert run_virtual(session) == [{1.5}, {0.5}, {None}]


@pytest.mark.parametrize('count', [3, 24, 96])
def test_leaving_upstreams_are_known_to_all_gateways(
    run_fleet, upstream, count
):
    """Guards against gateways that learn one by one, at the cost of requests
    refused by an upstream which is leaving; the next incarnation, which one of
    them knows already, is not excluded."""

    async def session():
        async with run_fleet() as fleet:
            _start_large(fleet, count)
            await asyncio.sleep(2)
            fleet['g01'].state.put(upstream('u1', born_ms=2))
            state = fleet['g02'].state
            state.departures.add(state.by_id['u1'])
            await asyncio.sleep(1.5)
            return [
                name
                for name, one in fleet.items()
                if one.state.usable('orders')
            ]

    assert run_virtual(session) == ['g01']


@pytest.mark.parametrize('count', [3, 24, 96])
def test_all_gateways_know_what_a_customer_sent(run_fleet, count):
    """Guards against gateways that each admit the whole of a quota, and against
    requests that are lost or counted twice on the way through aggregators."""

    async def session():
        async with run_fleet() as fleet:
            _start_large(fleet, count)
            await asyncio.sleep(4)
            for gateway in fleet.values():
                assert gateway.quotas.acquire(CUSTOMER) == 0
            await asyncio.sleep(1.5)
            assert fleet['g02'].quotas.visible_fraction() == 1
            for gateway in fleet.values():
                assert gateway.quotas.acquire(CUSTOMER) == 0
            return {
                gateway.quotas.states()['c1'].sent for gateway in fleet.values()
            }

    assert run_virtual(session) == {count + 1}


@pytest.mark.parametrize('count', [3, 24])
def test_a_gateway_without_reports_takes_a_small_part(run_fleet, count):
    """Guards against a gateway that uses the part of those whose reports have
    ended."""

    async def session():
        async with run_fleet() as fleet:
            _start_large(fleet, count)
            await asyncio.sleep(4)
            for name in fleet:
                if name != 'g02':
                    fleet[name].task.cancel()
            await asyncio.sleep(5)
            return fleet['g02'].quotas.visible_fraction()

    assert run_virtual(session) == pytest.approx(1 / count)


def test_a_report_of_an_earlier_version_covers_no_gateway(run_fleet):
    """Guards against quotas that gateways of a version without them seem to
    leave unused."""

    async def session():
        async with run_fleet('g1', 'g2') as fleet:
            fleet['g2'].task.cancel()
            await asyncio.sleep(4)
            fleet['g1'].peers.deliver('g2', LoadReport(True, {}, {}))
            fleet['g1'].peers.deliver('g2', LoadSummary(['g2'], {}, {}))
            await asyncio.sleep(0.5)
            return fleet['g1'].quotas.visible_fraction()

    assert run_virtual(session) == 1 / 2


def test_limits_of_unknown_upstreams_are_dropped(run_fleet):
    """Guards against limits of upstreams that are gone, passed on for ever."""

    async def session():
        async with run_fleet('g1', 'g2') as fleet:
            report = UpstreamReport(max_rate=1)
            fleet['g1'].limits.handle_report('u9', report)
            await asyncio.sleep(1)
            return fleet['g2'].limits.max_rate('u9')

    assert run_virtual(session) is None


@pytest.mark.parametrize('count', [24, 96])
def test_messages_of_a_gateway_do_not_grow_with_the_fleet(run_fleet, count):
    """Guards against reports that grow with the square of the gateways."""

    async def session():
        async with run_fleet() as fleet:
            _start_large(fleet, count)
            await asyncio.sleep(2)
            before = collections.Counter(fleet.network.sent_messages)
            await asyncio.sleep(10)
            sent = collections.Counter(fleet.network.sent_messages)
            sent.subtract(before)
            others = set(fleet) - set(_aggregators(fleet))
            return max(sent[name] for name in others) / 10

    assert run_virtual(session) <= 5


def test_a_dead_gateway_of_a_large_fleet_is_not_named(run_fleet):
    """Guards against look-up answers that name a dead gateway, whether or not
    it was an aggregator."""

    async def session():
        async with run_fleet() as fleet:
            _start_large(fleet)
            await asyncio.sleep(3)
            aggregators = _aggregators(fleet)
            west = [name for name in fleet if _is_west(name)]
            aggregator = next(name for name in west if name in aggregators)
            others = [name for name in west if name not in aggregators]
            observer = fleet[others[0]].peering
            assert all(observer.is_named(name) for name in west)
            for name in (aggregator, others[1]):
                fleet[name].task.cancel()
            await asyncio.sleep(3)
            return [
                observer.is_named(name)
                for name in (aggregator, others[1], others[2])
            ]

    assert run_virtual(session) == [False, False, True]


#: Bytes a second of a link.
_NARROW_LINK = 1_000_000


async def _keep_late(fleet, seconds):
    """Let what the aggregators of the west send wait in their links."""
    # A request for objects of a kind that there is not.
    ballast = StateRequest(random.Random(7).randbytes(50_000).hex(), 0)
    late = list(filter(_is_west, _aggregators(fleet)))
    for name in late:
        fleet.network.set_rate(name, _NARROW_LINK)
    while True:
        for name in late:
            while fleet.network.queue_s(name) < seconds:
                fleet[name].peers.send('g00', ballast)
        await asyncio.sleep(0.02)


def _watch_west(fleet):
    """An observer, and two others of its region that do not aggregate."""
    aggregators = _aggregators(fleet)
    west = [name for name in fleet if _is_west(name)]
    observer, *others = [name for name in west if name not in aggregators]
    return fleet[observer].peering, others[:2]


@pytest.mark.parametrize('late_s', [1, 2, 4, 6])
def test_a_dead_gateway_is_not_named_by_a_late_summary(run_fleet, late_s):
    """Guards against DRAIN: look-ups counted a summary from its arrival, so
    that one that had waited in a link named the dead for as long again."""

    async def session():
        async with run_fleet() as fleet:
            _start_large(fleet)
            await asyncio.sleep(3)
            observer, (dead, _) = _watch_west(fleet)
            fleet[dead].task.cancel()
            delaying = asyncio.ensure_future(_keep_late(fleet, late_s))
            named = []
            for _ in range(100):
                await asyncio.sleep(0.1)
                named.append(observer.is_named(dead))
            delaying.cancel()
            return named

    assert not any(run_virtual(session)[47:])


def test_a_gateway_stays_named_while_summaries_wait(run_fleet):
    """Guards against look-up answers without the gateways of a region whose
    aggregators have full links."""

    async def session():
        async with run_fleet() as fleet:
            _start_large(fleet)
            await asyncio.sleep(3)
            observer, (_, other) = _watch_west(fleet)
            delaying = asyncio.ensure_future(_keep_late(fleet, 1))
            for _ in range(60):
                await asyncio.sleep(0.1)
                assert observer.is_named(other)
            delaying.cancel()

    run_virtual(session)


def test_a_large_fleet_lists_each_kind_together(run_fleet):
    """Guards against listings that grow with the number of gateways."""

    async def session():
        async with run_fleet() as fleet:
            _start_large(fleet, 48)
            await asyncio.sleep(4)
            before = sum(one.follower.checks for one in fleet.values())
            await asyncio.sleep(30)
            return sum(one.follower.checks for one in fleet.values()) - before

    assert 15 <= run_virtual(session) <= 2 * 30 / _APPLY_S


def test_the_spillover_follows_the_whole_region(run_fleet):
    """Guards against gateways that each learn alone that their region is short:
    the requests of one aggregator and one other gateway count for all.
    """

    async def session():
        async with run_fleet() as fleet:
            _start_large(fleet)
            await asyncio.sleep(2)
            west = [one for name, one in fleet.items() if _is_west(name)]
            for _ in range(80):
                for gateway in west[:2]:
                    gateway.chooser.record('orders', is_away=False)
                    gateway.chooser.spillover.record(
                        'orders', 5, has_capacity=True, is_refused=True
                    )
                await asyncio.sleep(0.1)
            return {
                name: gateway.chooser.spillover.fraction('orders')
                for name, gateway in fleet.items()
            }

    fractions = run_virtual(session)
    west = {fractions[name] for name in fractions if _is_west(name)}
    assert min(west) > 1 / 20
    assert max(west) - min(west) < 1 / 20
    others = [fractions[name] for name in fractions if not _is_west(name)]
    assert others and not any(others)


def test_the_shift_bound_counts_the_whole_region(run_fleet):
    """Guards against gateways that each bound their own few requests only:
    a region changed where 42 in 100 of its requests ran."""

    async def session():
        async with run_fleet() as fleet:
            _start_large(fleet)
            await asyncio.sleep(2)
            for name, gateway in fleet.items():
                for _ in range(3):
                    gateway.chooser.shift_bound.record(is_away=_is_west(name))
            await asyncio.sleep(1.2)
            return {
                name: gateway.chooser.shift_bound.region_away_fraction
                for name, gateway in fleet.items()
            }

    parts = run_virtual(session)
    assert all(parts[name] == _is_west(name) for name in parts)
