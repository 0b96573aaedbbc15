"""Clients of the platform's object API and instance list."""

from nutmegshore.store.base import (
    Change,
    Changes,
    Expected,
    ListedInstance,
    Listing,
    ListingPage,
    Platform,
    StoredObject,
    StorePosition,
)
from nutmegshore.store.eras import StoreEras
from nutmegshore.store.http import HttpPlatform
from nutmegshore.store.memory import MemoryPlatform, MemoryStore
from nutmegshore.store.resolve import make_operation, write_resolved

__all__ = (
    'Change',
    'Changes',
    'Expected',
    'HttpPlatform',
    'ListedInstance',
    'Listing',
    'MemoryPlatform',
    'MemoryStore',
    'ListingPage',
    'Platform',
    'StoreEras',
    'StorePosition',
    'StoredObject',
    'make_operation',
    'write_resolved',
)
