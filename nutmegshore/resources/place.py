"""Regions of a deployment."""

import attrs

from nutmegshore.resources.fields import (
    declared,
    mapping_of,
    names,
    number,
)

__all__ = ('Region',)

_MAX_DELAY_MS = 10_000
_MAX_LINK_BYTES_PER_S = 1e12


@attrs.frozen
class Region:
    """A region, its availability zones and its links to other regions.

    `delay_ms` is the one-way delay and `link_bytes_per_s` the shared capacity
    to each other region by name.
    """

    availability_zones: tuple[str, ...] = declared(names())
    delay_ms: dict[str, float] = declared(
        mapping_of(number(0, _MAX_DELAY_MS)),
        factory=dict,
    )
    link_bytes_per_s: dict[str, float] = declared(
        mapping_of(number(1, _MAX_LINK_BYTES_PER_S)),
        factory=dict,
    )
