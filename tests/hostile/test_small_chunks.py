"""Crowds of callers whose chunks are very small."""

import pytest

_KINDS = ('gateway', 'entry')
_COUNT = 64
_CHUNKS = 300_000


@pytest.fixture(params=_KINDS)
def started(trial, request):
    """A gateway, then an entry."""
    return trial(request.param)


def test_chunks_of_one_byte_leave_time_for_others(started):
    """Guards against decoding all that a caller has sent before anybody else
    is served: 64 callers send 300,000 chunks each and no end."""
    head = started.request('POST', '/up/x', 'Transfer-Encoding: chunked')
    crowd = started.crowd(_COUNT)
    crowd.send(head + b'1\r\n\x00\r\n' * _CHUNKS)
    started.check()
