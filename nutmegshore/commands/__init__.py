"""The command line."""

from nutmegshore.commands.application import make_application

__all__ = ('make_application',)
