"""Compression of large messages between entries."""

import zlib

import attrs

from nutmegshore.errors import ErrorKind, LinkError
from nutmegshore.peers.codec import MAX_FRAME_BYTES, encode, message

__all__ = ('CompressedFrame', 'compress_frame', 'expand_frame')

_COMPRESSED_FRAME_NUMBER = 10
#: Frames of fewer bytes are not worth the time.
_MIN_BYTES = 512
#: The fastest level; reports repeat so much that others gain little.
_LEVEL = 1


@message(_COMPRESSED_FRAME_NUMBER)
@attrs.frozen
class CompressedFrame:
    """A message whose frame is compressed by zlib."""

    frame: bytes


def compress_frame(frame: bytes) -> bytes:
    """Return a frame that holds another one, or that one if it is smaller."""
    if len(frame) < _MIN_BYTES:
        return frame
    compressed = encode(CompressedFrame(zlib.compress(frame, _LEVEL)))
    return min(frame, compressed, key=len)


def expand_frame(body: CompressedFrame) -> bytes:
    """Return the frame inside; `LinkError` if it is malformed or too large."""
    expander = zlib.decompressobj()
    try:
        frame = expander.decompress(body.frame, MAX_FRAME_BYTES)
    except zlib.error as failure:
        raise LinkError(ErrorKind.MALFORMED_FRAME, str(failure)) from failure
    if expander.unconsumed_tail:
        raise LinkError(ErrorKind.FRAME_TOO_LARGE)
    return frame
