"""Adapter that lets steering admit requests by their caps."""

from nutmegshore.caps import Caps
from nutmegshore.steering import CapGate

__all__ = ('CapsGate',)


class CapsGate(CapGate):
    """Admits a request if this entry has a free unit of the cap."""

    def __init__(self, caps: Caps) -> None:
        """Acquire units from the caps of this entry."""
        self._caps = caps

    def try_acquire(self, kind: str, name: str, size_bytes: int = 0) -> bool:
        """Acquire a unit of the object's cap; False if none is free."""
        return self._caps.try_acquire(kind, name, size_bytes=size_bytes)

    def release_unit(self, kind: str, name: str) -> None:
        """Release the unit when its request has ended."""
        self._caps.release(kind, name)
