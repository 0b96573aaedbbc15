"""Specs of steering intents: shifts, drains, limits and rules."""

import attrs

from nutmegshore.resources.faults import FieldFault, InvalidObject
from nutmegshore.resources.fields import (
    choice,
    integer,
    name,
    number,
    spec_field,
)

__all__ = ('Drain', 'Limit', 'Rule', 'Shift')

_MAX_SECONDS = 86_400
_DEFAULT_LEASE_SECONDS = 600
_DEFAULT_FAILURES = 3
_MAX_BYTES_PER_S = 1_000_000_000_000


@attrs.frozen
class Shift:
    """Moves a share of a service's load from one region to another.

    `cap` is the maximum number of requests, and `cap_bytes` of bytes, that
    all entries together may send for the shift in any second.
    `lease_seconds` is how long an entry may use its share of the cap without
    contact with the platform.
    """

    service: str = spec_field(name())
    from_region: str = spec_field(name())
    to_region: str = spec_field(name())
    share: float = spec_field(number(0, 1))
    cap: int = spec_field(integer(0))
    cap_bytes: int = spec_field(integer(0, _MAX_BYTES_PER_S), default=0)
    ramp_seconds: int = spec_field(integer(0, _MAX_SECONDS), default=0)
    lease_seconds: int = spec_field(
        integer(10, _MAX_SECONDS),
        default=_DEFAULT_LEASE_SECONDS,
    )


@attrs.frozen
class Drain:
    """Takes one region, availability zone, upstream or entry out of service."""

    region: str = spec_field(name(), default='')
    availability_zone: str = spec_field(name(), default='')
    upstream: str = spec_field(name(), default='')
    entry: str = spec_field(name(), default='')

    def __attrs_post_init__(self) -> None:
        """Check that exactly one target is set; raises `InvalidObject`."""
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
    """Limits the load of a service, a region, or a service in one region."""

    service: str = spec_field(name(), default='')
    region: str = spec_field(name(), default='')
    requests_per_s: int = spec_field(integer(0), default=0)
    bytes_per_s: int = spec_field(integer(0, _MAX_BYTES_PER_S), default=0)
    concurrency: int = spec_field(integer(0), default=0)
    lease_seconds: int = spec_field(
        integer(10, _MAX_SECONDS),
        default=_DEFAULT_LEASE_SECONDS,
    )

    def __attrs_post_init__(self) -> None:
        """Check for a scope and exactly one measure; raises `InvalidObject`."""
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

    No automatic reaction takes place without a rule. `after_seconds` applies
    to the triggers `region_failed` and `reports_stopped`, `failures` to
    `upstream_failed`.
    """

    trigger: str = spec_field(
        choice('region_failed', 'reports_stopped', 'upstream_failed'),
    )
    action: str = spec_field(choice('spread', 'hold', 'exclude'))
    service: str = spec_field(name(), default='')
    region: str = spec_field(name(), default='')
    after_seconds: float = spec_field(number(0, _MAX_SECONDS), default=3)
    failures: int = spec_field(integer(1), default=_DEFAULT_FAILURES)
