"""BUDGET: repeats of a lost request bear the time that the first one had.

Two backends, each request works for 0.7 s. Disruption: one of the backends
loses the answers of four in ten of the requests that it ran.
"""

import asyncio
import collections
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'world-2'))

from world import Caller, has_trouble, route, run_case  # noqa: E402

WORK_S = 0.7
PER_S = 25
TIME_MS = 5000
#: `answer_lost`, how `reset`: x 0.4 for 4 s, three times; share 0.6 is one of
#: two backends.
LOST_PART = 0.4
LOST_S = 12
#: What the rule allows: seconds, a number, and a part of all repeats.
SLACK_S = 0.5
MOST_LATE = 20
MOST_LATE_PART = 0.2


class Losses:
    """A backend's work, and the loss of some answers."""

    def __init__(self, world, is_losing):
        self.world = world
        self.is_losing = is_losing
        self.is_on = False
        self.rng = random.Random(7)
        self.backend = None

    async def act(self, request, writer):
        await asyncio.sleep(WORK_S)
        if self.is_on and self.is_losing and self.rng.random() < LOST_PART:
            self.world.record(f'{self.backend.name} loses id={request.id}')
            writer.transport.abort()
            return
        await self.backend.reply(request, writer)


async def ask(world, sent_at):
    caller = await Caller(world, world.gateways[0]).open()
    request_id = world.next_id()
    sent_at[request_id] = world.record.now()
    await caller.ask(request_id, 'GET', '/read/a', Deadline_Ms=str(TIME_MS))
    caller.close()


def count_late(world, sent_at):
    """Return the repeats over 0.5 s later, and those with too much time."""
    by_id = collections.defaultdict(list)
    for backend in world.backends:
        for request in backend.arrivals:
            by_id[request.id].append(request)
    repeats = 0
    late = 0
    for request_id, arrivals in by_id.items():
        first, *others = sorted(arrivals, key=lambda one: one.arrived_at)
        ends_at = max(_end(first), sent_at[request_id] + TIME_MS / 1000)
        for other in others:
            if other.arrived_at - first.arrived_at <= SLACK_S:
                continue
            repeats += 1
            over_s = _end(other) - ends_at
            late += over_s > SLACK_S
            world.record(
                f'repeat id={request_id} {other.arrived_at - first.arrived_at:.2f}'
                f' s later, ends {over_s:+.2f} s from the first and the client'
            )
    return repeats, late


def _end(request):
    return request.arrived_at + int(request.headers['deadline-ms']) / 1000


async def main(world):
    world.open_store()
    world.configure(
        1, {'read': route('/read/', 'reads', 'safe', 6)}, ('reads',)
    )
    losses = [Losses(world, is_losing) for is_losing in (True, False)]
    for number, one in enumerate(losses, 1):
        one.backend = await world.add_backend(
            f'i-{number}', 'reads', 'west-a', one.act
        )
        one.backend.slots = 16
        one.backend.register()
    await world.start_gateways([('127.0.0.1', 'west-a')])
    await asyncio.sleep(4)
    sent_at = {}
    asking = []
    lost_from = world.record.now() + 4
    while world.record.now() < lost_from + LOST_S:
        for one in losses:
            one.is_on = has_trouble() and world.record.now() > lost_from
        asking.append(asyncio.ensure_future(ask(world, sent_at)))
        await asyncio.sleep(1 / PER_S)
    await asyncio.gather(*asking)
    repeats, late = count_late(world, sent_at)
    world.record(
        f'{late} of {repeats} repeats over 0.5 s later have too much time; '
        f'allowed {MOST_LATE}, or a fifth of all'
    )
    return late > MOST_LATE and late > MOST_LATE_PART * repeats


if __name__ == '__main__':
    run_case(main, FOLDER)
