"""Parts of gateways for tests of the peering."""

from nutmegshore.balancing.customer_quotas import CustomerQuotas
from nutmegshore.counters import Counters
from nutmegshore.gateway.customer import Customer
from nutmegshore.gateway.leaving import LeavingUpstreams
from nutmegshore.gateway.sync_dependencies import PeeringDependencies

#: A customer with a quota that the tests do not use up.
CUSTOMER = Customer('c1', frozenset(('k1',)), max_rate=1000)


def make_dependencies(peers, balancer, quarantine, sources, log):
    """Build what a peering depends on, from a clock and a random source."""
    clock, rng = sources
    candidate_builder = balancer.candidate_builder
    return PeeringDependencies(
        peers,
        balancer,
        quarantine,
        clock,
        rng,
        Counters(),
        log,
        LeavingUpstreams(candidate_builder.state, log, Counters()),
        CustomerQuotas(clock, rng, candidate_builder.members),
    )
