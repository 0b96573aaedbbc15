"""Tests of the gateway's settings and of the template that fills them in."""

import pathlib
import re
from types import MappingProxyType

import pytest

from nutmegshore.errors import SettingsError
from nutmegshore.gateway.settings import read_settings

_TEMPLATE = pathlib.Path('deploy/settings.ini.template').read_text()
_FIELDS = MappingProxyType(
    {
        'NodeName': 'edge-west-a-1',
        'Ip': '10.1.0.15',
        'Region': 'west',
        'Zone': 'west-a',
        'ListenAddrs.Frontend': '10.1.0.15:8641',
        'ListenAddrs.Ready': '10.1.0.15:8640',
        'ListenAddrs.Directory': '10.1.0.15:8644',
        'InternalPorts.0': '7620',
        'SeedAddrs': '10.1.0.15:8649,10.2.0.42:8649',
        'Limits.LinkMbps': '10.0',
        'Limits.MemoryMb': '152',
        'Limits.MaxFds': '1535',
        'Platform.Addr': '10.200.1.7:8642',
    }
)
_TABLES = MappingProxyType(
    {
        'Zones': {'west-a': 'west', 'east-a': 'east'},
        'Bounds': {'GraceS': '7', 'BudgetExtraRetries': '58', 'NewBound': '1'},
    }
)
_SECTION = re.compile(r'\{\{#(\w+)\}\}(.*?)\{\{/\1\}\}', re.DOTALL)
_PLACEHOLDER = re.compile(r'\{\{([\w.]+)\}\}')


def _fill_section(found):
    return ''.join(
        found[2].replace('{{@}}', key).replace('{{.}}', text)
        for key, text in _TABLES[found[1]].items()
    )


def _fill(template, fields=_FIELDS):
    """Fill a template in as the platform does."""
    flat = _SECTION.sub(_fill_section, template)
    return _PLACEHOLDER.sub(lambda found: fields[found[1]], flat)


def test_the_template_gives_whole_settings():
    """Guards against a field of the platform that reaches no setting."""
    settings = read_settings(_fill(_TEMPLATE))
    assert settings.name == 'edge-west-a-1'
    assert settings.callers == '10.1.0.15:8641'
    assert settings.peer_port == 7620
    assert settings.link_mbps == pytest.approx(10)
    assert (settings.memory_mb, settings.max_fds) == (152, 1535)
    assert settings.seeds == ('10.1.0.15:8649', '10.2.0.42:8649')
    assert settings.regions_by_zone == {'west-a': 'west', 'east-a': 'east'}
    assert settings.bounds.grace_s == 7
    assert settings.bounds.extra_retries == 58


def test_a_link_of_unknown_rate_is_no_fault():
    fields = _FIELDS | {'Limits.LinkMbps': ''}
    settings = read_settings(_fill(_TEMPLATE, fields))
    assert settings.link_mbps == 0


def test_all_faults_are_reported_at_once():
    """Guards against settings that are mended one fault at a time."""
    broken = _fill(_TEMPLATE)
    broken = broken.replace('ip = 10.1.0.15', 'ip = here')
    broken = broken.replace('port = 7620', 'port = 99999')
    broken = broken.replace('[log]', '[log]\nshout = yes')
    with pytest.raises(SettingsError) as caught:
        read_settings(broken)
    assert len(caught.value.faults) == 3
    assert '[peers] port' in str(caught.value)


def test_a_zone_needs_its_region():
    """Guards against a gateway that takes its own upstreams for distant."""
    broken = _fill(_TEMPLATE).replace('region = west', 'region = east')
    with pytest.raises(SettingsError):
        read_settings(broken)


def test_settings_that_are_no_ini_are_refused():
    """Guards against a half-written file that is taken for an empty one."""
    with pytest.raises(SettingsError):
        read_settings('NodeName: x')


@pytest.mark.parametrize(
    'text', ['nan', 'inf', '-inf', '-1', '1e400', '', 'x', 'nan ']
)
def test_a_bound_that_bounds_nothing_is_a_fault(text):
    """Guards against a bound of nan or inf, which no comparison reaches, and
    against a negative one, which stops a gateway at once."""
    filled = _fill(_TEMPLATE).replace('GraceS = 7', f'GraceS = {text}')
    assert filled != _fill(_TEMPLATE)
    with pytest.raises(SettingsError, match='GraceS'):
        read_settings(filled)


@pytest.mark.parametrize('text', ['nan', 'inf', '1e400'])
def test_an_amount_that_is_no_number_is_a_fault(text):
    """Guards against a log without a limit."""
    section = f'[log]\nbytes_per_s = {text}\n'
    filled = re.sub(r'\[log\]\n[^[]*', section, _fill(_TEMPLATE))
    if section not in filled:
        filled = f'{filled}\n{section}'
    with pytest.raises(SettingsError, match='bytes_per_s'):
        read_settings(filled)
