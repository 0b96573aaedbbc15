"""Crowds of callers whose chunks are very small."""

_COUNT = 64
_CHUNKS = 300_000


def test_chunks_of_one_byte_leave_time_for_others(started):
    """Guards against decoding all that a caller has sent before anybody else
    is served: 64 callers send 300,000 chunks each and no end."""
    head = started.request('POST', '/up/x', 'Transfer-Encoding: chunked')
    crowd = started.crowd(_COUNT)
    crowd.send(head + b'1\r\n\x00\r\n' * _CHUNKS)
    started.check()
