"""Golden files of whole operator sessions."""

import json
from types import MappingProxyType

import attrs

from nutmegshore.operators import StatusPart

_SHIFT = MappingProxyType(
    {
        'service': 'tallies',
        'from_region': 'west',
        'to_region': 'north',
        'share': 0.5,
        'cap': 100,
    }
)


def _write(path, wishes):
    path.write_text(json.dumps(wishes, default=dict))


def test_a_session_of_apply_diff_and_delete(
    session, tmp_path, monkeypatch, snapshot
):
    """Guards against output, order or exit codes that change unnoticed."""
    monkeypatch.chdir(tmp_path)
    shift = {'kind': 'shift', 'name': 's', 'spec': _SHIFT}
    drain = {'kind': 'drain', 'name': 'd', 'spec': {'region': 'west'}}
    _write(tmp_path / 'new.json', [shift, drain])
    changed = {**shift, 'spec': {**_SHIFT, 'cap': 80}, 'reason': 'less'}
    _write(tmp_path / 'changed.json', [changed, drain])
    _write(tmp_path / 'stale.json', {**shift, 'generation': 1})
    bad = {**drain, 'name': 'bad', 'spec': {'zone': 'x'}}
    _write(tmp_path / 'bad.json', [changed, bad])
    _write(tmp_path / 'shape.json', [{'kind': 'drain', 'nam': 'x'}, 3])
    session.run('get')
    session.run('apply -f new.json --dry-run')
    session.run('apply -f new.json --reason launch')
    session.operator = 'ben'
    session.run('apply -f changed.json')
    session.run('apply -f changed.json')
    session.run('apply -f stale.json')
    session.run('apply -f bad.json')
    session.run('apply -f shape.json')
    session.run('apply -f none.json')
    session.run('get shift')
    session.run('get shift s -o json')
    session.run('delete shift s --reason done')
    session.run('get shift s')
    session.run('delete shift s')
    session.run('watch --count 2')
    assert '\n'.join(session.transcript) == snapshot


def test_a_session_of_intents_and_reports(session, snapshot):
    """Guards against a drain whose wait ends with the wrong exit code."""
    part = StatusPart('drain', 'region-west', {'moved': 4}, 0.25)
    session.run('drain rack west')
    session.run('drain region west --reason fans')
    session.run('drain region west --wait --timeout 5')
    session.parts = [attrs.evolve(part, held_back_by=('no headroom',))]
    session.run('drain region west --wait --patience 10')
    session.parts = [attrs.evolve(part, progress=1)]
    session.run('drain region west --wait')
    session.run('drain region west --wait --timeout nan')
    session.run('shift tallies west north --share 0.5 --cap 100')
    session.run('shift tallies west north --share half --cap 100')
    session.run('shift tallies west west --share 2 --cap 100')
    session.run('status')
    session.run('status drain region-west -o json')
    session.run('status drain none')
    session.run('explain tallies --region west')
    session.store.faults.is_down = True
    session.run('drain region west')
    session.run('get -o yaml')
    session.run('get --nothing')
    session.run('drain region')
    assert '\n'.join(session.transcript) == snapshot


def test_help_texts_are_complete(session, snapshot):
    """Guards against options without help and help that changes unnoticed."""
    commands = (
        'apply',
        'delete',
        'drain',
        'entry',
        'example-objects',
        'explain',
        'get',
        'platform-standin',
        'settings check',
        'settings example',
        'shift',
        'status',
        'token',
        'watch',
    )
    for command in commands:
        assert session.run(f'{command} --help') == 0
    assert '\n'.join(session.transcript) == snapshot
