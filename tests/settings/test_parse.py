"""Tests of the settings."""

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
def test_the_examples_pass_the_check(deployment):
    """Guards against an example that does not run."""
    text = write_example(deployment)
    settings = parse_settings(text)
    assert settings.get('peers', 'cluster') == deployment
    assert settings.access.allows_unauthenticated


def test_every_commented_default_of_the_example_is_the_default():
    """Guards against an example that shows other defaults than hold."""
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
    """Guards against operators who learn of one fault per attempt."""
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
def test_settings_that_do_not_fit_together_are_faults(old, new, fault):
    """Guards against a listener that starts without what it needs."""
    with pytest.raises(SettingsError) as caught:
        parse_settings(_example_with(old, new))
    assert fault in str(caught.value)


def test_tokens_are_read_with_their_roles():
    """Guards against a role that is lost between file and check."""
    lines = f'tokens =\n  ann write {_HASH}\n  board read {_HASH}'
    grants = parse_settings(_example_with('# tokens =', lines)).access.tokens
    found = [(who.credential.name, who.credential.role.value) for who in grants]
    assert found == [('ann', 'write'), ('board', 'read')]


def test_a_file_that_cannot_be_read_is_a_fault(tmp_path):
    """Guards against a traceback for a wrong path or a binary file."""
    binary = tmp_path / 'x.ini'
    binary.write_bytes(b'\xff\xfe')
    for path in (binary, tmp_path / 'none', tmp_path):
        with pytest.raises(SettingsError) as caught:
            read_settings(str(path))
        assert str(path) in str(caught.value)
