"""Tests of the reload that SIGHUP starts."""

from structlog.testing import capture_logs

from nutmegshore.commands.daemon import reload_entry
from nutmegshore.settings import write_example


class _Daemon:
    def __init__(self):
        self.reloaded = []

    def reload(self, settings):
        self.reloaded.append(settings)


def test_a_faulty_file_changes_nothing_and_is_logged(tmp_path):
    """Guards against a daemon that ends or opens up on a faulty reload."""
    path = tmp_path / 'entry.ini'
    daemon = _Daemon()
    path.write_text('[operators]\nunauthenticated = yes\n')
    with capture_logs() as lines:
        reload_entry(daemon, str(path))
    assert not daemon.reloaded
    assert lines[0]['event'] == 'reload_refused'
    path.write_text(write_example('vestfold'))
    reload_entry(daemon, str(path))
    assert daemon.reloaded[0].access.allows_unauthenticated
