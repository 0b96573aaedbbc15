"""Registration of an upstream."""

import attrs

__all__ = ('RegisteredUpstream',)


@attrs.frozen
class RegisteredUpstream:
    """One incarnation of an upstream.

    `instance` is the id of this start. An address may later belong to another
    service, so each request names the instance that it is meant for.
    `cold_left_s` is the rest of the cold start when the registration was read,
    `born_ms` the start time in milliseconds since 1970.
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
        """Instance, address and start: constant for the life of a process."""
        return self.instance, self.address, self.born_ms
