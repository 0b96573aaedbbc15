"""Tests of what waits to be sent to a member, on virtual time."""

import asyncio
import random

import pytest

from nutmegshore.clock import run_virtual
from nutmegshore.gateway.messages import LoadSummary, StateChanges
from nutmegshore.peers import TcpTransport

#: Bytes of a message that compression does not make smaller.
_SUMMARY_BYTES = 20_000
_INTERVAL_S = 0.25
#: Bytes a second that links carry, a third of what the summaries need.
_NARROW_LINK = 27_000


def _make_summary(sent_at):
    noise = random.Random(sent_at).randbytes(_SUMMARY_BYTES)
    return LoadSummary([noise], {}, {}, sent_at=sent_at)


def _now():
    return asyncio.get_running_loop().time()


def _far_pair(net):
    """A member and another one that it reaches over a third."""
    first = net.meshes['m00']
    far = first.live().keys() - {'m00', *first.neighbours()}
    return first, min(far)


def _near_pair(net):
    first = net.meshes['m00']
    return first, first.neighbours()[0]


@pytest.mark.parametrize(
    ('count', 'choose'), [(3, _near_pair), (30, _far_pair)]
)
def test_a_summary_that_waits_is_replaced_by_the_next(net, count, choose):
    """Guards against DRAIN: summaries were queued one behind the other in a
    narrow link, so that each came later than the one before."""

    async def session():
        net.start_many(count)
        await asyncio.sleep(10)
        sender, name = choose(net)
        net.network.bytes_per_s = _NARROW_LINK
        ages = []
        net.meshes[name].subscribe(
            LoadSummary, lambda _, body: ages.append(_now() - body.sent_at)
        )
        for _ in range(60):
            sender.send(name, _make_summary(_now()))
            await asyncio.sleep(_INTERVAL_S)
        return ages, net.failures()

    ages, failures = run_virtual(session)
    assert not failures
    assert len(ages) > 10
    assert max(ages) < 2


def test_changes_that_wait_are_all_sent_in_order(net):
    """Guards against changes that replace each other in a narrow link."""

    async def session():
        net.start_many(3)
        await asyncio.sleep(10)
        sender, name = _near_pair(net)
        net.network.bytes_per_s = 1_000
        came = []
        net.meshes[name].subscribe(
            StateChanges, lambda _, body: came.append(body.position)
        )
        for position in range(1, 21):
            sender.send(name, StateChanges('servers/', 0, position, []))
        await asyncio.sleep(2)
        return came

    assert run_virtual(session) == list(range(1, 21))


def test_a_summary_in_a_socket_is_replaced_by_the_next():
    """Guards against a queue over real sockets that grows while the other end
    does not read."""

    async def session():
        accepted = asyncio.Queue()
        server = TcpTransport('127.0.0.1', 0)
        server.listen(accepted.put_nowait)
        client = TcpTransport('127.0.0.1', 0)
        near = await client.dial(server.address)
        far = await accepted.get()
        near.is_proven = True
        far.is_proven = True
        for number in range(1, 2_001):
            assert near.send(_make_summary(number))
            await asyncio.sleep(0)
        came = []
        async with asyncio.timeout(20):
            while not came or came[-1] < 2_000:
                came.append((await far.read()).sent_at)
        near.close()
        far.close()
        await asyncio.gather(server.stop(), client.stop())
        return came

    came = asyncio.run(session())
    assert came == sorted(came)
    assert len(came) < 1_000


def _send_changes(mesh, name, position):
    noise = random.Random(position).randbytes(_SUMMARY_BYTES)
    changes = StateChanges('servers/', 0, position, [noise], sent_at=_now())
    mesh.send(name, changes)


@pytest.mark.parametrize(
    ('count', 'choose', 'bound_s'), [(3, _near_pair, 3), (30, _far_pair, 5.5)]
)
def test_changes_that_waited_too_long_are_dropped(net, count, choose, bound_s):
    """Guards against DRAIN: changes that no receiver waited for any more went
    before newer ones in a narrow link."""

    async def session():
        net.start_many(count)
        await asyncio.sleep(10)
        sender, name = choose(net)
        net.network.bytes_per_s = _NARROW_LINK
        ages = []
        net.meshes[name].subscribe(
            StateChanges, lambda _, body: ages.append(_now() - body.sent_at)
        )
        for position in range(60):
            _send_changes(sender, name, position)
            await asyncio.sleep(_INTERVAL_S)
        return ages, net.failures()

    ages, failures = run_virtual(session)
    assert not failures
    assert len(ages) > 10
    # Up to 2 s in the queue of each hop, and 0.75 s to leave it.
    assert max(ages) < bound_s


def test_a_late_link_is_logged_once_and_counted(net, log_lines):
    """Guards against a full link that shows only by what it delays."""

    async def session():
        net.start_many(3)
        await asyncio.sleep(10)
        sender, name = _near_pair(net)
        net.network.bytes_per_s = _NARROW_LINK
        for position in range(40):
            _send_changes(sender, name, position)
            await asyncio.sleep(_INTERVAL_S)
        await asyncio.sleep(10)
        counters = sender.components.counters
        expired = counters.total('link_messages_dropped', reason='expired')
        return name, counters.total('links_late'), expired

    name, late, expired = run_virtual(session)
    assert late == 1
    assert expired > 10
    lines = [line for line in log_lines if line.get('peer') == name]
    assert [line['event'] for line in lines] == ['link late', 'link in time']
    assert lines[0]['waiting_s'] > 1
