"""The command line's list of commands."""

from cleo.application import Application

from nutmegshore.commands.daemon import EntryCommand, PlatformCommand

__all__ = ('make_application',)

_VERSION = '0.1.0'


def make_application() -> Application:
    """Application with every command."""
    application = Application('nutmegshore', _VERSION)
    application.add(EntryCommand())
    application.add(PlatformCommand())
    return application
