"""Gateways as processes before upstreams in trouble, in seeded series.

Upstreams spoil answers, start anew and change their registration; gateways are
reloaded, stopped and started; the store fails. All of it overlaps, while
callers use their connections until the process is gone.

    python -m tests.hostile.malformed_soak 50 2
"""

import asyncio
import collections
import contextlib
import logging
import pathlib
import random
import signal
import sys
import tempfile

import attrs
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from nutmegshore.platform.standin import StandinStore, make_store_application
from tests.hostile.children import start_gateway
from tests.hostile.soak_callers import Caller, Judge
from tests.upstreams.malformed_heads import MALFORMED
from tests.upstreams.malforming_upstream import MalformingUpstream

_LOOPBACK = '127.0.0.1'
_UPSTREAMS = 4
_CALLERS_PER_GATEWAY = 10
_RUN_S = 15
_GAP_S = (0.2, 1.5)
_LENGTH_S = (0.3, 3)
_STOP_S = 20
_SERIES = 3
_SOUND = (
    b'HTTP/1.1 200 OK\r\nRequest-Id: <id>\r\nServer-Stamp: s\r\n'
    b'Content-Length: 6\r\n\r\nsound!'
)


class TroubledUpstream(MalformingUpstream):
    """An upstream that spoils half of its answers while it is in trouble."""

    def __init__(self, rng, judge):
        super().__init__(_SOUND)
        self.is_troubled = False
        self._rng = rng
        self._judge = judge

    def _answer(self, writer, head):
        self._judge.record_run(head)
        self.answer = _SOUND
        if self.is_troubled and self._rng.choice((True, False)):
            name = self._rng.choice(sorted(MALFORMED))
            self._judge.counts['malformed'] += 1
            self.answer = MALFORMED[name]
        linger_s = super()._answer(writer, head)
        return None if self.answer is _SOUND else linger_s


@attrs.define
class Soak:
    """One seeded run, and the parts that its troubles act on."""

    rng: random.Random
    folder: pathlib.Path
    judge: Judge
    store: StandinStore = attrs.field(factory=StandinStore)
    store_port: int = 0
    upstreams: list = attrs.field(factory=list)
    by_gateway: dict = attrs.field(factory=dict)
    sequences: collections.Counter = attrs.field(factory=collections.Counter)

    def register(self, number, state='ready'):
        """Write an upstream's registration."""
        self.sequences[number] += 1
        self.store.put(
            'servers',
            f'i-{number}',
            {
                'Addr': self.upstreams[number].address,
                'Info': {'Service': 'files', 'Zone': 'west-a', 'Slots': 50},
                'Status': {
                    'State': state,
                    'Sequence': self.sequences[number],
                    'ColdLeftS': 0,
                },
            },
        )

    async def start_gateway(self, name):
        """Start a gateway under a name."""
        folder = self.folder / name
        folder.mkdir(exist_ok=True)
        self.by_gateway[name] = await asyncio.to_thread(
            start_gateway, folder, self, {}, name=name
        )

    async def stop_gateway(self, name):
        """Stop a gateway by SIGTERM, and wait until it is gone."""
        child = self.by_gateway[name]
        self.judge.stopping.add(child.port)
        child.process.terminate()
        await asyncio.to_thread(child.process.wait, _STOP_S)

    async def spoil(self):
        """An upstream spoils answers for a while."""
        upstream = self.rng.choice(self.upstreams)
        upstream.is_troubled = True
        await self._pause(_LENGTH_S)
        upstream.is_troubled = False

    async def change(self):
        """Registrations change in a series."""
        for _ in range(_SERIES):
            number = self.rng.randrange(len(self.upstreams))
            self.register(number, 'draining')
            await self._pause(_GAP_S)
            self.register(number)

    async def fail_store(self):
        """The store answers 503 for a while."""
        self.store.faults.status = 503
        await self._pause(_LENGTH_S)
        self.store.faults.status = 0

    async def reload(self):
        """A gateway gets signals to reload its settings in a series."""
        child = self.by_gateway[self.rng.choice(sorted(self.by_gateway))]
        for _ in range(_SERIES):
            if child.is_alive():
                child.process.send_signal(signal.SIGHUP)
            await self._pause(_GAP_S)

    async def restart(self):
        """A gateway stops and another takes its name, unless one stops."""
        name = self.rng.choice(sorted(self.by_gateway))
        ports = {child.port for child in self.by_gateway.values()}
        if ports & self.judge.stopping:
            return
        await self.stop_gateway(name)
        await self.start_gateway(name)
        self.judge.counts['restarts'] += 1

    async def _pause(self, span_s):
        await asyncio.sleep(self.rng.uniform(*span_s))


