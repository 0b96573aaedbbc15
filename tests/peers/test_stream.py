"""Tests of reading messages from a byte stream."""

import msgpack
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from nutmegshore.errors import ErrorKind, LinkError
from nutmegshore.peers import decode, encode
from nutmegshore.peers.messages import Ack, MembershipUpdate, Ping
from nutmegshore.peers.stream import MessageReader

_PING = encode(Ping('a'))


def _read_all(chunks, limit=1000):
    reader = MessageReader()
    bodies = []
    for chunk in chunks:
        reader.feed(chunk, limit)
        while reader.has_message:
            bodies.append(reader.pop(limit))
    return bodies


@settings(derandomize=True, max_examples=200)
@given(st.lists(st.integers(0, 60), max_size=8))
def test_messages_do_not_depend_on_the_cuts(cuts):
    """Guards against a message that is lost between two reads."""
    stream = _PING + encode(Ack('b', 1)) + _PING
    places = [0, *sorted(cuts), len(stream)]
    chunks = [
        stream[start:end]
        for start, end in zip(places, places[1:], strict=False)
    ]
    assert _read_all(chunks) == [Ping('a'), Ack('b', 1), Ping('a')]


@settings(derandomize=True, max_examples=500)
@given(st.lists(st.binary(max_size=60), max_size=6))
def test_any_stream_gives_messages_or_a_link_error(chunks):
    """Guards against bytes that end a task with another error."""
    try:
        _read_all(chunks)
    except LinkError:
        return


_TEXT = st.text('ab', max_size=4)
_VALUES = st.recursive(
    st.one_of(
        st.none(),
        st.booleans(),
        st.integers(-5, 5),
        _TEXT,
        st.binary(),
    ),
    lambda inner: st.lists(inner, max_size=4),
    max_leaves=8,
)


@settings(derandomize=True, max_examples=500)
@given(st.dictionaries(st.integers(0, 30), _VALUES, max_size=9))
def test_any_fields_give_a_message_or_a_link_error(fields):
    """Guards against fields of a wrong type that reach a handler."""
    try:
        decode(msgpack.packb(fields))
    except LinkError:
        return


@pytest.mark.parametrize('frame', [b'\x81\x91\x01\x02', b'\x81\x91\x01'])
def test_a_key_that_cannot_be_hashed_is_malformed(frame):
    """Guards against a TypeError of msgpack that escapes the decoder."""
    with pytest.raises(LinkError):
        decode(frame)


def test_a_field_of_a_wrong_type_is_malformed():
    """Guards against handlers that receive text instead of a number."""
    with pytest.raises(LinkError):
        decode(msgpack.packb({0: 5, 1: 'a', 2: 'not a number'}))


def test_a_frame_beyond_the_limit_is_refused_before_its_end():
    """Guards against buffering a frame that is refused later."""
    reader = MessageReader()
    with pytest.raises(LinkError) as caught:
        reader.feed(encode(MembershipUpdate(['x' * 500]))[:400], 300)
    assert caught.value.kind is ErrorKind.FRAME_TOO_LARGE


def test_an_announced_length_allocates_no_memory():
    """Guards against nested headers that each allocate 32 MB."""
    header = b'\xdd\x00\x3f\xff\xff'
    with pytest.raises(LinkError):
        MessageReader().feed(header * 50)
