"""The entry daemon and its parts."""

from nutmegshore.entry.components import EntryOptions, EntryParts, Outside
from nutmegshore.entry.daemon import EntryDaemon

__all__ = (
    'EntryDaemon',
    'EntryOptions',
    'EntryParts',
    'Outside',
)
