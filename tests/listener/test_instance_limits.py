"""Tests of the limits that follow from an instance, and of a body's time."""

import resource

import pytest

from nutmegshore.listener import InstanceLimits
from nutmegshore.listener.body_pace import BodyPace

_MB = 1_048_576


@pytest.mark.parametrize(
    ('memory_mb', 'descriptors'),
    [(152, 1535), (200, 4100), (552, 8192), (32, 64), (0, 0)],
)
def test_all_limits_fit_the_instance(memory_mb, descriptors, monkeypatch):
    """Guards against limits whose sum exceeds the instance, or is nothing."""
    monkeypatch.setattr(resource, 'getrlimit', lambda _: (8192, 8192))
    limits = InstanceLimits.of_instance(memory_mb, descriptors)
    assert limits.buffer_bytes >= 8 * _MB
    assert limits.connections >= 16
    used = limits.connections * 2 + limits.idle_upstreams
    assert used < (descriptors or 8192)
    if memory_mb > 64:
        taken = limits.buffer_bytes + limits.connections * 32_768
        assert taken <= (memory_mb - 64) * _MB * 3 // 4


def test_the_limit_of_the_process_is_kept(monkeypatch):
    """Guards against settings that promise more than the system allows."""
    monkeypatch.setattr(resource, 'getrlimit', lambda _: (256, 256))
    limits = InstanceLimits.of_instance(552, 8192)
    assert limits.connections * 2 + limits.idle_upstreams < 256


def test_a_trickling_body_is_too_slow_in_the_end():
    """Guards against a caller that sends a byte a second for ever."""
    pace = BodyPace()
    for _ in range(62):
        pace.record(1, 1)
    assert pace.is_too_slow


def test_the_largest_body_on_a_slow_link_is_in_time():
    """Guards against cutting 64 MiB on a link of 1 Mbit/s."""
    pace = BodyPace()
    for _ in range(512):
        pace.record(1.1, 131_072)
        assert not pace.is_too_slow
