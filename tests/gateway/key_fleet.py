"""A fleet whose gateways follow the configuration, on virtual time."""

import asyncio
import json

from nutmegshore.clock import VirtualClock
from nutmegshore.peers import Member, MemoryNetwork
from nutmegshore.platform.configuration import CONFIGURATION_KEY
from nutmegshore.store import Expected, MemoryPlatform, MemoryStore
from tests.gateway.key_keeper import KEY, POLL_S, EraPlatform, build_keeper


def _body(version, *keys):
    """A configuration whose customer has these keys, beside another one."""
    tenants = {'other': {'ApiKeys': ['k-other']}}
    if keys:
        tenants['acme'] = {'ApiKeys': list(keys)}
    spec = {
        'Version': format(version, 'x'),
        'Routes': {},
        'Services': {},
        'Tenants': tenants,
    }
    return json.dumps({'Spec': spec}).encode()


class Fleet:
    """Gateways of one region, their store and its configuration."""

    def __init__(self, make_log, route):
        self.store = MemoryStore()
        self.network = MemoryNetwork()
        self.by_name = {}
        self.route = route
        self.era = 1
        self._make_log = make_log
        self._operator = MemoryPlatform(self.store, VirtualClock())

    def start(self, name):
        before = self.by_name.get(name)
        if before is not None:
            before.stop()
        clock = VirtualClock()
        zone = 'west-a' if int(name[1:]) % 2 else 'west-b'
        peers = self.network.join(Member(name, 'west', zone), clock)
        platform = EraPlatform(self.store, clock)
        platform.era = self.era
        log = self._make_log(clock)
        keeper = build_keeper(peers, platform, clock, log)
        self.by_name[name] = keeper
        keeper.start()
        return keeper

    def stop(self):
        for keeper in self.by_name.values():
            keeper.stop()

    def reports(self, name):
        """What a gateway knows of the keys of others."""
        return self.by_name[name].peering.key_reports

    async def write(self, version, *keys):
        present = self.store.by_key.get(CONFIGURATION_KEY)
        expected = Expected.of(present) if present else None
        await self._operator.write(
            CONFIGURATION_KEY, _body(version, *keys), expected, str(version)
        )

    async def restore(self, version, *keys):
        """Restore a copy of the store in which the key is not removed."""
        self.era += 1
        self.store = MemoryStore()
        self._operator = MemoryPlatform(self.store, VirtualClock())
        await self.write(version, *keys)
        for keeper in self.keepers:
            keeper.platform.restore(self.store)

    async def watch_for(self, seconds, key=KEY):
        """When any gateway last served a key, in seconds from now, or 0."""
        began_at = now()
        served_s = 0
        while now() < began_at + seconds:
            answers = [one.answer(self.route, key) for one in self.keepers]
            if '' in answers:
                served_s = now() - began_at
            await asyncio.sleep(POLL_S)
        return served_s

    @property
    def keepers(self):
        return tuple(self.by_name.values())


def now():
    return asyncio.get_running_loop().time()
