"""Objects of the operator and of backends, in the platform's format."""

import time


def route(service, prefix, **fields):
    """One route of the configuration."""
    return {
        'Host': 'hulo84.example',
        'PathPrefix': prefix,
        'Kind': 'safe',
        'TimeoutS': 20,
        'TargetLatencyS': 0.4,
        'Priority': 1,
        'Service': service,
        'MaxAttempts': 2,
        'Sticky': False,
        'HomeRegions': [],
        **fields,
    }


def configuration(routes, version=7):
    """A whole desired state with the limits of the pages' example."""
    services = {one['Service'] for one in routes.values()}
    rules = {
        'HealthPath': '/health',
        'MaxConns': 330,
        'Protocol': 'h1',
        'Tls': False,
        'ColdS': 3.0,
        'ColdPerS': 3.5,
    }
    return {
        'Version': f'{version:08x}',
        'Routes': routes,
        'Services': {service: dict(rules) for service in services},
        'Limits': {
            'MaxHeaderBytes': 16384,
            'MaxBodyBytes': 67108864,
            'HeaderTimeoutS': 3,
            'IdleTimeoutS': 15,
        },
    }


def backend(service, address, sequence=1, state='ready', born=None):
    """The entry that a backend writes of itself."""
    return {
        'Addr': address,
        'born': born or int(time.time() * 1000),
        'Info': {
            'Service': service,
            'Version': 'v1',
            'Zone': 'west-a',
            'Slots': 3,
        },
        'Status': {'State': state, 'Sequence': sequence, 'ColdLeftS': 0},
    }
