"""Loads in which routes and customers compete, for the model."""

from types import MappingProxyType

import attrs

from bench.contention_load import ContentionLoad, RouteLoad

__all__ = ('CASES', 'CUSTOMERS')

#: Customers with their ranks: one in four is less urgent than the others.
_CUSTOMERS = 12
_LESS_URGENT = 4
CUSTOMERS = MappingProxyType(
    {
        f'c{number}': int(number % _LESS_URGENT == _LESS_URGENT - 1)
        for number in range(_CUSTOMERS)
    }
)
#: Columns of the routes: rank, requests a second in each region, seconds of
#: cold work, aim, deadline.
_COLUMNS = ('rank', 'per_s', 'work_s', 'target_s', 'deadline_s')
_BOARD = (0, 16, 0.44, 0.479, 2.395)
_RARE_BOARD = (0, 0.5, 0.44, 0.479, 2.395)
_UPLOAD = (2, 6.5, 1.36, 2.234, 6.702)
_BROWSE = (1, 10, 1.12, 0.879, 6.592)
_FLOOD_BOARD = (0, 90, 0.44, 0.479, 2.395)
_OFTEN_BROWSE = (1, 17, 1.12, 0.879, 6.592)
_CONFIRM = (1, 5, 1.48, 1.091, 8.726)
#: Worth of a response in time and of a late one.
_BOARD_WORTH = (3.2, 0.26)
_UPLOAD_WORTH = (0.85, 0.26)
_BROWSE_WORTH = (0.85, 0.17)
_CONFIRM_WORTH = (1.7, 0.34)
_BURST = 1.7
_SWING = 0.55
_PERIOD_S = 36
_TAIL = 0.03


def _make_route(
    name: str, columns: tuple[float, ...], worth: tuple[float, float]
) -> RouteLoad:
    named = dict(zip(_COLUMNS, columns, strict=True))
    return RouteLoad(name=name, worth=worth, **named)


def _make_load(upstreams: int, *routes: RouteLoad) -> ContentionLoad:
    return ContentionLoad(routes, MappingProxyType({'orders': upstreams}))


_BROWSE_ROUTE = _make_route('trip-browse', _BROWSE, _BROWSE_WORTH)
_PAIR = _make_load(
    3,
    _make_route('live-board', _BOARD, _BOARD_WORTH),
    _make_route('doc-upload', _UPLOAD, _UPLOAD_WORTH),
)
_TRIO = _make_load(
    4,
    _make_route('live-board', _BOARD, _BOARD_WORTH),
    _BROWSE_ROUTE,
    _make_route('seat-confirm', _CONFIRM, _CONFIRM_WORTH),
)
_RARE = _make_load(
    4,
    _make_route('live-board', _RARE_BOARD, _BOARD_WORTH),
    _make_route('trip-browse', _OFTEN_BROWSE, _BROWSE_WORTH),
)
_FLOOD = _make_load(
    3,
    _make_route('live-board', _FLOOD_BOARD, _BOARD_WORTH),
    _make_route('doc-upload', _UPLOAD, _UPLOAD_WORTH),
)
_LONE = attrs.evolve(
    _make_load(2, _BROWSE_ROUTE),
    customers=MappingProxyType(dict.fromkeys(CUSTOMERS, 0)),
)
_SHARED = attrs.evolve(_PAIR, customers=CUSTOMERS)

#: The loads by name.
CASES = MappingProxyType(
    {
        'short beside long': _PAIR,
        'short beside two': _TRIO,
        'rare beside often': _RARE,
        'urgent beyond the room': _FLOOD,
        'hot customer': attrs.evolve(_SHARED, hot='c0'),
        'hot less urgent customer': attrs.evolve(_SHARED, hot='c3'),
        'hot customer of a lone route': attrs.evolve(_LONE, hot='c0'),
        'retries at once': attrs.evolve(
            _SHARED, burst=_BURST, at_once=True, returns=3
        ),
        'burst': attrs.evolve(_SHARED, burst=_BURST),
        'burst of three': attrs.evolve(_TRIO, burst=_BURST),
        'wave': attrs.evolve(_SHARED, swing=_SWING, seconds=_PERIOD_S),
        'long tail': attrs.evolve(_SHARED, tail=_TAIL),
    }
)
