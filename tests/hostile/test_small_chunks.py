"""Crowds of callers whose chunks are very small."""

import pytest

_COUNT = 64
_CHUNKS = 300_000


def test_chunks_of_one_byte_leave_time_for_others(started):
    """Guards against decoding all that a caller has sent before anybody else
    is served: 64 callers send 300,000 chunks each and no end."""
    head = started.request('POST', '/up/x', 'Transfer-Encoding: chunked')
    crowd = started.crowd(_COUNT)
    crowd.send(head + b'1\r\n\x00\r\n' * _CHUNKS)
    started.check()


@pytest.mark.parametrize('kind', ['gateway', 'entry'])
def test_small_chunks_leave_places_for_others(trial, kind):
    """Guards against callers that wait for their turns at all the places that
    there are, so that a new connection finds none for as long."""
    started = trial(kind, descriptors=256)
    head = started.request('POST', '/up/x', 'Transfer-Encoding: chunked')
    crowd = started.crowd(244)
    crowd.send(head + (b'10\r\n%b\r\n' % bytes(16)) * 124_375)
    started.check()
