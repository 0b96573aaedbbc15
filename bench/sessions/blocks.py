"""Client blocks: memory, look-ups, changes and load by number of blocks."""

import asyncio
import gc
import itertools
import random
import sys
import time
import tracemalloc
from collections.abc import AsyncIterator, Callable, Iterator
from types import FunctionType, ModuleType
from typing import Any

import attrs

from bench.block_ways import WAYS, Row, draw_rows
from bench.measure import Chart, Findings, Measure, Point, Table
from nutmegshore import blocks
from nutmegshore.clock import SystemClock
from nutmegshore.store import MemoryPlatform, MemoryStore
from nutmegshore.steering.plan import Origin

__all__ = ('measure',)

_Sites = tuple[int, ...]
_Found = dict[str, float]

_SIZES = (1_000, 30_000, 700_000)
_SITES = 180
_RANKINGS = 2_000
_SITES_PER_RANKING = 5
_OVERLAYS_PER_KIND = 10
_SHARE = 0.3
#: Tracing makes a load several times slower, so larger tables are weighed.
_MAX_TRACED = 30_000
_LOOKUPS = 50_000
_CHANGES = 1_000
_MB = 1e6
_US = 1e6
_MS = 1e3
_MAX_MB = 40
_MAX_LOOKUP_US = 5
_MAX_LOAD_S = 5
_MAX_SLICE_MS = 10


def measure(seed: int) -> Findings:
    """Measure every size; the goals are those of design section 1.6."""
    by_size = {size: _Session(size, seed).run() for size in _SIZES}
    return Findings(
        measures=_judge(by_size[_SIZES[-1]], seed),
        tables=(_tabulate(by_size),),
        charts=(
            Chart(
                title='Client block look-ups',
                x_label='blocks',
                y_label='microseconds',
                series=_series(by_size),
            ),
        ),
    )


#: Title, bound or None, and key of each figure that has a goal.
_GOALS = (
    ('table_mb', _MAX_MB, 'MB', 'bytes of table and overlays'),
    ('lookup_us', _MAX_LOOKUP_US, 'us', 'a look-up with overlays'),
    ('lookup_added_us', _MAX_LOOKUP_US, 'us', 'the same with additions'),
    ('load_s', _MAX_LOAD_S, 's', 'a load from a store in memory'),
    ('load_gap_ms', _MAX_SLICE_MS, 'ms', 'longest hold of the loop, load'),
    ('load_gap_cpu_ms', _MAX_SLICE_MS, 'ms', 'the same in CPU time'),
    ('fold_gap_ms', _MAX_SLICE_MS, 'ms', 'longest hold of the loop, fold'),
    ('fold_gap_cpu_ms', _MAX_SLICE_MS, 'ms', 'the same in CPU time'),
    ('change_to_fold', None, '1', 'time of a change per time of a fold'),
    ('wrong', 0, 'look-ups', 'answers unlike the compared structures'),
)


def _judge(found: _Found, seed: int) -> tuple[Measure, ...]:
    return tuple(
        Measure(
            name=f'blocks_{key}',
            value=found[key],
            unit=unit,
            goal=text if bound is None else f'{text}: at most {bound}',
            seed=seed,
            is_met=None if bound is None else found[key] <= bound,
            baselines=_baselines(key, found),
        )
        for key, bound, unit, text in _GOALS
    )


def _baselines(key: str, found: _Found) -> _Found:
    suffix = f' {key}'
    return {
        name.removesuffix(suffix): figure
        for name, figure in found.items()
        if name.endswith(suffix)
    }


def _tabulate(by_size: dict[int, _Found]) -> Table:
    names = list(by_size[_SIZES[0]])
    return Table(
        title='Client blocks by size; the machine is shared and noisy',
        columns=('figure', *map(str, by_size)),
        rows=tuple(
            (name, *(_text(found.get(name)) for found in by_size.values()))
            for name in names
        ),
    )


def _text(figure: float | None) -> str:
    return '-' if figure is None else format(figure, '.4g')


def _series(by_size: dict[int, _Found]) -> dict[str, list[Point]]:
    keys = [key for key in by_size[_SIZES[0]] if key.endswith('lookup_us')]
    return {
        key: [(size, found[key]) for size, found in by_size.items()]
        for key in keys
    }


