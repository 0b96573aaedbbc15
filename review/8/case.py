"""DRAIN: a gateway that the store was silent to hears nothing of it later.

Three gateways. While a service is released, the store turns one of them away
by silence for 9 s; the others tell it of the changes. After that the others are
stopped. A backend drains, and the gateway goes on to send to it.
"""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'world-2'))

from world import Caller, has_trouble, route, run_case  # noqa: E402

#: `platform_down`, how `nodes`: for 9 s, for one of three machines.
SILENCE_S = 9
#: `release`: share 0.504 of 14 backends, one at a time, each 1.2 s.
RELEASED = 7
RELEASE_GAP_S = 1.2
BACKENDS = 14
#: The bounds of vks-boots that differ.
STABILITY_S = 4
DRAIN_S = 2.5
SITE_BOUNDS = {
    'StabilityS': STABILITY_S,
    'AckS': 5,
    'DrainS': DRAIN_S,
    'ConfigApplyS': 2.5,
    'StretchMaxS': 6,
    'BudgetExtraRetries': 60,
}
HOSTS = (
    ('127.0.0.1', 'west-a'),
    ('127.0.0.2', 'north-a'),
    ('127.0.0.3', 'south-a'),
)


class StoreGate:
    """A proxy before the store that can turn its callers away by silence.

    "A connection on which a response is lost returns nothing further." The
    store has the calls made in a silence, or answers to them, nowhere; new
    connections work as soon as the silence is over.
    """

    def __init__(self, world):
        self.world = world
        self.is_silent = False
        self.calls_in_silence = 0
        self.calls = 0

    async def start(self):
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'

    async def _serve(self, reader, writer):
        host, _, port = self.world.store_address.rpartition(':')
        from_store, to_store = await asyncio.open_connection(host, int(port))
        link = {'is_lost': False}
        try:
            await asyncio.gather(
                self._copy(reader, to_store, link, is_call=True),
                self._copy(from_store, writer, link, is_call=False),
            )
        except OSError:
            pass
        finally:
            writer.close()
            to_store.close()

    async def _copy(self, source, target, link, *, is_call):
        while piece := await source.read(65536):
            link['is_lost'] = link['is_lost'] or self.is_silent
            if is_call:
                self.calls += 1
                self.calls_in_silence += self.is_silent
                line = piece.split(b'\r\n')[0].decode('latin-1')
                state = 'silent' if link['is_lost'] else 'answered'
                self.world.record(f'store is called ({state}): {line}')
            if not link['is_lost']:
                target.write(piece)
                await target.drain()
        target.close()


async def release(world, backends):
    """Replace backends one after the other, as a planned release does."""
    for number, old in enumerate(backends[:RELEASED]):
        await world.add_backend(
            f'i-new-{number}', 'boards', 'west-a', is_cold=True
        )
        await asyncio.sleep(RELEASE_GAP_S / 2)
        old.state = 'draining'
        old.register()
        asyncio.ensure_future(remove_later(world, old))
        await asyncio.sleep(RELEASE_GAP_S / 2)


async def remove_later(world, backend):
    await asyncio.sleep(DRAIN_S + 0.3)
    world.store.delete('servers', backend.name)
    world.record(f'store confirms {backend.name} removed')
    await backend.stop()


async def send_reads(world, gateway, until_s):
    """Send a read each 0.1 s, each on a new connection; return the times."""
    sent_at = {}
    while world.record.now() < until_s:
        request_id = world.next_id()
        caller = await Caller(world, gateway).open()
        sent_at[request_id] = world.record.now()
        await caller.ask(request_id, 'GET', '/read/a', Deadline_Ms='2500')
        caller.close()
        await asyncio.sleep(0.1)
    return sent_at


async def main(world):
    world.open_store()
    gate = StoreGate(world)
    await gate.start()
    world.configure(
        1,
        {
            'read': route('/read/', 'reads', 'safe', 2.5, Sticky=False),
            'board': route('/board/', 'boards', 'safe', 2.5),
        },
        ('reads', 'boards'),
    )
    leaving = await world.add_backend('i-leaving', 'reads', 'west-a')
    # One of four that drains is a share of 0.25.
    for number in range(3):
        await world.add_backend(f'i-staying-{number}', 'reads', 'west-a')
    boards = [
        await world.add_backend(f'i-old-{number}', 'boards', 'west-a')
        for number in range(BACKENDS)
    ]
    await world.start_gateways(
        HOSTS, SITE_BOUNDS, store_by_host={'127.0.0.1': gate.address}
    )
    first, *others = world.gateways
    await asyncio.sleep(STABILITY_S + 1)

    gate.is_silent = has_trouble()
    if gate.is_silent:
        world.record(f'the store is silent to {first.name}')
    silence_ends_at = world.record.now() + SILENCE_S
    await release(world, boards)
    await asyncio.sleep(silence_ends_at - world.record.now())
    gate.is_silent = False
    world.record(f'silence over, {gate.calls_in_silence} calls lost')

    for gateway in others:
        gateway.send_signal(signal.SIGTERM)
    for gateway in others:
        await gateway.process.wait()
        world.record(f'{gateway.name} has ended')
    # The core and the gateway have been calm for longer than StabilityS.
    calm_at = silence_ends_at + STABILITY_S + 1
    await asyncio.sleep(max(calm_at - world.record.now(), 1))
    calls_before = gate.calls
    leaving.state = 'draining'
    leaving.register()
    confirmed_at = world.record.now()
    sent_at = await send_reads(world, first, confirmed_at + 6)
    late = [
        request
        for request in leaving.arrivals
        if request.id in sent_at
        and request.arrived_at > confirmed_at + DRAIN_S
    ]
    for request in late:
        world.record(
            f'late id={request.id}: reaches {leaving.name} '
            f'{request.arrived_at - confirmed_at:.2f} s after it drains'
        )
    world.record(
        f'{len(late)} requests later than DrainS; {first.name} made '
        f'{gate.calls - calls_before} calls to the store in 6 s'
    )
    return bool(late)


if __name__ == '__main__':
    run_case(main, FOLDER)
