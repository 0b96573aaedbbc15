"""Registration of an upstream."""

import attrs

__all__ = ('RegisteredUpstream',)


@attrs.frozen
class RegisteredUpstream:
    """One incarnation of an upstream.

    `instance` is the id of this start. An address may later belong to another
    service, so each request names the instance that it is meant for.
    `cold_left_s` is the rest of the cold start when the registration was read,
    `born_ms` the start time in milliseconds since 1970. `sequence` counts the
    reports of this start.
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
    sequence: int = 0

    @property
    def identity(self) -> tuple[str, str, int]:
        """Instance, address and start: constant for the life of a process."""
        return self.instance, self.address, self.born_ms

    def follows(self, before: 'RegisteredUpstream') -> bool:
        """Whether this is what the upstream reported after `before`.

        A restored store shows older reports of the same start again. Only a
        later one may take an upstream back that has begun to drain.
        """
        if self.identity != before.identity:
            return True
        if before.is_draining and not self.is_draining:
            return self.sequence > before.sequence
        return self.sequence >= before.sequence
