"""The operator's desired state as the store holds it."""

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

_HEXADECIMAL = 16


def parse_configuration(body: bytes) -> Configuration:
    """Read the object at `CONFIGURATION_KEY`."""
    spec = fields.read_table(json.loads(body), 'Spec')
    routes = fields.read_table(spec, 'Routes')
    services = fields.read_table(spec, 'Services')
    return Configuration(
        version=_parse_version(fields.read_text(spec, 'Version')),
        routes=tuple(_parse_route(*pair) for pair in routes.items()),
        services=MappingProxyType(
            {name: _parse_rules(found) for name, found in services.items()},
        ),
        limits=_parse_limits(fields.read_table(spec, 'Limits')),
    )


def _parse_version(text: str) -> int:
    try:
        return int(text, _HEXADECIMAL)
    except ValueError as failure:
        raise PlatformFormatError(f'Version: {text}') from failure


def _parse_route(name: str, found: dict[str, Any]) -> Route:
    return Route(
        name=name,
        host=fields.read_text(found, 'Host').lower(),
        prefix=fields.read_text(found, 'PathPrefix'),
        kind=_parse_kind(fields.read_text(found, 'Kind')),
        timeout_s=fields.read_number(found, 'TimeoutS'),
        target_latency_s=fields.read_number(found, 'TargetLatencyS'),
        shares=_parse_shares(found),
        max_attempts=max(fields.read_whole(found, 'MaxAttempts', 1), 1),
        rank=fields.read_whole(found, 'Priority', 0),
        is_sticky=fields.read_flag(found, 'Sticky'),
        homes=frozenset(fields.read_texts(found, 'HomeRegions')),
    )


def _parse_kind(text: str) -> RouteKind:
    try:
        return RouteKind(text)
    except ValueError as failure:
        raise PlatformFormatError(f'Kind: {text}') from failure


def _parse_shares(found: dict[str, Any]) -> tuple[ServiceShare, ...]:
    split = found.get('TrafficSplit')
    if not split:
        return (ServiceShare(fields.read_text(found, 'Service')),)
    return tuple(
        ServiceShare(
            fields.read_text(part, 'Service'),
            fields.read_number(part, 'Weight'),
        )
        for part in split
    )


def _parse_rules(found: dict[str, Any]) -> ServiceRules:
    return ServiceRules(
        max_connections=fields.read_whole(found, 'MaxConns', 0),
        cold_s=fields.read_number(found, 'ColdS', 0),
        cold_per_s=fields.read_number(found, 'ColdPerS', 0),
    )


def _parse_limits(found: dict[str, Any]) -> Limits:
    usual = Limits()
    return Limits(
        fields.read_whole(found, 'MaxHeaderBytes', usual.header_bytes),
        fields.read_whole(found, 'MaxBodyBytes', usual.body_bytes),
        fields.read_number(found, 'HeaderTimeoutS', usual.header_s),
        fields.read_number(found, 'IdleTimeoutS', usual.idle_s),
    )
