"""What callers may take of the memory and descriptors of an instance."""

import resource

import attrs

from nutmegshore.byte_budget import ByteBudget
from nutmegshore.counters import Counters

__all__ = ('DEFAULT_MEMORY_MB', 'InstanceLimits')

#: Memory in MB of an instance whose settings do not tell it.
DEFAULT_MEMORY_MB = 512

_MB = 1_048_576
#: Memory in MB of a process without callers, with its fleet's state and its
#: metrics.
_PROCESS_MB = 64
#: Part of the remaining memory for buffered bytes. As much again is left for
#: the objects of requests, for copies, and for free space between blocks.
_BUFFER_PART = 0.375
#: Part of the remaining memory for the connections themselves, and what each
#: takes beside its buffered bytes: its objects, one piece that is passed on and
#: at most two that wait to be read.
_CONNECTION_PART = 0.25
_CONNECTION_BYTES = 65_536
#: Part of the descriptors for the store, peers, pages and the log, and the
#: greatest number of descriptors that they are given.
_RESERVE_PART = 0.25
_MAX_RESERVE = 512
#: Part of the descriptors for idle connections to upstreams.
_IDLE_PART = 0.0625
_MAX_IDLE = 512
#: Descriptors that are used where neither limit is known.
_UNLIMITED_DESCRIPTORS = 65_536
#: Descriptors of a request: its caller's connection and its upstream's.
_PER_REQUEST = 2
_MIN_BUFFER_BYTES = 8 * _MB
_MIN_CONNECTIONS = 16


@attrs.frozen
class InstanceLimits:
    """Limits on all callers of one process together.

    `buffer_bytes` may be held of bodies and answers, `connections` may be open,
    and `idle_upstreams` is the number of unused connections to upstreams.
    """

    buffer_bytes: int
    connections: int
    idle_upstreams: int = _MAX_IDLE

    @classmethod
    def of_instance(
        cls, memory_mb: float = 0, descriptors: int = 0
    ) -> 'InstanceLimits':
        """Divide memory and descriptors; 0 stands for not known.

        The process's own limit on descriptors is kept in any case.
        """
        free_mb = (memory_mb or DEFAULT_MEMORY_MB) - _PROCESS_MB
        free_bytes = max(free_mb, 0) * _MB
        usable = _usable_descriptors(descriptors)
        reserve = min(int(usable * _RESERVE_PART), _MAX_RESERVE)
        idle = min(int(usable * _IDLE_PART), _MAX_IDLE)
        by_memory = int(free_bytes * _CONNECTION_PART / _CONNECTION_BYTES)
        by_descriptors = (usable - reserve - idle) // _PER_REQUEST
        return cls(
            max(int(free_bytes * _BUFFER_PART), _MIN_BUFFER_BYTES),
            max(min(by_memory, by_descriptors), _MIN_CONNECTIONS),
            max(idle, 1),
        )

    def make_budget(self, counters: Counters) -> ByteBudget:
        """Return the budget for what the process holds for its callers."""
        return ByteBudget(self.buffer_bytes, counters)


def _usable_descriptors(descriptors: int) -> int:
    """Return the smaller one of the instance's and the process's own limit."""
    allowed = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    if allowed == resource.RLIM_INFINITY:
        return descriptors or _UNLIMITED_DESCRIPTORS
    return min(descriptors or allowed, allowed)
