"""Tests of the at-most-once records."""

import asyncio
import random

import pytest

from nutmegshore.clock import VirtualClock, run_virtual
from nutmegshore.counters import Counters
from nutmegshore.errors import ErrorKind, RequestError
from nutmegshore.once import Claim, KeyedRequest, OnceRecords, RecordedAnswer
from nutmegshore.peers import Member, MemoryNetwork
from nutmegshore.store import MemoryPlatform, MemoryStore

_ANSWER = RecordedAnswer(201, (('Location', '/1'),), b'made')


class _Cluster:
    """Entries that share one store and one network."""

    def __init__(self, size=3):
        self.store = MemoryStore()
        self.network = MemoryNetwork()
        self.clocks = {}
        self.platforms = {}
        self.records = {}
        for number in range(size):
            self.start(f'e{number}')

    def start(self, name, incarnation=1):
        clock = VirtualClock()
        platform = MemoryPlatform(self.store, clock)
        member = Member(name, 'west', 'west-a', incarnation)
        peers = self.network.join(member, clock)
        self.clocks[name] = clock
        self.platforms[name] = platform
        self.records[name] = OnceRecords(
            platform,
            peers,
            clock,
            Counters(),
            random.Random(f'{name}-{incarnation}'),
        )

    async def begin(self, name, key='k', digest='d', wait_s=2):
        deadline = self.clocks[name].now() + wait_s
        request = KeyedRequest('orders', '', key, digest, deadline)
        return await self.records[name].begin(request)


async def _kind(awaitable):
    with pytest.raises(RequestError) as caught:
        await awaitable
    return caught.value.kind


def test_only_one_of_many_entries_gets_the_claim():
    """Guards against a second run of a repeat sent through another entry."""

    async def session():
        cluster = _Cluster(size=5)
        results = await asyncio.gather(
            *(cluster.begin(name) for name in cluster.records),
            return_exceptions=True,
        )
        return results

    results = run_virtual(session)
    claims = [found for found in results if isinstance(found, Claim)]
    kinds = {found.kind for found in results if found not in claims}
    assert len(claims) == 1
    assert kinds == {ErrorKind.DUPLICATE_IN_FLIGHT}


def test_a_repeat_gets_the_answer_of_the_first():
    """Guards against a repeat that runs after the first has finished."""

    async def session():
        cluster = _Cluster()
        claim = await cluster.begin('e0')
        claim.finish(_ANSWER)
        await asyncio.sleep(1)
        return [await cluster.begin(name) for name in cluster.records]

    assert run_virtual(session) == [_ANSWER, _ANSWER, _ANSWER]


def test_a_repeat_in_flight_waits_for_the_owner():
    """Guards against a second run while the first is in flight."""

    async def session():
        cluster = _Cluster()
        claim = await cluster.begin('e0')
        repeat = asyncio.ensure_future(cluster.begin('e1'))
        local = asyncio.ensure_future(cluster.begin('e0'))
        await asyncio.sleep(1)
        claim.finish(_ANSWER)
        return await asyncio.gather(repeat, local)

    assert run_virtual(session) == [_ANSWER, _ANSWER]


def test_outcome_is_unknown_after_the_owner_died():
    """Guards against "not run" or a second run after an entry died."""

    async def session():
        cluster = _Cluster()
        await cluster.begin('e0')
        cluster.network.leave('e0')
        kinds = [await _kind(cluster.begin('e1'))]
        cluster.start('e0', incarnation=2)
        kinds.append(await _kind(cluster.begin('e1')))
        kinds.append(await _kind(cluster.begin('e0')))
        return set(kinds)

    assert run_virtual(session) == {ErrorKind.OUTCOME_UNKNOWN}


def test_an_unknown_outcome_is_never_run_again():
    """Guards against a repeat after the upstream was lost."""

    async def session():
        cluster = _Cluster()
        claim = await cluster.begin('e0')
        claim.abandon()
        kinds = [await _kind(cluster.begin(name)) for name in cluster.records]
        return set(kinds)

    assert run_virtual(session) == {ErrorKind.OUTCOME_UNKNOWN}


def test_only_one_entry_claims_a_released_record():
    """Guards against two takeovers of a request that did not run."""

    async def session():
        cluster = _Cluster(size=5)
        claim = await cluster.begin('e0')
        claim.release()
        await asyncio.sleep(1)
        for number, platform in enumerate(cluster.platforms.values()):
            platform.faults.delay_s = (number + 1) / 10
        return await asyncio.gather(
            *(cluster.begin(name) for name in cluster.records),
            return_exceptions=True,
        )

    results = run_virtual(session)
    assert len([one for one in results if isinstance(one, Claim)]) == 1


