"""Callers that look entries up, send requests and repeat keyed ones."""

import asyncio
import random

from bench.whole_cluster import Entry, Whole
from bench.whole_ledgers import Call, now
from nutmegshore.errors import RequestError

__all__ = ('Callers',)

_GAP_S = 0.2
_KEYED_SHARE = 0.35
_LOOKUP_SHARE = 0.6
_REPEAT_SHARE = 0.5
_REPEATS = 3
_BULK_SHARE = 0.05
_REPEAT_S = 0.2


class Callers:
    """The callers of a session, some beside each entry."""

    def __init__(self, whole: Whole) -> None:
        """Call the entries of a session."""
        self._whole = whole
        self._ids = 0

    def start(self, seed: int) -> None:
        """Send until the session stops."""
        for home in self._whole.region_by_entry:
            self._whole.spawn(self.run(home, f'{seed}{home}'))

    async def run(self, home: str, seed: str) -> None:
        """Requests of the callers beside one entry, as long as it runs."""
        rng = random.Random(seed)
        known: tuple[str, ...] = ()
        until = float(0)
        while True:
            await asyncio.sleep(rng.expovariate(1 / _GAP_S))
            if now() >= until:
                known, until = self._look_up(home, until)
            names = [name for name in known if name in self._whole.by_name]
            if names:
                self._whole.spawn(self._request(rng, names))

    def _look_up(self, home: str, until: float):
        near = self._whole.by_name.get(home)
        for entry in filter(None, (near, *self._whole.entries())):
            if not entry.clock.is_paused:
                try:
                    found = entry.components.lookup(self._whole.lookups)
                except RequestError:
                    continue
                names = tuple(one.name for one in found.entries)
                return names, now() + found.lifetime_seconds
        return (), until

    async def _request(self, rng: random.Random, names: list[str]) -> None:
        entry = self._whole.by_name[names[0]]
        if rng.random() < _BULK_SHARE:
            await self._whole.call(entry, self._whole.bulk, '/pull')
            return
        if rng.random() < _LOOKUP_SHARE:
            await self._whole.call(entry, self._whole.lookups, '/item')
            return
        self._ids += 1
        target = f'/order-{self._ids}'
        is_keyed = rng.random() < _KEYED_SHARE / (1 - _LOOKUP_SHARE)
        if not is_keyed:
            await self._whole.call(entry, self._whole.orders, target)
            return
        await self._request_keyed(rng, entry, target)

    async def _request_keyed(self, rng, entry: Entry, target: str) -> None:
        """Repeat after an unknown outcome, at random, and at once."""
        key = f'key{target}'
        first = self._whole.spawn(
            self._whole.call(entry, self._whole.orders, target, key)
        )
        if rng.random() < _REPEAT_SHARE:
            await asyncio.sleep(rng.uniform(0, _REPEAT_S))
            await self._repeat(rng, target, key)
        call = await first
        for _ in range(_REPEATS):
            if call is None or call.answer:
                return
            await asyncio.sleep(rng.uniform(0, 1))
            call = await self._repeat(rng, target, key)

    async def _repeat(self, rng, target: str, key: str) -> Call | None:
        entries = self._whole.entries()
        if not entries:
            return None
        return await self._whole.call(
            rng.choice(entries), self._whole.orders, target, key
        )
