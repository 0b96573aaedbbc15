"""Tests of the verdicts on requests whose upstreams were lost."""

from nutmegshore.quarantine import Fingerprint, Suspects, Verdict
from nutmegshore.quarantine.suspects import (
    QUARANTINE_S,
    SHORT_QUARANTINE_S,
    SUSPICION_S,
)

_BAD = Fingerprint('orders', 'bad')
_GOOD = Fingerprint('orders', 'good')
_UPSTREAMS = ('u1', 'u2', 'u3', 'u4')


def test_the_loss_of_a_second_upstream_quarantines():
    """Guards against a request that crashes a third upstream."""
    suspects = Suspects()
    assert suspects.record_loss(_BAD, 'u1', 0) is Verdict.SUSPECT
    assert suspects.record_loss(_BAD, 'u1', 1) is Verdict.SUSPECT
    assert suspects.record_loss(_BAD, 'u2', 5) is Verdict.QUARANTINED


def test_a_quarantine_and_a_suspicion_expire():
    """Guards against a request that is refused forever."""
    suspects = Suspects()
    suspects.record_loss(_GOOD, 'u1', 0)
    assert suspects.verdict(_GOOD, SUSPICION_S + 1) is Verdict.CLEAR
    suspects.record_loss(_BAD, 'u1', 0)
    suspects.record_loss(_BAD, 'u2', 5)
    assert suspects.verdict(_BAD, QUARANTINE_S) is Verdict.QUARANTINED
    assert suspects.verdict(_BAD, QUARANTINE_S + 36) is Verdict.CLEAR


def test_suspects_of_one_loss_run_on_different_upstreams():
    """Guards against a second loss with several possible causes."""
    suspects = Suspects()
    found = [Fingerprint('orders', str(number)) for number in range(3)]
    for fingerprint in found:
        suspects.record_loss(fingerprint, 'u1', 0)
    assigned = [suspects.assigned(one, _UPSTREAMS, 1) for one in found]
    assert len(set(assigned)) == 3
    assert 'u1' not in assigned


def test_suspects_share_when_upstreams_are_fewer():
    """Guards against suspects that have no upstream assigned."""
    suspects = Suspects()
    found = [Fingerprint('orders', str(number)) for number in range(9)]
    for fingerprint in found:
        suspects.record_loss(fingerprint, 'u1', 0)
    assigned = {suspects.assigned(one, _UPSTREAMS, 1) for one in found}
    assert assigned == {'u2', 'u3', 'u4'}


def test_a_loss_of_many_upstreams_refuses_only_briefly():
    """Guards against a power loss that quarantines harmless requests."""
    suspects = Suspects()
    suspects.record_loss(_GOOD, 'u1', 0)
    suspects.record_loss(_BAD, 'u3', 0.5)
    assert suspects.record_loss(_GOOD, 'u2', 1) is Verdict.QUARANTINED
    later = SHORT_QUARANTINE_S + 2
    assert suspects.verdict(_GOOD, later) is Verdict.SUSPECT
    assert suspects.record_loss(_GOOD, 'u4', later) is Verdict.QUARANTINED


def test_suspicions_of_requests_that_never_repeat_expire():
    """Guards against a table that grows with each lost upstream."""
    suspects = Suspects()
    for number in range(100):
        fingerprint = Fingerprint('orders', str(number))
        suspects.record_loss(fingerprint, 'u1', number * (SUSPICION_S + 1))
    assert len(suspects) == 1


def test_an_adopted_verdict_refuses_until_it_expires():
    """Guards against a new entry that runs what the others refuse."""
    suspects = Suspects()
    suspects.adopt(_BAD, 40, 0)
    assert suspects.verdict(_BAD, 39) is Verdict.QUARANTINED
    assert suspects.quarantined(10) == {_BAD: 30}
    assert suspects.verdict(_BAD, 41) is Verdict.CLEAR