def test_a_platform_outage_is_not_reported_as_not_run():
    """Guards against "not run" for a repeat of a request that ran."""

    async def session():
        cluster = _Cluster()
        cluster.store.faults.is_down = True
        with pytest.raises(RequestError) as caught:
            await cluster.begin('e0')
        return caught.value

    error = run_virtual(session)
    assert error.kind is ErrorKind.RECORD_UNAVAILABLE
    assert error.answer.outcome.value == 'unknown'


def test_a_claim_whose_write_answer_was_lost_can_be_taken_over():
    """Guards against a key that stays unusable though nothing was sent."""

    async def session():
        cluster = _Cluster()
        cluster.platforms['e0'].faults.delay_s = 1
        first = asyncio.ensure_future(_kind(cluster.begin('e0')))
        await asyncio.sleep(0.7)
        cluster.store.faults.is_down = True
        kind = await first
        cluster.store.faults.is_down = False
        return kind, await cluster.begin('e0')

    kind, claim = run_virtual(session)
    assert kind is ErrorKind.RECORD_UNAVAILABLE
    assert isinstance(claim, Claim)


def test_another_request_under_the_same_key_is_refused():
    """Guards against an answer that belongs to another request."""

    async def session():
        cluster = _Cluster()
        claim = await cluster.begin('e0')
        claim.finish(_ANSWER)
        return await _kind(cluster.begin('e1', digest='other'))

    assert run_virtual(session) is ErrorKind.KEY_REUSED


def test_a_result_is_written_after_an_outage():
    """Guards against losing an answer while the store is down."""

    async def session():
        cluster = _Cluster()
        claim = await cluster.begin('e0')
        cluster.store.faults.is_down = True
        claim.finish(_ANSWER)
        await asyncio.sleep(60)
        cluster.store.faults.is_down = False
        await asyncio.sleep(60)
        cluster.network.leave('e0')
        return await cluster.begin('e1')

    assert run_virtual(session) == _ANSWER


@pytest.mark.parametrize('seed', range(20))
def test_no_fault_schedule_runs_a_key_twice(seed):
    """Guards against a second run under combined faults."""
    runs = run_virtual(lambda: _faulty_session(seed))
    assert max(runs.values()) == 1


async def _faulty_session(seed):
    rng = random.Random(seed)
    cluster = _Cluster(size=4)
    runs = dict.fromkeys(('k0', 'k1', 'k2'), 0)
    faults = asyncio.ensure_future(_cause_faults(cluster, rng))
    await asyncio.gather(
        *(_caller(cluster, rng, key, runs) for key in runs for _ in range(3)),
    )
    faults.cancel()
    return {**runs, 'none': 1}


async def _caller(cluster, rng, key, runs):
    for _ in range(6):
        name = rng.choice(sorted(cluster.records))
        try:
            found = await cluster.begin(name, key)
        except RequestError:
            await asyncio.sleep(rng.random())
            continue
        if isinstance(found, RecordedAnswer):
            return
        await asyncio.sleep(rng.random())
        _end(cluster, name, found, rng.choice(('finish', 'release', 'die')))
        if found.record is None or found.record.answer is not None:
            runs[key] += 1


def _end(cluster, name, claim, end):
    if end == 'finish':
        claim.finish(_ANSWER)
    elif end == 'release':
        claim.release()
    else:
        cluster.start(name, incarnation=2)


async def _cause_faults(cluster, rng):
    fault_makers = (_toggle_store, _lose_answers, _slow_down, _pause, _cut)
    while True:
        await asyncio.sleep(rng.random())
        name = rng.choice(sorted(cluster.clocks))
        rng.choice(fault_makers)(cluster, name, rng)


def _toggle_store(cluster, name, rng):
    cluster.store.faults.is_down = not cluster.store.faults.is_down


def _lose_answers(cluster, name, rng):
    cluster.store.faults.lost_answers += 2


def _slow_down(cluster, name, rng):
    cluster.platforms[name].faults.delay_s = rng.random()


def _pause(cluster, name, rng):
    cluster.clocks[name].pause(rng.random() * 5)


def _cut(cluster, name, rng):
    cluster.network.heal()
    cluster.network.cut(name, rng.choice(sorted(cluster.clocks)))
