"""Ledger of a cap: the stored object that assigns its units to owners."""

import json
from types import MappingProxyType
from typing import Any

import attrs

from nutmegshore.resources import FieldFault, InvalidObject

__all__ = (
    'MAX_OWNERS',
    'LeaseRenewal',
    'Identity',
    'Ledger',
    'Share',
    'claim_share',
    'ledger_key',
    'parse_ledger',
    'write_ledger',
)

#: Instance name and incarnation of an owner.
Identity = tuple[str, str]

MAX_OWNERS = 9
_MAX_UNITS = 1_000_000_000_000
#: An owner returns units when it has over this many times an even share.
_MAX_EXCESS_FACTOR = 2


@attrs.frozen
class Share:
    """Units that one incarnation of an instance may use under its lease.

    `target` is below `units` while the owner has not yet confirmed a cut.
    Only the owner sets `sequence`, to a new value with each renewal. It never
    repeats a value, even after it returns its share and joins again:
    otherwise others could mistake the new share for one that they saw long
    before. `lease_seconds` is the lease that this renewal relies on, whatever
    is declared later.
    """

    owner: str
    incarnation: str
    units: int
    target: int
    lease_seconds: float
    sequence: int

    @property
    def identity(self) -> Identity:
        """Name and incarnation of the owner."""
        return (self.owner, self.incarnation)


@attrs.frozen
class Ledger:
    """All shares of a cap, and the declared generation they are based on."""

    generation: int = 0
    cap: int = 0
    shares: tuple[Share, ...] = ()

    @property
    def assigned(self) -> int:
        """Units that owners may still use, including unconfirmed cuts."""
        return sum(share.units for share in self.shares)

    @property
    def free(self) -> int:
        """Units that nobody owns."""
        return max(self.cap - self.assigned, 0)

    def share_of(self, identity: Identity) -> Share | None:
        """Share of one incarnation of an instance, if it has one."""
        for share in self.shares:
            if share.identity == identity:
                return share
        return None

    def without(self, identities: frozenset[Identity]) -> 'Ledger':
        """This ledger without the shares of some owners."""
        kept = [
            share for share in self.shares if share.identity not in identities
        ]
        return attrs.evolve(self, shares=tuple(kept))

    def with_share(self, share: Share) -> 'Ledger':
        """This ledger with one share replaced or added."""
        others = self.without(frozenset((share.identity,))).shares
        shares = sorted((*others, share), key=_identity)
        return attrs.evolve(self, shares=tuple(shares))


def _identity(share: Share) -> Identity:
    return share.identity


@attrs.frozen
class LeaseRenewal:
    """Input of an instance to a conditional write of the ledger.

    `unreleased` are the units that the instance has not yet stopped using.
    `expired` are the owners whose shares it saw unchanged for a lease and the
    margins. `expected_owners` is the number of owners to expect.
    """

    identity: Identity
    generation: int
    cap: int
    lease_seconds: float
    sequence: int = 1
    unreleased: int = 0
    expired: frozenset[Identity] = frozenset()
    expected_owners: int = 1
    is_leaving: bool = False


def claim_share(ledger: Ledger, renewal: LeaseRenewal) -> Ledger:
    """Build the next ledger when an instance renews, joins or leaves.

    Expired shares are dropped, a newer cap cuts the targets, and the instance
    confirms its own cut or takes free units. Units of other live owners are
    never lowered here.
    """
    ledger = _apply_cap(ledger, renewal).without(renewal.expired)
    own = ledger.share_of(renewal.identity)
    if own is None:
        own = Share(*renewal.identity, 0, 0, renewal.lease_seconds, 0)
        if renewal.is_leaving or not _may_join(ledger):
            return ledger
    return _replace_share(ledger, _resize(ledger, own, renewal), renewal)


def _may_join(ledger: Ledger) -> bool:
    return ledger.free > 0 and len(ledger.shares) < MAX_OWNERS


def _replace_share(ledger: Ledger, own: Share, renewal: LeaseRenewal) -> Ledger:
    if own.units == 0:
        return ledger.without(frozenset((own.identity,)))
    renewed = attrs.evolve(
        own,
        lease_seconds=renewal.lease_seconds,
        sequence=renewal.sequence,
    )
    return ledger.with_share(renewed)


def _resize(ledger: Ledger, own: Share, renewal: LeaseRenewal) -> Share:
    if renewal.is_leaving:
        unreleased = min(renewal.unreleased, own.units)
        return attrs.evolve(own, units=unreleased, target=unreleased)
    if own.target < own.units:
        unreleased = min(max(own.target, renewal.unreleased), own.units)
        return attrs.evolve(own, units=unreleased)
    even_share = -(-ledger.cap // max(renewal.expected_owners, 1))
    if own.units > even_share * _MAX_EXCESS_FACTOR:
        return attrs.evolve(own, target=even_share)
    growth = max(even_share - own.units, 0)
    if renewal.expired or len(ledger.shares) >= renewal.expected_owners:
        growth = max(growth, even_share)
    units = own.units + min(ledger.free, growth)
    return attrs.evolve(own, units=units, target=units)


def _apply_cap(ledger: Ledger, renewal: LeaseRenewal) -> Ledger:
    if renewal.generation <= ledger.generation:
        return ledger
    assigned = max(ledger.assigned, 1)
    shares = [
        attrs.evolve(
            share,
            target=min(share.units, share.units * renewal.cap // assigned),
        )
        for share in ledger.shares
    ]
    return Ledger(renewal.generation, renewal.cap, tuple(shares))


def ledger_key(kind: str, name: str, measure: str) -> str:
    """Key of a cap's ledger in the store."""
    return f'caps/{kind}/{name}/{measure}'


def write_ledger(ledger: Ledger) -> bytes:
    """Encode a ledger as JSON for the store."""
    return json.dumps(attrs.asdict(ledger), sort_keys=True).encode()


def parse_ledger(body: bytes) -> Ledger:
    """Decode and check a ledger, or raise `InvalidObject`."""
    try:
        return _build_ledger(json.loads(body))
    except (ValueError, TypeError, KeyError):
        fault = FieldFault('body', 'a ledger of distinct owners')
        raise InvalidObject('ledger', [fault]) from None


def _build_ledger(raw: dict[str, Any]) -> Ledger:
    shares = tuple(_build_share(fields) for fields in raw['shares'])
    owners = {share.identity for share in shares}
    if len(owners) != len(shares):
        raise ValueError('an owner has two shares')
    generation = _whole(raw['generation'])
    return Ledger(generation, _whole(raw['cap']), shares)


_SHARE_FIELDS = MappingProxyType(
    {
        'owner': str,
        'incarnation': str,
        'units': int,
        'target': int,
        'lease_seconds': (int, float),
        'sequence': int,
    }
)


def _build_share(fields: dict[str, Any]) -> Share:
    for field, expected in _SHARE_FIELDS.items():
        if not isinstance(fields[field], expected):
            raise TypeError(field)
    share = Share(**fields)
    _whole(share.sequence)
    if _whole(share.target) > _whole(share.units) or share.lease_seconds <= 0:
        raise ValueError('target or lease')
    return share


def _whole(number: Any) -> int:
    is_whole = isinstance(number, int) and not isinstance(number, bool)
    if not is_whole or not 0 <= number <= _MAX_UNITS:
        raise ValueError('a whole number')
    return number
