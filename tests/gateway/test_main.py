"""Tests of the start of a gateway process."""

import subprocess
import sys

#: Stands in for the modules that a gateway imports, which takes some time.
_HANGS_UP_IN_THE_IMPORT = """
import os, runpy, signal, sys, types

class Start(types.ModuleType):
    @property
    def main(self):
        os.kill(os.getpid(), signal.SIGHUP)
        return lambda: 0

sys.modules['nutmegshore.gateway.start'] = Start('start')
runpy.run_module('nutmegshore.gateway', run_name='__main__')
"""


def test_a_hangup_during_the_start_ends_nothing():
    """Guards against a gateway that ends since its settings change while it
    starts."""
    command = (sys.executable, '-c', _HANGS_UP_IN_THE_IMPORT)
    assert subprocess.run(command, check=False, timeout=30).returncode == 0
