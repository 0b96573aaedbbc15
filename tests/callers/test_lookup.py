"""Tests of the look-up of entries."""

import collections
import random

import attrs
import pytest

from nutmegshore.callers import (
    EntryAnswer,
    LookupAnswer,
    LookupLedger,
    check_service,
    lookup_entries,
)
from nutmegshore.clock import VirtualClock, run_virtual
from nutmegshore.errors import RequestError


@pytest.fixture
def entries(table, declare):
    """Table with two entries in the west and one in the north."""
    found = [
        declare(
            'region',
            'west',
            {'availability_zones': ['west-a'], 'delay_ms': {'north': 12}},
        ),
        declare('region', 'north', {'availability_zones': ['north-a']}),
    ]
    weights = {'w1': 3, 'w2': 1, 'w3': 0, 'n1': 9}
    found.extend(
        declare(
            'entry',
            name,
            {
                'region': 'west' if name.startswith('w') else 'north',
                'availability_zone': f'{name}-zone',
                'caller_address': '127.0.0.1:80',
                'weight': weight,
            },
        )
        for name, weight in weights.items()
    )
    table.merge(found)
    return table


def _names(table, excluded=(), seed=7):
    answer = lookup_entries(table, 'west', 5, excluded, random.Random(seed))
    return [entry.name for entry in answer.entries]


def test_near_entries_come_first_by_weight(entries):
    """Guards against callers that crowd one entry or cross regions."""
    draws = [_names(entries, seed=seed) for seed in range(1_000)]
    first = collections.Counter(names[0] for names in draws)
    assert all(names[2:] == ['n1'] for names in draws)
    # 750 of 1000 draws are expected; the standard deviation is 14.
    assert 690 < first['w1'] < 810


@pytest.mark.parametrize(
    ('drain', 'left'),
    [
        ({'entry': 'w1'}, ['w2', 'n1']),
        ({'region': 'west'}, ['n1']),
        ({'availability_zone': 'w2-zone'}, ['w1', 'n1']),
    ],
)
def test_drained_entries_are_omitted(entries, declare, drain, left):
    """Guards against callers that are sent to a draining entry."""
    entries.merge([declare('drain', 'd', drain)])
    assert _names(entries) == left


def test_excluded_entries_are_omitted(entries):
    """Guards against callers sent to a stopping or dead entry."""
    assert _names(entries, {'w1', 'n1'}) == ['w2']


def test_an_undeclared_service_has_no_entries(entries):
    """Guards against a misspelled service whose look-up succeeds."""
    check_service(entries, '')
    with pytest.raises(RequestError):
        check_service(entries, 'ordres')


def test_the_ledger_waits_for_the_last_answer():
    """Guards against a stop while a cached answer still names the entry."""

    async def session():
        clock = VirtualClock()
        ledger = LookupLedger(clock)
        entry = EntryAnswer('e1', '127.0.0.1:1', 'west')
        ledger.record(LookupAnswer((entry,), 5))
        await clock.sleep(3)
        ledger.record(LookupAnswer((entry,), 5))
        ledger.record(LookupAnswer((entry,), 1))
        ledger.record(LookupAnswer((), 60))
        await ledger.wait('e2')
        assert clock.now() == 3
        await ledger.wait('e1')
        return clock.now()

    assert run_virtual(session) == 8


def test_an_answer_lists_a_few_entries_per_distance(entries, declare):
    """Guards against answers that grow with the size of the system."""
    spec = entries.get('config/entry/w1').spec
    raw = {**attrs.asdict(spec), 'weight': 1}
    more = [declare('entry', f'more{index}', raw) for index in range(40)]
    entries.merge(more)
    names = _names(entries)
    assert len(names) == 17
    assert names[-1] == 'n1'
