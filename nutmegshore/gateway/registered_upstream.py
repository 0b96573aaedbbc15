"""Upstreams as they register themselves."""

import attrs

__all__ = ('RegisteredUpstream',)


@attrs.frozen
class RegisteredUpstream:
    """One incarnation of an upstream.

    `instance` is the id of this start; an address may later belong to another
    service, so each request names the instance that it is meant for.
    `cold_left_s` counts from the moment at which the registration was read,
    `born_ms` is the start in milliseconds since 1970.
    """

    instance: str
    service: str
    address: str
    availability_zone: str
    region: str
    slots: int
    is_draining: bool = False
    cold_left_s: float = 0
    born_ms: int = 0

    @property
    def identity(self) -> tuple[str, str, int]:
        """What stays the same while one process runs at one address."""
        return self.instance, self.address, self.born_ms
