"""The complete objects of both deployments, and the default rules.

They are built in code because the one binary packs modules only. Addresses
are on loopback, for trials; replace them by those of the instances.
"""

import itertools
from types import MappingProxyType
from typing import Any

import attrs

__all__ = ('DEPLOYMENTS', 'list_default_rules', 'list_objects')

Manifest = list[dict[str, Any]]

#: 4 Gbit/s per pair of regions and direction.
_LINK_BYTES_PER_S = 500_000_000
_VESTFOLD_DELAY_MS = 55
_PATELWADI_DELAY_MS = 12
_VESTFOLD_CONNECTIONS = 360
_PATELWADI_CONNECTIONS = 330
_CATALOGUE_UPSTREAMS = 14
_CATALOGUE_SLOTS = 5
_UPSTREAMS = 12
_SLOTS = 3
_ENTRIES = 9
_FIRST_ENTRY_PORT = 18_080
_FIRST_UPSTREAM_PORT = 20_000
_LOOPBACK = '127.0.0.1'


@attrs.frozen
class _Load:
    """One service: how many upstreams of how many slots, and its fields."""

    fields: dict[str, Any]
    upstreams: int = _UPSTREAMS
    slots: int = _SLOTS


@attrs.frozen
class _Deployment:
    regions: tuple[str, ...]
    delay_ms: float
    connections: int
    weights: dict[str, float]
    loads: dict[str, _Load]

    @property
    def places(self) -> list[tuple[str, str]]:
        """Region and availability zone, regions alternating."""
        return [
            (region, f'{region}-{letter}')
            for letter in ('a', 'b')
            for region in self.regions
        ]


# Priority 0 is served first: orders and postings cost money when they are
# lost, look-ups are latency bound, uploads and bulk pulls can wait.
_LOOKUP = MappingProxyType(
    {'idempotent': True, 'priority': 2, 'deadline_ms': 1000, 'hedge': True},
)
_WRITE = MappingProxyType({'idempotent': False, 'priority': 0})
_UPLOAD = MappingProxyType(
    {'idempotent': False, 'priority': 5, 'deadline_ms': 600_000},
)
_BULK = MappingProxyType(
    {'idempotent': True, 'priority': 8, 'deadline_ms': 600_000},
)

DEPLOYMENTS = MappingProxyType(
    {
        'vestfold': _Deployment(
            regions=('ostlandet', 'vestlandet', 'nordnorge'),
            delay_ms=_VESTFOLD_DELAY_MS,
            connections=_VESTFOLD_CONNECTIONS,
            weights={'latency_weight': 0.8, 'headroom_weight': 0.2},
            loads={
                'catalogue': _Load(
                    dict(_LOOKUP),
                    _CATALOGUE_UPSTREAMS,
                    _CATALOGUE_SLOTS,
                ),
                'orders': _Load(dict(_WRITE)),
                'scans': _Load(dict(_UPLOAD)),
                'archive': _Load(dict(_BULK)),
            },
        ),
        'patelwadi': _Deployment(
            regions=('west', 'north', 'south'),
            delay_ms=_PATELWADI_DELAY_MS,
            connections=_PATELWADI_CONNECTIONS,
            weights={'latency_weight': 0.2, 'headroom_weight': 0.8},
            loads={
                'tallies': _Load(dict(_LOOKUP)),
                'postings': _Load(dict(_WRITE)),
                'slips': _Load(dict(_UPLOAD)),
                'ledger': _Load(dict(_BULK)),
            },
        ),
    }
)


def list_default_rules() -> Manifest:
    """The rules that an operator applies to permit automatic reactions."""
    region_failed = {
        'trigger': 'region_failed',
        'action': 'spread',
        'after_seconds': 3,
    }
    reports_stopped = {
        'trigger': 'reports_stopped',
        'action': 'hold',
        'after_seconds': 10,
    }
    upstream_failed = {
        'trigger': 'upstream_failed',
        'action': 'exclude',
        'failures': 3,
    }
    return [
        _object('rule', 'default-region-failed', region_failed),
        _object('rule', 'default-reports-stopped', reports_stopped),
        _object('rule', 'default-upstream-failed', upstream_failed),
    ]


def list_objects(deployment: str) -> Manifest:
    """All objects of a deployment in the order in which to apply them.

    Raises KeyError for an unknown deployment.
    """
    found = DEPLOYMENTS[deployment]
    return [
        *_list_regions(found),
        *_list_services(found),
        *_list_upstreams(found),
        *_list_entries(found),
        *list_default_rules(),
    ]


def _object(kind: str, name: str, spec: dict[str, Any]) -> dict[str, Any]:
    return {'kind': kind, 'name': name, 'spec': spec}


def _list_regions(found: _Deployment) -> Manifest:
    return [
        _object(
            'region',
            region,
            {
                'availability_zones': [f'{region}-a', f'{region}-b'],
                'delay_ms': _by_other(found, region, found.delay_ms),
                'link_bytes_per_s': _by_other(found, region, _LINK_BYTES_PER_S),
            },
        )
        for region in found.regions
    ]


def _by_other(
    found: _Deployment,
    region: str,
    amount: float,
) -> dict[str, float]:
    return {other: amount for other in found.regions if other != region}


def _list_services(found: _Deployment) -> Manifest:
    return [
        _object('service', service, {**load.fields, **found.weights})
        for service, load in found.loads.items()
    ]


def _list_upstreams(found: _Deployment) -> Manifest:
    ports = itertools.count(_FIRST_UPSTREAM_PORT)
    places = itertools.cycle(found.places)
    return [
        _upstream(found, service, number, next(places), next(ports))
        for service, load in found.loads.items()
        for number in range(1, load.upstreams + 1)
    ]


def _upstream(
    found: _Deployment,
    service: str,
    number: int,
    place: tuple[str, str],
    port: int,
) -> dict[str, Any]:
    spec = {
        'service': service,
        'region': place[0],
        'availability_zone': place[1],
        'address': f'{_LOOPBACK}:{port}',
        'slots': found.loads[service].slots,
        'connections': found.connections,
    }
    return _object('upstream', f'{service}-{number}', spec)


def _list_entries(found: _Deployment) -> Manifest:
    places = itertools.islice(itertools.cycle(found.places), _ENTRIES)
    return [
        _entry(number, region, zone)
        for number, (region, zone) in enumerate(places, 1)
    ]


def _entry(number: int, region: str, zone: str) -> dict[str, Any]:
    port = _FIRST_ENTRY_PORT + number
    spec = {
        'region': region,
        'availability_zone': zone,
        'caller_address': f'{_LOOPBACK}:{port}',
    }
    return _object('entry', f'{region}-{number}', spec)
