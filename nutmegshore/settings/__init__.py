"""Settings of an entry: reads, checks and writes INI files."""

from nutmegshore.settings.example import DEPLOYMENTS, write_example
from nutmegshore.settings.parse import (
    EntrySettings,
    parse_settings,
    read_settings,
)
from nutmegshore.settings.tls import make_peer_contexts, make_tls_context

__all__ = (
    'DEPLOYMENTS',
    'EntrySettings',
    'make_peer_contexts',
    'make_tls_context',
    'parse_settings',
    'read_settings',
    'write_example',
)
