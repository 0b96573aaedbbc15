"""The platform's object API and instance list."""

from nutmegshore.store.base import (
    Change,
    Changes,
    Expected,
    ListedInstance,
    Page,
    Platform,
    StoredObject,
)
from nutmegshore.store.http import HttpPlatform
from nutmegshore.store.memory import MemoryPlatform, MemoryStore
from nutmegshore.store.resolve import make_operation, write_resolved
from nutmegshore.store.standin import make_standin

__all__ = (
    'Change',
    'Changes',
    'Expected',
    'HttpPlatform',
    'ListedInstance',
    'MemoryPlatform',
    'MemoryStore',
    'Page',
    'Platform',
    'StoredObject',
    'make_operation',
    'make_standin',
    'write_resolved',
)
