"""Tests of the in-memory upstreams."""

import random

from nutmegshore.clock import VirtualClock, run_virtual
from nutmegshore.upstreams import (
    MemoryUpstream,
    MemoryUpstreams,
    UpstreamReport,
)


def test_answers_report_leaving_and_load(collector, make_request):
    """Guards against simulations in which upstreams report no state."""

    async def session():
        clock = VirtualClock()
        upstreams = MemoryUpstreams(clock, random.Random(7), lambda name: 0)
        upstreams.by_name['u1'] = MemoryUpstream(slots=1)
        upstreams.by_name['u2'] = MemoryUpstream(slots=1, is_leaving=True)
        found = []
        upstreams.on_report = lambda *report: found.append(report)
        request = make_request(deadline=10)
        for name in ('u1', 'u2'):
            await upstreams.send(name, None, request, collector())
        return found

    assert run_virtual(session) == [
        ('u1', UpstreamReport(busy=0)),
        ('u2', UpstreamReport(is_leaving=True, busy=0)),
    ]
