"""Tests of the operator listener over real sockets."""

import asyncio
from types import MappingProxyType

import pytest

from nutmegshore.errors import PlatformAnswerLost
from nutmegshore.operators import ConflictReport, Providers

_WEST = MappingProxyType({'region': 'west'})


def test_a_conflict_returns_the_present_object(listen):
    """Guards against lost updates, and authors taken from the request."""

    async def session():
        listener = listen()
        path = '/objects/drain/d?reason=rack'
        first, made = await listener.call('PUT', path, _WEST, If_Match='0')
        again, lost = await listener.call('PUT', path, _WEST, If_Match='0')
        update = await listener.call(
            'PUT', path, _WEST, If_Match='"1"', Author='eve'
        )
        assert (first.code, again.code) == (200, 409)
        return again, made, lost, update[1]

    again, made, lost, updated = asyncio.run(session())
    assert again.headers['Nutmegshore-Outcome'] == 'not-run'
    assert lost['present'] == made
    assert (made['author'], made['reason']) == ('ann', 'rack')
    assert (updated['author'], updated['generation']) == ('ann', 2)


@pytest.mark.parametrize(
    ('call', 'status', 'field'),
    [
        (('PUT', '/objects/drain/d', '{'), 422, 'body'),
        (('PUT', '/objects/drain/d', '[' * 900), 422, 'body'),
        (('PUT', '/objects/drain/d', b'\xff'), 422, 'body'),
        (('PUT', '/objects/drain/d', 'null'), 422, 'spec'),
        (('PUT', '/objects/drain/d', {'zone': 'x'}), 422, 'zone'),
        (('PUT', '/objects/drian/d', _WEST), 422, 'kind'),
        (('PUT', '/objects/drain/d%20', _WEST), 422, 'name'),
        (('PUT', '/objects/drain/d', 'x' * 1001), 422, 'body'),
        (('POST', '/dry-run', _WEST), 422, 'body'),
        (('GET', '/objects/drian'), 404, ''),
        (('GET', '/objects/drain/d'), 404, ''),
        (('DELETE', '/objects/drain/d'), 404, ''),
        (('GET', '/nothing'), 404, ''),
        (('POST', '/objects'), 405, ''),
    ],
)
def test_bad_input_names_the_field_and_stores_nothing(
    listen, call, status, field
):
    """Guards against errors without a field and partial writes."""

    async def session():
        listener = listen()
        answer = await listener.call(*call)
        return *answer, listener.side.store.call_counts['write']

    response, fields, writes = asyncio.run(session())
    assert (response.code, writes) == (status, 0)
    found = [fault['field'] for fault in fields.get('faults', [])]
    assert field in found or not field


def test_access_comes_before_everything_else(listen):
    """Guards against calls without a credential that read or write."""

    async def session():
        listener = listen()
        answers = [
            await listener.call('GET', '/objects', token=''),
            await listener.call('GET', '/nothing', token=''),
            await listener.call('PUT', '/objects/x/y', '{', token='board'),
            await listener.call('GET', '/health', token=''),
        ]
        return [response.code for response, _ in answers]

    assert asyncio.run(session()) == [401, 401, 403, 200]


def test_a_bad_condition_is_refused(listen):
    """Guards against ignoring a condition that cannot be parsed."""

    async def session():
        listener = listen()
        codes = []
        for condition in ('x', '*', '-1', '9' * 30):
            response, _ = await listener.call(
                'PUT', '/objects/drain/d', _WEST, If_Match=condition
            )
            codes.append(response.code)
        return codes

    assert set(asyncio.run(session())) == {422}


def test_a_lost_answer_is_settled(listen):
    """Guards against a failure that is shown for a write that succeeded."""

    async def session():
        listener = listen()
        listener.side.platform.faults.lost_answers = 9
        response, fields = await listener.call('PUT', '/objects/drain/d', _WEST)
        return response.code, fields['generation']

    assert asyncio.run(session()) == (200, 1)


