"""Plan of regions and upstreams that follows from the configuration."""

import attrs

from nutmegshore.configuration import ConfigurationTable
from nutmegshore.resources import (
    Drain,
    Envelope,
    Region,
    Service,
    Shift,
    Upstream,
)

__all__ = ('Origin', 'Plan', 'RegionChoice', 'build_plan')

_UNKNOWN_DELAY_MS = 1e6


@attrs.frozen
class Origin:
    """The declared object that stands behind a decision."""

    kind: str
    name: str
    generation: int
    author: str

    @classmethod
    def of(cls, envelope: Envelope) -> 'Origin':
        """Origin that names an envelope."""
        return cls(
            envelope.kind,
            envelope.name,
            envelope.generation,
            envelope.author,
        )


@attrs.frozen
class RegionChoice:
    """One region in a service's order, with its usable upstreams by name."""

    region: str
    upstreams: dict[str, Upstream]
    origins: tuple[Origin, ...]


@attrs.frozen
class Plan:
    """What the configuration says for callers of one region.

    `choices` are by service name, the nearest region first. `shifts` are the
    shifts away from this region by service name. `drained` gives the drains
    that take an upstream out, by upstream name.
    """

    region: str
    services: dict[str, Service]
    choices: dict[str, tuple[RegionChoice, ...]]
    shifts: dict[str, tuple[Envelope, ...]]
    drained: dict[str, Origin]


def build_plan(table: ConfigurationTable, region: str) -> Plan:
    """Work out the plan for callers of one region."""
    upstreams = table.by_name(Upstream)
    drained = _drained_upstreams(table, upstreams)
    services = table.by_name(Service)
    order = _region_order(table, region)
    choices = {
        service: tuple(
            _region_choice(near, service, upstreams, drained) for near in order
        )
        for service in services
    }
    return Plan(
        region=region,
        services={name: found.spec for name, found in services.items()},
        choices=choices,
        shifts=_shifts(table, region),
        drained=drained,
    )


def _region_order(table: ConfigurationTable, region: str) -> list[Envelope]:
    regions = table.by_name(Region)
    local = regions.get(region)
    delays = {region: float(0)}
    if local is not None:
        delays = {**local.spec.delay_ms, **delays}
    return sorted(
        regions.values(),
        key=lambda found: (
            delays.get(found.name, _UNKNOWN_DELAY_MS),
            found.name,
        ),
    )


def _region_choice(
    region: Envelope,
    service: str,
    upstreams: dict[str, Envelope],
    drained: dict[str, Origin],
) -> RegionChoice:
    usable = {
        name: found.spec
        for name, found in upstreams.items()
        if found.spec.service == service
        and found.spec.region == region.name
        and name not in drained
    }
    return RegionChoice(region.name, usable, (Origin.of(region),))


def _drained_upstreams(
    table: ConfigurationTable,
    upstreams: dict[str, Envelope],
) -> dict[str, Origin]:
    drained = {}
    for drain in table.by_name(Drain).values():
        for name, found in upstreams.items():
            if _is_drained(name, found.spec, drain.spec):
                drained.setdefault(name, Origin.of(drain))
    return drained


def _is_drained(name: str, upstream: Upstream, drain: Drain) -> bool:
    return (
        drain.upstream == name
        or drain.region == upstream.region
        or drain.availability_zone == upstream.availability_zone
    )


def _shifts(
    table: ConfigurationTable,
    region: str,
) -> dict[str, tuple[Envelope, ...]]:
    shifts: dict[str, tuple[Envelope, ...]] = {}
    for shift in table.by_name(Shift).values():
        if shift.spec.from_region == region:
            present = shifts.get(shift.spec.service, ())
            shifts[shift.spec.service] = (*present, shift)
    return shifts
