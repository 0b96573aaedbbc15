"""Tests of the quarantine across several entries."""

import asyncio

import pytest

from nutmegshore.clock import VirtualClock, run_virtual
from nutmegshore.counters import Counters
from nutmegshore.errors import ErrorKind, RequestError
from nutmegshore.peers import Member, MemoryNetwork
from nutmegshore.quarantine import Quarantine, fingerprint

_LOST = ErrorKind.UPSTREAM_LOST
_BAD = fingerprint('orders', 'POST', '/crash', b'body')
_GOOD = fingerprint('orders', 'POST', '/fine', b'body')


class _Entries:
    def __init__(self, size=3):
        self.usable = {f'u{number}' for number in range(12)}
        self.explained = set()
        network = MemoryNetwork()
        network.set_delay('r0', 'r1', 0.055)
        self.quarantines = []
        for number in range(size):
            clock = VirtualClock()
            region_number = number % 2
            region = f'r{region_number}'
            member = Member(f'e{number}', region, region)
            peers = network.join(member, clock)
            self.quarantines.append(self._make_quarantine(peers, clock))

    def lose(self, entry, name, *fingerprints):
        self.usable.discard(name)
        for lost in fingerprints:
            self.quarantines[entry].finished(lost, name, _LOST)

    def allowed(self, entry, request):
        return [
            name
            for name in sorted(self.usable)
            if self.quarantines[entry].is_allowed(request, name)
        ]

    def _make_quarantine(self, peers, clock):
        return Quarantine(
            peers,
            clock,
            Counters(),
            lambda service: self.usable,
            lambda name: name in self.explained,
        )


def _is_quarantined(quarantine, request):
    try:
        quarantine.check(request)
    except RequestError as error:
        return error.kind is ErrorKind.QUARANTINED
    return False


def test_losses_at_two_entries_refuse_at_every_entry():
    """Guards against a crashing request that is repeated at other entries."""

    async def session():
        entries = _Entries(size=9)
        entries.lose(0, 'u0', _BAD)
        await asyncio.sleep(0.2)
        entries.lose(1, entries.allowed(1, _BAD)[0], _BAD)
        await asyncio.sleep(0.2)
        return [_is_quarantined(entry, _BAD) for entry in entries.quarantines]

    assert all(run_virtual(session))


def test_a_suspect_may_run_on_one_upstream_only():
    """Guards against entries that each lose an upstream to one request."""

    async def session():
        entries = _Entries()
        entries.lose(0, 'u0', _BAD)
        await asyncio.sleep(0.2)
        return {tuple(entries.allowed(entry, _BAD)) for entry in range(3)}

    allowed = run_virtual(session)
    assert len(allowed) == 1
    assert len(allowed.pop()) == 1


def test_a_completion_clears_a_request_that_ran_beside_the_crash():
    """Guards against harmless requests that stay refused."""

    async def session():
        entries = _Entries()
        entries.lose(0, 'u0', _BAD, _GOOD)
        await asyncio.sleep(0.2)
        entries.quarantines[1].finished(_GOOD, 'u5', None)
        entries.lose(1, entries.allowed(1, _BAD)[0], _BAD)
        await asyncio.sleep(0.2)
        return [
            (_is_quarantined(entry, _BAD), _is_quarantined(entry, _GOOD))
            for entry in entries.quarantines
        ]

    assert set(run_virtual(session)) == {(True, False)}


def test_a_completed_suspect_may_run_anywhere_again():
    """Guards against a cleared request that is still tied to one upstream."""

    async def session():
        entries = _Entries()
        entries.lose(0, 'u0', _GOOD)
        await asyncio.sleep(0.2)
        entries.quarantines[1].finished(_GOOD, 'u5', None)
        await asyncio.sleep(0.2)
        return [len(entries.allowed(entry, _GOOD)) for entry in range(3)]

    assert run_virtual(session) == [11, 11, 11]


def test_a_request_that_completed_recently_is_not_suspected():
    """Guards against refusing a request that succeeds for many callers."""

    async def session():
        entries = _Entries()
        entries.quarantines[2].finished(_GOOD, 'u7', None)
        entries.lose(0, 'u0', _GOOD)
        entries.lose(1, 'u1', _GOOD)
        await asyncio.sleep(0.3)
        return [_is_quarantined(entry, _GOOD) for entry in entries.quarantines]

    assert not any(run_virtual(session))


def test_an_explained_loss_makes_no_suspect():
    """Guards against quarantining requests whose upstream is drained."""

    async def session():
        entries = _Entries()
        entries.explained = {'u0', 'u1'}
        entries.lose(0, 'u0', _GOOD)
        entries.lose(1, 'u1', _GOOD)
        await asyncio.sleep(0.3)
        return entries.allowed(0, _GOOD)

    assert len(run_virtual(session)) == 10


@pytest.mark.parametrize(
    'other',
    [
        fingerprint('orders', 'POST', '/crash', b'body2'),
        fingerprint('orders', 'PUT', '/crash', b'body'),
        fingerprint('orders', 'POST', '/crash?x', b'body'),
    ],
)
def test_other_content_has_another_fingerprint(other):
    """Guards against harmless requests with a crashing one's fingerprint."""
    assert other != _BAD
