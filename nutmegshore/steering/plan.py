"""Plan of regions and upstreams that follows from the configuration."""

import collections

import attrs

from nutmegshore.configuration import ConfigurationTable
from nutmegshore.resources import (
    Drain,
    Envelope,
    Limit,
    Region,
    Rule,
    Service,
    Shift,
    Upstream,
)

__all__ = (
    'Explanation',
    'Origin',
    'Plan',
    'RegionChoice',
    'SkippedRegion',
    'build_plan',
    'explain_plan',
)

_UNKNOWN_DELAY_MS = 1e6
_NOTHING: frozenset[str] = frozenset()

_UpstreamsByPlace = dict[tuple[str, str], dict[str, Upstream]]


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
    """One region in a service's order, with its usable upstreams by name.

    `delay_ms` is the one-way delay from the callers' region. `limits` are the
    limits that every request to this service in this region has to pass.
    """

    region: str
    upstreams: dict[str, Upstream]
    origins: tuple[Origin, ...]
    delay_ms: float = 0
    limits: tuple[str, ...] = ()


@attrs.frozen
class SkippedRegion:
    """A region that is out for a service, with the object that put it out.

    `upstreams` are those that can be probed: none in a drained region.
    """

    region: str
    origins: tuple[Origin, ...]
    upstreams: dict[str, Upstream] = attrs.field(factory=dict)


@attrs.frozen
class Plan:
    """What the configuration says for callers of one region.

    `choices` are by service name, the nearest region first, without those in
    `skipped`. `shifts` are the shifts away from this region by service name,
    the lower name first. `drained` gives the drain that takes an upstream
    out, by upstream name. `rules` are the declared reactions by name.
    """

    region: str
    services: dict[str, Service]
    choices: dict[str, tuple[RegionChoice, ...]]
    shifts: dict[str, tuple[Envelope, ...]]
    drained: dict[str, Origin]
    rules: dict[str, Envelope] = attrs.field(factory=dict)
    skipped: dict[str, tuple[SkippedRegion, ...]] = attrs.field(factory=dict)


@attrs.frozen
class Explanation:
    """Why a caller of a service goes where it goes.

    `chosen` are the regions in the order in which they are tried, `shifts`
    the moves away from the first one, `skipped` the regions left out.
    """

    service: str
    chosen: tuple[RegionChoice, ...]
    shifts: tuple[Origin, ...]
    skipped: tuple[SkippedRegion, ...]


def build_plan(
    table: ConfigurationTable,
    region: str,
    failed: dict[tuple[str, str], Origin] | None = None,
    kept: frozenset[str] = _NOTHING,
) -> Plan:
    """Work out the plan for callers of one region.

    `failed` gives, by service and region, the declared rule that takes the
    region out. `kept` names upstreams that a paced drain has not reached yet.
    """
    upstreams = table.by_name(Upstream)
    drained = _drained_upstreams(table, upstreams, kept)
    services = table.by_name(Service)
    builder = _Builder(
        order=_region_order(table, region),
        usable=_group(upstreams, drained),
        drained=_drains_by_place(upstreams, drained),
        limits=table.by_name(Limit),
        failed=failed or {},
    )
    return Plan(
        region=region,
        services={name: found.spec for name, found in services.items()},
        choices={name: builder.choices(name) for name in services},
        shifts=_shifts(table, region),
        drained=drained,
        rules=table.by_name(Rule),
        skipped={name: builder.skipped(name) for name in services},
    )


def explain_plan(plan: Plan, service: str) -> Explanation:
    """Explain where callers of the plan's region go for a service."""
    return Explanation(
        service=service,
        chosen=plan.choices.get(service, ()),
        shifts=tuple(map(Origin.of, plan.shifts.get(service, ()))),
        skipped=plan.skipped.get(service, ()),
    )


@attrs.frozen
class _Builder:
    order: list[tuple[float, Envelope]]
    usable: _UpstreamsByPlace
    drained: dict[tuple[str, str], tuple[Origin, ...]]
    limits: dict[str, Envelope]
    failed: dict[tuple[str, str], Origin]

    def choices(self, service: str) -> tuple[RegionChoice, ...]:
        return tuple(
            RegionChoice(
                region=region.name,
                upstreams=self.usable.get((service, region.name), {}),
                origins=(Origin.of(region),),
                delay_ms=delay_ms,
                limits=self._limits(service, region.name),
            )
            for delay_ms, region in self.order
            if not self._reasons(service, region.name)
        )

    def skipped(self, service: str) -> tuple[SkippedRegion, ...]:
        return tuple(
            SkippedRegion(
                region.name,
                self._reasons(service, region.name),
                self.usable.get((service, region.name), {}),
            )
            for _, region in self.order
            if self._reasons(service, region.name)
        )

    def _reasons(self, service: str, region: str) -> tuple[Origin, ...]:
        place = (service, region)
        if place in self.drained and not self.usable.get(place):
            return self.drained[place]
        return (self.failed[place],) if place in self.failed else ()

    def _limits(self, service: str, region: str) -> tuple[str, ...]:
        return tuple(
            name
            for name, found in self.limits.items()
            if found.spec.service in {'', service}
            and found.spec.region in {'', region}
        )


def _region_order(
    table: ConfigurationTable,
    region: str,
) -> list[tuple[float, Envelope]]:
    regions = table.by_name(Region)
    local = regions.get(region)
    delays = {region: float(0)}
    if local is not None:
        delays = {**local.spec.delay_ms, **delays}
    ordered = [
        (delays.get(found.name, _UNKNOWN_DELAY_MS), found)
        for found in regions.values()
    ]
    return sorted(ordered, key=lambda pair: (pair[0], pair[1].name))


def _group(
    upstreams: dict[str, Envelope],
    drained: dict[str, Origin],
) -> _UpstreamsByPlace:
    grouped: _UpstreamsByPlace = collections.defaultdict(dict)
    for name, found in upstreams.items():
        if name not in drained:
            spec = found.spec
            grouped[spec.service, spec.region][name] = spec
    return grouped


def _drains_by_place(
    upstreams: dict[str, Envelope],
    drained: dict[str, Origin],
) -> dict[tuple[str, str], tuple[Origin, ...]]:
    found: dict[tuple[str, str], tuple[Origin, ...]] = {}
    for name, origin in drained.items():
        spec = upstreams[name].spec
        present = found.get((spec.service, spec.region), ())
        if origin not in present:
            found[spec.service, spec.region] = (*present, origin)
    return found


def _drained_upstreams(
    table: ConfigurationTable,
    upstreams: dict[str, Envelope],
    kept: frozenset[str],
) -> dict[str, Origin]:
    drained = {}
    for drain in table.by_name(Drain).values():
        # A drain of one upstream is never paced, so it ignores `kept`.
        spared = _NOTHING if drain.spec.upstream else kept
        for name, found in upstreams.items():
            if name not in spared and is_drained(name, found.spec, drain.spec):
                drained.setdefault(name, Origin.of(drain))
    return drained


def is_drained(name: str, upstream: Upstream, drain: Drain) -> bool:
    """Whether a drain covers an upstream."""
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
