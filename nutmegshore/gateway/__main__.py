"""Entry point of `python -m nutmegshore.gateway`."""

import importlib
import signal
import sys


def main() -> int:
    """Run the gateway until a signal stops it; returns the exit code.

    SIGHUP is ignored until the settings are read: its default action would end
    a process that is still importing its modules.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    start = importlib.import_module('nutmegshore.gateway.start')
    return start.main()


if __name__ == '__main__':
    sys.exit(main())
