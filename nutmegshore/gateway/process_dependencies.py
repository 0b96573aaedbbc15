"""Dependencies of a gateway that runs as a process of its own."""

import random

from nutmegshore.clock import Clock, SystemClock
from nutmegshore.counters import Counters
from nutmegshore.gateway.assembly import GatewayDependencies
from nutmegshore.gateway.log import EventLog, LineWriter
from nutmegshore.gateway.settings import GatewaySettings
from nutmegshore.platform.store import PlatformStore
from nutmegshore.store import Platform

__all__ = ('make_dependencies',)

_SEED_BITS = 64
_STDOUT = 1


def make_dependencies(
    settings: GatewaySettings,
    store: Platform | None = None,
    clock: Clock | None = None,
) -> GatewayDependencies:
    """Build the dependencies of a process.

    By default these are the system clock and the store of the settings; the
    log goes to standard output.
    """
    clock = clock or SystemClock()
    counters = Counters()
    log = EventLog(
        LineWriter(_STDOUT),
        settings.name,
        clock,
        counters,
        settings.log_bytes_per_s,
    )
    # Identities of processes and operations must never repeat, so the seed
    # comes from the system.
    rng = random.Random(random.SystemRandom().getrandbits(_SEED_BITS))
    store = store or PlatformStore(settings.store, counters=counters)
    return GatewayDependencies(store, clock, rng, counters, log)
