"""Tests of how replicas apply entries of the store."""

import json

import pytest

from nutmegshore.clock import VirtualClock, run_virtual
from nutmegshore.counters import Counters
from nutmegshore.gateway.replicas import (
    ConfigurationReplica,
    EvacuationReplica,
    ReplicaContext,
    UpstreamReplica,
)
from nutmegshore.gateway.state import FleetState
from nutmegshore.store import Change, StoredObject


def _entry(name, version, state='ready', born=1, **changes):
    spec = {
        'Addr': '10.0.0.9:80',
        'born': born,
        'Info': {'Service': 'orders', 'Zone': 'west-a', 'Slots': 3},
        'Status': {'State': state, 'Sequence': 1, 'ColdLeftS': 0},
        **changes,
    }
    return _stored(f'servers/{name}', version, spec)


def _stored(key, version, spec):
    body = json.dumps({'Spec': spec, 'Status': None}).encode()
    return StoredObject(key, body, 'uid', version, '')


def _configuration(text, version):
    return _stored('config/main', version, {'Version': text})


class Kept:
    """A state with its three replicas, and the upstreams reported gone."""

    def __init__(self, log):
        self.state = FleetState(VirtualClock())
        self.gone = []
        zones = {'west-a': 'west'}
        context = ReplicaContext(self.state, log, Counters(), VirtualClock())
        self.upstreams = UpstreamReplica(context, zones, self.gone.append)
        self.configurations = ConfigurationReplica(context)
        self.evacuations = EvacuationReplica(context)
        self.state.replace_evacuated(())

    def change(self, stored):
        self.upstreams.change(
            Change(stored.key, stored),
            is_after_outage=False,
        )

    def names(self):
        return {one.instance for one in self.state.usable('orders')}


@pytest.fixture
def kept(make_log):
    """Function that builds a state with its replicas."""
    return lambda: Kept(make_log(VirtualClock()))


def test_forged_entries_are_rejected_and_logged(kept, lines):
    """Guards against work sent to an entry of another writer, and against
    one bad entry that hides the good ones."""

    async def session():
        made = kept()
        listed = [_entry('i-1', 5), _entry('i-2', 6, Addr=7)]
        made.upstreams.replace(listed, is_after_outage=False)
        made.upstreams.replace(listed, is_after_outage=False)
        assert made.names() == {'i-1'}

    run_virtual(session)
    assert [line['key'] for line in lines.named('entry_rejected')] == [
        'servers/i-2'
    ]


def test_a_draining_upstream_is_logged_once(kept, lines):
    """Guards against a departure that the log does not explain."""

    async def session():
        made = kept()
        made.change(_entry('i-1', 5))
        made.change(_entry('i-1', 6, state='draining'))
        made.change(_entry('i-1', 7, state='draining'))
        assert not made.names()

    run_virtual(session)
    changes = [line['change'] for line in lines.named('upstream_changed')]
    assert changes == ['ready', 'draining']


def test_a_new_start_under_the_same_id_forgets_the_old_one(kept):
    """Guards against counts and warm objects of an earlier process."""

    async def session():
        made = kept()
        made.change(_entry('i-1', 5, born=1))
        made.change(_entry('i-1', 6, born=2))
        assert made.gone == ['i-1']
        assert made.names() == {'i-1'}

    run_virtual(session)


def test_an_entry_that_turns_unreadable_is_used_no_more(kept):
    """Guards against trusting what an entry said before it was overwritten."""

    async def session():
        made = kept()
        made.change(_entry('i-1', 5))
        made.change(_entry('i-1', 6, Info='x'))
        assert not made.names()

    run_virtual(session)


def test_a_broken_configuration_leaves_the_old_one_in_force(kept, lines):
    """Guards against a daemon without routes after a bad write."""

    async def session():
        made = kept()
        made.configurations.replace(
            [_configuration('0000000a', 5)],
            is_after_outage=False,
        )
        for text, version in (('00000009', 6), ('zz', 7), (8, 8)):
            stored = _configuration(text, version)
            made.configurations.change(
                Change(stored.key, stored),
                is_after_outage=False,
            )
        assert made.state.configuration.version == 10

    run_virtual(session)
    assert len(lines.named('configuration_rejected')) == 3
    assert len(lines.named('configuration_adopted')) == 1


def test_an_evacuation_ends_with_its_object(kept):
    """Guards against a zone that stays empty after it was taken back."""

    async def session():
        made = kept()
        made.change(_entry('i-1', 5))
        stored = _stored('evacuations/west-a', 6, {})
        made.evacuations.change(
            Change(stored.key, stored),
            is_after_outage=False,
        )
        assert not made.names()
        made.evacuations.change(
            Change(stored.key, None),
            is_after_outage=False,
        )
        assert made.names() == {'i-1'}

    run_virtual(session)


def test_an_evacuation_whose_body_is_odd_holds(kept):
    """Guards against sending requests to a zone whose evacuation cannot be
    read, and against one that names no zone and hides the others."""

    async def session():
        made = kept()
        made.change(_entry('i-1', 5))
        odd = StoredObject('evacuations/west-a', b'[[', '', 0, '')
        unnamed = StoredObject('evacuations/', b'{}', '', 7, '')
        made.evacuations.replace([unnamed, odd], is_after_outage=False)
        assert made.state.evacuated == {'west-a'}
        assert not made.names()

    run_virtual(session)
