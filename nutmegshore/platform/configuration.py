"""Parser of the operator's configuration, a JSON object in the store."""

import json
from types import MappingProxyType
from typing import Any

from nutmegshore.errors import PlatformFormatError
from nutmegshore.gateway.route import (
    Configuration,
    Limits,
    Route,
    RouteKind,
    ServiceRules,
    ServiceShare,
)
from nutmegshore.platform import fields

__all__ = ('CONFIGURATION_KEY', 'CONFIGURATION_PREFIX', 'parse_configuration')

CONFIGURATION_PREFIX = 'config/'
CONFIGURATION_KEY = 'config/main'

_VERSION_BASE = 16


def parse_configuration(body: bytes) -> Configuration:
    """Parse the object at `CONFIGURATION_KEY`.

    Raises `PlatformFormatError` for a required field that is missing and for
    most invalid ones, and `ValueError` for a body that is not JSON. A value
    of the wrong JSON type can raise `AttributeError` or `TypeError` instead.
    """
    spec = fields.read_object(json.loads(body), 'Spec')
    routes = fields.read_object(spec, 'Routes')
    services = fields.read_object(spec, 'Services')
    return Configuration(
        version=_parse_version(fields.read_string(spec, 'Version')),
        routes=tuple(_parse_route(*pair) for pair in routes.items()),
        services=MappingProxyType(
            {name: _parse_rules(raw) for name, raw in services.items()},
        ),
        limits=_parse_limits(fields.read_object(spec, 'Limits')),
    )


def _parse_version(text: str) -> int:
    try:
        return int(text, _VERSION_BASE)
    except ValueError as failure:
        raise PlatformFormatError(f'Version: {text}') from failure


def _parse_route(name: str, raw: dict[str, Any]) -> Route:
    return Route(
        name=name,
        host=fields.read_string(raw, 'Host').lower(),
        prefix=fields.read_string(raw, 'PathPrefix'),
        kind=_parse_kind(fields.read_string(raw, 'Kind')),
        timeout_s=fields.read_number(raw, 'TimeoutS'),
        target_latency_s=fields.read_number(raw, 'TargetLatencyS'),
        shares=_parse_shares(raw),
        max_attempts=max(fields.read_integer(raw, 'MaxAttempts', 1), 1),
        rank=fields.read_integer(raw, 'Priority', 0),
        is_sticky=fields.read_boolean(raw, 'Sticky'),
        homes=frozenset(fields.read_strings(raw, 'HomeRegions')),
    )


def _parse_kind(text: str) -> RouteKind:
    try:
        return RouteKind(text)
    except ValueError as failure:
        raise PlatformFormatError(f'Kind: {text}') from failure


def _parse_shares(raw: dict[str, Any]) -> tuple[ServiceShare, ...]:
    split = raw.get('TrafficSplit')
    if not split:
        return (ServiceShare(fields.read_string(raw, 'Service')),)
    return tuple(
        ServiceShare(
            fields.read_string(share, 'Service'),
            fields.read_number(share, 'Weight'),
        )
        for share in split
    )


def _parse_rules(raw: dict[str, Any]) -> ServiceRules:
    return ServiceRules(
        max_connections=fields.read_integer(raw, 'MaxConns', 0),
        cold_s=fields.read_number(raw, 'ColdS', 0),
        cold_per_s=fields.read_number(raw, 'ColdPerS', 0),
    )


def _parse_limits(raw: dict[str, Any]) -> Limits:
    defaults = Limits()
    return Limits(
        fields.read_integer(raw, 'MaxHeaderBytes', defaults.header_bytes),
        fields.read_integer(raw, 'MaxBodyBytes', defaults.body_bytes),
        fields.read_number(raw, 'HeaderTimeoutS', defaults.header_s),
        fields.read_number(raw, 'IdleTimeoutS', defaults.idle_s),
    )
