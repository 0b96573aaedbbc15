"""Tests of the bounds in the settings."""

import pytest

from nutmegshore.errors import PlatformFormatError
from nutmegshore.platform.bounds import Bounds, parse_bounds


@pytest.mark.parametrize(
    ('text', 'is_strict'),
    [('true', True), ('True', True), ('1', True), ('false', False)],
)
def test_a_flag_is_read(text, is_strict):
    """Guards against settings with a flag, on which no gateway started."""
    bounds = parse_bounds({'StrictRevoke': text, 'RevokeS': '7'})
    assert bounds.is_revoke_strict is is_strict
    assert bounds.revoke_s == 7


def test_keys_are_not_bounded_by_default():
    """Guards against refusals in deployments that do not ask for the bound."""
    assert not Bounds().is_revoke_strict


@pytest.mark.parametrize('text', ['', 'maybe', 'nan', '2'])
def test_a_flag_that_is_neither_is_a_fault(text):
    """Guards against a misspelt flag that leaves keys without a bound."""
    with pytest.raises(PlatformFormatError, match='StrictRevoke'):
        parse_bounds({'StrictRevoke': text})
