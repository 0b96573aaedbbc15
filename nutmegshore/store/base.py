"""Interface of the platform's object API."""

import abc
from collections.abc import Callable

import attrs

from nutmegshore.store.eras import StoreEras
from nutmegshore.upstreams import MalformedAnswer

__all__ = (
    'MAX_BODY_BYTES',
    'WATCH_WAIT_S',
    'Change',
    'Changes',
    'Expected',
    'ListedInstance',
    'Listing',
    'ListingPage',
    'Platform',
    'StorePosition',
    'StoredObject',
    'Unnamed',
)

MAX_BODY_BYTES = 1_000_000
#: Default time that a watch waits for changes, in seconds.
WATCH_WAIT_S = 30


@attrs.frozen
class StoredObject:
    """A stored object with its identity and version.

    `uid` changes when an object is removed and created again, `version` is
    incremented by each write of one uid, and `operation` is the operation id
    that the last writer chose. `era` is the history of the store in which the
    object was read, 0 if nobody told it; it does not make two objects differ.
    """

    key: str
    body: bytes
    uid: str
    version: int
    operation: str
    era: int = attrs.field(default=0, eq=False)


@attrs.frozen
class Expected:
    """The uid, version and era that a conditional write requires.

    All are compared because versions restart when an object is removed and
    created again, and when the store is restored from an older copy, so a stale
    version alone could match the new object.
    """

    uid: str
    version: int
    era: int = 0

    @classmethod
    def of(cls, stored: StoredObject) -> 'Expected':
        """Require that the object is unchanged since it was read."""
        return cls(stored.uid, stored.version, stored.era)


@attrs.frozen
class Change:
    """A change returned by a watch; `stored` is None for a removal."""

    key: str
    stored: StoredObject | None


@attrs.frozen(order=True)
class StorePosition:
    """A point in the history of a store.

    Revisions only grow within an era. A later era is ahead of all positions of
    the eras before it, whatever their revisions.

        StorePosition(era=2, revision=40) > StorePosition(era=1, revision=90)
    """

    era: int = 0
    revision: int = 0


@attrs.frozen
class Changes:
    """Result of a watch and the position to continue it from.

    `position` is a revision, and `era` the history that it belongs to.
    """

    position: int
    changes: tuple[Change, ...]
    era: int = 0

    @property
    def read_at(self) -> StorePosition:
        """Position in the store as of which the changes were read."""
        return StorePosition(self.era, self.position)


@attrs.frozen
class ListingPage:
    """One page of a listing.

    `after` is the key that the next page starts after, '' on the last page.
    """

    listed: tuple[StoredObject, ...]
    after: str = ''


@attrs.frozen
class Listing:
    """All objects below a prefix, and the position to watch them from.

    `position` is a revision, and `era` the history that it belongs to.
    """

    position: int
    listed: tuple[StoredObject, ...]
    era: int = 0

    @property
    def read_at(self) -> StorePosition:
        """Position in the store as of which the objects were read."""
        return StorePosition(self.era, self.position)


@attrs.frozen
class Unnamed:
    """Why objects of an answer were left out: one reason for each.

    `is_listing` says whether the answer had all objects of the kind.
    """

    reasons: tuple[str, ...]
    is_listing: bool


@attrs.frozen
class ListedInstance:
    """An instance in the platform's list, which lags behind its changes."""

    name: str
    address: str
    region: str
    availability_zone: str
    is_leaving: bool = False


class Platform(abc.ABC):
    """Client of the platform.

    Every call can raise `PlatformUnavailable`: it had no effect. A write or
    removal can also raise `PlatformAnswerLost`, when its effect is unknown,
    and `VersionConflict`. `eras` is None for a store that is never restored.

    An object that cannot be read is delivered with a body that is not JSON;
    one without a legible name is left out. `on_unnamed` is then called with
    the prefix and the reasons, and after each listing without any.

    `on_malformed` is called with the target of a call and why its answer was
    refused. A read then raises `PlatformUnavailable`, a write
    `PlatformAnswerLost`.
    """

    eras: StoreEras | None = None
    on_unnamed: Callable[[str, Unnamed], None] | None = None
    on_malformed: Callable[[str, MalformedAnswer], None] | None = None

    def report_unnamed(self, prefix: str, unnamed: Unnamed) -> None:
        """Call `on_unnamed` if it is set."""
        if self.on_unnamed is not None:
            self.on_unnamed(prefix, unnamed)

    def report_malformed(self, target: str, malformed: MalformedAnswer) -> None:
        """Call `on_malformed` if it is set."""
        if self.on_malformed is not None:
            self.on_malformed(target, malformed)

    @abc.abstractmethod
    async def read(self, key: str) -> StoredObject | None:
        """Read one object; None if it does not exist."""

    @abc.abstractmethod
    async def iter_objects(self, prefix: str) -> list[StoredObject]:
        """Read every object whose key starts with the prefix."""

    @abc.abstractmethod
    async def write(
        self,
        key: str,
        body: bytes,
        expected: Expected | None,
        operation: str,
    ) -> StoredObject:
        """Write if the object matches `expected`; None requires its absence."""

    @abc.abstractmethod
    async def remove(self, key: str, expected: Expected) -> None:
        """Remove the object if it matches `expected`."""

    @abc.abstractmethod
    async def read_position(self) -> int:
        """Read the position of the store's last change."""

    @abc.abstractmethod
    async def watch(
        self,
        prefix: str,
        after: int,
        wait_s: float = WATCH_WAIT_S,
    ) -> Changes:
        """Wait for changes below the prefix after a position.

        Without changes the call returns after `wait_s` seconds or sooner, and
        the caller continues from the returned position. Raises `HistoryLost`
        if the store no longer has the changes after the position; the caller
        then has to list the objects again.
        """

    async def read_listing(self, prefix: str) -> Listing:
        """Read every object below the prefix with a position to watch from.

        The watch may return a change again that the listing already contains.
        """
        position = await self.read_position()
        return Listing(position, tuple(await self.iter_objects(prefix)))

    @abc.abstractmethod
    async def read_instances(self) -> list[ListedInstance]:
        """Read the list of live and leaving instances, which may lag."""
