"""A store that knows one safe route and one upstream."""

from types import MappingProxyType

_ROUTE = MappingProxyType(
    {
        'Host': 'a.example',
        'PathPrefix': '/orders/',
        'Kind': 'safe',
        'TimeoutS': 2,
        'TargetLatencyS': 0.4,
        'Service': 'orders',
    },
)


def fill(store, address):
    """Write the route, and the upstream `i-1` at an address."""
    store.put(
        'config',
        'main',
        {
            'Version': '00000001',
            'Routes': {'r1': dict(_ROUTE)},
            'Services': {'orders': {}},
        },
    )
    store.put(
        'servers',
        'i-1',
        {
            'Addr': address,
            'Info': {'Service': 'orders', 'Zone': 'west-a', 'Slots': 3},
            'Status': {'State': 'ready', 'Sequence': 1, 'ColdLeftS': 0},
        },
    )
