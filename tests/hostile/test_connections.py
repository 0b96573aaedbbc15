"""Crowds of connections that send no request."""

import pytest

_DESCRIPTORS = 256


@pytest.mark.parametrize('kind', ['gateway', 'entry'])
@pytest.mark.parametrize('sent', [b'', b'GET /read/x HTTP/1.1\r\nA: '])
def test_connections_without_a_request(trial, kind, sent):
    """Guards against connections that take all descriptors: the process could
    accept no other caller and reach no upstream."""
    started = trial(kind, descriptors=_DESCRIPTORS)
    crowd = started.crowd(_DESCRIPTORS + 100)
    if sent:
        crowd.send(sent + bytes(8000).replace(b'\x00', b'a'))
    started.check()
