"""Tests of the message encoding."""

import attrs
import msgpack
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from nutmegshore.errors import LinkError
from nutmegshore.peers import decode, encode, message

_NUMBER = 9000


@message(_NUMBER)
@attrs.frozen
class _Sample:
    name: str
    units: int = 3


def test_a_message_reads_back_as_sent():
    """Guards against fields that change places."""
    assert decode(encode(_Sample('a', 5))) == _Sample('a', 5)


def test_fields_of_a_newer_version_are_ignored():
    """Guards against a rolling upgrade that breaks links."""
    frame = msgpack.packb({0: _NUMBER, 1: 'a', 7: 'new'})
    assert decode(frame) == _Sample('a')


def test_a_message_of_a_newer_version_is_skipped():
    """Guards against a link that closes on an unknown message."""
    assert decode(msgpack.packb({0: _NUMBER + 1})) is None


@settings(derandomize=True, max_examples=300)
@given(st.binary(max_size=200))
def test_any_bytes_give_a_message_or_a_link_error(frame):
    """Guards against a frame that raises something else."""
    try:
        decode(frame)
    except LinkError:
        return


def test_a_missing_field_is_malformed():
    """Guards against half-filled messages."""
    with pytest.raises(LinkError):
        decode(msgpack.packb({0: _NUMBER}))
