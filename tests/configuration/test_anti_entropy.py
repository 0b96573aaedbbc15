"""Tests of the comparison of tables by digests."""

from nutmegshore.clock import VirtualClock, run_virtual
from nutmegshore.configuration import ConfigurationTable
from nutmegshore.configuration.anti_entropy import AntiEntropy
from nutmegshore.configuration.messages import Digest
from nutmegshore.counters import Counters
from nutmegshore.peers import Member, MemoryNetwork


def _caught_up_after(steps):
    """Return whether the table is caught up after each step."""

    async def session():
        network = MemoryNetwork()
        clock = VirtualClock()
        peers = network.join(Member('a', 'west', 'a'), clock)
        network.join(Member('b', 'west', 'a'), clock)
        table = ConfigurationTable()
        anti_entropy = AntiEntropy(table, peers, clock, Counters())
        table.subscribe(
            lambda newer: anti_entropy.history.record(table.digest(), newer, 0),
        )
        results = []
        for step in steps:
            step(anti_entropy, table)
            results.append(anti_entropy.is_caught_up())
        return results

    return run_virtual(session)


def test_a_neighbour_without_digest_prevents_readiness():
    """Guards against readiness before each neighbour sent a digest."""
    steps = [
        lambda anti_entropy, table: None,
        lambda anti_entropy, table: anti_entropy.handle_digest(
            'b',
            Digest(table.digest(), True),
        ),
    ]
    assert _caught_up_after(steps) == [False, True]


def test_entries_of_a_ready_neighbour_must_be_merged(declare):
    """Guards against readiness without an entry that a neighbour has."""
    envelope = declare('drain', 'd', {'region': 'west'})
    other = ConfigurationTable()
    other.merge([envelope])
    steps = [
        lambda anti_entropy, table: anti_entropy.handle_digest(
            'b',
            Digest(other.digest(), True),
        ),
        lambda anti_entropy, table: table.merge([envelope]),
        # The neighbour is now behind, which does not prevent readiness.
        lambda anti_entropy, table: table.merge(
            [declare('drain', 'd', None, generation=2)],
        ),
    ]
    assert _caught_up_after(steps) == [False, True, True]


def test_an_unready_neighbour_is_not_waited_for():
    """Guards against a deadlock when all members boot at once."""
    steps = [
        lambda anti_entropy, table: anti_entropy.handle_digest(
            'b', Digest(b'other', False)
        ),
    ]
    assert _caught_up_after(steps) == [True]


def test_entries_that_this_version_rejects_do_not_block():
    """Guards against a rolling upgrade in which no member becomes ready."""

    def answer(anti_entropy, table):
        anti_entropy.finish_request('b')

    steps = [
        lambda anti_entropy, table: anti_entropy.handle_digest(
            'b', Digest(b'newer', True)
        ),
        answer,
    ]
    assert _caught_up_after(steps) == [False, True]
