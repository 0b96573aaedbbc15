"""Tests of the chunked bodies of answers."""

import pytest

from nutmegshore.upstreams.answer_heads import MAX_HEAD_BYTES
from nutmegshore.upstreams.chunked_body import ChunkedBody
from nutmegshore.upstreams.malformed_answer import AnswerFault, MalformedAnswer

_WHOLE = b'2;a="b"\r\nab\r\n0001\r\nc\r\n0\r\nX-Sum: 1\r\nX-Tag:\r\n\r\n'


@pytest.mark.parametrize('step', range(1, len(_WHOLE) + 1))
def test_a_body_is_decoded_wherever_it_is_cut(step):
    """Guards against an end that is missed where a piece ends."""
    body = ChunkedBody()
    found = b''
    for at in range(0, len(_WHOLE), step):
        assert not body.is_ended
        end = at + step
        found += body.decode(_WHOLE[at:end])
    assert found == b'abc'
    assert body.is_ended


def test_what_follows_the_end_is_left_out():
    """Guards against a second answer that is taken as part of the first."""
    body = ChunkedBody()
    assert body.decode(_WHOLE) == b'abc'
    assert not body.has_surplus
    assert not body.decode(b'3\r\nbad\r\n')
    assert body.has_surplus


@pytest.mark.parametrize('end', range(1, len(_WHOLE)))
def test_no_part_of_a_body_is_its_end(end):
    """Guards against a body cut off that counts as whole."""
    body = ChunkedBody()
    body.decode(_WHOLE[:end])
    assert not body.is_ended


def test_trailers_without_end_are_refused():
    """Guards against a line that fills the memory."""
    body = ChunkedBody()
    with pytest.raises(MalformedAnswer) as refused:
        body.decode(b'0\r\nX-Sum: %b' % (b'a' * MAX_HEAD_BYTES))
    assert refused.value.fault is AnswerFault.HEAD_SIZE


@pytest.mark.parametrize('line', [b'x', b'a b: c', b': x', b'a: \x01'])
def test_a_malformed_trailer_is_named(line):
    """Guards against trailers that are read by another grammar than heads."""
    body = ChunkedBody()
    with pytest.raises(MalformedAnswer) as refused:
        body.decode(b'0\r\n%b\r\n' % line)
    assert refused.value.fault is AnswerFault.TRAILER
