"""The entry daemon and its components."""

from nutmegshore.entry.components import EntryComponents
from nutmegshore.entry.dependencies import EntryDependencies, EntryOptions
from nutmegshore.entry.daemon import EntryDaemon

__all__ = (
    'EntryDaemon',
    'EntryOptions',
    'EntryComponents',
    'EntryDependencies',
)
