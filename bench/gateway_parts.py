"""Parts of one gateway for measurements, with upstreams that do no work."""

import random
from types import MappingProxyType

from bench.loopback import LOOPBACK
from nutmegshore.balancing import (
    Balancer,
    BalancerDependencies,
    FleetRetryBudget,
    WeightedRoundRobin,
)
from nutmegshore.clock import SystemClock
from nutmegshore.counters import Counters
from nutmegshore.gateway.context import GatewayContext
from nutmegshore.gateway.crashes import CrashGuard
from nutmegshore.gateway.log import EventLog, LineWriter
from nutmegshore.gateway.registered_upstream import RegisteredUpstream
from nutmegshore.gateway.route import (
    Configuration,
    Route,
    RouteKind,
    ServiceShare,
)
from nutmegshore.gateway.quota_gate import QuotaGate
from nutmegshore.gateway.state import FleetState
from nutmegshore.peers import Member, MemoryNetwork
from nutmegshore.platform.bounds import Bounds
from nutmegshore.platform.dialect import PlatformDialect
from nutmegshore.quarantine import Quarantine
from nutmegshore.upstreams import (
    AnswerHead,
    AnswerReceiver,
    Destination,
    UpstreamClient,
    UpstreamRequest,
)

__all__ = ('BODY', 'REQUEST', 'make_context')

_OK = 200
_HEAD = AnswerHead(_OK, (('Request-Id', 'r1'), ('Server-Stamp', 's')))
#: A request of the one route, on a connection that is kept.
REQUEST = b'\r\n'.join(
    (
        b'GET /orders/7 HTTP/1.1',
        b'Host: a.example',
        b'Request-Id: r1',
        b'Affinity-Key: 7',
        b'Deadline-Ms: 2000\r\n\r\n',
    ),
)
_BODY_BYTES = 1500
BODY = b'x' * _BODY_BYTES
_TARGET_S = 0.4
_UPSTREAMS = 6


class _InstantUpstreams(UpstreamClient):
    """Answers at once, so that the gateway's own work is what is measured."""

    def __init__(self) -> None:
        self.dialect = PlatformDialect()

    async def send(
        self,
        name: str,
        upstream: Destination,
        request: UpstreamRequest,
        receiver: AnswerReceiver,
    ) -> AnswerHead:
        """Answer with a body of the usual size."""
        await receiver.begin(_HEAD)
        await receiver.receive(BODY)
        return _HEAD


def make_context(
    seed: int,
    writer: LineWriter,
    bytes_per_s: float,
) -> GatewayContext:
    """Build a gateway's parts with a log of some volume; 0 is no log."""
    bounds = Bounds()
    clock = SystemClock()
    rng = random.Random(seed)
    counters = Counters()
    state = _make_state(clock)
    around = BalancerDependencies(
        clock, rng, 'g1', 'west', lambda region: [], bounds.max_shift
    )
    balancer = Balancer(state, around)
    log = EventLog(writer, 'g1', clock, counters, bytes_per_s)
    return GatewayContext(
        state=state,
        balancer=balancer,
        budget=FleetRetryBudget(
            clock,
            bounds.retry_ratio,
            bounds.retry_window_s,
            bounds.extra_retries,
        ),
        splits=WeightedRoundRobin(),
        upstreams=_InstantUpstreams(),
        dialect=PlatformDialect(),
        clock=clock,
        counters=counters,
        log=log,
        quotas=QuotaGate.make(
            balancer.candidate_builder.members,
            (clock, rng),
            log,
            counters,
            bounds,
        ),
        crashes=CrashGuard(_make_quarantine(clock), counters),
        count_gateways=lambda: 1,
    )


def _make_quarantine(clock: SystemClock) -> Quarantine:
    """The quarantine of a gateway that has no peers."""
    peers = MemoryNetwork().join(Member('g1', 'west', 'west-a'), clock)
    return Quarantine(
        peers,
        clock,
        Counters(),
        lambda service: (),
        lambda upstream: False,
    )


def _make_state(clock: SystemClock) -> FleetState:
    """A route, and as many upstreams as a region of today has."""
    route = Route(
        name='r1',
        host='a.example',
        prefix='/orders/',
        kind=RouteKind.SAFE,
        timeout_s=2,
        target_latency_s=_TARGET_S,
        shares=(ServiceShare('orders'),),
        is_sticky=True,
    )
    upstreams = [
        RegisteredUpstream(
            f'i-{number}', 'orders', f'{LOOPBACK}:1', 'a', 'west', 3
        )
        for number in range(_UPSTREAMS)
    ]
    state = FleetState(clock)
    state.adopt(Configuration(1, (route,), MappingProxyType({})))
    state.replace_upstreams(upstreams, is_after_outage=False)
    state.replace_evacuated(())
    return state
