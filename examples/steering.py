"""Steering chooses an upstream and says which objects stand behind it."""

import random

from nutmegshore.clock import VirtualClock, run_virtual
from nutmegshore.configuration import ConfigurationTable
from nutmegshore.resources import Envelope, parse_spec
from nutmegshore.steering import RouteRequest, Steering, SteeringDependencies


def declare(kind, name, **spec):
    parsed = parse_spec(kind, spec)
    return Envelope(kind, name, 1, 'uid', 'ann', '', 'op', parsed)


async def session():
    table = ConfigurationTable()
    place = {'region': 'west', 'availability_zone': 'west-a'}
    served = {**place, 'service': 'tallies', 'slots': 3}
    table.merge(
        [
            declare('region', 'west', availability_zones=['west-a']),
            declare('service', 'tallies', idempotent=True),
            declare('upstream', 't1', address='127.0.0.1:1', **served),
        ]
    )
    around = SteeringDependencies(VirtualClock())
    steering = Steering(table, 'west', random.Random(7), around)
    permit = await steering.acquire(RouteRequest('tallies', deadline=1))
    permit.release()
    return permit.name, permit.origins


print(run_virtual(session))
