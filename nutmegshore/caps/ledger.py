"""The object on the platform that assigns the units of a cap."""

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
#: An owner hands units back when it has this many times an even part.
_EXCESS = 2


@attrs.frozen
class Share:
    """Units that one incarnation of an instance may use under its lease.

    `target` is below `units` while the owner has not yet confirmed a cut.
    The owner alone sets `sequence`, anew with each renewal and never again
    the same, also when it hands its share back and joins again: others could
    take the new share for one that they saw long before. `lease_seconds` is
    the lease that this renewal counts on, whatever is declared later.
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
    """All shares of a cap, and the declared generation they follow."""

    generation: int = 0
    cap: int = 0
    shares: tuple[Share, ...] = ()

    @property
    def assigned(self) -> int:
        """Units that owners may still use, cuts not confirmed included."""
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
    """What an instance brings to a conditional write of the ledger.

    `kept` are the units that it has not yet stopped using, `lapsed` the
    owners whose shares it saw unchanged long enough, and `parts` the number
    of owners to be expected.
    """

    identity: Identity
    generation: int
    cap: int
    lease_seconds: float
    sequence: int = 1
    kept: int = 0
    lapsed: frozenset[Identity] = frozenset()
    parts: int = 1
    is_leaving: bool = False


def claim_share(ledger: Ledger, claim: LeaseRenewal) -> Ledger:
    """Build the ledger that follows when the instance renews or joins.

    Lapsed shares are dropped, a newer cap cuts the targets, and the instance
    confirms its own cut or takes from the free units. Units of others are
    never lowered here.
    """
    ledger = _recap(ledger, claim).without(claim.lapsed)
    own = ledger.share_of(claim.identity)
    if own is None:
        own = Share(*claim.identity, 0, 0, claim.lease_seconds, 0)
        if claim.is_leaving or not _may_join(ledger):
            return ledger
    return _put(ledger, _resize(ledger, own, claim), claim)


def _may_join(ledger: Ledger) -> bool:
    return ledger.free > 0 and len(ledger.shares) < MAX_OWNERS


def _put(ledger: Ledger, own: Share, claim: LeaseRenewal) -> Ledger:
    if own.units == 0:
        return ledger.without(frozenset((own.identity,)))
    renewed = attrs.evolve(
        own,
        lease_seconds=claim.lease_seconds,
        sequence=claim.sequence,
    )
    return ledger.with_share(renewed)


def _resize(ledger: Ledger, own: Share, claim: LeaseRenewal) -> Share:
    if claim.is_leaving:
        kept = min(claim.kept, own.units)
        return attrs.evolve(own, units=kept, target=kept)
    if own.target < own.units:
        kept = min(max(own.target, claim.kept), own.units)
        return attrs.evolve(own, units=kept)
    part = -(-ledger.cap // max(claim.parts, 1))
    if own.units > part * _EXCESS:
        return attrs.evolve(own, target=part)
    growth = max(part - own.units, 0)
    if claim.lapsed or len(ledger.shares) >= claim.parts:
        growth = max(growth, part)
    units = own.units + min(ledger.free, growth)
    return attrs.evolve(own, units=units, target=units)


def _recap(ledger: Ledger, claim: LeaseRenewal) -> Ledger:
    if claim.generation <= ledger.generation:
        return ledger
    assigned = max(ledger.assigned, 1)
    shares = [
        attrs.evolve(
            share,
            target=min(share.units, share.units * claim.cap // assigned),
        )
        for share in ledger.shares
    ]
    return Ledger(claim.generation, claim.cap, tuple(shares))


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
