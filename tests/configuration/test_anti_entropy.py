"""Tests of comparing tables by digests."""

from nutmegshore.clock import VirtualClock, run_virtual
from nutmegshore.configuration import ConfigurationTable
from nutmegshore.configuration.anti_entropy import AntiEntropy
from nutmegshore.configuration.messages import Digest
from nutmegshore.counters import Counters
from nutmegshore.peers import Member, MemoryNetwork


def _covered(steps):
    """Whether all is covered after each step."""

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
        found = []
        for step in steps:
            step(anti_entropy, table)
            found.append(anti_entropy.is_covered())
        return found

    return run_virtual(session)


def test_a_neighbour_that_said_nothing_is_not_covered():
    """Guards against readiness before the neighbours are asked."""
    steps = [
        lambda anti_entropy, table: None,
        lambda anti_entropy, table: anti_entropy.handle_digest(
            'b',
            Digest(table.digest(), True),
        ),
    ]
    assert _covered(steps) == [False, True]


def test_what_a_ready_neighbour_has_must_be_merged(declare):
    """Guards against readiness with less than a neighbour has."""
    envelope = declare('drain', 'd', {'region': 'west'})
    other = ConfigurationTable()
    other.merge([envelope])
    steps = [
        lambda anti_entropy, table: anti_entropy.handle_digest(
            'b',
            Digest(other.digest(), True),
        ),
        lambda anti_entropy, table: table.merge([envelope]),
        # The neighbour is behind now, which is no reason to wait.
        lambda anti_entropy, table: table.merge(
            [declare('drain', 'd', None, generation=2)],
        ),
    ]
    assert _covered(steps) == [False, True, True]


def test_an_unready_neighbour_is_not_waited_for():
    """Guards against a boot of all that waits for itself."""
    steps = [
        lambda anti_entropy, table: anti_entropy.handle_digest(
            'b', Digest(b'other', False)
        ),
    ]
    assert _covered(steps) == [True]


def test_entries_that_this_version_rejects_do_not_block():
    """Guards against a rolling upgrade in which nobody gets ready."""

    def answer(anti_entropy, table):
        anti_entropy.end_answer('b')

    steps = [
        lambda anti_entropy, table: anti_entropy.handle_digest(
            'b', Digest(b'newer', True)
        ),
        answer,
    ]
    assert _covered(steps) == [False, True]
