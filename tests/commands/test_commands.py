"""Tests of single commands and of their exit codes."""

import json

import pytest

from nutmegshore.errors import (
    ErrorKind,
    NutmegshoreError,
    PlatformAnswerLost,
    PlatformUnavailable,
)
from nutmegshore.operators.access import parse_token
from nutmegshore.operators.client import EntryUnreachable, MemoryOperatorClient
from nutmegshore.settings import parse_settings


class _Failing(MemoryOperatorClient):
    error = None

    async def iter_objects(self, kind):
        raise self.error


class _Raced(MemoryOperatorClient):
    async def dry_run(self, wishes):
        found = await super().dry_run(wishes)
        await self.write('drain', 'd', {'region': 'north'}, 0, 'mine')
        return found


@pytest.mark.parametrize('deployment', ['vestfold', 'patelwadi'])
def test_examples_pass_their_own_checks(session, tmp_path, deployment):
    """Guards against printed examples that the next command refuses."""
    settings = tmp_path / 'entry.ini'
    manifest = tmp_path / 'objects.json'
    session.run(f'settings example {deployment}')
    settings.write_text(session.output)
    session.run(f'example-objects {deployment}')
    manifest.write_text(session.output)
    assert session.run(f'settings check {settings}') == 0
    assert session.run(f'apply -f {manifest}') == 0
    assert 'warning' not in session.output
    assert len(session.store.by_key) == len(json.loads(manifest.read_text()))


def test_a_faulty_settings_file_is_refused_with_every_fault(session, tmp_path):
    """Guards against a check that stops at the first fault."""
    path = tmp_path / 'entry.ini'
    path.write_text('[callers]\nport = x\nprot = 1\n')
    assert session.run(f'settings check {path}') == 2
    assert session.run(f'entry {path}') == 2
    assert '[callers] port = x: expected' in session.errors
    assert 'prot: unknown key; nearest is port' in session.errors


def test_a_token_is_accepted_by_its_settings_line(session):
    """Guards against a printed line that does not admit the token."""
    assert session.run('token ann write') == 0
    token, line = (
        text.partition(': ')[2] for text in session.output.splitlines()
    )
    assert parse_token(line).token.matches(token)
    session.run('settings example vestfold')
    text = session.output.replace('# tokens =', f'tokens =\n  {line}')
    assert parse_settings(text).access.tokens
    assert session.run('token ann owner') == 2
    assert session.run('settings example oslo') == 2
    assert session.run('example-objects oslo') == 2


def test_options_go_before_the_environment(session):
    """Guards against a token that is sent to the wrong server."""
    session.environ = {
        'NUTMEGSHORE_SERVER': 'http://127.0.0.2:1',
        'NUTMEGSHORE_TOKEN': 'inherited',
    }
    session.run('get --server http://127.0.0.3:1')
    session.run('get --token given')
    found = [(server.url, server.token) for server in session.servers]
    assert found == [
        ('http://127.0.0.3:1', 'inherited'),
        ('http://127.0.0.2:1', 'given'),
    ]


@pytest.mark.parametrize(
    ('error', 'code'),
    [
        (EntryUnreachable('refused'), 4),
        (PlatformUnavailable('down'), 4),
        (PlatformAnswerLost('lost'), 1),
        (NutmegshoreError(ErrorKind.FORBIDDEN, 'no'), 1),
        (NutmegshoreError(ErrorKind.OUTCOME_UNKNOWN, 'no'), 1),
        (NutmegshoreError(ErrorKind.VERSION_CONFLICT, 'no'), 3),
        (NutmegshoreError(ErrorKind.INVALID_OBJECT, 'no'), 2),
    ],
)
def test_each_error_has_its_exit_code(session, monkeypatch, error, code):
    """Guards against scripts that cannot tell a conflict from an outage."""

    monkeypatch.setattr(_Failing, 'error', error)
    session.client_type = _Failing
    assert session.run('get') == code
    assert error.kind.value in session.errors


def test_an_apply_that_loses_a_race_is_a_conflict(session, tmp_path):
    """Guards against an apply that overwrites what the diff did not show."""
    path = tmp_path / 'drain.json'
    spec = {'region': 'west'}
    path.write_text(json.dumps({'kind': 'drain', 'name': 'd', 'spec': spec}))

    session.client_type = _Raced
    assert session.run(f'apply -f {path}') == 3
    assert 'generation 1 written by ann' in session.errors


def test_the_output_of_get_can_be_applied(session, tmp_path):
    """Guards against an object that cannot be read, edited and written."""
    path = tmp_path / 'objects.json'
    session.run('example-objects vestfold')
    path.write_text(session.output)
    session.run(f'apply -f {path}')
    session.run('drain region ostlandet')
    session.run('get -o json')
    path.write_text(session.output)
    assert session.run(f'apply -f {path}') == 0
    changes = {line.split()[0] for line in session.output.splitlines()}
    assert changes == {'unchanged'}


def test_a_drain_is_not_written_twice(session):
    """Guards against a repeated command that takes over another's drain."""
    session.run('drain region west --reason fans')
    session.operator = 'ben'
    assert session.run('drain region west') == 0
    assert session.api.get('drain', 'region-west').author == 'ann'
    session.run('drain upstream u --as region-west')
    session.client_type = _Raced
    assert session.run('drain entry e --as d') == 3
