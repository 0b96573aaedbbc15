"""Tests of the objects that a gateway knows, and of what changed."""

import pytest

from nutmegshore.gateway.objects import KnownObjects
from nutmegshore.store import (
    Change,
    Changes,
    Listing,
    StoredObject,
    StorePosition,
)


def _stored(name, version):
    return StoredObject(f'servers/{name}', b'{}', 'uid', version, '')


def _put(name, version):
    stored = _stored(name, version)
    return Changes(version, (Change(stored.key, stored),))


def _gone(name, position):
    return Changes(position, (Change(f'servers/{name}', None),))


@pytest.fixture
def known():
    """Two objects, listed at position 10."""
    listed = KnownObjects()
    listed.replace(Listing(10, (_stored('a', 8), _stored('b', 9))))
    return listed


def test_another_follows_by_the_changes_alone(known):
    """Guards against whole listings that go to every gateway with each
    change, and against a removed object that stays in use there."""
    other = KnownObjects()
    other.replace(Listing(10, (_stored('a', 8), _stored('b', 9))))
    known.apply(_put('c', 11))
    known.apply(_gone('a', 12))
    changes = known.changes_since(other.position)
    assert {change.key for change in changes.changes} == {
        'servers/a',
        'servers/c',
    }
    other.apply(changes)
    assert other.by_key == known.by_key
    assert other.digest == known.digest
    assert other.position == StorePosition(0, 12)


def test_a_change_that_only_a_listing_shows_is_passed_on(known):
    """Guards against a change that no watch delivered and that is therefore
    not passed on."""
    known.apply(Changes(15, ()))
    known.replace(Listing(15, (_stored('a', 12), _stored('b', 9))))
    changes = known.changes_since(StorePosition(0, 14))
    assert [change.key for change in changes.changes] == ['servers/a']


def test_an_older_version_is_not_applied(known):
    """Guards against an object that goes back."""
    known.apply(_put('a', 14))
    late = _stored('a', 12)
    assert not known.apply(Changes(15, (Change(late.key, late),)))
    assert known.by_key[late.key].version == 14


def test_a_pruned_history_is_not_taken_for_no_changes(known):
    """Guards against a gateway that keeps an object because the removal was
    too long ago to be remembered."""
    for index in range(2000):
        known.apply(_put(f'x{index}', 2 * index + 20))
        known.apply(_gone(f'x{index}', 2 * index + 21))
    assert known.changes_since(StorePosition(0, 10)) is None
    assert known.changes_since(StorePosition(0, 4000)) is not None


def test_a_restore_is_passed_on_as_changes(known):
    """Guards against all objects going to every gateway after a restore."""
    known.apply(_put('c', 30))
    other = KnownObjects()
    other.replace(Listing(10, (_stored('a', 8), _stored('b', 9))))
    restored = (_stored('a', 8), _stored('d', 11))
    known.replace(Listing(12, restored, era=1))
    changes = known.changes_since(other.position)
    assert {change.key for change in changes.changes} == {
        'servers/b',
        'servers/c',
        'servers/d',
    }
    other.apply(changes)
    assert other.by_key == known.by_key
    assert other.position == StorePosition(1, 12)


def test_a_position_that_was_never_here_is_not_continued(known):
    """Guards against changes for a gateway that was ahead before a restore: it
    keeps an object that nobody names any more."""
    known.replace(Listing(5, (_stored('a', 4),), era=1))
    assert known.changes_since(StorePosition(0, 10)) is not None
    assert known.changes_since(StorePosition(0, 11)) is None
    known.replace(Listing(7, (_stored('a', 4),), era=2))
    assert known.changes_since(StorePosition(1, 5)) is not None
    assert known.changes_since(StorePosition(0, 10)) is None


def test_a_rewritten_object_with_a_lower_version_is_applied(known):
    """Guards against a change after a restore that is dropped because the lost
    object had a higher version."""
    known.apply(_put('a', 50))
    changed = _stored('a', 12)
    known.apply(Changes(12, (Change(changed.key, changed),), era=1))
    assert known.by_key[changed.key].version == 12


def test_a_gateway_without_eras_is_believed_until_a_restore(known):
    """Guards against a fleet that stands still in a rolling update, and against
    an old gateway that spreads the lost history."""
    known.replace(Listing(20, (), era=3))
    assert known.locate(30, None) == StorePosition(3, 30)
    known.replace(Listing(5, (), era=4))
    assert known.locate(30, None) < known.position
    assert known.locate(6, 4) > known.position


def test_changes_of_an_era_include_what_was_written_again_at_its_revision():
    """Guards against an object that was written again at its lost revision
    and is missing in the changes since before that write."""
    known = KnownObjects()
    old, new = _stored('i-1', 10), _stored('i-1', 41)
    known.replace(Listing(40, (old,), 1))
    known.apply(Changes(41, (Change(new.key, new),), 1))
    known.replace(Listing(41, (new,), 2))
    changes = known.changes_since(StorePosition(2, 40))
    assert changes is None or changes.changes == (Change(new.key, new),)


def test_a_listing_of_an_earlier_era_leads_back(known):
    """Guards against a peer that is sent all objects, or all that changed in an
    era that was withdrawn, for ever."""
    first = _stored('a', 8)
    known.replace(Listing(20, (first, _stored('b', 9)), era=1))
    known.replace(Listing(21, (first, _stored('b', 21)), era=900))
    known.replace(Listing(22, (_stored('a', 22),), era=1))
    assert known.position == StorePosition(1, 22)
    assert known.changes_since(StorePosition(1, 20)) is None
    assert known.changes_since(StorePosition(900, 20)) is None
    known.apply(Changes(23, (Change('servers/a', None),), era=1))
    changes = known.changes_since(StorePosition(1, 22))
    assert changes.changes == (Change('servers/a', None),)
    assert known.locate(30, None) == StorePosition(1, 30)


def test_changes_of_two_objects_do_not_cancel(known):
    """Guards against DRAIN: two upstreams said that they leave, and gateways
    that had missed both took themselves for up to date."""
    known.apply(_put('x', 100))
    known.apply(_put('y', 101))
    before = known.digest
    known.apply(_put('x', 436))
    known.apply(_put('y', 437))
    assert known.digest != before


def test_changes_from_before_the_first_listing_are_not_known():
    """Guards against DRAIN: a gateway that had just started told another what
    changed, without an upstream that was removed before it started."""
    started = KnownObjects()
    started.replace(Listing(12, (_stored('a', 3),)))
    assert started.changes_since(StorePosition(0, 11)) is None
    assert started.changes_since(StorePosition(0, 12)) is not None
