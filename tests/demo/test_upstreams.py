"""Tests of the stand-in upstreams over real sockets."""

import asyncio
import random

import attrs
import pytest

from nutmegshore.clock import SystemClock
from nutmegshore.demo.http_request import NotAccepted, send_request
from nutmegshore.demo.ledgers import RunLedger
from nutmegshore.demo.upstreams import StandinUpstream, UpstreamPlace

_PLACE = UpstreamPlace('o1', 'orders', 'west', 1, False, 0.05, 10)
_HEAD = 'GET /orders HTTP/1.1\r\nConnection: close\r\nDemo-Request-Id: c1\r\n'


def _make(ledger, **fields):
    upstream = StandinUpstream(
        attrs.evolve(_PLACE, **fields),
        ledger,
        SystemClock(),
        random.Random(7),
    )
    upstream.start()
    return upstream


def _ask(upstream):
    return send_request(upstream.address, f'{_HEAD}Host: demo\r\n\r\n', b'', 5)


def test_a_full_queue_refuses_and_says_that_nothing_ran():
    """Guards against refusals that the ledger counts as runs."""

    async def session():
        ledger = RunLedger()
        upstream = _make(ledger)
        upstream.is_leaving = True
        came = await asyncio.gather(*(_ask(upstream) for _ in range(7)))
        upstream.kill()
        return ledger, came

    ledger, came = asyncio.run(session())
    refused = [one for one in came if one.status == 503]
    said = [one.headers['nutmegshore-not-run'] for one in refused]
    assert said == ['1', '1']
    assert len(ledger.runs) == ledger.most_inside['o1'] == 5
    assert all(one.headers['nutmegshore-leaving'] for one in came)


def test_a_kill_resets_and_the_upstream_comes_back_on_its_port():
    """Guards against a kill that answers, or that queued requests survive."""

    async def session():
        ledger = RunLedger()
        upstream = _make(ledger)
        asked = [asyncio.create_task(_ask(upstream)) for _ in range(2)]
        while not ledger.most_inside['o1'] == 2:
            await asyncio.sleep(0)
        upstream.kill()
        came = await asyncio.gather(*asked)
        with pytest.raises(NotAccepted):
            await _ask(upstream)
        upstream.start()
        # The new requests take longer than the killed one had left.
        again = [await _ask(upstream) for _ in range(10)]
        upstream.kill()
        return ledger, came, again

    ledger, came, again = asyncio.run(session())
    assert [one.failure for one in came] == ['reset', 'reset']
    assert {one.status for one in again} == {200}
    assert len(ledger.runs) == 1 + len(again)
