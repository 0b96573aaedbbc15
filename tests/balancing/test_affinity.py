"""Tests of the rendezvous hashing of objects."""

from nutmegshore.balancing.affinity import Affinity, rank_by_hash

_NAMES = tuple(f'u{number}' for number in range(12))


def test_every_gateway_ranks_the_same():
    """Guards against owners that depend on the order of the names."""
    for key in map(str, range(50)):
        forward = rank_by_hash(key, _NAMES)
        assert forward == rank_by_hash(key, reversed(_NAMES))


def test_a_departure_moves_only_its_own_objects():
    """Guards against moving warm objects when another upstream leaves."""
    for key in map(str, range(200)):
        before = rank_by_hash(key, _NAMES)
        after = rank_by_hash(key, [one for one in _NAMES if one != 'u3'])
        assert after == [one for one in before if one != 'u3']


def test_objects_spread_evenly():
    """Guards against a hash that gives most objects to one upstream."""
    owners = [rank_by_hash(str(key), _NAMES)[0] for key in range(2400)]
    counts = [owners.count(name) for name in _NAMES]
    assert min(counts) > 140
    assert max(counts) < 260


def test_ranking_is_kept_until_the_list_changes(upstream):
    """Guards against a ranking that still holds an upstream that left."""
    affinity = Affinity()
    usable = tuple(upstream(name) for name in _NAMES)
    ranked = affinity.ranking('orders', '7', usable)
    assert affinity.ranking('orders', '7', usable) is ranked
    fewer = tuple(one for one in usable if one != ranked[0])
    assert affinity.ranking('orders', '7', fewer) == ranked[1:]


def test_a_new_start_has_handled_nothing():
    """Guards against objects presumed warm after a restart."""
    affinity = Affinity()
    affinity.record('u1', '7')
    assert affinity.has_handled('u1', '7')
    affinity.forget('u1')
    assert not affinity.has_handled('u1', '7')
