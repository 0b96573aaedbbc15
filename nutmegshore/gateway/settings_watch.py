"""Reloads of the settings of a running gateway."""

import pathlib
from typing import Protocol

from nutmegshore.errors import SettingsError
from nutmegshore.faults import Faults
from nutmegshore.gateway.settings import GatewaySettings, read_settings

__all__ = ('Reloadable', 'SettingsWatch')


class Reloadable(Protocol):
    """Anything that applies new settings while it runs."""

    def reload(self, settings: GatewaySettings) -> None:
        """Apply new settings."""

    def report_reload(self, fault: str) -> None:
        """Log why settings cannot be applied."""


class SettingsWatch:
    """Reloads the settings if their file changed or a signal requested it.

    What cannot be read, or not be applied, is logged; the old settings stay in
    use and the next check tries again.

        watch = SettingsWatch(path, text, daemon, faults)
        watch.check(is_requested=True)
    """

    def __init__(
        self,
        path: pathlib.Path,
        text: str,
        target: Reloadable,
        faults: Faults,
    ) -> None:
        """Watch a file whose `text` is in use."""
        self._path = path
        self._text = text
        self._target = target
        self._faults = faults

    def check(self, *, is_requested: bool) -> None:
        """Read the file, and apply it if that is due."""
        with self._faults.contain('settings'):
            self._check(is_requested=is_requested)

    def _check(self, *, is_requested: bool) -> None:
        try:
            text = self._path.read_text(encoding='utf-8')
        except (OSError, UnicodeDecodeError) as failure:
            self._target.report_reload(f'settings file: {failure}')
            return
        if text != self._text or is_requested:
            self._text = text
            self._apply(text)

    def _apply(self, text: str) -> None:
        try:
            settings = read_settings(text)
        except SettingsError as error:
            self._target.report_reload(str(error))
            return
        self._target.reload(settings)
