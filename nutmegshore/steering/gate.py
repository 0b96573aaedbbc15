"""Hook through which declared caps and limits admit requests."""

import abc

__all__ = ('CapGate', 'ClosedGate')


class CapGate(abc.ABC):
    """Admits single requests under the cap of a shift or a limit.

    `try_acquire('shift', name)` takes one unit, or returns False. `size_bytes`
    is the length of the body, 0 where it is not known in advance. A unit of a
    concurrency limit is busy until `give_back`; for rates `give_back` is only
    called for a request that was not sent.
    """

    @abc.abstractmethod
    def try_acquire(self, kind: str, name: str, size_bytes: int = 0) -> bool:
        """Take one unit of the named object's cap; False if there is none."""

    @abc.abstractmethod
    def give_back(self, kind: str, name: str) -> None:
        """Report the end of the request that took the unit."""


class ClosedGate(CapGate):
    """Refuses every unit, so that no cap is exceeded without a ledger."""

    def try_acquire(self, kind: str, name: str, size_bytes: int = 0) -> bool:
        """Refuse."""
        return False

    def give_back(self, kind: str, name: str) -> None:
        """Do nothing, since no unit is ever taken."""