async def run_soak(seed, gateways=2, run_s=_RUN_S):
    """Play one seed; returns the judge with its counts and breaches."""
    async with contextlib.AsyncExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        rng = random.Random(seed)
        soak = Soak(rng, pathlib.Path(folder), Judge())
        server = HTTPServer(make_store_application(soak.store))
        sockets = bind_sockets(0, _LOOPBACK)
        server.add_sockets(sockets)
        soak.store_port = sockets[0].getsockname()[1]
        stack.push_async_callback(server.close_all_connections)
        stack.callback(server.stop)
        await _open_upstreams(soak, stack)
        for number in range(gateways):
            await soak.start_gateway(f'g{number}')
        stack.callback(_kill_all, soak)
        await _play(soak, run_s)
        return soak.judge


async def _open_upstreams(soak, stack):
    soak.store.put('config', 'main', _configuration())
    for number in range(_UPSTREAMS):
        upstream = TroubledUpstream(soak.rng, soak.judge)
        soak.upstreams.append(upstream)
        await stack.enter_async_context(upstream.open())
        soak.register(number)


async def _play(soak, run_s):
    callers = [
        Caller(f'c{number}', soak.by_gateway, soak.judge, soak.rng)
        for number in range(_CALLERS_PER_GATEWAY * len(soak.by_gateway))
    ]
    async with asyncio.TaskGroup() as group:
        calling = [group.create_task(caller.run()) for caller in callers]
        await _disturb(soak, run_s, group)
        for caller in callers:
            caller.is_ending = True
        await asyncio.gather(*calling)


async def _disturb(soak, run_s, group):
    """Start a trouble after each gap, whether or not others have ended."""
    loop = asyncio.get_running_loop()
    until = loop.time() + run_s
    troubles = (
        soak.spoil,
        soak.spoil,
        soak.change,
        soak.fail_store,
        soak.reload,
        soak.restart,
    )
    running = [group.create_task(soak.spoil())]
    while loop.time() < until:
        running.append(group.create_task(soak.rng.choice(troubles)()))
        await asyncio.sleep(soak.rng.uniform(*_GAP_S))
    await asyncio.gather(*running)


def _kill_all(soak):
    for child in soak.by_gateway.values():
        child.stop()


def _configuration():
    return {
        'Version': '00000001',
        'Routes': {
            'read': {**_route('/read/', 'safe'), 'MaxAttempts': 2},
            'write': _route('/write/', 'unsafe'),
        },
        'Services': {'files': {}},
    }


def _route(prefix, kind):
    return {
        'Host': 'a.example',
        'PathPrefix': prefix,
        'Kind': kind,
        'TimeoutS': 2,
        'TargetLatencyS': 0.5,
        'Service': 'files',
    }


def main():
    """Play as many seeds as asked for, with as many gateways."""
    logging.getLogger('tornado.access').setLevel(logging.CRITICAL)
    seeds, gateways = map(int, sys.argv[1:3])
    total = collections.Counter()
    for seed in range(seeds):
        judge = asyncio.run(run_soak(seed, gateways))
        total.update(judge.counts)
        sys.stdout.write(f'{seed} {dict(judge.counts)} {judge.breaches}\n')
        sys.stdout.flush()
    sys.stdout.write(f'total {dict(total)}\n')


if __name__ == '__main__':
    main()
