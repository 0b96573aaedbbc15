"""Tests of the ledger's form and of the lease renewals in it."""

import attrs
import pytest

from nutmegshore.caps.ledger import (
    LeaseRenewal,
    Ledger,
    Share,
    claim_share,
    parse_ledger,
    write_ledger,
)
from nutmegshore.resources import InvalidObject

_ANN = ('a', '1')
_BEN = ('b', '1')


_SHARE = Share('a', '1', 1, 1, 9, 1)


def _body(*shares):
    return write_ledger(Ledger(1, 5, shares))


def _renewal(identity, **options):
    options = {'generation': 1, 'cap': 10, 'lease_seconds': 60, **options}
    return LeaseRenewal(identity=identity, **options)


def _two():
    ledger = claim_share(Ledger(), _renewal(_ANN, expected_owners=2))
    return claim_share(ledger, _renewal(_BEN, expected_owners=2))


def test_a_ledger_reads_back_as_written():
    """Guards against fields that get lost in the store."""
    assert parse_ledger(write_ledger(_two())) == _two()


@pytest.mark.parametrize(
    'body',
    [
        b'',
        b'[]',
        b'{"generation": 1, "cap": true, "shares": []}',
        b'{"generation": 1, "cap": 5, "shares": [{"owner": "a"}]}',
        _body(_SHARE, _SHARE),
        _body(attrs.evolve(_SHARE, target=2)),
        _body(attrs.evolve(_SHARE, units=-1, target=-1)),
        _body(attrs.evolve(_SHARE, lease_seconds=0)),
    ],
)
def test_a_malformed_ledger_is_refused(body):
    """Guards against units that a damaged object would assign."""
    with pytest.raises(InvalidObject):
        parse_ledger(body)


def test_units_are_assigned_once():
    """Guards against a sum of shares above the cap."""
    assert [share.units for share in _two().shares] == [5, 5]
    assert claim_share(_two(), _renewal(('c', '1'))) == _two()


def test_a_cut_is_assigned_again_only_when_confirmed():
    """Guards against a lower cap whose old owners still use theirs."""
    lower = _renewal(_ANN, generation=2, cap=4, unreleased=5)
    cut = claim_share(_two(), lower)
    targets = [(share.units, share.target) for share in cut.shares]
    assert targets == [(5, 2), (5, 2)]
    assert cut.free == 0
    confirmed = claim_share(cut, attrs.evolve(lower, unreleased=2))
    assert confirmed.assigned == 7


def test_an_older_generation_changes_no_cap():
    """Guards against an instance that lags and raises the cap again."""
    lowered = claim_share(
        _two(), _renewal(_ANN, generation=2, cap=4, unreleased=5)
    )
    stale = claim_share(lowered, _renewal(_BEN, generation=1, unreleased=5))
    assert stale.cap == 4


def test_a_deleted_cap_stays_owned_until_its_owners_release_it():
    """Guards against a re-created object beside units still in use."""
    ledger = claim_share(
        _two(), _renewal(_ANN, generation=2, cap=0, unreleased=5)
    )
    again = claim_share(ledger, _renewal(_BEN, generation=3, unreleased=5))
    assert again.assigned <= again.cap


def test_at_most_nine_instances_own_shares():
    """Guards against platform writes that grow with the entries."""
    ledger = Ledger()
    for index in range(20):
        renewal = _renewal((f'e{index}', '1'), cap=900, expected_owners=20)
        ledger = claim_share(ledger, renewal)
    assert len(ledger.shares) == 9
