"""Tests of discovering gateways through the store."""

import json
import random

import pytest

from nutmegshore.clock import VirtualClock, run_virtual
from nutmegshore.counters import Counters
from nutmegshore.gateway.registry import Registry, RegistryDependencies
from nutmegshore.store import MemoryPlatform, MemoryStore

_GOOD = '10.0.0.2:7620'
_ODD_BODIES = (
    [],
    'x',
    7,
    {},
    {'address': {}},
    {'address': 7},
    {'address': '10.0.0.3:99999'},
    {'address': '10.0.0.3:-1'},
    {'address': '0.0.0.0:80'},
    {'address': 'x'},
)


@pytest.mark.parametrize('odd', _ODD_BODIES, ids=str)
def test_an_odd_entry_names_no_gateway(odd):
    """Guards against dialling an address that no connection can have."""

    async def session():
        clock = VirtualClock()
        store = MemoryPlatform(MemoryStore(), clock)
        for name, body in (('g2', {'address': _GOOD}), ('g3', odd)):
            encoded = json.dumps(body).encode()
            await store.write(f'gateways/{name}', encoded, None, name)
        dependencies = RegistryDependencies(
            store, clock, random.Random(7), Counters()
        )
        registry = Registry(dependencies, 'g1', '10.0.0.1:7620', ())
        assert await registry.read_seeds() == {'g2': _GOOD}

    run_virtual(session)
