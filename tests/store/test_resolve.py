"""Tests of writes that are settled after a lost answer."""

import pytest

from nutmegshore.clock import VirtualClock, run_virtual
from nutmegshore.errors import PlatformAnswerLost, VersionConflict
from nutmegshore.store import (
    Expected,
    MemoryPlatform,
    MemoryStore,
    write_resolved,
)


def _leave(store):
    """Change nothing."""


class _Losing(MemoryPlatform):
    """Loses answers, and calls `then` before the caller can read back.

    With `is_applied` False the request itself is lost.
    """

    def __init__(self, is_applied=True, losses=1, then=_leave):
        super().__init__(MemoryStore(), VirtualClock())
        self.is_applied = is_applied
        self.losses = losses
        self.then = then

    @property
    def store(self):
        return self._store

    async def write(self, key, body, expected, operation):
        if not self.losses:
            return await super().write(key, body, expected, operation)
        self.losses -= 1
        if self.is_applied:
            await super().write(key, body, expected, operation)
        self.then(self.store)
        raise PlatformAnswerLost(key)


def _overwrite(store):
    present = store.by_key.get('k')
    expected = Expected.of(present) if present else None
    store.apply('k', b'theirs', expected, 'op-theirs')


def _settle(platform, expected=None):
    async def session():
        return await write_resolved(platform, 'k', b'mine', expected, 'op-mine')

    return run_virtual(session)


@pytest.mark.parametrize('is_applied', [True, False])
@pytest.mark.parametrize('losses', [1, 2, 3])
def test_a_lost_write_takes_effect_once(is_applied, losses):
    """Guards against a write that is given up or stored twice."""
    platform = _Losing(is_applied, losses)
    stored = _settle(platform)
    assert (stored.operation, stored.version) == ('op-mine', 1)


def test_a_write_in_its_place_is_a_conflict():
    """Guards against another writer's object that is taken for one's own."""
    platform = _Losing(is_applied=False, then=_overwrite)
    with pytest.raises(VersionConflict) as caught:
        _settle(platform)
    assert caught.value.present.operation == 'op-theirs'


def test_an_object_that_moved_on_leaves_the_outcome_unknown():
    """Guards against "not run" for a write that was stored and replaced."""
    platform = _Losing(is_applied=True, then=_overwrite)
    with pytest.raises(PlatformAnswerLost):
        _settle(platform)


def test_an_update_is_settled_like_a_creation():
    """Guards against rules that only hold for new objects."""
    for is_applied, error in (
        (True, PlatformAnswerLost),
        (False, VersionConflict),
    ):
        platform = _Losing(is_applied, then=_overwrite)
        present = platform.store.apply('k', b'old', None, 'op-old')
        with pytest.raises(error):
            _settle(platform, Expected.of(present))


def test_endless_losses_end_in_an_unknown_outcome():
    """Guards against an operator's call that never returns."""
    platform = _Losing(is_applied=False, losses=1000)
    with pytest.raises(PlatformAnswerLost):
        _settle(platform)
    assert platform.losses > 990
