"""Start of a gateway process."""

import os
import sys

from nutmegshore.errors import SettingsError
from nutmegshore.gateway.run import SETTINGS_VARIABLE, run_gateway
from nutmegshore.logs import configure_logs

__all__ = ('main',)

_INVALID_SETTINGS = 2


def main() -> int:
    """Run the gateway until a signal stops it; returns the exit code."""
    configure_logs()
    try:
        run_gateway(os.environ[SETTINGS_VARIABLE])
    except SettingsError as error:
        sys.stderr.write(f'{error}\n')
        return _INVALID_SETTINGS
    return 0
