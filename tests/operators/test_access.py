"""Tests of authentication and roles."""

import random

import pytest

from nutmegshore.counters import Counters
from nutmegshore.errors import ErrorKind, ObjectError
from nutmegshore.operators import Access, AccessList, Role, make_token
from nutmegshore.operators.access import (
    ClientIdentity,
    parse_subject,
    parse_token,
)


def _grant(name, role, seed=1):
    token, hashed = make_token(random.Random(seed))
    return f'Bearer {token}', parse_token(f'{name} {role} {hashed}')


def _kind(access, caller, role=Role.READ):
    with pytest.raises(ObjectError) as caught:
        access.check(caller, role)
    return caught.value.kind


def test_roles_are_kept_apart_and_refusals_counted():
    """Guards against a reader that can write, and uncounted refusals."""
    header, grant = _grant('board', 'read')
    counters = Counters()
    access = Access(AccessList((grant,)), counters)
    assert access.check(ClientIdentity(header), Role.READ).name == 'board'
    assert (
        _kind(access, ClientIdentity(header), Role.WRITE) == ErrorKind.FORBIDDEN
    )
    for text in ('', 'Bearer', 'Bearer x', 'Basic a:b', f'{header}0'):
        assert _kind(access, ClientIdentity(text)) == ErrorKind.UNAUTHORIZED
    assert counters.total('operator_refusals', reason='forbidden') == 1
    assert counters.total('operator_refusals', reason='unauthorized') == 5


def test_a_withdrawn_token_is_refused_at_once():
    """Guards against credentials that outlive a reload."""
    header, grant = _grant('ann', 'write')
    access = Access(AccessList((grant,)), Counters())
    access.replace(AccessList((_grant('ann', 'write', 2)[1],)))
    assert _kind(access, ClientIdentity(header)) == ErrorKind.UNAUTHORIZED


def test_unauthenticated_calls_need_the_setting_and_loopback():
    """Guards against open access over the network."""
    open_access = Access(AccessList(allows_unauthenticated=True), Counters())
    local = ClientIdentity(remote_ip='127.0.0.1')
    assert open_access.check(local, Role.WRITE).name == 'unauthenticated'
    assert _kind(open_access, ClientIdentity(remote_ip='10.0.0.1'))
    assert _kind(open_access, ClientIdentity('Bearer x', remote_ip='127.0.0.1'))
    assert _kind(Access(AccessList(), Counters()), local)


def test_a_certificate_is_identified_by_its_common_name():
    """Guards against a valid certificate whose subject has no grant."""
    allowed = AccessList(subjects=(parse_subject('ann write'),))
    access = Access(allowed, Counters())
    assert access.check(ClientIdentity(subject='ann'), Role.WRITE).name == 'ann'
    assert (
        _kind(access, ClientIdentity(subject='ben')) == ErrorKind.UNAUTHORIZED
    )


@pytest.mark.parametrize(
    'line',
    ['ann write', 'ann own sha256:00:00', 'ann read md5:00:00', 'a read x:y:z'],
)
def test_a_malformed_token_line_is_refused(line):
    """Guards against a plain-text token that is accepted as a hash."""
    with pytest.raises(ValueError, match='.'):
        parse_token(line)
