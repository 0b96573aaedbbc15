"""Tests of compressed messages."""

import zlib

import pytest

from nutmegshore.errors import ErrorKind, LinkError
from nutmegshore.peers.codec import MAX_FRAME_BYTES, decode, encode
from nutmegshore.peers.compression import (
    CompressedFrame,
    compress_frame,
    expand_frame,
)
from nutmegshore.peers.messages import MembershipUpdate


def test_a_large_message_is_smaller_and_comes_back():
    body = MembershipUpdate([[f'gateway-{one}', 'west'] for one in range(200)])
    frame = encode(body)
    sent = compress_frame(frame)
    assert len(sent) < len(frame) / 3
    assert decode(expand_frame(decode(sent))) == body


def test_a_small_message_stays_as_it_is():
    frame = encode(MembershipUpdate([]))
    assert compress_frame(frame) is frame


@pytest.mark.parametrize(
    ('sent', 'kind'),
    [
        (b'no zlib', ErrorKind.MALFORMED_FRAME),
        (zlib.compress(bytes(MAX_FRAME_BYTES + 1)), ErrorKind.FRAME_TOO_LARGE),
    ],
)
def test_what_does_not_expand_within_the_limit_is_refused(sent, kind):
    """Guards against a peer whose few bytes fill the memory."""
    with pytest.raises(LinkError) as refused:
        expand_frame(CompressedFrame(sent))
    assert refused.value.kind is kind
