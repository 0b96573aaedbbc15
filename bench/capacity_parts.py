"""Costs of single operations by size: look-up, plan, status, state."""

import random
import time
import tracemalloc
from collections.abc import Callable

from bench.capacity_cluster import make_envelope, make_upstream
from nutmegshore.callers.lookup import lookup_entries, write_lookup
from nutmegshore.configuration import ConfigurationTable
from nutmegshore.peers import Member
from nutmegshore.peers.membership import MemberRecord
from nutmegshore.peers.topology import Topology
from nutmegshore.resources import Envelope
from nutmegshore.steering.plan import build_plan

__all__ = (
    'measure_lookup',
    'measure_members',
    'measure_plan',
    'measure_table',
    'reference_s',
)

_REPEATS = 20
_LOOP_TURNS = 100_000
_REGIONS = ('west', 'north', 'south')
_UPSTREAMS_PER_ENTRY = 4
_LIFETIME_S = 5


def reference_s() -> float:
    """Processor time of a loop of 100,000 additions, the least of several."""
    return min(_spent(_count) for _ in range(_REPEATS))


def measure_lookup(size: int, seed: int) -> float:
    """Processor seconds of one look-up and its body among entries."""
    table = _make_table(size, size * _UPSTREAMS_PER_ENTRY)
    rng = random.Random(seed)
    return _least(lambda: _look_up(table, rng))


def measure_plan(upstreams: int) -> float:
    """Processor seconds of one `build_plan`."""
    table = _make_table(0, upstreams)
    return _least(lambda: build_plan(table, _REGIONS[0]))


def measure_table(entries: int) -> float:
    """Traced bytes of a configuration table with 4 upstreams per entry."""
    return _traced(
        lambda: _make_table(entries, entries * _UPSTREAMS_PER_ENTRY),
    )


def measure_members(size: int) -> float:
    """Traced bytes of the records and link topology of members."""
    return _traced(lambda: _make_members(size))


def _look_up(table: ConfigurationTable, rng: random.Random) -> None:
    answer = lookup_entries(table, _REGIONS[0], _LIFETIME_S, set(), rng)
    write_lookup(answer)


def _count() -> None:
    turn = 0
    while turn < _LOOP_TURNS:
        turn += 1


def _least(work: Callable[[], object]) -> float:
    work()
    return min(_spent(work) for _ in range(_REPEATS))


def _spent(work: Callable[[], object]) -> float:
    began = time.process_time()
    work()
    return time.process_time() - began


def _traced(make: Callable[[], object]) -> float:
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    # The list keeps what was made until it is measured.
    kept = [make()]
    held = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    kept.clear()
    return held


def _make_members(size: int) -> tuple[list[MemberRecord], Topology]:
    members = [_make_member(index) for index in range(size)]
    topology = Topology(members)
    for member in members:
        topology.neighbours(member.name)
    return [MemberRecord(one, f'{one.name}:1') for one in members], topology


def _make_member(index: int) -> Member:
    region = _REGIONS[index % len(_REGIONS)]
    return Member('e{0:04}'.format(index), region, f'{region}-a')


def _make_table(entries: int, upstreams: int) -> ConfigurationTable:
    found = []
    for region in _REGIONS:
        raw = {'availability_zones': [f'{region}-a']}
        found.append(make_envelope('region', region, raw))
    weights = {'latency_weight': 0.5, 'headroom_weight': 0.5}
    service = {'idempotent': True, 'deadline_ms': 1000, **weights}
    found.append(make_envelope('service', 's', service))
    found.extend(map(_make_upstream, range(upstreams)))
    found.extend(map(_make_entry, range(entries)))
    table = ConfigurationTable()
    table.merge(found)
    return table


def _make_upstream(index: int) -> Envelope:
    raw = make_upstream(_REGIONS[index % len(_REGIONS)])
    return make_envelope('upstream', 's-{0:05}'.format(index), raw)


def _make_entry(index: int) -> Envelope:
    region = _REGIONS[index % len(_REGIONS)]
    raw = {
        'region': region,
        'availability_zone': f'{region}-a',
        'caller_address': '127.0.0.1:80',
    }
    return make_envelope('entry', 'e{0:04}'.format(index), raw)
