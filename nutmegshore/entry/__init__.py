"""The entry daemon and its parts."""

from nutmegshore.entry.daemon import EntryDaemon
from nutmegshore.entry.parts import EntryOptions, EntryParts, Outside

__all__ = (
    'EntryDaemon',
    'EntryOptions',
    'EntryParts',
    'Outside',
)
