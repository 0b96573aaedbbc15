"""Plan of regions and upstreams, derived from the configuration."""

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

#: Regions without a declared delay come last.
_UNKNOWN_DELAY_MS = 1e6
_NOTHING: frozenset[str] = frozenset()

#: Upstreams by name, grouped by service and region.
_UpstreamsByScope = dict[tuple[str, str], dict[str, Upstream]]


@attrs.frozen
class Origin:
    """The declared object that a decision is based on."""

    kind: str
    name: str
    generation: int
    author: str

    @classmethod
    def of(cls, envelope: Envelope) -> 'Origin':
        """Origin for the object in an envelope."""
        return cls(
            envelope.kind,
            envelope.name,
            envelope.generation,
            envelope.author,
        )


@attrs.frozen
class RegionChoice:
    """One region in the order of a service, with its usable upstreams.

    `upstreams` are by name, `delay_ms` is the one-way delay from the callers'
    region. `limits` names the limits that apply to every request to this
    service in this region.
    """

    region: str
    upstreams: dict[str, Upstream]
    origins: tuple[Origin, ...]
    delay_ms: float = 0
    limits: tuple[str, ...] = ()


@attrs.frozen
class SkippedRegion:
    """A region that a service does not use, and the objects that exclude it.

    `upstreams` can be probed: there are none in a drained region.
    """

    region: str
    origins: tuple[Origin, ...]
    upstreams: dict[str, Upstream] = attrs.field(factory=dict)


@attrs.frozen
class Plan:
    """Routing of the callers of one region, by the configuration.

    `choices` are by service name, the nearest region first, without those in
    `skipped`. `shifts` are the shifts away from this region by service name,
    the lower name first. `drained` maps the name of each drained upstream to
    the drain that covers it. `rules` are the declared rules by name.
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
    """Reasons for the route of the callers of a service.

    `chosen` are the regions in the order in which they are tried, `shifts`
    the shifts away from the callers' region, `skipped` the unused regions.
    """

    service: str
    chosen: tuple[RegionChoice, ...]
    shifts: tuple[Origin, ...]
    skipped: tuple[SkippedRegion, ...]


def build_plan(
    table: ConfigurationTable,
    region: str,
    failed: dict[tuple[str, str], Origin] | None = None,
    remaining: frozenset[str] = _NOTHING,
) -> Plan:
    """Build the plan for callers of one region.

    `failed` gives, by service and region, the declared rule that excludes the
    region. `remaining` names upstreams that no paced drain has reached
    yet.
    """
    upstreams = table.by_name(Upstream)
    drained = _drained_upstreams(table, upstreams, remaining)
    services = table.by_name(Service)
    builder = _Builder(
        order=_region_order(table, region),
        usable=_group(upstreams, drained),
        drained=_drains_by_scope(upstreams, drained),
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
    """Explain the route of callers of the plan's region to a service."""
    return Explanation(
        service=service,
        chosen=plan.choices.get(service, ()),
        shifts=tuple(map(Origin.of, plan.shifts.get(service, ()))),
        skipped=plan.skipped.get(service, ()),
    )


@attrs.frozen
class _Builder:
    order: list[tuple[float, Envelope]]
    usable: _UpstreamsByScope
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
            if not self._skip_origins(service, region.name)
        )

    def skipped(self, service: str) -> tuple[SkippedRegion, ...]:
        return tuple(
            SkippedRegion(
                region.name,
                self._skip_origins(service, region.name),
                self.usable.get((service, region.name), {}),
            )
            for _, region in self.order
            if self._skip_origins(service, region.name)
        )

    def _skip_origins(self, service: str, region: str) -> tuple[Origin, ...]:
        scope = (service, region)
        if scope in self.drained and not self.usable.get(scope):
            return self.drained[scope]
        return (self.failed[scope],) if scope in self.failed else ()

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
) -> _UpstreamsByScope:
    grouped: _UpstreamsByScope = collections.defaultdict(dict)
    for name, found in upstreams.items():
        if name not in drained:
            spec = found.spec
            grouped[spec.service, spec.region][name] = spec
    return grouped


def _drains_by_scope(
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
    remaining: frozenset[str],
) -> dict[str, Origin]:
    drained = {}
    for drain in table.by_name(Drain).values():
        # A drain of one upstream is never paced, so it ignores `remaining`.
        exempt = _NOTHING if drain.spec.upstream else remaining
        for name, found in upstreams.items():
            if name not in exempt and is_drained(name, found.spec, drain.spec):
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
