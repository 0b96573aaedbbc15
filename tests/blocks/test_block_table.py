"""Tests of the longest-prefix-match table against a naive search."""

import functools
import itertools
import socket
import types

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from nutmegshore.blocks import BlockTable, Network
from nutmegshore.blocks import table as table_module
from nutmegshore.blocks.slices import ITEMS_PER_SLICE
from nutmegshore.clock import Clock, VirtualClock, run_virtual

#: Few distinct bit positions at the top, in the middle and at the end, so that
#: nested blocks and blocks with the same start are common.
_BIT_POSITIONS = types.MappingProxyType(
    {
        32: (31, 24, 23, 8, 1, 0),
        128: (127, 96, 65, 64, 63, 32, 1, 0),
    },
)


def _addresses(bits):
    """All addresses with no bits set outside the positions."""
    addresses = [0]
    for position in _BIT_POSITIONS[bits]:
        addresses.extend([address + (1 << position) for address in addresses])
    return addresses


def _networks(bits):
    host_bits = {0, *_BIT_POSITIONS[bits], bits}
    return {
        Network(bits, address >> count << count, bits - count)
        for count in host_bits
        for address in _addresses(bits)
    }


# Drawing a whole network is much cheaper than drawing each of its bits.
_NETWORKS = st.sampled_from(sorted(_networks(32)) + sorted(_networks(128)))
_SITES = st.lists(st.integers(0, 179), min_size=1, max_size=3, unique=True)


@st.composite
def _plans(draw):
    """Two lists of changes over few networks, so that they often collide."""
    pool = st.sampled_from(draw(st.lists(_NETWORKS, min_size=1, max_size=9)))
    sites = st.one_of(st.none(), _SITES.map(tuple))
    changes = st.lists(st.tuples(pool, sites), max_size=20)
    return draw(changes), draw(changes)


_PROBES = st.sampled_from(
    [
        (bits, address)
        for bits in _BIT_POSITIONS
        for address in _addresses(bits)
    ],
)


def _apply(table, expected, changes):
    for network, sites in changes:
        table.change(network, sites)
        if sites is None:
            expected.pop(network, None)
        else:
            expected[network] = sites


def _probes(expected, drawn):
    for network in expected:
        end = network.start + (1 << network.host_bits)
        for address in (network.start - 1, network.start, end - 1, end):
            if 0 <= address < 1 << network.bits:
                yield network.bits, address
    yield from drawn


def _check(naive, table, expected, drawn=()):
    for bits, address in _probes(expected, drawn):
        ranking = table.find_number(bits, address)
        rankings = table.block_set.rankings
        found = None if ranking < 0 else rankings.get_sites(ranking)
        assert found == naive(expected, bits, address)
    networks = [
        block.network for bits in (32, 128) for block in table.iter_blocks(bits)
    ]
    assert networks == sorted(expected)


def _fold(table, between=()):
    async def session():
        remaining_steps = list(between)
        async for _ in table.fold(VirtualClock()):
            if remaining_steps:
                remaining_steps.pop(0)()

    run_virtual(session)


@pytest.fixture
def small_slices(monkeypatch):
    """Slices of three blocks, so that small tables need several."""

    def iter_small_slices(rows, clock):
        return unpatched(rows, clock, 3)

    unpatched = table_module.iter_slices
    monkeypatch.setattr(table_module, 'iter_slices', iter_small_slices)


_EXAMPLES = settings(
    derandomize=True,
    max_examples=150,
    deadline=None,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)


@_EXAMPLES
@given(_plans(), st.lists(_PROBES))
def test_every_address_finds_its_longest_block(naive, plan, drawn):
    """Guards against a wrong block after changes, a fold and more changes."""
    table = BlockTable()
    expected = {}
    before, after = plan
    _apply(table, expected, before)
    _check(naive, table, expected, drawn)
    _fold(table)
    _check(naive, table, expected, drawn)
    _apply(table, expected, after)
    _check(naive, table, expected, drawn)
    _fold(table)
    _check(naive, table, expected, drawn)


@_EXAMPLES
@given(_plans())
def test_changes_during_a_fold_stay(naive, small_slices, plan):
    """Guards against a fold that reverts a change made while it ran."""
    table = BlockTable()
    expected = {}
    before, during = plan
    _apply(table, expected, before)
    steps = [
        functools.partial(_apply, table, expected, [change])
        for change in during
    ]
    _fold(table, steps)
    _check(naive, table, expected)


def test_a_fold_empties_the_additions_and_drops_unused_rankings(make_block):
    """Guards against unbounded growth of additions and old rankings."""
    table = BlockTable()
    for site in range(table_module.TABLE_FOLD_THRESHOLD):
        table.put(make_block('10.0.0.0/8', site))
        table.put(make_block(f'2001:db8:{site:x}::/48', 7))
    assert table.is_fold_due
    _fold(table)
    assert not table.is_fold_due
    assert len(table.block_set.rankings) == 2


def test_a_load_that_begins_during_a_fold_supersedes_it(make_block):
    """Guards against a fold that overwrites the loaded table."""
    table = BlockTable()
    table.put(make_block('10.0.0.0/8', 1))
    loads = []

    def load():
        rebuild = table.begin_rebuild()
        loads.append(table.finish_rebuild(rebuild))

    _fold(table, [load])
    assert loads == [True]
    assert table.find_sites(socket.inet_aton('10.0.0.1')) is None


def test_an_interrupted_fold_changes_nothing(make_block):
    """Guards against a table that can never be folded again."""
    table = BlockTable()
    table.put(make_block('10.0.0.0/8', 1))

    async def session():
        fold = table.fold(VirtualClock())
        await anext(fold)
        await fold.aclose()

    run_virtual(session)
    _fold(table)
    assert not table.block_set.v4.added_count
    assert table.find_sites(socket.inet_aton('10.0.0.1')) == (1,)


class _CountingClock(Clock):
    def __init__(self, count):
        self._count = count
        self.counts = [0]
        self.is_running = False

    def now(self):
        return 0

    def wall(self):
        return 0

    async def sleep(self, seconds):
        self.counts.append(self._count())


def test_a_fold_yields_to_the_event_loop_after_each_slice(
    make_block, monkeypatch
):
    """Guards against a fold that blocks the event loop for the whole table."""
    table = BlockTable()
    appended = []
    append = table_module.Rebuild.append

    def counting_append(rebuild, bits, row):
        appended.append(row)
        append(rebuild, bits, row)

    monkeypatch.setattr(table_module.Rebuild, 'append', counting_append)
    for site in range(3 * ITEMS_PER_SLICE):
        table.put(make_block(f'2001:db8:{site:x}::/48', 7))
    clock = _CountingClock(lambda: len(appended))

    async def session():
        async for _ in table.fold(clock):
            clock.is_running = True

    run_virtual(session)
    steps = [
        after - before for before, after in itertools.pairwise(clock.counts)
    ]
    assert max(steps) == ITEMS_PER_SLICE
    assert sum(steps) == 3 * ITEMS_PER_SLICE
