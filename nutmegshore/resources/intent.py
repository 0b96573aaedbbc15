"""Steering intents: shifts, drains, limits and rules."""

import attrs

from nutmegshore.resources.faults import FieldFault, InvalidObject
from nutmegshore.resources.fields import (
    choice,
    declared,
    integer,
    name,
    number,
)

__all__ = ('Drain', 'Limit', 'Rule', 'Shift')

_MAX_SECONDS = 86_400
_DEFAULT_LEASE_SECONDS = 600
_DEFAULT_FAILURES = 3
_MAX_BYTES_PER_S = 1_000_000_000_000


@attrs.frozen
class Shift:
    """Moves a share of a service's load from one region to another.

    `cap` is the largest number of requests, and `cap_bytes` of bytes, that
    the shift may send in any second over all entries together.
    `lease_seconds` is how long an entry may use its part of the cap without
    the platform.
    """

    service: str = declared(name())
    from_region: str = declared(name())
    to_region: str = declared(name())
    share: float = declared(number(0, 1))
    cap: int = declared(integer(0))
    cap_bytes: int = declared(integer(0, _MAX_BYTES_PER_S), default=0)
    ramp_seconds: int = declared(integer(0, _MAX_SECONDS), default=0)
    lease_seconds: int = declared(
        integer(10, _MAX_SECONDS),
        default=_DEFAULT_LEASE_SECONDS,
    )


@attrs.frozen
class Drain:
    """Takes one region, availability zone, upstream or entry out of use."""

    region: str = declared(name(), default='')
    availability_zone: str = declared(name(), default='')
    upstream: str = declared(name(), default='')
    entry: str = declared(name(), default='')

    def __attrs_post_init__(self) -> None:
        """Require exactly one target."""
        targets = (
            self.region,
            self.availability_zone,
            self.upstream,
            self.entry,
        )
        if len(list(filter(None, targets))) != 1:
            expected = (
                'exactly one of region, availability_zone, upstream, entry'
            )
            raise InvalidObject('drain', [FieldFault('spec', expected)])


@attrs.frozen
class Limit:
    """Bounds what a service, a region or a service in a region receives."""

    service: str = declared(name(), default='')
    region: str = declared(name(), default='')
    requests_per_s: int = declared(integer(0), default=0)
    bytes_per_s: int = declared(integer(0, _MAX_BYTES_PER_S), default=0)
    concurrency: int = declared(integer(0), default=0)
    lease_seconds: int = declared(
        integer(10, _MAX_SECONDS),
        default=_DEFAULT_LEASE_SECONDS,
    )

    def __attrs_post_init__(self) -> None:
        """Require a scope and exactly one measure."""
        faults = []
        if not (self.service or self.region):
            faults.append(FieldFault('spec', 'a service, a region or both'))
        measures = (self.requests_per_s, self.bytes_per_s, self.concurrency)
        if len(list(filter(None, measures))) != 1:
            expected = 'exactly one of requests_per_s, bytes_per_s, concurrency'
            faults.append(FieldFault('spec', expected))
        if faults:
            raise InvalidObject('limit', faults)


@attrs.frozen
class Rule:
    """Permits an automatic reaction to a failure.

    Without a rule nothing happens on its own. `after_seconds` applies to
    `region_failed` and `reports_stopped`, `failures` to `upstream_failed`.
    """

    trigger: str = declared(
        choice('region_failed', 'reports_stopped', 'upstream_failed'),
    )
    action: str = declared(choice('spread', 'hold', 'exclude'))
    service: str = declared(name(), default='')
    region: str = declared(name(), default='')
    after_seconds: float = declared(number(0, _MAX_SECONDS), default=3)
    failures: int = declared(integer(1), default=_DEFAULT_FAILURES)
