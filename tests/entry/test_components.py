"""Tests of an entry's components beside faults of its own code."""

import random

import pytest

from nutmegshore.clock import VirtualClock, run_virtual
from nutmegshore.entry import EntryComponents, EntryDependencies
from nutmegshore.peers import Member, MemoryNetwork
from nutmegshore.store import MemoryPlatform, MemoryStore
from nutmegshore.upstreams import MemoryUpstreams, UpstreamReport


def _fail(*given):
    raise ZeroDivisionError('of a test')


def _with_components(use):
    async def session():
        clock = VirtualClock()
        rng = random.Random(7)
        dependencies = EntryDependencies(
            MemoryPlatform(MemoryStore(), clock),
            MemoryNetwork().join(Member('e1', 'west', 'west-a'), clock),
            MemoryUpstreams(clock, rng, lambda name: 0),
            clock,
            rng,
        )
        use(EntryComponents(dependencies))

    run_virtual(session)


@pytest.mark.expects_faults
@pytest.mark.parametrize(
    ('method', 'report'),
    [
        ('record_leaving', UpstreamReport(is_leaving=True)),
        ('record_report', UpstreamReport(busy=1)),
    ],
)
def test_a_fault_in_a_report_costs_no_answer(method, report, monkeypatch):
    """Guards against losing a whole answer to the load that its head tells:
    the report is recorded between the head and the body."""

    def use(components):
        monkeypatch.setattr(components.steering, method, _fail)
        components.record_report('u1', report)

    _with_components(use)


@pytest.mark.expects_faults
def test_a_fault_in_the_word_to_peers_ends_no_stop(monkeypatch):
    """Guards against a stop that cuts all requests since the peers could not
    be told of it."""

    def use(components):
        monkeypatch.setattr(components.dependencies.peers, 'leave', _fail)
        components.leave()

    _with_components(use)
