"""Tests of writes whose outcome is resolved after a lost answer."""

import pytest

from nutmegshore.clock import VirtualClock, run_virtual
from nutmegshore.errors import PlatformAnswerLost, VersionConflict
from nutmegshore.store import (
    Expected,
    MemoryPlatform,
    MemoryStore,
    write_resolved,
)


def _keep(store):
    """Change nothing."""


class _LossyPlatform(MemoryPlatform):
    """Loses answers and calls `then` before the caller can read back.

    If `is_applied` is False, the request itself is lost.
    """

    def __init__(self, is_applied=True, losses=1, after_loss=_keep):
        super().__init__(MemoryStore(), VirtualClock())
        self.is_applied = is_applied
        self.losses = losses
        self.after_loss = after_loss

    @property
    def store(self):
        return self._store

    async def write(self, key, body, expected, operation):
        if not self.losses:
            return await super().write(key, body, expected, operation)
        self.losses -= 1
        if self.is_applied:
            await super().write(key, body, expected, operation)
        self.after_loss(self.store)
        raise PlatformAnswerLost(key)


def _overwrite(store):
    present = store.by_key.get('k')
    expected = Expected.of(present) if present else None
    store.apply('k', b'theirs', expected, 'op-theirs')


def _write_resolved(platform, expected=None):
    async def session():
        return await write_resolved(platform, 'k', b'mine', expected, 'op-mine')

    return run_virtual(session)


@pytest.mark.parametrize('is_applied', [True, False])
@pytest.mark.parametrize('losses', [1, 2, 3])
def test_a_lost_write_takes_effect_once(is_applied, losses):
    """Guards against a write that is abandoned or stored twice."""
    platform = _LossyPlatform(is_applied, losses)
    stored = _write_resolved(platform)
    assert (stored.operation, stored.version) == ('op-mine', 1)


def test_a_write_by_another_operation_is_a_conflict():
    """Guards against mistaking another writer's object for this write."""
    platform = _LossyPlatform(is_applied=False, after_loss=_overwrite)
    with pytest.raises(VersionConflict) as caught:
        _write_resolved(platform)
    assert caught.value.present.operation == 'op-theirs'


def test_an_overwritten_object_leaves_the_outcome_unknown():
    """Guards against "not run" for a write stored and then overwritten."""
    platform = _LossyPlatform(is_applied=True, after_loss=_overwrite)
    with pytest.raises(PlatformAnswerLost):
        _write_resolved(platform)


def test_an_update_is_resolved_like_a_creation():
    """Guards against rules that are only right for new objects."""
    for is_applied, error in (
        (True, PlatformAnswerLost),
        (False, VersionConflict),
    ):
        platform = _LossyPlatform(is_applied, after_loss=_overwrite)
        present = platform.store.apply('k', b'old', None, 'op-old')
        with pytest.raises(error):
            _write_resolved(platform, Expected.of(present))


def test_repeated_losses_end_in_an_unknown_outcome():
    """Guards against a write that retries for ever."""
    platform = _LossyPlatform(is_applied=False, losses=1000)
    with pytest.raises(PlatformAnswerLost):
        _write_resolved(platform)
    assert platform.losses > 990
