"""Tests of reloads of a running gateway's settings."""

import pytest

from nutmegshore.counters import Counters
from nutmegshore.faults import Faults
from nutmegshore.gateway import settings_watch as watching
from nutmegshore.gateway.settings_watch import SettingsWatch


class Target:
    """Collects what is reloaded and what is reported."""

    def __init__(self):
        self.reloaded = []
        self.reported = []
        self.failure = None

    def reload(self, settings):
        if self.failure is not None:
            raise self.failure
        self.reloaded.append(settings)

    def report_reload(self, fault):
        self.reported.append(fault)


@pytest.fixture
def target():
    """Stand-in of a running gateway."""
    return Target()


@pytest.fixture
def watch(tmp_path, target, monkeypatch):
    """Watch of a file whose settings are its text."""
    monkeypatch.setattr(watching, 'read_settings', str)
    path = tmp_path / 'settings.ini'
    path.write_text('first')
    return path, SettingsWatch(path, 'first', target, Faults(Counters()))


def test_settings_are_reloaded_when_they_change_or_on_request(watch, target):
    """Guards against reloads that are lost or not asked for."""
    path, settings_watch = watch
    settings_watch.check(is_requested=False)
    settings_watch.check(is_requested=True)
    path.write_text('second')
    settings_watch.check(is_requested=False)
    settings_watch.check(is_requested=False)
    assert target.reloaded == ['first', 'second']


@pytest.mark.parametrize('spoilt', [b'\xff\xfe', None])
def test_a_file_that_cannot_be_read_ends_no_watch(watch, target, spoilt):
    """Guards against SIGHUP without effect for good: a file that is not UTF-8
    ended the task that follows the settings."""
    path, settings_watch = watch
    path.unlink()
    if spoilt is not None:
        path.write_bytes(spoilt)
    settings_watch.check(is_requested=True)
    assert target.reported[0].startswith('settings file: ')
    path.write_text('second')
    settings_watch.check(is_requested=False)
    assert target.reloaded == ['second']


@pytest.mark.expects_faults
def test_a_fault_in_a_reload_ends_no_watch(watch, target):
    """Guards against SIGHUP without effect after a fault of our own code."""
    path, settings_watch = watch
    target.failure = ArithmeticError('of a test')
    settings_watch.check(is_requested=True)
    target.failure = None
    settings_watch.check(is_requested=True)
    assert target.reloaded == ['first']
