"""Spec of a region of the deployment."""

import attrs

from nutmegshore.resources.fields import (
    mapping_of,
    names,
    number,
    spec_field,
)

__all__ = ('Region',)

_MAX_DELAY_MS = 10_000
_MAX_LINK_BYTES_PER_S = 1e12


@attrs.frozen
class Region:
    """A region, its availability zones and its links to other regions.

    `delay_ms` is the one-way network delay and `link_bytes_per_s` the shared
    link capacity to each other region, both by region name.
    """

    availability_zones: tuple[str, ...] = spec_field(names())
    delay_ms: dict[str, float] = spec_field(
        mapping_of(number(0, _MAX_DELAY_MS)),
        factory=dict,
    )
    link_bytes_per_s: dict[str, float] = spec_field(
        mapping_of(number(1, _MAX_LINK_BYTES_PER_S)),
        factory=dict,
    )