def test_an_unknown_outcome_is_answered_as_unknown(listen, monkeypatch):
    """Guards against "not run" for a write that may be in the store."""

    async def lose(declaration):
        raise PlatformAnswerLost(declaration.subject)

    async def session():
        listener = listen()
        monkeypatch.setattr(listener.side.declarer, 'declare', lose)
        response, fields = await listener.call('PUT', '/objects/drain/d', _WEST)
        assert response.headers['Nutmegshore-Outcome'] == 'unknown'
        return response.code, fields['error'], fields['outcome']

    expected = (504, 'platform_answer_lost', 'unknown')
    assert asyncio.run(session()) == expected


def test_a_platform_that_is_down_is_answered_as_not_run(listen):
    """Guards against a refusal that an operator cannot rely on."""

    async def session():
        listener = listen()
        listener.side.store.faults.is_down = True
        response, _ = await listener.call('PUT', '/objects/drain/d', _WEST)
        return response.code, response.headers['Nutmegshore-Error']

    assert asyncio.run(session()) == (503, 'platform_unavailable')


def test_a_dry_run_shows_changes_conflicts_and_warnings(listen):
    """Guards against a wrong preview, and a dry run that writes."""
    conflict = ConflictReport('drain/d', 'shift/s', 'west')
    providers = Providers(
        find_conflicts=lambda by_key: [conflict] if len(by_key) > 1 else [],
        why_not_ready=lambda: 'no snapshot yet',
    )

    async def session():
        listener = listen(providers=providers)
        await listener.call('PUT', '/objects/drain/d', _WEST)
        wishes = [
            {'kind': 'drain', 'name': 'd', 'spec': {'region': 'north'}},
            {'kind': 'drain', 'name': 'e', 'spec': {'upstream': 'u'}},
            {'kind': 'drain', 'name': 'f', 'spec': {}},
            {'kind': 'drain', 'name': 'g'},
        ]
        _, found = await listener.call('POST', '/dry-run', wishes)
        ready, _ = await listener.call('GET', '/ready')
        return found, ready.code, listener.side.store.call_counts['write']

    found, ready, writes = asyncio.run(session())
    changes = [preview['change'] for preview in found['previews']]
    assert changes == ['update', 'create', 'refused', 'unchanged']
    assert found['previews'][0]['before'] == {'region': 'west'}
    assert 'there is no u' in found['previews'][1]['warnings'][0]
    assert found['conflicts'][0]['winner'] == 'drain/d'
    assert (ready, writes) == (503, 1)


@pytest.mark.expects_faults
@pytest.mark.parametrize('method', ['PUT', 'GET'])
def test_a_fault_of_our_own_is_answered_and_reported(
    listen, monkeypatch, capsys, method
):
    """Guards against a fault that an operator sees and nobody else does, and
    against "not run" for a write that may be in the store."""

    def fail(*_):
        raise ArithmeticError('of a test')

    async def session():
        listener = listen()
        monkeypatch.setattr(listener.side.api, 'declare', fail)
        monkeypatch.setattr(listener.side.api, 'get', fail)
        body = _WEST if method == 'PUT' else None
        answer = await listener.call(method, '/objects/drain/d', body)
        return *answer, listener.side.counters

    response, fields, counters = asyncio.run(session())
    assert response.code == 500
    assert response.headers['Content-Type'] == 'application/json'
    assert response.headers['Nutmegshore-Outcome'] == 'unknown'
    assert (fields['error'], fields['outcome']) == ('internal', 'unknown')
    assert fields['advice']
    assert 'of a test' not in response.body.decode()
    assert counters.total('internal_faults', part='operators') == 1
    written = capsys.readouterr()
    assert "ArithmeticError('of a test')" in written.out
    assert 'in fail' in written.out
    assert not written.err


def test_a_refusal_is_no_fault(listen):
    """Guards against alarms for what operators get wrong."""

    async def session():
        listener = listen()
        await listener.call('GET', '/objects/drain/d')
        await listener.call('PUT', '/objects/drain/d', '{')
        await listener.call('GET', '/explain?service=%ff')
        return listener.side.counters

    assert not asyncio.run(session()).total('internal_faults')