@attrs.define
class _Session:
    """All figures of one number of blocks."""

    size: int
    seed: int
    found: _Found = attrs.field(factory=dict)
    rng: random.Random = attrs.field(init=False)
    addresses: list[bytes] = attrs.field(init=False)
    table: blocks.BlockTable = attrs.field(factory=blocks.BlockTable)

    def run(self) -> _Found:
        """Measure everything."""
        self.rng = random.Random(self.seed)
        rows = draw_rows(self.size, _RANKINGS, self.rng)
        self.addresses = _draw_addresses(rows, self.rng)
        lists = _draw_lists(self.rng)
        asyncio.run(self._load(rows, lists))
        self._look_up()
        self._compare(rows, lists)
        rows.clear()
        asyncio.run(self._change())
        return self.found

    async def _load(
        self,
        rows: list[Row],
        lists: list[_Sites],
    ) -> None:
        memory = MemoryStore()
        clock = SystemClock()
        platform = MemoryPlatform(memory, clock)
        store = blocks.BlockStore(platform, random.Random(self.seed))
        await store.publish(_iter_blocks(rows, lists))
        sizes = [len(stored.body) for stored in memory.by_key.values()]
        self.found['store_objects'] = len(sizes)
        self.found['store_mb'] = sum(sizes) / _MB
        self.found['largest_object_mb'] = max(sizes) / _MB
        replica = blocks.BlockReplica(self.table, store, clock)
        self._record('load', await _watch(replica.load()))
        await self._weigh(store, clock)

    async def _weigh(
        self,
        store: blocks.BlockStore,
        clock: SystemClock,
    ) -> None:
        lookup = blocks.SiteLookup(self.table, _make_overlays(self.seed))
        _time_each(lookup.find, self.addresses)
        self.found['table_mb'] = _count_bytes(lookup) / _MB
        if self.size > _MAX_TRACED:
            return
        tracemalloc.start()
        table = blocks.BlockTable()
        replica = blocks.BlockReplica(table, store, clock)
        await _watch(replica.load())
        lookup = blocks.SiteLookup(table, _make_overlays(self.seed))
        _time_each(lookup.find, self.addresses)
        gc.collect()
        self.found['traced_mb'] = tracemalloc.get_traced_memory()[0] / _MB
        tracemalloc.reset_peak()
        await _watch(replica.load())
        self.found['reload_peak_mb'] = tracemalloc.get_traced_memory()[1] / _MB
        tracemalloc.stop()

    def _look_up(self) -> None:
        lookup = blocks.SiteLookup(self.table, _make_overlays(self.seed))
        known = {address: 1 for address in self.addresses}
        _time_each(lookup.find, self.addresses)
        found_us = _time_each(lookup.find, self.addresses)
        reference_us = _time_each(known.get, self.addresses)
        self.found['lookup_us'] = found_us
        self.found['dict_get_us'] = reference_us
        self.found['lookup_to_dict_get'] = found_us / reference_us
        self.found['table only lookup_us'] = _time_each(
            self.table.find,
            self.addresses,
        )

    def _compare(self, rows: list[Row], lists: list[_Sites]) -> None:
        self.found['wrong'] = 0
        for name, build in WAYS.items():
            way = build(rows)
            self.found[f'{name} table_mb'] = _count_bytes(way) / _MB
            self.found[f'{name} lookup_us'] = _time_each(
                way.find,
                self.addresses,
            )
            for address in self.addresses:
                ranking = way.find(address)
                expected = lists[ranking] if ranking >= 0 else None
                is_wrong = self.table.find_sites(address) != expected
                self.found['wrong'] += is_wrong

    async def _change(self) -> None:
        networks = [
            blocks.Network(bits, number, bits)
            for bits, number in map(blocks.read_address, self.addresses)
        ][:_CHANGES]
        added_us = _time_each(self._put, networks)
        self.found['change_new_us'] = added_us
        self.found['change_old_us'] = _time_each(self._put, networks)
        lookup = blocks.SiteLookup(self.table, _make_overlays(self.seed))
        _time_each(lookup.find, self.addresses)
        self.found['lookup_added_us'] = _time_each(lookup.find, self.addresses)
        self._record('fold', await _watch(self.table.fold(SystemClock())))
        fold_us = self.found['fold_s'] * _US
        self.found['change_to_fold'] = added_us / fold_us
        self.found['removal_us'] = _time_each(self.table.remove, networks)

    def _record(self, work: str, held: '_Held') -> None:
        self.found[f'{work}_s'] = held.seconds
        self.found[f'{work}_gap_ms'] = max(held.gaps) * _MS
        self.found[f'{work}_gap_cpu_ms'] = max(held.cpu_gaps) * _MS

    def _put(self, network: blocks.Network) -> None:
        self.table.put(blocks.Block(network, (1, 2)))


