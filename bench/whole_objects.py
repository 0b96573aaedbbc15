"""The objects that a whole session declares first."""

from typing import Any

from bench.whole_ledgers import CAP
from nutmegshore.examples.deployments import DEPLOYMENTS, list_objects
from nutmegshore.resources import Envelope, parse_spec

__all__ = ('SHIFT_KEY', 'list_first', 'shift_spec')

SHIFT_KEY = 'config/shift/moved'

_SHARE = 0.9
_LEASE_S = 10

_Fields = dict[str, Any]


def shift_spec(deployment: str, cap: int) -> _Fields:
    """The shift of look-ups from the first region to the second."""
    found = DEPLOYMENTS[deployment]
    return {
        'service': next(iter(found.loads)),
        'from_region': found.regions[0],
        'to_region': found.regions[1],
        'share': _SHARE,
        'cap': cap,
        'lease_seconds': _LEASE_S,
    }


def list_first(deployment: str) -> list[Envelope]:
    """The objects of a deployment and the shift, in generation 1."""
    shift = shift_spec(deployment, CAP)
    moved = {'kind': 'shift', 'name': 'moved', 'spec': shift}
    return [
        _first(one, index)
        for index, one in enumerate((*list_objects(deployment), moved))
    ]


def _first(one: _Fields, index: int) -> Envelope:
    kind = one['kind']
    operation = f'first-{index}'
    return Envelope(
        kind=kind,
        name=one['name'],
        generation=1,
        uid=operation,
        author='bench',
        reason='',
        operation=operation,
        spec=parse_spec(kind, one['spec']),
    )
