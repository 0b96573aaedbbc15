"""Parser of the operator's configuration, a JSON object in the store."""

import re
from types import MappingProxyType
from typing import Any

from nutmegshore.errors import PlatformFormatError
from nutmegshore.gateway.customer import (
    NO_CUSTOMERS,
    Customer,
    CustomerTable,
    RejectedCustomer,
)
from nutmegshore.gateway.route import (
    Configuration,
    Limits,
    Route,
    RouteKind,
    ServiceRules,
    ServiceShare,
)
from nutmegshore.platform import fields
from nutmegshore.platform.json_reader import read_json

__all__ = ('CONFIGURATION_KEY', 'CONFIGURATION_PREFIX', 'parse_configuration')

CONFIGURATION_PREFIX = 'config/'
CONFIGURATION_KEY = 'config/main'

_HEALTH_PATH = 'HealthPath'
_DEFAULT_HEALTH_PATH = '/health'
_VERSION_BASE = 16
#: Versions fit into 64 bits.
_VERSION = re.compile('[0-9a-fA-F]{1,16}')


def parse_configuration(body: bytes) -> Configuration:
    """Parse the object at `CONFIGURATION_KEY`.

    Raises `PlatformFormatError`, and nothing else, for a body that is not
    JSON, a required field that is missing, and any field that is invalid.
    """
    raw = read_json(body)
    if not isinstance(raw, dict):
        raise PlatformFormatError('not a JSON object')
    spec = fields.read_object(raw, 'Spec')
    routes = fields.read_object(spec, 'Routes')
    services = fields.read_object(spec, 'Services')
    return Configuration(
        version=_parse_version(fields.read_string(spec, 'Version')),
        routes=tuple(
            _parse_route(name, fields.read_object(routes, name))
            for name in fields.read_names(routes)
        ),
        services=MappingProxyType(
            {
                name: _parse_rules(fields.read_object(services, name))
                for name in fields.read_names(services)
            },
        ),
        limits=_parse_limits(fields.read_object(spec, 'Limits')),
        customers=_parse_customers(fields.read_object(spec, 'Tenants')),
    )


def _parse_version(text: str) -> int:
    if _VERSION.fullmatch(text) is None:
        raise PlatformFormatError(f'Version: {text}')
    return int(text, _VERSION_BASE)


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
        is_public=fields.read_boolean(raw, 'Public'),
    )


def _parse_customers(raw: dict[str, Any]) -> CustomerTable:
    """Parse the customers; an entry that is invalid costs only itself."""
    if not raw:
        return NO_CUSTOMERS
    customers = []
    rejected = []
    for name in fields.read_names(raw):
        try:
            customers.append(_parse_customer(name, raw))
        except PlatformFormatError as failure:
            rejected.append(RejectedCustomer(name, str(failure)))
    return CustomerTable.of(customers, rejected)


def _parse_customer(name: str, table: dict[str, Any]) -> Customer:
    raw = fields.read_object(table, name)
    keys = frozenset(fields.read_strings(raw, 'ApiKeys')) - {''}
    if not keys:
        raise PlatformFormatError('ApiKeys: none')
    return Customer(
        name=name,
        keys=keys,
        rank=fields.read_integer(raw, 'Priority', 0),
        max_rate=fields.read_number(raw, 'RatePerS', 0),
        burst=fields.read_number(raw, 'Burst', 0),
        homes=frozenset(fields.read_strings(raw, 'HomeRegions')),
    )


def _parse_kind(text: str) -> RouteKind:
    try:
        return RouteKind(text)
    except ValueError as failure:
        raise PlatformFormatError(f'Kind: {text}') from failure


def _parse_shares(raw: dict[str, Any]) -> tuple[ServiceShare, ...]:
    split = fields.read_objects(raw, 'TrafficSplit')
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
        health_path=fields.read_string(
            {_HEALTH_PATH: _DEFAULT_HEALTH_PATH, **raw}, _HEALTH_PATH
        ),
    )


def _parse_limits(raw: dict[str, Any]) -> Limits:
    defaults = Limits()
    return Limits(
        fields.read_integer(raw, 'MaxHeaderBytes', defaults.header_bytes),
        fields.read_integer(raw, 'MaxBodyBytes', defaults.body_bytes),
        fields.read_number(raw, 'HeaderTimeoutS', defaults.header_s),
        fields.read_number(raw, 'IdleTimeoutS', defaults.idle_s),
    )