def _draw_lists(rng: random.Random) -> list[_Sites]:
    sites = range(_SITES)
    return [
        tuple(rng.sample(sites, _SITES_PER_RANKING)) for _ in range(_RANKINGS)
    ]


def _draw_addresses(rows: list[Row], rng: random.Random) -> list[bytes]:
    chosen = rng.choices(rows, k=_LOOKUPS)
    return [
        (start + rng.randrange(1 << host_bits)).to_bytes(bits // 8, 'big')
        for bits, start, host_bits, _ in chosen
    ]


def _iter_blocks(
    rows: list[Row],
    lists: list[_Sites],
) -> Iterator[blocks.Block]:
    for bits, start, host_bits, ranking in rows:
        network = blocks.Network(bits, start, bits - host_bits)
        yield blocks.Block(network, lists[ranking])


def _make_overlays(seed: int) -> blocks.Overlays:
    overlays = blocks.Overlays(random.Random(seed), try_acquire=bool)
    site = itertools.count()
    kinds = {
        kind: [
            (next(site), Origin(kind, f'{kind}-{number}', 1, 'bench'))
            for number in range(_OVERLAYS_PER_KIND)
        ]
        for kind in ('drain', 'limit', 'shift')
    }
    overlays.replace(
        drains=[blocks.SiteDrain(*pair) for pair in kinds['drain']],
        limits=[blocks.SiteLimit(*pair) for pair in kinds['limit']],
        shifts=[
            blocks.SiteShift(from_site, _SITES - 1, _SHARE, origin)
            for from_site, origin in kinds['shift']
        ],
    )
    return overlays


def _time_each(call: Callable[[Any], Any], given: list[Any]) -> float:
    """Mean microseconds per call, the loop around it included."""
    started = time.perf_counter()
    for one in given:
        call(one)
    return (time.perf_counter() - started) / len(given) * _US


def _count_bytes(root: Any) -> int:
    """Bytes of everything that an object holds, without code and modules."""
    known = {id(root): root}
    waiting = [root]
    while waiting:
        for held in gc.get_referents(waiting.pop()):
            is_code = isinstance(held, (type, ModuleType, FunctionType))
            if id(held) not in known and not is_code:
                known[id(held)] = held
                waiting.append(held)
    return sum(map(sys.getsizeof, known.values()))


@attrs.define
class _Held:
    """How long work took and held the loop at a time, in seconds.

    CPU time leaves out what other processes of the machine took meanwhile.
    """

    seconds: float = 0
    gaps: list[float] = attrs.field(factory=list)
    cpu_gaps: list[float] = attrs.field(factory=list)

    async def tick(self) -> None:
        """Run in each turn of the loop and note the time since the last."""
        before = (time.perf_counter(), time.thread_time())
        while True:
            await asyncio.sleep(0)
            now = (time.perf_counter(), time.thread_time())
            self.gaps.append(now[0] - before[0])
            self.cpu_gaps.append(now[1] - before[1])
            before = now


async def _watch(work: AsyncIterator[int]) -> _Held:
    """Do the work beside a task that judges how long it holds the loop.

    What the session itself drew is kept from the garbage collector
    meanwhile, which would scan it inside the measured slices.
    """
    gc.collect()
    gc.freeze()
    held = _Held()
    ticker = asyncio.create_task(held.tick())
    started = time.perf_counter()
    counts = [done async for done in work]
    held.seconds = time.perf_counter() - started
    ticker.cancel()
    gc.unfreeze()
    if not counts:
        raise RuntimeError('nothing was done')
    return held
