"""Tests of parsing and checking settings."""

import pytest

from nutmegshore.errors import SettingsError
from nutmegshore.settings import (
    DEPLOYMENTS,
    parse_settings,
    read_settings,
    write_example,
)

_HASH = 'sha256:aa:{0}'.format('0' * 64)


@pytest.mark.parametrize('deployment', sorted(DEPLOYMENTS))
def test_the_examples_are_valid(deployment):
    """Guards against an example that an entry cannot start with."""
    text = write_example(deployment)
    settings = parse_settings(text)
    assert settings.get('peers', 'cluster') == deployment
    assert settings.access.allows_unauthenticated


def test_the_defaults_shown_in_the_example_are_in_effect():
    """Guards against an example that documents defaults not in effect."""
    text = write_example('vestfold')
    shown = parse_settings(text)
    uncommented = []
    for line in text.splitlines():
        bare = line.removeprefix('# ')
        is_key = ' = ' in bare and '.' not in bare
        uncommented.append(bare if is_key else line)
    assert parse_settings('\n'.join(uncommented)) == shown


_FAULTY = """
[instance]
name = e1
region =
zone = a
[callers]
address = localhost
port = 80
port = 81
[operators]
address = 10.0.0.1
port = 99999
unauthenticated = yes
tokens = ann write secret-in-plain-text
tls = true
[peers]
key = short
[platform]
url = http://store:80
[lgos]
form = json
"""


def test_all_faults_are_reported_at_once():
    """Guards against a check that reports only the first fault."""
    with pytest.raises(SettingsError) as caught:
        parse_settings(_FAULTY)
    assert caught.value.faults == [
        '[callers] port: occurs 2 times',
        '[instance] zone: unknown key; nearest is name',
        '[lgos]: unknown section; nearest is logs',
        '[instance] region = : expected a region name',
        '[instance] availability_zone: missing, an availability zone name',
        '[callers] address = localhost: expected an IP number',
        '[operators] port = 99999: expected a port from 0 to 65535',
        '[operators] tls = true: expected yes or no',
        '[operators] tokens = (not shown): expected lines of NAME read|write'
        ' sha256:SALT:DIGEST, names different',
        '[peers] key = (not shown): expected a shared key of at least 16'
        ' characters',
        '[platform] url = http://store:80: expected a URL as http://IP:port',
        '[operators] unauthenticated = yes: expected no, or a loopback'
        ' address; address is 10.0.0.1',
    ]


def _example_with(old, new):
    return write_example('vestfold').replace(old, new)


@pytest.mark.parametrize(
    ('old', 'new', 'fault'),
    [
        ('# tls = no', 'tls = yes', '[tls] certificate: missing'),
        ('# subjects =\n#', 'subjects =\n ', 'subjects: expected tls = yes'),
        ('[logs]', '[logs', 'the file'),
        ('[logs]', '[DEFAULT]\nx = 1\n[logs]', '[DEFAULT]: unknown section'),
    ],
)
def test_inconsistent_settings_are_rejected(old, new, fault):
    """Guards against a listener that starts without required settings."""
    with pytest.raises(SettingsError) as caught:
        parse_settings(_example_with(old, new))
    assert fault in str(caught.value)


def test_tokens_are_read_with_their_roles():
    """Guards against a token that gets another role than the file grants."""
    lines = f'tokens =\n  ann write {_HASH}\n  board read {_HASH}'
    grants = parse_settings(_example_with('# tokens =', lines)).access.tokens
    found = [
        (grant.credential.name, grant.credential.role.value) for grant in grants
    ]
    assert found == [('ann', 'write'), ('board', 'read')]


def test_an_unreadable_file_is_a_settings_error(tmp_path):
    """Guards against a traceback for a wrong path or a binary file."""
    binary = tmp_path / 'x.ini'
    binary.write_bytes(b'\xff\xfe')
    for path in (binary, tmp_path / 'none', tmp_path):
        with pytest.raises(SettingsError) as caught:
            read_settings(str(path))
        assert str(path) in str(caught.value)
