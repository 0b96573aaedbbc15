"""Crowds that come in waves, the earlier ones still open."""

import time

import pytest

_KINDS = ('gateway', 'entry')
_BODY_BYTES = 1_500_000
_CHUNK_BYTES = 30_000
_COUNT = 100
_WAVES = 8
#: Those of the smallest instance of the deployments.
_DESCRIPTORS = 1535
#: Seconds between two waves, in which the callers of the last one are silent.
_PAUSE_S = 1.2
#: Seconds after which a wave ends, whatever is left to send.
_WAVE_S = 4


def test_waves_of_bodies_short_of_their_end(started):
    """Guards against memory that comes back in blocks which the bodies of the
    next wave do not fit into, though the budget takes it for free."""
    head = started.request('POST', '/up/x', f'Content-Length: {_BODY_BYTES}')
    _send_waves(started, head + bytes(_BODY_BYTES - 1))


def test_waves_of_chunked_bodies_without_an_end(started):
    """Guards against what a transfer holds for a body without a known length,
    beyond what the budget counts for it."""
    head = started.request('POST', '/up/x', 'Transfer-Encoding: chunked')
    chunk = b'%x\r\n%b\r\n' % (_CHUNK_BYTES, bytes(_CHUNK_BYTES))
    _send_waves(started, head + chunk * (_BODY_BYTES // _CHUNK_BYTES))


@pytest.mark.parametrize('kind', _KINDS)
def test_waves_at_an_upstream_that_reads_nothing(trial, kind):
    """Guards against uploads that hold memory while they wait for room at their
    upstream, and against what stays of those that were refused."""
    started = trial(kind, descriptors=_DESCRIPTORS)
    head = started.request(
        'POST', '/up/stall', f'Content-Length: {_BODY_BYTES}'
    )
    _send_waves(started, head + bytes(_BODY_BYTES - 1), _COUNT * 2)


def _send_waves(started, payload, count=_COUNT):
    for _ in range(_WAVES):
        crowd = started.crowd(count)
        crowd.send(payload, most_s=_WAVE_S)
        time.sleep(_PAUSE_S)
    started.check()
