"""Tests of the decoding of chunked bodies."""

import pytest

from nutmegshore.errors import ErrorKind, RequestError
from nutmegshore.http1 import ChunkDecoder, MalformedChunk

_BODY = b'3\r\nabc\r\n1;x=y\r\nd\r\nA \r\n0123456789\r\n0\r\n\r\n'
_DATA = b'abcd0123456789'


@pytest.mark.parametrize('step', range(1, len(_BODY) + 1))
def test_chunks_are_decoded_wherever_they_are_cut(step):
    """Guards against lost or doubled bytes where a piece ends."""
    decoder = ChunkDecoder()
    held = b''
    data = b''
    for at in range(0, len(_BODY), step):
        end = at + step
        held += _BODY[at:end]
        found, used = decoder.decode(held)
        data += found
        held = held[used:]
    assert data == _DATA
    assert decoder.is_ended
    assert held == b'\r\n'


def test_all_small_chunks_of_a_piece_are_one():
    """Guards against work of the event loop for each byte."""
    sent = b'1\r\nx\r\n' * 2000
    assert ChunkDecoder().decode(sent) == (b'x' * 2000, len(sent))


@pytest.mark.parametrize(
    'sent',
    [
        b'x\r\n',
        b'\r\n',
        b'-1\r\n',
        b'1\r\nab',
        b'1\r\na\rb',
        b'1111222233334444\r\n',
        b'1;%b' % bytes(300).replace(b'\0', b'a'),
        b'1\n',
    ],
)
def test_what_is_no_chunk_is_refused(sent):
    """Guards against a body whose end the upstream finds elsewhere."""
    with pytest.raises(RequestError) as refused:
        ChunkDecoder().decode(b'%b\r\n' % sent)
    assert refused.value.kind is ErrorKind.MALFORMED_REQUEST


@pytest.mark.parametrize(
    'sent', [b'1\n', b'0\n\n', b'1\x01', b'\n', b'1 2', b'g']
)
def test_the_start_of_what_is_no_chunk_is_refused(sent):
    """Guards against a wait for a line end, in which another reader of the
    same bytes sees the body's end."""
    with pytest.raises(MalformedChunk):
        ChunkDecoder().decode(sent)
