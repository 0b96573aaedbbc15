"""Look-up of the entries that a caller should use."""

import random
from collections.abc import Collection

import attrs

from nutmegshore.configuration import ConfigurationTable
from nutmegshore.resources import Drain, Entry, Region

__all__ = ('EntryAnswer', 'LookupAnswer', 'lookup_entries')

_UNKNOWN_DELAY_MS = 1e6


@attrs.frozen
class EntryAnswer:
    """One entry in a look-up answer."""

    name: str
    address: str
    region: str


@attrs.frozen
class LookupAnswer:
    """Entries to try in order, and for how many seconds to cache them."""

    entries: tuple[EntryAnswer, ...]
    lifetime_seconds: float


def lookup_entries(
    table: ConfigurationTable,
    region: str,
    lifetime_seconds: float,
    excluded: Collection[str],
    rng: random.Random,
) -> LookupAnswer:
    """List the usable entries, near first, spread by weight.

    `excluded` names entries that are stopping, dead or overloaded. Entries of
    the same region are drawn anew for each answer, the heavier ones earlier
    on average, so that callers do not crowd one of them.
    """
    drained = {drain.spec.entry for drain in table.by_name(Drain).values()}
    delays = _delays_ms(table, region)
    usable = {
        name: found.spec
        for name, found in table.by_name(Entry).items()
        if name not in drained and name not in excluded and found.spec.weight
    }
    order = sorted(
        usable,
        key=lambda name: (
            delays.get(usable[name].region, _UNKNOWN_DELAY_MS),
            # An exponential draw with the weight as its rate puts an entry
            # first with a probability proportional to its weight.
            rng.expovariate(usable[name].weight),
        ),
    )
    answers = [
        EntryAnswer(name, usable[name].caller_address, usable[name].region)
        for name in order
    ]
    return LookupAnswer(tuple(answers), lifetime_seconds)


def _delays_ms(table: ConfigurationTable, region: str) -> dict[str, float]:
    found = table.by_name(Region).get(region)
    delays = found.spec.delay_ms if found else {}
    return {**delays, region: 0}
