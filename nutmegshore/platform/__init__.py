"""The platform's object API and instance list."""

from nutmegshore.platform.base import (
    Change,
    Changes,
    Expected,
    ListedInstance,
    Page,
    Platform,
    StoredObject,
)
from nutmegshore.platform.http import HttpPlatform
from nutmegshore.platform.memory import MemoryPlatform, MemoryStore
from nutmegshore.platform.resolve import make_operation, write_resolved
from nutmegshore.platform.standin import make_standin

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
