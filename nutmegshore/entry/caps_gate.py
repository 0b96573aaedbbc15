"""Caps as the gate that steering asks."""

from nutmegshore.caps import Caps
from nutmegshore.steering import CapGate

__all__ = ('CapsGate',)


class CapsGate(CapGate):
    """Admits requests by the units that this entry may use."""

    def __init__(self, caps: Caps) -> None:
        """Take units from the caps of this entry."""
        self._caps = caps

    def try_acquire(self, kind: str, name: str, size_bytes: int = 0) -> bool:
        """Take one unit of the named object's cap; False if there is none."""
        return self._caps.try_acquire(kind, name, size_bytes=size_bytes)

    def release_unit(self, kind: str, name: str) -> None:
        """Report the end of the request that took the unit."""
        self._caps.release(kind, name)
