"""Interface through which declared caps and limits admit requests."""

import abc

__all__ = ('CapGate', 'ClosedGate')


class CapGate(abc.ABC):
    """Admits single requests under the cap of a shift or a limit.

    `try_acquire('shift', name)` acquires one unit, or returns False.
    `size_bytes` is the length of the body, 0 where it is not known in advance.
    A unit of a concurrency limit is in use until `release_unit`; for rates
    `release_unit` is only called for a request that was not sent.
    """

    @abc.abstractmethod
    def try_acquire(self, kind: str, name: str, size_bytes: int = 0) -> bool:
        """Acquire one unit of the named object's cap; False without one."""

    @abc.abstractmethod
    def release_unit(self, kind: str, name: str) -> None:
        """Release the unit of a request that ended."""


class ClosedGate(CapGate):
    """Refuses every unit, so that no cap is exceeded without a ledger."""

    def try_acquire(self, kind: str, name: str, size_bytes: int = 0) -> bool:
        """Return False, as no unit is ever available."""
        return False

    def release_unit(self, kind: str, name: str) -> None:
        """Do nothing, as no unit is ever acquired."""
