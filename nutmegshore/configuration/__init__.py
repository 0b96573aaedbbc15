"""The configuration in force and its merge rule."""

from nutmegshore.configuration.table import ConfigurationTable

__all__ = ('ConfigurationTable',)
