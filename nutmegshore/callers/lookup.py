"""Look-up of the entries that a caller may connect to."""

import heapq
import json
import math
import random
from collections.abc import Collection

import attrs

from nutmegshore.clock import Clock
from nutmegshore.configuration import ConfigurationTable
from nutmegshore.errors import ErrorKind, RequestError
from nutmegshore.resources import Drain, Entry, Region, Service
from nutmegshore.upstreams import Headers

__all__ = (
    'EntryAnswer',
    'LookupAnswer',
    'LookupLedger',
    'check_service',
    'lookup_entries',
    'write_lookup',
)

_UNKNOWN_DELAY_MS = 1e6
#: Entries per distance in one answer. A caller tries no more within the
#: lifetime of an answer, and writing all 550 took longer than choosing them.
_MAX_ENTRIES_PER_DISTANCE = 16


@attrs.frozen
class EntryAnswer:
    """One entry in a look-up answer."""

    name: str
    address: str
    region: str


@attrs.frozen
class LookupAnswer:
    """Entries in the order to try, and the seconds to cache them."""

    entries: tuple[EntryAnswer, ...]
    lifetime_seconds: float


@attrs.define
class LookupLedger:
    """Records how long callers may cache the answers sent to them.

    A stopping entry waits until no answer that names it is valid:

        ledger.record(answer)
        await ledger.wait('entry-1')
    """

    clock: Clock
    valid_until: dict[str, float] = attrs.field(factory=dict)

    def record(self, answer: LookupAnswer) -> LookupAnswer:
        """Record an answer that is sent now, and return it."""
        until = self.clock.now() + answer.lifetime_seconds
        for entry in answer.entries:
            known = self.valid_until.get(entry.name, until)
            self.valid_until[entry.name] = max(known, until)
        return answer

    def remaining_s(self, name: str) -> float:
        """Seconds until the last answer that names the entry expires."""
        now = self.clock.now()
        return max(self.valid_until.get(name, now) - now, 0)

    async def wait(self, name: str) -> None:
        """Wait until every answer that names the entry has expired."""
        remaining_s = self.remaining_s(name)
        while remaining_s > 0:
            await self.clock.sleep(remaining_s)
            remaining_s = self.remaining_s(name)


def lookup_entries(
    table: ConfigurationTable,
    region: str,
    lifetime_seconds: float,
    excluded: Collection[str],
    rng: random.Random,
) -> LookupAnswer:
    """List the usable entries, nearest first, in weighted random order.

    `excluded` names entries that are stopping, dead or overloaded; drained
    ones are omitted too. At most 16 entries per distance are listed, so that
    an answer has some in every region. Entries of the same distance are
    shuffled for each answer, the heavier ones earlier on average, so that
    callers do not crowd one of them.
    """
    usable = _usable(table, excluded)
    # The entry with the smallest exponential draw is first; with the weight
    # as the rate, that probability is proportional to the weight.
    draws = {
        name: rng.expovariate(entry.weight) for name, entry in usable.items()
    }
    answers = []
    for group in _by_distance(usable, _delays_ms(table, region)):
        nearest = heapq.nsmallest(_MAX_ENTRIES_PER_DISTANCE, group, draws.get)
        answers.extend(_answer(name, usable) for name in nearest)
    return LookupAnswer(tuple(answers), lifetime_seconds)


def check_service(table: ConfigurationTable, service: str) -> None:
    """Raise `RequestError` for a named service that is not declared."""
    if service and service not in table.by_name(Service):
        raise RequestError(ErrorKind.UNKNOWN_SERVICE, service)


def write_lookup(answer: LookupAnswer) -> tuple[Headers, bytes]:
    """Headers and body of a look-up answer.

    `max-age` counts whole seconds, so the lifetime is rounded down.
    """
    max_age = math.floor(answer.lifetime_seconds)
    headers = (
        ('Content-Type', 'application/json'),
        ('Cache-Control', f'max-age={max_age}'),
    )
    # Faster than attrs.asdict, which copies each field by reflection.
    entries = [
        {'name': one.name, 'address': one.address, 'region': one.region}
        for one in answer.entries
    ]
    lifetime = answer.lifetime_seconds
    body = {'entries': entries, 'lifetime_seconds': lifetime}
    return headers, json.dumps(body).encode()


def _answer(name: str, usable: dict[str, Entry]) -> EntryAnswer:
    entry = usable[name]
    return EntryAnswer(name, entry.caller_address, entry.region)


def _by_distance(
    usable: dict[str, Entry],
    delays: dict[str, float],
) -> list[list[str]]:
    groups: dict[float, list[str]] = {}
    for name, entry in usable.items():
        delay = delays.get(entry.region, _UNKNOWN_DELAY_MS)
        groups.setdefault(delay, []).append(name)
    return [groups[delay] for delay in sorted(groups)]


def _usable(
    table: ConfigurationTable,
    excluded: Collection[str],
) -> dict[str, Entry]:
    drains = [drain.spec for drain in table.by_name(Drain).values()]
    usable = {
        name: found.spec
        for name, found in table.by_name(Entry).items()
        if found.spec.weight and name not in excluded
    }
    if not drains:
        return usable
    return {
        name: entry
        for name, entry in usable.items()
        if not any(_is_drained(name, entry, drain) for drain in drains)
    }


def _is_drained(name: str, entry: Entry, drain: Drain) -> bool:
    return (
        drain.entry == name
        or drain.region == entry.region
        or drain.availability_zone == entry.availability_zone
    )


def _delays_ms(table: ConfigurationTable, region: str) -> dict[str, float]:
    found = table.by_name(Region).get(region)
    delays = found.spec.delay_ms if found else {}
    return {**delays, region: 0}
