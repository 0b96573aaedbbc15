"""Crowds whose bytes wait in the kernel, where the machine holds them too."""

import contextlib
import threading

import pytest

from tests.hostile.conftest import MEMORY_MB

_KINDS = ('gateway', 'entry')
_BODY_BYTES = 1_500_000
_COUNT = 200
_WAVES = 8
_WAVE_S = 4
_DESCRIPTORS = 1535
_SAMPLE_S = 0.1


class _Sampler:
    """Most memory of a process together with what it has not read."""

    def __init__(self, child):
        self.most_mb = 0
        self._child = child
        self._is_ended = threading.Event()
        self._thread = threading.Thread(target=self._run)

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *failure):
        self._is_ended.set()
        self._thread.join()

    def _run(self):
        while not self._is_ended.wait(_SAMPLE_S):
            with contextlib.suppress(OSError, AttributeError):
                now_mb = self._child.resident_mb + self._child.unread_mb
                self.most_mb = max(self.most_mb, now_mb)


@pytest.mark.parametrize('kind', _KINDS)
def test_bytes_that_are_not_read_stay_within_the_machine(trial, kind):
    """Guards against buffers of the kernel that fill for each caller while the
    process reads nothing, as its upstream takes nothing."""
    started = trial(kind, descriptors=_DESCRIPTORS)
    head = started.request(
        'POST', '/up/stall', f'Content-Length: {_BODY_BYTES}'
    )
    with _Sampler(started.child) as sampler:
        for _ in range(_WAVES):
            crowd = started.crowd(_COUNT)
            crowd.send(head + bytes(_BODY_BYTES - 1), most_s=_WAVE_S)
    assert started.child.is_alive()
    assert sampler.most_mb < MEMORY_MB
