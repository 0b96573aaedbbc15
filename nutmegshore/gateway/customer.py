"""Customers, their API keys and what the configuration grants them."""

from collections.abc import Iterable, Mapping
from types import MappingProxyType

import attrs

__all__ = ('NO_CUSTOMERS', 'Customer', 'CustomerTable', 'RejectedCustomer')


@attrs.frozen
class Customer:
    """A customer, identified by any of its API keys.

    `rank` 0 is the most urgent. All gateways together admit `max_rate` requests
    per second plus a burst of `burst` requests; a rate of 0 is no limit. If
    `homes` is not empty, the customer's requests may only be served in these
    regions.
    """

    name: str
    keys: frozenset[str] = attrs.field(repr=False)
    rank: int = 0
    max_rate: float = 0
    burst: float = 0
    homes: frozenset[str] = frozenset()

    @property
    def has_quota(self) -> bool:
        """Whether the rate of the customer's requests is limited."""
        return self.max_rate > 0


@attrs.frozen
class RejectedCustomer:
    """An entry of the table, or a key of it, that is not used, and why."""

    name: str
    reason: str


def _index_keys(table: 'CustomerTable') -> MappingProxyType[str, Customer]:
    found: dict[str, Customer] = {}
    shared: set[str] = set()
    for customer in table.by_name.values():
        shared.update(customer.keys & found.keys())
        found.update(dict.fromkeys(customer.keys, customer))
    for key in shared:
        found.pop(key)
    return MappingProxyType(found)


@attrs.frozen
class CustomerTable:
    """The customers of a configuration by name.

    `is_enabled` says whether requests need a key at all. A key that several
    customers hold identifies none of them. `rejected` lists what is not used.

        table.find('k-7f3a').name
    """

    by_name: MappingProxyType[str, Customer] = MappingProxyType({})
    is_enabled: bool = False
    rejected: tuple[RejectedCustomer, ...] = ()
    _by_key: MappingProxyType[str, Customer] = attrs.field(
        init=False,
        repr=False,
        eq=False,
        default=attrs.Factory(_index_keys, takes_self=True),
    )

    @classmethod
    def of(
        cls,
        customers: Iterable[Customer],
        rejected: Iterable[RejectedCustomer] = (),
    ) -> 'CustomerTable':
        """Return the table of a configuration that has customers."""
        by_name = {customer.name: customer for customer in customers}
        return cls(
            MappingProxyType(by_name),
            is_enabled=True,
            rejected=(*rejected, *_find_shared_keys(by_name)),
        )

    def find(self, key: str) -> Customer | None:
        """Return the customer that holds a key, or None."""
        return self._by_key.get(key)


def _find_shared_keys(
    by_name: Mapping[str, Customer],
) -> Iterable[RejectedCustomer]:
    """Yield the customers that hold a key which another one holds as well."""
    holders: dict[str, list[str]] = {}
    for customer in by_name.values():
        for key in customer.keys:
            holders.setdefault(key, []).append(customer.name)
    shared = {name for held in holders.values() if held[1:] for name in held}
    for name in sorted(shared):
        yield RejectedCustomer(name, 'holds the key of another customer')


#: The table of a configuration without customers: no request needs a key.
NO_CUSTOMERS = CustomerTable()
