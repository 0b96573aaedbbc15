"""Loads in which routes and customers compete, for the model."""

from types import MappingProxyType

import attrs

from bench.contention_load import ContentionLoad, RouteLoad

__all__ = ('CASES', 'CUSTOMERS')

#: Customers with their ranks: one in four is less urgent than the others.
CUSTOMERS = MappingProxyType(
    {f'c{number}': int(number % 4 == 3) for number in range(12)}
)
_BOARD = RouteLoad(
    name='live-board',
    rank=0,
    per_s=16,
    work_s=0.44,
    target_s=0.479,
    deadline_s=2.395,
    worth=(3.2, 0.26),
)
_UPLOAD = RouteLoad(
    name='doc-upload',
    rank=2,
    per_s=6.5,
    work_s=1.36,
    target_s=2.234,
    deadline_s=6.702,
    worth=(0.85, 0.26),
)
_BROWSE = RouteLoad(
    name='trip-browse',
    rank=1,
    per_s=10,
    work_s=1.12,
    target_s=0.879,
    deadline_s=6.592,
    worth=(0.85, 0.17),
)
_CONFIRM = RouteLoad(
    name='seat-confirm',
    rank=1,
    per_s=5,
    work_s=1.48,
    target_s=1.091,
    deadline_s=8.726,
    worth=(1.7, 0.34),
)
_PAIR = ContentionLoad((_BOARD, _UPLOAD), MappingProxyType({'orders': 3}))
_TRIO = ContentionLoad(
    (_BOARD, _BROWSE, _CONFIRM), MappingProxyType({'orders': 4})
)
_SHARED = attrs.evolve(_PAIR, customers=CUSTOMERS)

#: The loads by name.
CASES = MappingProxyType(
    {
        'short beside long': _PAIR,
        'short beside two': _TRIO,
        'hot customer': attrs.evolve(_SHARED, hot='c0'),
        'hot late customer': attrs.evolve(_SHARED, hot='c3'),
        'retries at once': attrs.evolve(
            _SHARED, burst=1.7, at_once=True, returns=3
        ),
        'burst': attrs.evolve(_SHARED, burst=1.7),
        'burst of two': attrs.evolve(_TRIO, burst=1.7),
        'wave': attrs.evolve(_SHARED, swing=0.55, seconds=36),
        'long tail': attrs.evolve(_SHARED, tail=0.03),
    }
)
