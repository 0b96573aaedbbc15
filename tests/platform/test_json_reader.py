"""Tests of reading JSON whose parts may be unreadable."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from nutmegshore.errors import PlatformFormatError
from nutmegshore.platform.json_reader import (
    MAX_LEVELS,
    Unreadable,
    mark_unreadable,
    read_json,
    read_parts,
    write_json,
)

_DEEP = 100_000
_PLAIN = st.one_of(
    st.none(),
    st.booleans(),
    st.floats(allow_nan=False, allow_infinity=False),
    st.text(max_size=8),
)
_JSON = st.recursive(
    _PLAIN,
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=4), inner, max_size=3)
    ),
    max_leaves=12,
)
_ODD_TEXTS = (
    b''.join((b'[' * _DEEP, b']' * _DEEP)),
    b''.join((b'{"a":' * _DEEP, b'1', b'}' * _DEEP)),
    b'9' * 5000,
    b'NaN',
    b'-Infinity',
    b'{"a":1,"a":2}',
    b'yes and no',
    b'"\x01"',
    b'{"a" 1}',
)


def _nest(levels):
    return b''.join((b'[' * levels, b']' * levels))


@given(found=_JSON, levels=st.integers(0, 4))
def test_readable_values_are_read_as_they_are(found, levels):
    """Guards against a fallback that changes what other writers wrote."""
    body = json.dumps(found).encode()
    assert read_json(body) == found
    assert read_parts(body, levels) == found
    # An unreadable last member leads to each member being read on its own.
    table = read_parts(b'{"x": %s , "odd":NaN }' % body, levels + 1)
    assert table['x'] == found


@pytest.mark.parametrize('odd', _ODD_TEXTS, ids=range(len(_ODD_TEXTS)))
def test_an_unreadable_part_costs_only_itself(odd):
    """Guards against LOST: one value decided over the whole answer."""
    found = read_parts(b'{"items":[[1],{"odd":%s},[3]],"more":"]}"}' % odd, 2)
    assert found['items'][0] == [1]
    assert isinstance(found['items'][1], Unreadable)
    assert found['items'][2] == [3]
    assert found['more'] == ']}'
    with pytest.raises(PlatformFormatError):
        read_json(odd)
    with pytest.raises(PlatformFormatError):
        write_json(found)


@pytest.mark.parametrize('levels', [0, 4])
@pytest.mark.parametrize(
    'body', [b'', b'{"items":[NaN,', b'[[1}', b'[1] x', b'{"a":"', b'[\xff']
)
def test_a_value_without_an_end_is_rejected(body, levels):
    """Guards against reading a part of an answer that was cut."""
    with pytest.raises(PlatformFormatError):
        read_parts(body, levels)


def test_the_depth_of_a_value_is_bounded():
    """Guards against a depth that depends on the stack of the reader."""
    assert read_json(_nest(MAX_LEVELS))
    too_deep = _nest(MAX_LEVELS + 1)
    with pytest.raises(PlatformFormatError, match='nested'):
        read_json(too_deep)
    with pytest.raises(PlatformFormatError, match='nested'):
        write_json(read_parts(too_deep, 0))
    # Brackets in a text do not nest.
    assert read_json(json.dumps('[' * _DEEP).encode())


def test_a_marked_body_is_rejected_for_its_reason():
    """Guards against a log line that hides what was odd about an entry."""
    with pytest.raises(PlatformFormatError, match='^Slots: 9$'):
        read_json(mark_unreadable('Slots: 9'))
